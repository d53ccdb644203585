package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

const (
	// largeBody is more than the sockets between a caller and the server hold, in bytes.
	largeBody = 4 << 20
	// unread is less than the server's socket holds, and more than the caller's.
	unread = 32 << 10
)

// serveSlow starts a server with some idle time, and a caller that holds little unread.
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

// TestStopLeavesLastAnswersWhole tells of answers that were reset in their middle although their endpoints had ended well. A caller had sent
// the next request before it had read the whole answer; the stop found no request under way, closed the connection under the unread bytes, and
// that resets it.
//
// The caller here reads all but the end of its answer, sends once more after the stop has closed the listener, and then reads on.
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

// TestShorterIdleTimeKeepsAnswers tells of slow callers whose answers were reset in their middle after an operator had shortened the idle time of
// callers' connections: each write of an answer had that time as its limit.
//
// The caller here reads nothing for longer than the new idle time, and then the whole answer.
func TestShorterIdleTimeKeepsAnswers(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(time.Minute))
	begun := make(chan struct{})
	_, c := serveSlow(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(largeBody))
		_ = http.NewResponseController(w).Flush()
		close(begun)
		for range largeBody / heldAnswer {
			_, _ = w.Write(make([]byte, heldAnswer))
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

// TestIdleTimeBeginsWithTheLastAnswer tells of kept connections that were closed right after an answer, under requests that crossed the close:
// their idle time was counted from the request on, the time of its work included.
//
// The first request here takes most of the idle time, and the caller rests for less than it afterwards.
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
