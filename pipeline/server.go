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

// Limits bound what the listener takes from its callers; they may change while it runs.
type Limits struct {
	// HeaderBytes is the most that a request's header may hold.
	HeaderBytes int
	// BodyBytes is the most that a request's body may hold.
	BodyBytes int64
	// Conns is the most connections held at once; further ones are closed at once.
	Conns int
	// HeaderTimeout bounds the reading of a request's header, and each wait for a part of its body.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
}

// ErrorHandler answers a request that could not be read or is not taken; h is its header, nil where it could not be read,
// status is what HTTP calls the failure.
type ErrorHandler func(w http.ResponseWriter, h http.Header, status int, err *fault.Error)

// Server is the callers' listener; it is a kernel component.
type Server struct {
	name    string
	address string
	limits  func() Limits
	handler http.Handler
	onError ErrorHandler
	onPanic func(value any, stack []byte)
	// hold takes room for a request's body, by its header.
	hold func(h http.Header) *memory.Reservation

	listener net.Listener
	closing  atomic.Bool
	refusing atomic.Bool
	// flight counts the requests under way, open the connections.
	flight inflight.Counter
	open   atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server for an IP and port.
func New(name, address string, limits func() Limits, handler http.Handler, onError ErrorHandler) *Server {
	return &Server{
		name: name, address: address, limits: limits, handler: handler, onError: onError,
		conns: make(map[*conn]struct{}), onPanic: func(any, []byte) {}, hold: func(http.Header) *memory.Reservation { return nil },
	}
}

// OnPanic has f told of a handler that panicked; call it before Start.
func (s *Server) OnPanic(f func(value any, stack []byte)) { s.onPanic = f }

// HoldBodies has f give the room for a request's body, by its header; a request without room is refused before its body is read. Call it
// before Start.
func (s *Server) ReserveBodies(f func(h http.Header) *memory.Reservation) { s.hold = f }

// Start listens, Unavailable when the address cannot be had.
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

// acceptPause is the wait after a failed accept, such as one without a free descriptor.
const acceptPause = 10 * time.Millisecond

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
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

// Drain makes each connection's next answer its last; requests are still taken.
func (s *Server) Drain() { s.closing.Store(true) }

// Refuse answers every request that is read from now on with 503, as not run, and closes its connection; what is under
// way goes on.
func (s *Server) Refuse() {
	s.Drain()
	s.refusing.Store(true)
}

// Working returns the number of requests under way.
func (s *Server) InFlight() int64 { return s.flight.Load() }

// Behind returns the number of requests that were read and have not begun, as another one on their connection has no answer yet.
func (s *Server) Unstarted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.behind()
	}
	return n
}

// Stop takes no new connections, waits for the requests in flight as long as ctx allows, then closes what is left.
//
// Connections whose last answers are on their way go on discarding what their callers send: closed under unread bytes they would be reset, and
// the answers lost.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	if s.listener == nil {
		return nil
	}
	err := s.flight.Wait(ctx, s.name)
	_ = s.listener.Close()
	for _, c := range s.all() {
		if !c.lingering() {
			c.end(nil)
		}
	}
	s.awaitClosed(ctx)
	for _, c := range s.all() {
		c.end(nil)
	}
	return err
}

// all returns the connections that are open.
func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// awaitClosed waits for the last connections, each of which closes by itself after lingerLimit.
func (s *Server) awaitClosed(ctx context.Context) {
	tick := time.NewTicker(closedLook)
	defer tick.Stop()
	for len(s.all()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// closedLook is the time between two looks at whether connections are still open.
const closedLook = 5 * time.Millisecond
