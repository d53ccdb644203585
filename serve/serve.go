package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"github.com/lynxplank/lynxplank/fault"
)

const (
	// never is longer than any process lives: go-zero's own end of the process must not come first.
	never         = 1000 * 24 * time.Hour
	startTimeout  = 5 * time.Second
	startPause    = 2 * time.Millisecond
	defaultHeader = 64 << 10
	defaultConns  = 10000
)

// Limits bound what one listener takes from its clients.
type Limits struct {
	// HeaderBytes is the most that a request's header may hold.
	HeaderBytes int
	// Conns is the most connections held at once; further ones are closed at once.
	Conns int
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
}

// DefaultLimits returns the limits of a listener whose settings say nothing.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:   defaultHeader,
		Conns:         defaultConns,
		HeaderTimeout: 10 * time.Second,
		IdleTimeout:   2 * time.Minute,
	}
}

// Server is one HTTP listener; it is a kernel component.
type Server struct {
	name    string
	address netip.AddrPort
	limits  Limits
	routes  []rest.Route
	handler http.Handler
	http    *http.Server
	open    atomic.Int64
	done    chan error
}

// Option changes a server under construction.
type Option func(*Server)

// WithLimits replaces the default limits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithHandler hands every request to one handler, whatever its method and path.
func WithHandler(h http.Handler) Option { return func(s *Server) { s.handler = h } }

// WithRoutes adds routes of go-zero's router.
func WithRoutes(routes ...rest.Route) Option {
	return func(s *Server) { s.routes = append(s.routes, routes...) }
}

// New returns a server for an IP and port.
func New(name string, address netip.AddrPort, opts ...Option) *Server {
	s := &Server{name: name, address: address, limits: DefaultLimits(), done: make(chan error, 1)}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

func (s *Server) conf() rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     s.name,
			Log:      logx.LogConf{Mode: "console", Level: "severe"},
			Mode:     service.ProMode,
			Shutdown: proc.ShutdownConf{WrapUpTime: never, WaitTime: never + never},
		},
		Host: s.address.Addr().String(),
		Port: int(s.address.Port()),
	}
}

// Start listens and returns once connections are taken, Unavailable when the address cannot be had.
func (s *Server) Start(ctx context.Context) error {
	var opts []rest.RunOption
	if s.handler != nil {
		opts = append(opts, rest.WithRouter(catchAll{s.handler}))
	}
	server, err := rest.NewServer(s.conf(), opts...)
	if err != nil {
		return fault.Wrap(err, fault.Internal, s.name, "listener cannot be built")
	}
	logx.Disable()
	server.AddRoutes(s.routes)
	ready := make(chan struct{})
	go s.run(server, ready)
	select {
	case <-ready:
	case err := <-s.done:
		return s.listenError(err)
	}
	return s.waitListening(ctx)
}

func (s *Server) run(server *rest.Server, ready chan<- struct{}) {
	defer func() {
		if p := recover(); p != nil {
			err, ok := p.(error)
			if !ok {
				err = fault.New(fault.Internal, s.name, "listener panicked")
			}
			s.done <- err
			return
		}
		s.done <- http.ErrServerClosed
	}()
	server.StartWithOpts(func(h *http.Server) {
		s.limit(h)
		s.http = h
		close(ready)
	})
}

func (s *Server) limit(h *http.Server) {
	h.MaxHeaderBytes = s.limits.HeaderBytes
	h.ReadHeaderTimeout = s.limits.HeaderTimeout
	h.IdleTimeout = s.limits.IdleTimeout
	h.ConnState = s.countConn
}

func (s *Server) countConn(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.open.Add(1) > int64(s.limits.Conns) {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

func (s *Server) waitListening(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var d net.Dialer
	for {
		select {
		case err := <-s.done:
			return s.listenError(err)
		case <-ctx.Done():
			return s.listenError(ctx.Err())
		case <-time.After(startPause):
		}
		c, err := d.DialContext(ctx, "tcp", s.address.String())
		if err == nil {
			return c.Close()
		}
	}
}

func (s *Server) listenError(err error) error {
	return fault.Wrap(err, fault.Unavailable, s.address.String(), s.name+" cannot listen")
}

// Stop takes nothing new, waits for the requests in flight as long as ctx allows, then cuts what is left.
func (s *Server) Stop(ctx context.Context) error {
	if s.http == nil {
		return nil
	}
	err := s.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		_ = s.http.Close()
		return fault.Wrap(err, fault.DeadlineExceeded, s.name, "requests in flight were cut")
	}
	return nil
}

// catchAll is a router that asks no route: the proxied paths are the table's matter.
type catchAll struct {
	http.Handler
}

// Handle is part of the router's interface; there are no routes to add.
func (catchAll) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler is part of the router's interface; nothing is ever not found.
func (catchAll) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler is part of the router's interface; every method is allowed.
func (catchAll) SetNotAllowedHandler(http.Handler) {}
