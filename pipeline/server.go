package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/shutdown"
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

// Listener accepts the callers' connections; a deadline in the past makes Accept return.
type Listener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

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

	listen   func(ctx context.Context, address string) (Listener, error)
	listener Listener
	draining atomic.Bool
	refusing atomic.Bool
	stopping atomic.Bool
	// stop is the schedule of the node's planned stop, nil for none.
	stop *shutdown.Schedule
	// releasing is set once no answer that is ready may wait for one that is not.
	releasing atomic.Bool
	// acceptDone is closed once the listener is closed and accepts nothing more.
	acceptDone chan struct{}
	// inFlight counts the requests in flight, open the connections.
	inFlight inflight.Counter
	open     atomic.Int64
	// late counts what LateRequests returns.
	late atomic.Int64
	// idleTimeout is the idle timeout by which connections wait, in nanoseconds, 0 until ApplyLimits was called.
	idleTimeout atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server that will listen on address, an IP and port. limits is called for each connection and
// each request, so that changed limits apply to the next ones.
func New(name, address string, limits func() Limits, handler http.Handler, onError ErrorHandler) *Server {
	return &Server{
		name: name, address: address, limits: limits, handler: handler, onError: onError, listen: listenTCP,
		conns: make(map[*conn]struct{}), acceptDone: make(chan struct{}), onPanic: func(any, []byte) {}, reserveBody: func(http.Header) *memory.Reservation { return nil },
	}
}

// OnPanic sets the function that is called when a handler panics; call it before Start.
func (s *Server) OnPanic(f func(value any, stack []byte)) { s.onPanic = f }

// ReserveBodies sets the function that returns, given a request's header, the reservation from which the memory for its
// body is taken. A request whose stated body length does not fit is refused before its body is read. Call it before Start.
func (s *Server) ReserveBodies(f func(h http.Header) *memory.Reservation) { s.reserveBody = f }

// StopBy has the server drain, refuse and release by the bounds of a planned stop, also while nobody calls Drain, Refuse and
// ReleaseBlocked; call it before Start.
func (s *Server) StopBy(schedule *shutdown.Schedule) { s.stop = schedule }

// Start begins to listen. It fails with Unavailable when the address cannot be bound.
func (s *Server) Start(ctx context.Context) error {
	l, err := s.listen(ctx, s.address)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, s.address, s.name+" cannot listen")
	}
	s.listener = l
	go s.accept(l)
	return nil
}

// listenTCP listens on an IP and port.
func listenTCP(ctx context.Context, address string) (Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close()
		return nil, fault.New(fault.Internal, address, "not a TCP listener")
	}
	return tcp, nil
}

// ListenWith sets the function that opens the listener, in place of one for TCP; call it before Start.
func (s *Server) ListenWith(listen func(ctx context.Context, address string) (Listener, error)) {
	s.listen = listen
}

// acceptRetryDelay is the wait after a failed accept, for example when no file descriptor is free.
const acceptRetryDelay = 10 * time.Millisecond

// accept accepts connections until the server stops, then closes the listener.
func (s *Server) accept(l Listener) {
	defer close(s.acceptDone)
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			s.admit(c)
		case s.stopping.Load():
			s.acceptQueued(l)
			_ = l.Close()
			return
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

// admit serves an accepted connection, or closes it if too many are open.
func (s *Server) admit(raw net.Conn) {
	if s.open.Add(1) > int64(s.limits().Conns) {
		s.open.Add(-1)
		_ = raw.Close()
		return
	}
	memory.LimitSocketBuffers(raw)
	c := newConn(s, raw)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go s.serve(c)
}

func (s *Server) serve(c *conn) {
	defer s.open.Add(-1)
	c.serve()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// ApplyLimits has the connections that wait for a request do so by the limits that are in force now; call it when these may have
// changed. All other limits are looked up where they decide.
func (s *Server) ApplyLimits() {
	idle := int64(s.limits().IdleTimeout)
	if s.idleTimeout.Swap(idle) == idle {
		return
	}
	for _, c := range s.openConns() {
		c.recheckIdle()
	}
}

// Drain has each connection closed with its next answer after which no request is pending; requests are still accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// Refuse has every request that is read from now on answered with 503, as not run, and its connection closed. Requests in
// flight continue.
func (s *Server) Refuse() {
	s.Drain()
	s.refusing.Store(true)
}

// ReleaseBlocked cancels, now and from now on, each request that has no answer while the answer of a later request on its
// connection is ready: its handler answers with what it knows, and the answers behind it follow.
//
// It is for the end of a planned stop, when the process may be killed. The kill cuts a request that is at work in any case, and
// would also cut the answers that wait for it.
func (s *Server) ReleaseBlocked() {
	s.releasing.Store(true)
	for _, c := range s.openConns() {
		c.releaseBlocked()
	}
}

func (s *Server) isDraining() bool  { return s.draining.Load() || s.stop.Begun() }
func (s *Server) isReleasing() bool { return s.releasing.Load() || s.stop.Settled() }

// accepts reports whether a request that was read at a time is passed to the handler.
func (s *Server) accepts(ctx context.Context, readAt time.Time) bool {
	return !s.refusing.Load() && s.stop.Accepts(ctx, readAt)
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

// Blocked returns the labels of the requests whose answers are ready to be written, at least in part, and wait for the answer of
// an earlier request on their connection; the label of a request without one is empty.
func (s *Server) Blocked() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var labels []string
	for c := range s.conns {
		labels = c.appendBlocked(labels)
	}
	return labels
}
