package routes

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/registry"
	"github.com/lynxplank/lynxplank/review/fleet"
)

// cutHeads are heads of answers, by name, which an endpoint stops in. Each is written up to a byte, and then the connection ends.
var cutHeads = map[string]string{
	"length":      statusLine + platform.AnswerFields("%s") + "Content-Length: 20\r\n\r\n",
	"empty":       statusLine + "Content-Length: 0\r\n" + platform.AnswerFields("%s") + "\r\n",
	"chunked":     statusLine + platform.AnswerFields("%s") + "Transfer-Encoding: chunked\r\n\r\n",
	"unframed":    statusLine + platform.AnswerFields("%s") + "Connection: close\r\n\r\n",
	"provisional": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + statusLine + platform.AnswerFields("%s") + "Content-Length: 0\r\n\r\n",
	"bare lines":  strings.ReplaceAll(statusLine+platform.AnswerFields("%s")+"Content-Length: 0\r\n\r\n", "\r", ""),
}

const statusLine = "HTTP/1.1 200 OK\r\n"

// headStep is the distance of the bytes after which heads are stopped.
var headStep = flag.Int("head-step", 7, "distance of the bytes after which heads are stopped")

const (
	// headCallers is how many callers ask at the same time.
	headCallers = 16
	// idLength is the length of a request's id, headLimit how long a caller waits for an answer.
	idLength  = 16
	headLimit = 600 * time.Millisecond
)

// cutTarget answers "/cause-list/NAME-N" with the first N bytes of the head of that name, and everything else whole.
type cutTarget struct {
	m *fleet.Machine

	mu sync.Mutex
	// cut counts the heads that were stopped, by the path of the request.
	cut map[string]int
}

func startCutTarget(t *testing.T, m *fleet.Machine) *cutTarget {
	t.Helper()
	l, err := net.Listen("tcp", m.App())
	if err != nil {
		t.Fatal(err)
	}
	target, stop := &cutTarget{m: m, cut: make(map[string]int)}, make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		_ = l.Close()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go target.serve(c)
		}
	}()
	go target.beat(stop)
	return target
}

func (c *cutTarget) beat(stop <-chan struct{}) {
	for sequence := uint64(1); ; sequence++ {
		req, err := platform.HeartbeatRequest(c.m.Control(), registry.Heartbeat{
			Instance: "i-cut", Service: c.m.Service, Address: c.m.App(), Slots: 8, Sequence: sequence,
		})
		if err == nil {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (c *cutTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		call, _ := platform.Contract{}.Call(req.Header)
		if name, n, ok := cutOf(req.URL.Path); ok {
			head := fmt.Sprintf(cutHeads[name], call.ID)
			c.mu.Lock()
			c.cut[req.URL.Path]++
			c.mu.Unlock()
			_, _ = io.WriteString(conn, head[:min(n, len(head)-1)])
			return
		}
		body := "whole " + req.URL.Path
		if _, err := fmt.Fprintf(conn, "%s%sContent-Length: %d\r\n\r\n%s", statusLine, platform.AnswerFields(call.ID), len(body), body); err != nil {
			return
		}
	}
}

// cutOf returns the head that a path names, and after how many bytes it stops.
func cutOf(path string) (name string, n int, ok bool) {
	last := path[strings.LastIndex(path, "/")+1:]
	name, number, ok := strings.Cut(last, "-")
	if !ok {
		return "", 0, false
	}
	n, err := strconv.Atoi(number)
	name = strings.ReplaceAll(name, "_", " ")
	return name, n, err == nil && cutHeads[name] != ""
}

// askThrice sends a whole request, one whose head is cut and a whole one on one connection, and returns the statuses that came back.
func askThrice(m *fleet.Machine, method, path string, number int) (statuses []int, err error) {
	c, err := net.DialTimeout("tcp", m.Outbound(), requestLimit)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(4 * headLimit))
	base := path[:strings.LastIndex(path, "/")+1]
	paths := []string{base + "before", path, base + "after"}
	for i, p := range paths {
		id := fmt.Sprintf("%016x", uint64(number*len(paths)+i)|1<<41)
		if _, err := io.WriteString(c, platform.EncodeCall(method, fleet.Host, p, id, headLimit)); err != nil {
			return nil, nil
		}
	}
	r := bufio.NewReader(c)
	for _, p := range paths {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return statuses, nil
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return statuses, nil
		}
		statuses = append(statuses, resp.StatusCode)
		if resp.StatusCode == http.StatusOK && string(body) != "whole "+p {
			return statuses, fmt.Errorf("%s %s: got %q with status 200", method, p, body)
		}
		if resp.Close {
			return statuses, nil
		}
	}
	return statuses, nil
}

// headRun asks for heads that stop, and counts what comes back.
type headRun struct {
	t       *testing.T
	callers sync.WaitGroup
	asks    chan headAsk

	mu            sync.Mutex
	number, whole int
}

// headAsk is a head to ask a node for.
type headAsk struct {
	m            *fleet.Machine
	method, path string
}

func newHeadRun(t *testing.T) *headRun {
	r := &headRun{t: t, asks: make(chan headAsk)}
	for range headCallers {
		r.callers.Go(func() {
			for ask := range r.asks {
				r.do(ask)
			}
		})
	}
	return r
}

func (r *headRun) do(ask headAsk) {
	r.mu.Lock()
	r.number++
	number := r.number
	r.mu.Unlock()
	statuses, err := askThrice(ask.m, ask.method, ask.path, number)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.t.Errorf("%s: %v", ask.m.Name, err)
	}
	for i, status := range statuses {
		if status != http.StatusOK {
			continue
		}
		r.whole++
		if i == 1 {
			r.t.Errorf("%s %s at %s: got a status of success for a head that stops, want none", ask.method, ask.path, ask.m.Name)
		}
	}
}

// TestAnswersThatStopInTheirHeadAreNone guards against an answer that an endpoint breaks off in its head and that a caller gets as
// whole, with a status of success and an empty or short body: beside the endpoint and over a link, for requests that may be repeated
// and others, with whole answers before and behind it on the caller's connection.
func TestAnswersThatStopInTheirHeadAreNone(t *testing.T) {
	f, err := fleet.New(root, t.TempDir(), []fleet.Place{{Zone: "silom", Service: fleet.DocketDesk}, {Zone: "bangna", Service: fleet.FilingHub}})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	if err := f.Start(fleet.SiteConfig(1)); err != nil {
		t.Fatal(err)
	}
	target := startCutTarget(t, f.Machines[0])
	time.Sleep(2 * time.Second)
	r := newHeadRun(t)
	for name, head := range cutHeads {
		for n := 0; n < len(head)+idLength-len("%s"); n += *headStep {
			for i, m := range f.Machines {
				ask := headAsk{m: m, method: http.MethodGet, path: fleet.PathList}
				if (n / *headStep + i)%2 == 0 {
					ask.method, ask.path = http.MethodPost, fleet.PathBook
				}
				ask.path += fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "_"), n)
				r.asks <- ask
			}
		}
	}
	close(r.asks)
	r.callers.Wait()
	target.mu.Lock()
	defer target.mu.Unlock()
	t.Logf("%d heads asked for on two ways, %d of them stopped, %d whole answers beside them", r.number, len(target.cut), r.whole)
	if got, want := len(target.cut), r.number/4; got < want {
		t.Errorf("heads that were stopped: got %d, want at least %d", got, want)
	}
	if got, want := r.whole, r.number/4; got < want {
		t.Errorf("whole answers: got %d, want at least %d", got, want)
	}
}
