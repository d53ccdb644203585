package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

const (
	// largeBody is a size in bytes that exceeds the socket buffers between a caller and the server.
	largeBody = 4 << 20
	// unread is a size in bytes below that of the server's send buffer and above that of the caller's receive buffer.
	unread = 32 << 10
)

// serveSlow starts a server with the given idle timeout, and connects a caller with a small receive buffer.
func serveSlow(t *testing.T, handler http.HandlerFunc, idle func() time.Duration) (*Server, net.Conn) {
	t.Helper()
	limits := func() Limits {
		return Limits{HeaderBytes: 1024, BodyBytes: 64, Conns: 10, HeaderTimeout: time.Second, IdleTimeout: idle()}
	}
	s := New("test", "127.0.0.1:0", limits, handler, func(w http.ResponseWriter, _ http.Header, status int, _ *fault.Error) { w.WriteHeader(status) })
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	c, err := d.DialContext(t.Context(), "tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return s, c
}

// TestStopLeavesLastAnswersWhole guards against a stop that resets connections in the middle of an answer. It comes about
// when a caller sends its next request before it has read the whole answer: the server has no request in flight any more
// and closes a socket that holds unread bytes, which resets the connection.
//
// The caller here reads all but the end of its answer, sends another request after the stop has closed the listener, and
// then reads the rest.
func TestStopLeavesLastAnswersWhole(t *testing.T) {
	s, c := serveSlow(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(largeBody))
		_, _ = w.Write(make([]byte, largeBody))
	}, func() time.Duration { return time.Minute })
	s.Drain()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReaderSize(c, 1024)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	read, err := io.CopyN(io.Discard, resp.Body, largeBody-unread)
	if err != nil {
		t.Fatal(err)
	}
	for s.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	for closed := false; !closed; {
		other, err := net.Dial("tcp", s.listener.Addr().String())
		if closed = err != nil; !closed {
			_ = other.Close()
		}
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	rest, err := io.Copy(io.Discard, resp.Body)
	if got, want := read+rest, int64(largeBody); got != want || err != nil {
		t.Errorf("answer: got %d bytes and %v, want %d and none", got, err, want)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: got %v, want none", err)
	}
}

// TestLastAnswerOutlastsReadDeadline guards against last answers that are cut while they are written: the read deadline of a kept
// connection, which counts from when the request was read, passes after the answer that closes the connection has begun.
//
// The caller here reads nothing for longer than the idle timeout, and then the whole answer.
func TestLastAnswerOutlastsReadDeadline(t *testing.T) {
	const idle = 50 * time.Millisecond
	s, c := serveSlow(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(largeBody))
		_, _ = w.Write(make([]byte, largeBody))
	}, func() time.Duration { return idle })
	s.Drain()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * idle)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if got, err := io.Copy(io.Discard, resp.Body); got != largeBody || err != nil || !resp.Close {
		t.Errorf("last answer: got %d bytes, %v, close %v, want %d, none, true", got, err, resp.Close, largeBody)
	}
}

// TestShorterIdleTimeKeepsAnswers guards against answers to slow callers that are reset in the middle after an operator
// has shortened the idle timeout: it comes about when that timeout also bounds each write of an answer.
//
// The caller here reads nothing for longer than the new idle timeout, and then the whole answer.
func TestShorterIdleTimeKeepsAnswers(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(time.Minute))
	begun := make(chan struct{})
	_, c := serveSlow(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(largeBody))
		_ = http.NewResponseController(w).Flush()
		close(begun)
		for range largeBody / answerBuffer {
			_, _ = w.Write(make([]byte, answerBuffer))
		}
	}, func() time.Duration { return time.Duration(idle.Load()) })
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-begun
	idle.Store(int64(time.Millisecond))
	time.Sleep(100 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	read, err := io.Copy(io.Discard, resp.Body)
	if got, want := read, int64(largeBody); got != want || err != nil {
		t.Errorf("answer: got %d bytes and %v, want %d and none", got, err, want)
	}
}

// TestIdleTimeBeginsWithTheLastAnswer guards against connections that are closed right after an answer while the caller's
// next request is on its way: it comes about when the idle timeout begins with the previous request, so that the time of
// its handling counts as idle.
//
// The first request here takes most of the idle timeout, and the caller then waits for less than the timeout.
func TestIdleTimeBeginsWithTheLastAnswer(t *testing.T) {
	t.Parallel()
	const idle = 4 * time.Second
	work := idle - idle/8
	_, c := serveSlow(t, func(http.ResponseWriter, *http.Request) {
		time.Sleep(work)
		work = 0
	}, func() time.Duration { return idle })
	in := bufio.NewReader(c)
	for i := range 2 {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("answer %d: got %v, want one", i+1, err)
		}
		_ = resp.Body.Close()
		time.Sleep(idle / 4)
	}
}

// serveGated starts a server whose limits cannot be read while the returned gate is closed: it then neither accepts
// connections nor reads requests, like a process that is suspended. Callers have sent a whole request each.
func serveGated(t *testing.T, idle time.Duration, callers int) (s *Server, gate chan struct{}, conns []net.Conn) {
	t.Helper()
	gate = make(chan struct{})
	limits := func() Limits {
		<-gate
		return Limits{HeaderBytes: 1024, BodyBytes: 64, Conns: callers, HeaderTimeout: time.Second, IdleTimeout: idle}
	}
	s = New("test", "127.0.0.1:0", limits, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		func(w http.ResponseWriter, _ http.Header, status int, _ *fault.Error) { w.WriteHeader(status) })
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range callers {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	return s, gate, conns
}

// checkAnswers checks that each caller receives an answer with the wanted status.
func checkAnswers(t *testing.T, conns []net.Conn, want int) {
	t.Helper()
	for i, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("request %d: got %v, want an answer", i, err)
			continue
		}
		_ = resp.Body.Close()
		if got := resp.StatusCode; got != want {
			t.Errorf("request %d: got status %d, want %d", i, got, want)
		}
	}
}

// TestStopAnswersUnreadRequests guards against requests that are closed without an answer by a stop that finds none in
// flight: they have arrived, but their connections wait in the listener's queue or have not been read.
func TestStopAnswersUnreadRequests(t *testing.T) {
	t.Parallel()
	s, gate, conns := serveGated(t, time.Minute, 8)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	close(gate)
	checkAnswers(t, conns, http.StatusServiceUnavailable)
	if err := <-stopped; err != nil {
		t.Errorf("stop: got %v, want none", err)
	}
}

// TestStopRefusesPartialRequests guards against a stop that waits for requests whose rest does not come, or closes their
// connections without an answer.
func TestStopRefusesPartialRequests(t *testing.T) {
	t.Parallel()
	s, c := serveSlow(t, func(http.ResponseWriter, *http.Request) {}, func() time.Duration { return time.Minute })
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo"); err != nil {
		t.Fatal(err)
	}
	for len(s.openConns()) == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("answer: got %v, want one", err)
	}
	_ = resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: got %v, want none", err)
	}
}

// TestExpiredIdleTimeoutLosesNoRequest guards against requests that are closed without an answer because the idle timeout
// passed before they were read, for example while the process was suspended.
func TestExpiredIdleTimeoutLosesNoRequest(t *testing.T) {
	t.Parallel()
	_, gate, conns := serveGated(t, time.Nanosecond, 8)
	close(gate)
	checkAnswers(t, conns, http.StatusOK)
}

// lateDeadlineConn is a connection on which the deadline of an earlier read passes as the lingering begins.
type lateDeadlineConn struct {
	net.Conn
	c        *conn
	reads    int
	deadline time.Time
}

// Read implements net.Conn.
func (l *lateDeadlineConn) Read([]byte) (int, error) {
	if l.reads++; l.reads == 1 {
		l.c.linger()
	} else {
		time.Sleep(time.Until(l.deadline))
	}
	return 0, os.ErrDeadlineExceeded
}

// SetReadDeadline implements net.Conn.
func (l *lateDeadlineConn) SetReadDeadline(at time.Time) error {
	l.deadline = at
	return nil
}

// TestEarlierDeadlineEndsNoLingering guards against last answers that are lost because the connection is closed as its lingering
// begins, by a read deadline that a stop has set before.
func TestEarlierDeadlineEndsNoLingering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		raw := new(lateDeadlineConn)
		c := newConn(new(Server), raw)
		raw.c = c
		begin := time.Now()
		c.discardRest()
		if got, want := time.Since(begin), lingerTimeout; got != want {
			t.Errorf("lingered for %v, want %v", got, want)
		}
	})
}
