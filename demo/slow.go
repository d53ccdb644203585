package demo

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/header"
)

// SlowCalls says what callers ask for that send large bodies, or read large answers slowly, each on a connection of its own.
type SlowCalls struct {
	// Path is what they ask for, Body the length of what they send; 0 sends a GET.
	Path string
	Body int
	// Rate is how many bytes of its answer each reads in a second.
	Rate int
}

// SlowCallers are callers of one node that are under way.
type SlowCallers struct {
	SlowCalls
	target string
	wg     sync.WaitGroup
	mu     sync.Mutex
	conns  []net.Conn
	// statuses counts the answers whose head has come.
	statuses map[int]int
}

const (
	// slowDeadline is how long a slow caller's request may take.
	slowDeadline = "20s"
	// slowBuffer is what a slow caller's system takes for it unread, in bytes.
	slowBuffer = 4 << 10
	slowSteps  = 10
)

// NewSlowCallers returns callers of a node's address.
func NewSlowCallers(target string, calls SlowCalls) *SlowCallers {
	return &SlowCallers{SlowCalls: calls, target: target, statuses: make(map[int]int)}
}

// Start has n of them begin; they go on until Close, each with one request.
func (s *SlowCallers) Start(n int) error {
	for range n {
		c, err := net.Dial("tcp", s.target) //nolint:noctx // loopback
		if err != nil {
			return fault.Wrap(err, fault.Unavailable, s.target, "takes no connection")
		}
		_ = c.(*net.TCPConn).SetReadBuffer(slowBuffer) //nolint:forcetypeassert // dialed as TCP
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		s.wg.Go(func() { s.call(c) })
	}
	return nil
}

// call sends a request and reads its answer as slowly as the callers do.
func (s *SlowCallers) call(c net.Conn) {
	method := http.MethodGet
	if s.Body > 0 {
		method = http.MethodPost
	}
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: slow\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", method, s.Path, header.Deadline, slowDeadline, s.Body)
	if err != nil {
		return
	}
	// A refused body is not read to its end; the answer tells.
	go func() { _, _ = c.Write(make([]byte, s.Body)) }()
	r := bufio.NewReaderSize(c, slowBuffer)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.statuses[resp.StatusCode]++
	s.mu.Unlock()
	for err == nil {
		_, err = io.CopyN(io.Discard, resp.Body, int64(max(s.Rate/slowSteps, 1)))
		time.Sleep(time.Second / slowSteps)
	}
}

// Statuses returns how many answers of each status have begun.
func (s *SlowCallers) Statuses() map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[int]int, len(s.statuses))
	for status, n := range s.statuses {
		out[status] = n
	}
	return out
}

// Close ends them all.
func (s *SlowCallers) Close() {
	s.mu.Lock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
