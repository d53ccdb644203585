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

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/flight"
	"github.com/lynxplank/lynxplank/gen/peerpb"
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
	CutAfter time.Duration
	// IdleClose is how long a link may carry nothing before it is closed.
	IdleClose time.Duration
	// Conns bounds the peers connected at once.
	Conns int
	// TLS is set for mutual TLS.
	TLS *tls.Config
}

const (
	dialTimeout   = time.Second
	writeTimeout  = 2 * time.Second
	acceptBacklog = 1024
	streamWindow  = 512 << 10

	streamOpenLimit = 30 * time.Second
)

func (c Config) mux() *yamux.Config {
	y := yamux.DefaultConfig()
	y.EnableKeepAlive = false
	y.AcceptBacklog = acceptBacklog
	y.ConnectionWriteTimeout = writeTimeout
	// The heartbeat judges a silent peer; this must not cut what a frozen one may still answer.
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
	inbound   atomic.Int64
	working   flight.Counter
	bytes     atomic.Uint64

	mu          sync.Mutex
	sessions    map[string]*Session
	dialing     map[string]*dial
	suspects    map[string]bool
	unreachable map[string]time.Time
	accepted    map[*yamux.Session]net.Conn
	subscribers map[chan struct{}]string

	onBeat func(peer string, revisions table.Revisions)
}

type dial struct {
	done    chan struct{}
	session *Session
	err     error
}

// Option changes a manager under construction.
type Option func(*Manager)

// WithBeatHook calls f whenever a peer shows a later revision of something; f must not block.
func WithBeatHook(f func(peer string, revisions table.Revisions)) Option {
	return func(m *Manager) { m.onBeat = f }
}

// NewManager returns a manager without links.
func NewManager(cfg Config, log *zerolog.Logger, opts ...Option) *Manager {
	m := &Manager{
		cfg: cfg, log: log,
		sessions:    make(map[string]*Session),
		dialing:     make(map[string]*dial),
		suspects:    make(map[string]bool),
		unreachable: make(map[string]time.Time),
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

func (m *Manager) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			if m.closed.Load() {
				return
			}
			time.Sleep(m.cfg.Heartbeat)
			continue
		}
		if m.inbound.Add(1) > int64(m.cfg.Conns) {
			m.inbound.Add(-1)
			events.PeerRefused.Log(m.log).Str("peer", c.RemoteAddr().String()).Str("reason", "too many peers").Send()
			_ = c.Close()
			continue
		}
		go m.serveConn(counted{c, &m.bytes})
	}
}

func (m *Manager) serveConn(c net.Conn) {
	defer m.inbound.Add(-1)
	defer func() { _ = c.Close() }()
	if err := handshake(c); err != nil {
		events.PeerRefused.Log(m.log).Str("peer", c.RemoteAddr().String()).Err(err).Send()
		return
	}
	mux, err := yamux.Server(c, m.cfg.mux())
	if err != nil {
		return
	}
	m.track(mux, c)
	defer m.track(mux, nil)
	defer closeMux(c, mux)
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		go m.serveStream(stream, c.RemoteAddr().String())
	}
}

func handshake(c net.Conn) error {
	if inner, ok := c.(counted); ok {
		c = inner.Conn
	}
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := t.HandshakeContext(ctx); err != nil {
		return fault.Wrap(err, fault.Unauthorized, c.RemoteAddr().String(), "peer shows no valid certificate")
	}
	return nil
}

func (m *Manager) track(mux *yamux.Session, c net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c != nil {
		m.accepted[mux] = c
		return
	}
	delete(m.accepted, mux)
}

// Leave tells every peer that this node takes nothing new.
func (m *Manager) Leave() {
	m.leaving.Store(true)
	m.tell(func(string) bool { return true })
}

// Announce tells the connected peers of this hall the revisions in force; those of other halls, the links to which are
// dear, hear of them by the next heartbeat.
func (m *Manager) Announce(revisions table.Revisions) {
	if old := m.revisions.Swap(&revisions); *old != revisions {
		m.tell(func(hall string) bool { return hall == m.cfg.Hall })
	}
}

// tell has a beat sent to the connected peers of some halls.
func (m *Manager) tell(which func(hall string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c, hall := range m.subscribers {
		if !which(hall) {
			continue
		}
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (m *Manager) subscribe(hall string) chan struct{} {
	c := make(chan struct{}, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers[c] = hall
	return c
}

func (m *Manager) unsubscribe(c chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.subscribers, c)
}

func (m *Manager) heardBeat(peer string, b *peerpb.Beat) {
	if r := revisionsOf(b.GetRevisions()); m.revisions.Load().Behind(r) {
		m.onBeat(peer, r)
	}
}

// beat returns a beat that shows what this node holds.
func (m *Manager) beat() *peerpb.Beat {
	return &peerpb.Beat{Revisions: revisionsToWire(*m.revisions.Load()), Leaving: m.leaving.Load()}
}

func revisionsOf(r *peerpb.Revisions) table.Revisions {
	var out table.Revisions
	out[table.PlaneRows] = r.GetRows()
	out[table.PlaneConfig] = r.GetConfig()
	out[table.PlaneHosts] = r.GetHosts()
	return out
}

func revisionsToWire(r table.Revisions) *peerpb.Revisions {
	return &peerpb.Revisions{Rows: r[table.PlaneRows], Config: r[table.PlaneConfig], Hosts: r[table.PlaneHosts]}
}

// Unreachable returns since when a peer cannot be reached, the zero time for one that can or was not tried.
func (m *Manager) Unreachable(address string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable[address]
}

// heard notes that a peer can be reached, lost that it cannot.
func (m *Manager) heard(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.unreachable, address)
}

func (m *Manager) lost(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unreachable[address].IsZero() {
		m.unreachable[address] = time.Now()
	}
}

// Linked tells whether there is a link to a peer, or one is being opened.
func (m *Manager) Linked(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[address] != nil || m.dialing[address] != nil
}

// Usable tells whether a peer may get new work as far as links show: one that cannot be reached may not until a link to it
// is up again, one that was never tried may.
func (m *Manager) Usable(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[address]
	if s == nil {
		return m.unreachable[address].IsZero()
	}
	return !s.suspect.Load() && !s.leaving.Load()
}

// Bytes returns how many bytes were read from and written to peers since the start.
func (m *Manager) Bytes() uint64 { return m.bytes.Load() }

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read implements net.Conn.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n)) //nolint:gosec // counts are not negative
	return n, err
}

// Write implements net.Conn.
func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n)) //nolint:gosec // counts are not negative
	return n, err
}

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
	_ = m.inboundWait(ctx)
}

func (m *Manager) inboundWait(ctx context.Context) error {
	for {
		if _, accepted := m.Links(); accepted == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

const (
	leaveBeats = 4
	// mostLeave bounds that time: an answer takes a few round trips at most.
	mostLeave = 250 * time.Millisecond
)
