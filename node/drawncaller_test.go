package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// answeredHeader is set in the answers of endpoints.
const answeredHeader = "Drawn-Endpoint"

// drawnRun is one run of a request at an endpoint.
type drawnRun struct {
	host   string
	begins time.Time
	// ends is when the endpoint had answered or saw the run cut, zero if it is still at work.
	ends time.Time
	cut  bool
}

// drawnRequest is a request of a caller with what became of it.
type drawnRequest struct {
	id         string
	repeatable bool
	// isFirst is set for a request before which none waited on its connection.
	isFirst bool
	sent    time.Time
	runs    []*drawnRun
	// status is that of the whole answer, 0 for none; endpoint reports whether it is an endpoint's; at is when it was there or the
	// connection had ended.
	status   int
	endpoint bool
	at       time.Time
	// slow is set if the caller waits before it reads, timedOut if it has left at its time limit.
	slow     bool
	timedOut bool
}

// callerLimit is how long a caller waits for an answer.
const callerLimit = 15 * time.Second

// startEndpoint starts the endpoint beside a node.
func (d *drawnStop) startEndpoint(t testing.TB, i int) io.Closer {
	t.Helper()
	host := hostOf(i)
	l, err := d.net.Listen(host + ":9000")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.work(host, w, r) })}
	go func() { _ = s.Serve(endpointListener{l}) }()
	return s
}

// endpointListener keeps the endpoint's connections apart from those of the node beside it, which a kill closes.
type endpointListener struct{ net.Listener }

// work is one run of a request: it takes a while, hangs or fails.
func (d *drawnStop) work(host string, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	run := &drawnRun{host: host, begins: time.Now()}
	d.mu.Lock()
	x := d.requests[strings.TrimPrefix(r.URL.Path, "/")]
	if x == nil {
		d.mu.Unlock()
		return
	}
	x.runs = append(x.runs, run)
	d.mu.Unlock()
	takes, status, size := d.draw(10*time.Millisecond, 400*time.Millisecond), http.StatusOK, 200
	switch {
	case d.chance(0.08):
		takes = time.Hour
	case d.chance(0.15):
		takes = d.draw(400*time.Millisecond, 6*time.Second)
	}
	if d.chance(0.05) {
		status = http.StatusInternalServerError
	}
	if d.chance(0.05) {
		size = 100 << 10
	}
	cut := false
	select {
	case <-time.After(takes):
	case <-r.Context().Done():
		cut = true
	}
	d.mu.Lock()
	run.ends, run.cut = time.Now(), cut
	d.mu.Unlock()
	if cut {
		return
	}
	w.Header().Set(answeredHeader, host)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.WriteHeader(status)
	_, _ = w.Write(make([]byte, size))
}

// call is one caller: it sends requests one after the other or ahead, on kept connections or on new ones, until the run is over.
func (d *drawnStop) call(n *stoppedNode) {
	var c net.Conn
	var in *bufio.Reader
	hangUp := func() {
		if c != nil {
			_ = c.Close()
		}
		c = nil
	}
	defer hangUp()
	keeps, ahead := d.chance(0.7), d.chance(0.4)
	for !d.ended.Load() {
		time.Sleep(d.draw(0, 800*time.Millisecond))
		if c == nil {
			conn, err := d.net.Dial(context.Background(), "10.0.1.1", n.host+":80")
			if err != nil {
				continue
			}
			c, in = conn, bufio.NewReader(conn)
		}
		if !d.exchange(c, in, ahead) || !keeps {
			hangUp()
		}
	}
}

// callAfterIdle is a caller whose kept connection lies idle from before the stop until about half of the grace, when it sends again.
func (d *drawnStop) callAfterIdle(n *stoppedNode) {
	time.Sleep(d.draw(0, 2*time.Second))
	c, err := d.net.Dial(context.Background(), "10.0.1.1", n.host+":80")
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	if !d.exchange(c, in, false) {
		return
	}
	time.Sleep(time.Until(d.stopAt.Add(d.draw(stopGrace/2-500*time.Millisecond, stopGrace/2+1500*time.Millisecond))))
	d.exchange(c, in, false)
}

// exchange sends one request, or several ahead, and reads the answers. It returns false once the connection is of no more use.
func (d *drawnStop) exchange(c net.Conn, in *bufio.Reader, ahead bool) bool {
	batch := []*drawnRequest{d.newRequest(!ahead && d.chance(0.4))}
	for ahead && len(batch) < 4 && d.chance(0.7) {
		batch = append(batch, d.newRequest(false))
	}
	slow := d.chance(0.05)
	for i, x := range batch {
		x.isFirst, x.slow, x.sent = i == 0, slow, time.Now()
		if _, err := io.WriteString(c, x.text()); err != nil {
			d.failed(batch[i:], false)
			return false
		}
	}
	if slow {
		time.Sleep(d.draw(0, 2*time.Second))
	}
	_ = c.SetReadDeadline(time.Now().Add(callerLimit))
	for i, x := range batch {
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			timeout, ok := err.(net.Error) //nolint:errorlint // as returned by the connection
			d.failed(batch[i:], ok && timeout.Timeout())
			return false
		}
		d.mu.Lock()
		x.status, x.endpoint, x.at = resp.StatusCode, resp.Header.Get(answeredHeader) != "", time.Now()
		d.mu.Unlock()
		if resp.Close {
			d.failed(batch[i+1:], false)
			return false
		}
	}
	return true
}

func (d *drawnStop) newRequest(unsafe bool) *drawnRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := &drawnRequest{id: fmt.Sprintf("r%d", len(d.requests)), repeatable: !unsafe}
	d.requests[x.id] = x
	return x
}

// text returns the request as it is written.
func (x *drawnRequest) text() string {
	method, length := http.MethodGet, ""
	if !x.repeatable {
		method, length = http.MethodPost, "Content-Length: 0\r\n"
	}
	return method + " /" + x.id + " HTTP/1.1\r\nHost: desk.example\r\nLynxplank-Deadline: " + callerLimit.String() + "\r\n" + length + "\r\n"
}

func (d *drawnStop) failed(list []*drawnRequest, timedOut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range list {
		x.at, x.timedOut = time.Now(), timedOut
	}
}

// judge returns the promises that the callers' node has broken.
func (d *drawnStop) judge(n *stoppedNode) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	end := n.signals.Add(stopGrace)
	var broken []string
	for _, x := range d.requests {
		if why := x.judge(n.signals, end); why != "" {
			broken = append(broken, x.describe(d.start)+": "+why)
		}
	}
	return broken
}

// judge returns which promise was broken of a request to a node with a stop signal whose grace ends at end, "" for none.
func (x *drawnRequest) judge(signaled, end time.Time) string {
	switch {
	case x.timedOut || x.sent.IsZero() || x.at.Before(signaled):
		return ""
	case x.status == 0:
		return x.judgeUnanswered(signaled, end)
	case x.endpoint || x.status == http.StatusServiceUnavailable || x.at.Sub(x.sent) >= callerLimit-100*time.Millisecond:
		return ""
	}
	return x.judgeGivenUp(signaled)
}

// judgeUnanswered judges a request whose connection has ended without a whole answer.
func (x *drawnRequest) judgeUnanswered(signaled, end time.Time) string {
	const crossing = 200 * time.Millisecond
	if x.slow {
		// Nobody saw when the connection ended.
		return ""
	}
	if len(x.runs) == 0 {
		if x.isFirst && x.at.Sub(x.sent) > crossing {
			return "no answer, and no endpoint had it"
		}
		return ""
	}
	for _, run := range x.runs {
		if run.begins.Before(end) && (run.ends.IsZero() || !run.ends.Before(end.Add(-crossing))) {
			if x.sent.After(signaled.Add(stopGrace / 2)) {
				return "taken too late, and cut"
			}
			return ""
		}
	}
	return "no whole answer, and no endpoint was at work on it"
}

// judgeGivenUp judges a request that the node has answered by itself.
func (x *drawnRequest) judgeGivenUp(signaled time.Time) string {
	if !x.repeatable || len(x.runs) >= stopAttempts || !x.at.Before(signaled.Add(stopSettled)) {
		return ""
	}
	for _, run := range x.runs {
		if run.ends.IsZero() || run.cut && run.ends.After(signaled) {
			return "given up while an endpoint was at work, though it might have been sent again"
		}
	}
	return ""
}

func (x *drawnRequest) describe(start time.Time) string {
	text := fmt.Sprintf("%s repeatable %v sent %.3f at %.3f status %d of endpoint %v", x.id, x.repeatable, x.sent.Sub(start).Seconds(), x.at.Sub(start).Seconds(), x.status, x.endpoint)
	for _, run := range x.runs {
		text += fmt.Sprintf(" [%s from %.3f", run.host, run.begins.Sub(start).Seconds())
		if !run.ends.IsZero() {
			text += fmt.Sprintf(" to %.3f cut %v", run.ends.Sub(start).Seconds(), run.cut)
		}
		text += "]"
	}
	return text
}
