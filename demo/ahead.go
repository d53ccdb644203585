package demo

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/standin/backend"
)

const (
	// mostAhead is how many lookups such a caller sends before it reads an answer, at the most.
	mostAhead = 5
	// aheadPause is the longest pause between two batches.
	aheadPause = 200 * time.Millisecond
	// shortestIdle and longestIdle bound the pauses between the requests of a caller whose connection lies idle.
	shortestIdle, longestIdle = time.Second, 3500 * time.Millisecond
)

// RunAhead has a number of callers send lookups ahead on kept connections until ctx ends: several before the first is answered.
// Nothing is sent again.
func (l *Load) RunAhead(ctx context.Context, callers int) {
	l.runKept(ctx, callers, keptCaller{l: l, name: l.Mark + "ahead-", most: mostAhead, longest: aheadPause})
}

// RunIdle has a number of callers send lookups one at a time on kept connections, which lie idle for seconds in between, until ctx
// ends. Nothing is sent again.
func (l *Load) RunIdle(ctx context.Context, callers int) {
	l.runKept(ctx, callers, keptCaller{l: l, name: l.Mark + "idle-", most: 1, shortest: shortestIdle, longest: longestIdle})
}

// runKept runs callers of one kind, each with a number, until ctx ends.
func (l *Load) runKept(ctx context.Context, callers int, kind keptCaller) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range callers {
		wg.Go(func() {
			c := kind
			c.name, c.random = kind.name+strconv.Itoa(i)+"-", rand.New(rand.NewPCG(uint64(i), 0)) //nolint:gosec // a number
			for ctx.Err() == nil {
				c.connect(ctx, l.targets[c.random.IntN(len(l.targets))])
			}
		})
	}
}

// keptCaller is one caller of RunAhead or RunIdle: it sends up to most lookups before it reads an answer, and pauses between two
// such batches.
type keptCaller struct {
	l                 *Load
	name              string
	most              int
	shortest, longest time.Duration
	random            *rand.Rand
	count             int
}

// pause waits before the next batch.
func (c *keptCaller) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(c.shortest + time.Duration(c.random.Int64N(int64(c.longest-c.shortest)))):
	}
}

// connect sends batches on one connection until it is of no more use.
func (c *keptCaller) connect(ctx context.Context, target string) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		time.Sleep(pause)
		return
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for open := true; open && ctx.Err() == nil; c.pause(ctx) {
		open = c.batch(conn, in, target)
	}
}

// batch sends some lookups, reads their answers and returns whether the connection stays open.
func (c *keptCaller) batch(conn net.Conn, in *bufio.Reader, target string) bool {
	list := make([]Result, 1+c.random.IntN(c.most))
	sent := time.Now()
	for i := range list {
		c.count++
		list[i] = Result{Kind: Lookup, Call: c.name + strconv.Itoa(c.count), Told: "unknown", Sends: 1}
		text := "GET " + list[i].path() + " HTTP/1.1\r\nHost: " + target + "\r\n" + backend.CallHeader + ": " + list[i].Call + "\r\n" +
			header.Deadline + ": " + c.l.Deadline + "\r\n\r\n"
		if _, err := io.WriteString(conn, text); err != nil {
			return c.closed(list[:i], target, sent, false)
		}
	}
	wrote := time.Now()
	_ = conn.SetReadDeadline(wrote.Add(clientLimit))
	for i := range list {
		closes, err := list[i].readAnswer(in)
		if err != nil {
			return c.closed(list[i:], target, wrote, list[i].Status != 0)
		}
		c.l.note(list[i])
		if closes {
			// What was sent behind it has not been read.
			for _, r := range list[i+1:] {
				c.l.note(r)
			}
			return false
		}
	}
	return true
}

// closed notes requests whose connection was closed without their whole answers; partial is set if a part of the first one's had come.
func (c *keptCaller) closed(list []Result, target string, wrote time.Time, partial bool) (open bool) {
	for i, r := range list {
		first := ""
		if i > 0 {
			first = list[0].Call
		}
		r.Closes = []Close{{Node: target, First: first, Partial: partial, Sent: wrote, Wrote: wrote, At: time.Now()}}
		c.l.note(r)
	}
	return false
}

// readAnswer reads the answer and returns whether it closes the connection.
func (r *Result) readAnswer(in *bufio.Reader) (closes bool, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	r.Status, r.Told = resp.StatusCode, resp.Header.Get(header.Outcome)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, err
	}
	r.Whole = true
	r.Own = strings.Contains(string(body), " to "+r.Call+" body ")
	return resp.Close, nil
}
