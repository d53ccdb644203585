package pipeline

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/memory"
)

// Limits bound the requests and connections that the server accepts from callers. They may change while it runs.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64
	// Conns is the maximum number of open connections; additional ones are closed as soon as they are accepted.
	Conns int
	// HeaderTimeout bounds the reading of a request's header, and each read of a part of its body.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a pending request may wait for its next one.
	IdleTimeout time.Duration
}

// ErrorHandler answers a request that could not be read or is not accepted. h is the request's header, nil if it could not
// be read; status is the HTTP status for the failure.
type ErrorHandler func(w http.ResponseWriter, h http.Header, status int, err *fault.Error)

// Server is the HTTP/1.1 server for callers; it is a kernel component.
type Server struct {
	name    string
	address string
	limits  func() Limits
	handler http.Handler
	onError ErrorHandler
	onPanic func(value any, stack []byte)
	// reserveBody returns the reservation from which the memory for a request's body is taken, given the request's header.
	reserveBody func(h http.Header) *memory.Reservation

	listener net.Listener
	draining atomic.Bool
	refusing atomic.Bool
	// inFlight counts the requests in flight, open the connections.
	inFlight inflight.Counter
	open     atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server that will listen on address, an IP and port. limits is called for each connection and
// each request, so that changed limits apply to the next ones.
func New(name, address string, limits func() Limits, handler http.Handler, onError ErrorHandler) *Server {
	return &Server{
		name: name, address: address, limits: limits, handler: handler, onError: onError,
		conns: make(map[*conn]struct{}), onPanic: func(any, []byte) {}, reserveBody: func(http.Header) *memory.Reservation { return nil },
	}
}

// OnPanic sets the function that is called when a handler panics; call it before Start.
func (s *Server) OnPanic(f func(value any, stack []byte)) { s.onPanic = f }

// ReserveBodies sets the function that returns, given a request's header, the reservation from which the memory for its
// body is taken. A request whose stated body length does not fit is refused before its body is read. Call it before Start.
func (s *Server) ReserveBodies(f func(h http.Header) *memory.Reservation) { s.reserveBody = f }

// Start begins to listen. It fails with Unavailable when the address cannot be bound.
func (s *Server) Start(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", s.address)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, s.address, s.name+" cannot listen")
	}
	s.listener = l
	go s.accept(l)
	return nil
}

// acceptRetryDelay is the wait after a failed accept, for example when no file descriptor is free.
const acceptRetryDelay = 10 * time.Millisecond

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if s.open.Add(1) > int64(s.limits().Conns) {
			s.open.Add(-1)
			_ = c.Close()
			continue
		}
		go s.serve(c)
	}
}

func (s *Server) serve(raw net.Conn) {
	defer s.open.Add(-1)
	memory.LimitSocketBuffers(raw)
	c := newConn(s, raw)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	c.serve()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Drain has each connection closed with its next answer after which no request is pending; requests are still accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// Refuse has every request that is read from now on answered with 503, as not run, and its connection closed. Requests in
// flight continue.
func (s *Server) Refuse() {
	s.Drain()
	s.refusing.Store(true)
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Unstarted returns the number of requests that have been read but whose handler has not been started, because an earlier
// request of their connection has not been answered yet.
func (s *Server) Unstarted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.unstarted()
	}
	return n
}

// Stop drains the server, waits for the requests in flight as long as ctx allows, then closes the listener and the
// remaining connections.
//
// Connections that linger, because their last answer may not have been read yet, continue to discard what their callers
// send until they close by themselves or ctx ends: closing a socket that holds unread bytes resets the connection, and the
// answer would be lost.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	if s.listener == nil {
		return nil
	}
	err := s.inFlight.Wait(ctx, s.name)
	_ = s.listener.Close()
	for _, c := range s.openConns() {
		if !c.lingering() {
			c.shutdown(nil)
		}
	}
	s.awaitClosed(ctx)
	for _, c := range s.openConns() {
		c.shutdown(nil)
	}
	return err
}

// openConns returns the open connections.
func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// awaitClosed waits until the lingering connections are closed; each closes by itself after lingerTimeout at the latest.
func (s *Server) awaitClosed(ctx context.Context) {
	tick := time.NewTicker(closedPollInterval)
	defer tick.Stop()
	for len(s.openConns()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// closedPollInterval is the interval at which awaitClosed checks whether connections are still open.
const closedPollInterval = 5 * time.Millisecond
