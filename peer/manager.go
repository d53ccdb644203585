package peer

import (
	"context"
	"crypto/tls"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/table"
)

// Config is what the links of a node are built from.
type Config struct {
	// Node is this node's id.
	Node string
	// Hall is this node's hall.
	Hall string
	// Incarnation tells this process from earlier ones of the same node.
	Incarnation uint64
	// Listen is the IP and port for peers.
	Listen string
	// Heartbeat is the time between beats.
	Heartbeat time.Duration
	// CutAfter is how long an echo may take before the link gets no new work.
	EchoTimeout time.Duration
	// IdleClose is how long a link may carry nothing before it is closed.
	IdleTimeout time.Duration
	// Conns bounds the peers connected at once.
	MaxConns int
	// TLS is set for mutual TLS.
	TLS *tls.Config
}

const (
	// dialTimeout bounds the opening of a link, and its handshake on either side.
	dialTimeout = time.Second
	// writeTimeout bounds one write to a link.
	writeTimeout = 2 * time.Second
	// acceptBacklog is how many streams of one link may wait to be served.
	acceptBacklog = 1024
	// streamWindow is how much of a stream may be on its way unread, in bytes: the least that yamux takes. An answer's own window is
	// smaller.
	streamWindow = 256 << 10
	// streamOpenLimit is long: the heartbeat judges a silent peer, and this must not cut what a frozen one may still
	// answer.
	streamOpenLimit = 30 * time.Second
	// leaveBeats is how many heartbeats peers have to read their last answers and close, mostLeave the longest such time:
	// an answer takes a few round trips at most.
	leaveBeats = 4
	mostLeave  = 250 * time.Millisecond
	// closeLook is the time between two looks whether they have.
	closeLook = time.Millisecond
)

func (c Config) mux() *yamux.Config {
	y := yamux.DefaultConfig()
	y.EnableKeepAlive = false
	y.AcceptBacklog = acceptBacklog
	y.ConnectionWriteTimeout = writeTimeout
	y.StreamOpenTimeout = streamOpenLimit
	y.MaxStreamWindowSize = streamWindow
	y.LogOutput = io.Discard
	return y
}

// Manager holds every link of a node; it is a kernel component.
type Manager struct {
	cfg      Config
	log      *zerolog.Logger
	handler  Handler
	listener net.Listener
	// revisions is what this node has in force.
	revisions atomic.Pointer[table.Revisions]
	leaving   atomic.Bool
	closed    atomic.Bool
	// inbound counts the connections that peers have opened, working what they ask, bytes what links carry.
	inbound atomic.Int64
	working inflight.Counter
	bytes   atomic.Uint64

	mu sync.Mutex
	// sessions are the dialed links by the peer's address, dialing those being opened.
	sessions map[string]*Session
	dialing  map[string]*dial
	// suspects are the peers whose last link ended, or was replaced, under suspicion.
	suspects map[string]bool
	// unreachable are the peers that cannot be reached; redialing is set while some of them are tried again.
	unreachable map[string]*outage
	redialing   bool
	accepted    map[*yamux.Session]net.Conn
	// subscribers are the connected peers that hear of news at once, with the hall of each.
	subscribers map[chan struct{}]string

	onBeat func(peer string, revisions table.Revisions)
}

// dial is a link that is being opened; session and err hold once done is closed.
type dial struct {
	done    chan struct{}
	session *Session
	err     error
}

// Option changes a manager under construction.
type Option func(*Manager)

// WithBeatHook calls f whenever a peer shows a later revision of something; f must not block.
func WithRevisionHook(f func(peer string, revisions table.Revisions)) Option {
	return func(m *Manager) { m.onBeat = f }
}

// NewManager returns a manager without links.
func NewManager(cfg Config, log *zerolog.Logger, opts ...Option) *Manager {
	m := &Manager{
		cfg: cfg, log: log,
		sessions:    make(map[string]*Session),
		dialing:     make(map[string]*dial),
		suspects:    make(map[string]bool),
		unreachable: make(map[string]*outage),
		accepted:    make(map[*yamux.Session]net.Conn),
		subscribers: make(map[chan struct{}]string),
		onBeat:      func(string, table.Revisions) {},
	}
	m.revisions.Store(new(table.Revisions))
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Handle sets who answers peers; call it before Start.
func (m *Manager) Handle(h Handler) { m.handler = h }

// Start listens for peers.
func (m *Manager) Start(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", m.cfg.Listen)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, m.cfg.Listen, "peers cannot be listened to")
	}
	if m.cfg.TLS != nil {
		l = tls.NewListener(l, m.cfg.TLS)
	}
	m.listener = l
	go m.accept(l)
	return nil
}

// Bytes returns how many bytes were read from and written to peers since the start.
func (m *Manager) Bytes() uint64 { return m.bytes.Load() }

// Links returns the number of dialed links and of accepted ones.
func (m *Manager) Links() (dialed, accepted int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions), len(m.accepted)
}

// Stop waits for the work that peers have here, lets them close their links, and closes what is left.
func (m *Manager) Stop(ctx context.Context) error {
	m.closed.Store(true)
	if m.listener != nil {
		_ = m.listener.Close()
	}
	err := m.working.Wait(ctx, "peers")
	for _, s := range m.dialed() {
		s.close()
	}
	m.waitClosed(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	for mux, c := range m.accepted {
		closeMux(c, mux)
	}
	return err
}

func (m *Manager) dialed() []*Session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.sessions))
}

// waitClosed gives the peers, which know that this node leaves, the time of a few beats to read their last answers
// and close: a link closed under unread bytes would lose the answers on their way.
func (m *Manager) waitClosed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, min(leaveBeats*m.cfg.Heartbeat, mostLeave))
	defer cancel()
	m.awaitNoneAccepted(ctx)
}

// awaitNoneAccepted waits until peers have closed every link that they opened, as long as ctx allows.
func (m *Manager) awaitNoneAccepted(ctx context.Context) {
	for {
		if _, accepted := m.Links(); accepted == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(closeLook):
		}
	}
}
