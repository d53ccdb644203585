package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/standin/network"
)

const (
	limitsAddress = "10.0.0.1:80"
	// limitsLength is how long a run of drawn limits lasts, limitsDelay the delay of its network.
	limitsLength = 5 * time.Minute
	limitsDelay  = time.Millisecond
	// limitsSlack is the time within which a change of the idle timeout takes effect.
	limitsSlack = 50 * time.Millisecond
	// properPart of a time limit is what callers use of it at most.
	properPart = 0.8
)

// limitsRun is a server whose limits change while callers send requests, in virtual time.
type limitsRun struct {
	net *network.Network

	mu     sync.Mutex
	random *rand.Rand
	// history are the limits with the times from which they were in force.
	history []limitsSince
	// proper and improper count the requests that all limits allowed, and that none did; closed the idle connections.
	proper, improper, closed int
	violations               []string
}

type limitsSince struct {
	Limits
	since time.Time
}

func (r *limitsRun) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// duration draws a time below a bound.
func (r *limitsRun) duration(below time.Duration) time.Duration {
	return time.Duration(r.intN(int(below.Microseconds())+1)) * time.Microsecond
}

func (r *limitsRun) now() Limits {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history[len(r.history)-1].Limits
}

func (r *limitsRun) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// during returns the limits that were in force in a period.
func (r *limitsRun) during(from, until time.Time) (list []Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, l := range r.history {
		if !l.since.After(until) && (i+1 == len(r.history) || !r.history[i+1].since.Before(from)) {
			list = append(list, l.Limits)
		}
	}
	return list
}

// idleTimeout returns the idle timeout in force at a time, and since when it was.
func (r *limitsRun) idleTimeout(at time.Time) (timeout time.Duration, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.history {
		if !l.since.After(at) && l.IdleTimeout != timeout {
			timeout, since = l.IdleTimeout, l.since
		}
	}
	return timeout, since
}

// closesInTime reports whether a connection that is idle since a time may be closed at another one: not before the idle timeout in
// force has passed, and at once then, or after the grace of its last change.
func (r *limitsRun) closesInTime(idleSince, at time.Time) bool {
	// A change may have come while the end of the connection was on its way.
	for _, known := range []time.Time{at, at.Add(-limitsSlack)} {
		timeout, since := r.idleTimeout(known)
		first, last := idleSince.Add(timeout), since.Add(idleGrace)
		if last.Before(first) {
			last = first
		}
		if !at.Before(first.Add(-limitsSlack)) && !at.After(last.Add(limitsSlack)) {
			return true
		}
	}
	return false
}

// change changes one of the limits, up or down.
func (r *limitsRun) change(s *Server) {
	next := r.now()
	switch r.intN(4) {
	case 0:
		next.HeaderBytes = []int{1 << 10, 8 << 10, 32 << 10}[r.intN(3)]
	case 1:
		next.BodyBytes = []int64{1 << 10, 16 << 10, 64 << 10}[r.intN(3)]
	case 2:
		next.HeaderTimeout = []time.Duration{time.Second, 3 * time.Second}[r.intN(2)]
	default:
		next.IdleTimeout = []time.Duration{2 * time.Second, 5 * time.Second, 15 * time.Second}[r.intN(3)]
	}
	r.mu.Lock()
	r.history = append(r.history, limitsSince{next, time.Now()})
	r.mu.Unlock()
	s.ApplyLimits()
}

// sentRequest is a request as a caller has sent it, in parts with pauses between them.
type sentRequest struct {
	header, body int
	begin        time.Time
	// headTook is how long it took to send the header, mostPause the longest pause within the body.
	headTook, mostPause time.Duration
}

// allows reports whether a request is within limits, exceeds whether its header and its body are beyond them; the read buffer may add
// to a header.
func (l Limits) allows(q sentRequest) bool {
	limit := time.Duration(properPart * float64(l.HeaderTimeout))
	return q.header <= l.HeaderBytes && int64(q.body) <= l.BodyBytes && q.headTook <= limit && q.mostPause <= limit
}

func (l Limits) exceeds(q sentRequest) (header, body bool) {
	return q.header > l.HeaderBytes+2*readBuffer, int64(q.body) > l.BodyBytes
}

// send sends a drawn request on a connection.
func (r *limitsRun) send(c net.Conn, id string) (q sentRequest, err error) {
	q.header, q.body = []int{200, 7 << 10, 30 << 10}[r.intN(3)], []int{0, 900, 15 << 10, 60 << 10}[r.intN(4)]
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nX-A: ", id, q.body)
	head += strings.Repeat("a", q.header-len(head)-len("\r\n\r\n")) + "\r\n\r\n"
	slow := r.intN(2) == 0
	q.begin = time.Now()
	pause := func() time.Duration {
		if !slow {
			return 0
		}
		d := r.duration(1200 * time.Millisecond)
		time.Sleep(d)
		return d
	}
	write := func(text string) {
		if err == nil {
			_, err = io.WriteString(c, text)
		}
	}
	at := 1 + r.intN(len(head)-1)
	write(head[:at])
	pause()
	write(head[at:])
	q.headTook = time.Since(q.begin)
	if q.body == 0 {
		return q, err
	}
	at = 1 + r.intN(q.body-1)
	q.mostPause = pause()
	write(strings.Repeat("b", at))
	q.mostPause = max(q.mostPause, pause())
	write(strings.Repeat("b", q.body-at))
	return q, err
}

// call runs a caller that keeps its connection for as long as it may.
func (r *limitsRun) call(ctx context.Context, name string) {
	var c net.Conn
	var in *bufio.Reader
	idleSince := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		if c != nil && r.intN(4) == 0 {
			r.awaitClose(ctx, c, idleSince)
			c = nil
		}
		if c == nil {
			var err error
			if c, err = r.net.Dial(ctx, "10.0.1.1", limitsAddress); err != nil {
				return
			}
			in, idleSince = bufio.NewReader(c), time.Now()
		}
		time.Sleep(r.duration(time.Duration(properPart * float64(r.now().IdleTimeout))))
		if !r.mayReuse(idleSince) {
			_ = c.Close()
			c = nil
			continue
		}
		if !r.exchange(ctx, c, in, fmt.Sprintf("%s-%d", name, i)) {
			_ = c.Close()
			c = nil
		}
		idleSince = time.Now()
	}
	if c != nil {
		_ = c.Close()
	}
}

// mayReuse reports whether a connection that is idle since a time is reused: it has rested for less than the idle timeouts that its
// caller may know of.
func (r *limitsRun) mayReuse(idleSince time.Time) bool {
	for _, l := range r.during(idleSince, time.Now().Add(-idleGrace/2)) {
		if time.Since(idleSince) > time.Duration(properPart*float64(l.IdleTimeout)) {
			return false
		}
	}
	return true
}

// exchange sends a request, checks its answer, and reports whether the connection can carry another one.
func (r *limitsRun) exchange(ctx context.Context, c net.Conn, in *bufio.Reader, id string) bool {
	// A refusal may end the connection before the whole request is sent.
	q, _ := r.send(c, id)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	status := 0
	resp, err := http.ReadResponse(in, nil)
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	if ctx.Err() != nil {
		return false
	}
	proper, headerExceeds, bodyExceeds := true, true, true
	for _, l := range r.during(q.begin.Add(-limitsSlack), time.Now()) {
		header, body := l.exceeds(q)
		proper, headerExceeds, bodyExceeds = proper && l.allows(q), headerExceeds && header, bodyExceeds && body
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case proper:
		if r.proper++; status != http.StatusOK {
			r.violations = append(r.violations, fmt.Sprintf("%s, %+v, allowed by all limits: got %d %v, want 200", id, q, status, err))
		}
	case headerExceeds, bodyExceeds:
		if r.improper++; status == http.StatusOK {
			r.violations = append(r.violations, fmt.Sprintf("%s, %+v, allowed by no limits: got 200, want it refused", id, q))
		}
	}
	return status == http.StatusOK && !resp.Close
}

// awaitClose waits until the server closes an idle connection and checks when it does.
func (r *limitsRun) awaitClose(ctx context.Context, c net.Conn, idleSince time.Time) {
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	_, err := c.Read(make([]byte, 1))
	at := time.Now()
	_ = c.Close()
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	r.closed++
	r.mu.Unlock()
	if err != io.EOF || !r.closesInTime(idleSince, at) { //nolint:errorlint // documented to be returned bare
		timeout, since := r.idleTimeout(at)
		r.violate("connection closed after %v, %v, with a timeout of %v since %v", at.Sub(idleSince), err, timeout, at.Sub(since))
	}
}

// TestLimitsDecideWhenTheyAreUsed guards against requests that are refused by limits of an older configuration, which a connection
// took before it waited: each limit changes at any point of a connection's life, up and down.
func TestLimitsDecideWhenTheyAreUsed(t *testing.T) {
	proper, improper, closed := 0, 0, 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			r := &limitsRun{net: network.New(limitsDelay), random: rand.New(rand.NewPCG(seed, 0))}
			r.history = []limitsSince{{Limits{HeaderBytes: 8 << 10, BodyBytes: 16 << 10, Conns: 100, HeaderTimeout: 3 * time.Second, IdleTimeout: 5 * time.Second}, time.Now()}}
			ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
			s := New("test", limitsAddress, r.now, ok, func(w http.ResponseWriter, _ http.Header, status int, _ *fault.Error) { w.WriteHeader(status) })
			s.ListenWith(func(_ context.Context, address string) (Listener, error) { return r.net.Listen(address) })
			if err := s.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			s.ApplyLimits()
			ctx, cancel := context.WithTimeout(t.Context(), limitsLength)
			var running sync.WaitGroup
			for i := range 5 {
				running.Go(func() { r.call(ctx, fmt.Sprint("c", i)) })
			}
			for ctx.Err() == nil {
				time.Sleep(r.duration(4 * time.Second))
				r.change(s)
			}
			running.Wait()
			cancel()
			stop, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_ = s.Stop(stop)
			for _, v := range r.violations[:min(len(r.violations), 5)] {
				t.Errorf("seed %d: %s", seed, v)
			}
			proper, improper, closed = proper+r.proper, improper+r.improper, closed+r.closed
		})
	}
	if proper < 100 || improper < 100 || closed < 100 {
		t.Errorf("drawn: got %d requests that all limits allow, %d that none does and %d closed connections, want 100 of each", proper, improper, closed)
	}
	t.Logf("%d requests that all limits allow, %d that none does, %d closed connections", proper, improper, closed)
}
