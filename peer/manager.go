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

// Config configures the links of a node.
type Config struct {
	// Node is this node's id.
	Node string
	// Hall is this node's hall.
	Hall string
	// Incarnation distinguishes this process from earlier processes of the same node.
	Incarnation uint64
	// Listen is the IP address and port on which peers connect.
	Listen string
	// Heartbeat is the interval between the heartbeats of a link.
	Heartbeat time.Duration
	// EchoTimeout is how long the echo of a heartbeat may take before the link becomes suspect and gets no new requests;
	// cut_after in the settings.
	EchoTimeout time.Duration
	// IdleTimeout is how long a link may carry no request before it is closed; idle_close in the settings.
	IdleTimeout time.Duration
	// MaxConns is the maximum number of connections accepted from peers at once; conns in the settings.
	MaxConns int
	// TLS is the configuration for mutual TLS, nil for plain TCP.
	TLS *tls.Config
}

const (
	// dialTimeout bounds the opening of a link, and the TLS handshake on either side.
	dialTimeout = time.Second
	// writeTimeout bounds one write to a link.
	writeTimeout = 2 * time.Second
	// acceptBacklog is how many streams of one link may wait to be served.
	acceptBacklog = 1024
	// streamWindow is how much of a stream may be sent before it is read, in bytes: the minimum that yamux accepts. The
	// window of an answer, answerWindow, is smaller.
	streamWindow = 256 << 10
	// streamOpenTimeout bounds the opening of a stream. It is long because the heartbeats detect a silent peer, and
	// because yamux closes the session after it, which must not cut exchanges that a frozen peer may still answer.
	streamOpenTimeout = 30 * time.Second
	// drainBeats is the number of heartbeat intervals that peers have, when this node stops, to read their last answers
	// and close their links; maxDrainWait bounds that time. An answer takes a few round trips at most.
	drainBeats   = 4
	maxDrainWait = 250 * time.Millisecond
	// closePollInterval is the time between two checks whether the peers have closed their links.
	closePollInterval = time.Millisecond
)

// mux returns the configuration of a yamux session. Its keep-alive is off, because the heartbeats do that work.
func (c Config) mux() *yamux.Config {
	y := yamux.DefaultConfig()
	y.EnableKeepAlive = false
	y.AcceptBacklog = acceptBacklog
	y.ConnectionWriteTimeout = writeTimeout
	y.StreamOpenTimeout = streamOpenTimeout
	y.MaxStreamWindowSize = streamWindow
	y.LogOutput = io.Discard
	return y
}

// Manager holds all links of a node, those that it dialed and those that it accepted; it is a kernel component.
type Manager struct {
	cfg     Config
	log     *zerolog.Logger
	handler Handler
	// transport opens the connections below the links.
	transport Transport
	listener  net.Listener
	// revisions are the revisions of the active configuration, by source.
	revisions atomic.Pointer[table.Revisions]
	draining  atomic.Bool
	// readsUnanswered is set while the platform does not answer the reads of this node.
	readsUnanswered atomic.Bool
	closed          atomic.Bool
	// inboundConns counts the open connections accepted from peers, requests the requests of peers that are being served,
	// and bytes the bytes read from and written to links.
	inboundConns atomic.Int64
	requests     inflight.Counter
	bytes        atomic.Uint64

	mu sync.Mutex
	// sessions are the dialed links by the peer's address, dialing the links that are being opened. candidates are links
	// opened beside a suspect one that have not carried an echo yet.
	sessions   map[string]*Session
	dialing    map[string]*dial
	candidates map[string]*Session
	// verifiedAt is when all links were last verified because several were silent.
	verifiedAt time.Time
	// suspects are the peers whose last link was suspect when it ended or was replaced.
	suspects map[string]bool
	// unreachable are the peers that cannot be reached, redialing is set while a timer for redialing them is running.
	unreachable map[string]*outage
	redialing   bool
	accepted    map[*yamux.Session]net.Conn
	// subscribers are the channels of the connected peers that are notified of changes.
	subscribers map[chan struct{}]subscriber

	// lives are those of the peers that opened links to this node.
	lives lives

	onNewRevisions func(peer string, revisions table.Revisions)
	onSilence      func()
	onEarlierLife  func(heardAgo time.Duration)
}

// dial is a link that is being opened; session and err are valid once done is closed.
type dial struct {
	done    chan struct{}
	session *Session
	err     error
}

// Option configures a Manager under construction.
type Option func(*Manager)

// Transport opens the connections between nodes.
type Transport interface {
	// Dial connects to a peer's address.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections of peers at an address.
	Listen(ctx context.Context, address string) (net.Listener, error)
}

// tcp is the Transport of a Manager without WithTransport.
type tcp struct{}

// Dial implements Transport.
func (tcp) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Listen implements Transport.
func (tcp) Listen(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(ctx, "tcp", address)
}

// WithTransport replaces TCP; TLS, if configured, runs over t.
func WithTransport(t Transport) Option { return func(m *Manager) { m.transport = t } }

// WithRevisionHook calls f whenever a heartbeat of a peer reports a newer revision of some source than this node has; f
// must not block.
func WithRevisionHook(f func(peer string, revisions table.Revisions)) Option {
	return func(m *Manager) { m.onNewRevisions = f }
}

// WithSilenceHook calls f when a closely monitored link, or several links, give no sign of life; f must not block.
func WithSilenceHook(f func()) Option { return func(m *Manager) { m.onSilence = f } }

// NewManager returns a Manager without links; its links use the given log.
func NewManager(cfg Config, log *zerolog.Logger, opts ...Option) *Manager {
	m := &Manager{
		cfg: cfg, log: log, transport: tcp{},
		sessions:       make(map[string]*Session),
		dialing:        make(map[string]*dial),
		candidates:     make(map[string]*Session),
		suspects:       make(map[string]bool),
		unreachable:    make(map[string]*outage),
		accepted:       make(map[*yamux.Session]net.Conn),
		subscribers:    make(map[chan struct{}]subscriber),
		lives:          make(lives),
		onNewRevisions: func(string, table.Revisions) {},
		onSilence:      func() {},
		onEarlierLife:  func(time.Duration) {},
	}
	m.revisions.Store(new(table.Revisions))
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Handle sets the handler of the requests of peers; it must be called before Start.
func (m *Manager) Handle(h Handler) { m.handler = h }

// Start begins to accept connections from peers.
func (m *Manager) Start(ctx context.Context) error {
	if err := m.bounds(minOfferTimeout).Validate(); err != nil {
		return err
	}
	l, err := m.transport.Listen(ctx, m.cfg.Listen)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, m.cfg.Listen, "cannot listen for peers")
	}
	if m.cfg.TLS != nil {
		l = tls.NewListener(l, m.cfg.TLS)
	}
	m.listener = l
	go m.accept(l)
	return nil
}

// Bytes returns the number of bytes read from and written to peers since the start.
func (m *Manager) Bytes() uint64 { return m.bytes.Load() }

// Links returns the number of dialed links and of accepted links.
func (m *Manager) Links() (dialed, accepted int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions), len(m.accepted)
}

// Stop waits for the requests of peers that are being served, gives the peers time to close their links, and closes the
// remaining ones.
func (m *Manager) Stop(ctx context.Context) error {
	m.closed.Store(true)
	if m.listener != nil {
		_ = m.listener.Close()
	}
	err := m.requests.Wait(ctx, "peers")
	for _, s := range m.dialed() {
		s.close()
	}
	m.awaitPeersClosed(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	for mux, c := range m.accepted {
		closeMux(c, mux)
	}
	return err
}

// dialed returns the dialed links.
func (m *Manager) dialed() []*Session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Concat(slices.Collect(maps.Values(m.sessions)), slices.Collect(maps.Values(m.candidates)))
}

// awaitPeersClosed gives the peers, which know that this node drains, a few heartbeat intervals to read their last
// answers and close their links: closing a link with unread bytes would lose the answers in transit.
func (m *Manager) awaitPeersClosed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, min(drainBeats*m.cfg.Heartbeat, maxDrainWait))
	defer cancel()
	m.awaitNoneAccepted(ctx)
}

// awaitNoneAccepted waits until the peers have closed all links that they opened, or ctx ends.
func (m *Manager) awaitNoneAccepted(ctx context.Context) {
	for {
		if _, accepted := m.Links(); accepted == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(closePollInterval):
		}
	}
}
