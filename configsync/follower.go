package configsync

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/skipped"
	"github.com/lynxplank/lynxplank/table"
)

// Platform is the part of the platform's interface that a follower uses.
type Platform interface {
	changes.Table
	// All returns every record of a table.
	All(ctx context.Context, table string) (platform.Records, error)
	// Feed returns the changes of a table after a version; it waits for the first change.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Records, error)
}

// Config configures a Follower.
type Config struct {
	// Host is the name of this node's host.
	Host string
	// Hall is the name of this node's hall.
	Hall string
	// Seeds are the IP and port of the peers to contact first.
	Seeds []string
	// RetryInterval is the initial interval between reads of a platform that fails; it doubles up to MaxRetryInterval.
	RetryInterval, MaxRetryInterval time.Duration
	// LongPollTimeout is how long one read waits for a change. The readers of a hall begin their reads in turn, so that one of
	// them begins in each LongPollTimeout divided by their number.
	LongPollTimeout time.Duration
	// Readers is the number of nodes in a hall that read the product's table, which changes with every host that is
	// added or removed.
	Readers int
	// ConfigReaders is the number of nodes in a hall that read the configuration of the platform's operators, which
	// changes seldom.
	ConfigReaders int
	// Timeout limits one pull, and the opening of one link. The platform client limits reads of the platform.
	Timeout time.Duration
	// WithConfig makes the node read the configuration of the platform's operators in addition to the product's table.
	WithConfig bool
	// ServiceDefaults holds the settings of a service that the platform's configuration does not specify.
	ServiceDefaults table.Service
	// Regions maps halls to their regions where the operators' rows specify none.
	Regions map[string]string
}

const (
	// isolatedAfterRetries is the number of retry intervals without a message from a peer after which a node reads the
	// platform itself.
	isolatedAfterRetries = 10
	// neighbourHalls is the number of other halls that a reader keeps links to; two, because one may be unreachable.
	neighbourHalls = 2
	// pullDelay is how long a node that reads the platform itself may be behind a peer before it pulls from it: usually
	// its own read comes first, and sending a list of hosts between halls costs more.
	pullDelay = 300 * time.Millisecond
	// pullHostsDelay is the same for the list of hosts and for poison requests: readers gather these changes before they
	// read again.
	pullHostsDelay = 3 * gatherDelay
	// messageBacklog is the capacity of the control goroutine's message queue.
	messageBacklog = 64
	// tickInterval is the interval between checks of the links, of this node's role and of pending pulls.
	tickInterval = 250 * time.Millisecond
	// maxMeshHosts is the maximum number of hosts for which each node keeps a link to every other; in larger fleets
	// links are opened on demand.
	maxMeshHosts = 64
	// meshDelay is how long a node must have been up before a short list of hosts means a small fleet to it: every list
	// is short while a fleet starts, and without the delay 353 nodes opened 37 links each before the first request.
	meshDelay = 3 * time.Second
)

// Snapshot is an immutable view of the active configuration and hosts.
type Snapshot struct {
	// State is the active table.
	State *table.State
	// Hosts are the hosts whose nodes have announced themselves.
	Hosts []table.HostInfo
	// ByID maps the names of Hosts to the hosts.
	ByID map[string]table.HostInfo
	// HallHosts are the sorted names of the hosts in this node's hall; the slice is replaced only when the names change.
	HallHosts []string
	// StoredAnnouncement is this host's announcement in the store, which a previous run of its node may have written.
	StoredAnnouncement table.HostInfo
	// HostsRead is true once this process has read the hosts from the store, so that StoredAnnouncement is what the store
	// held after the process had started, or a later one.
	HostsRead bool
	// Ready is false until the node may serve.
	Ready bool
	// regions maps halls to their regions as given in the settings.
	regions map[string]string
	// list is the list of hosts as read from the store or received from a peer; ranked holds Hosts by rank.
	list   hostList
	ranked ranking
}

// Listed reports whether a host is in the list; while the list is empty, every host counts as listed.
func (s *Snapshot) Listed(host string) bool {
	_, ok := s.ByID[host]
	return ok || len(s.ByID) == 0
}

// RegionOf returns the region of a hall, or "" if neither the table nor the settings specify one.
func (s *Snapshot) RegionOf(hall string) string {
	return cmp.Or(s.State.RegionOf(hall), s.regions[hall])
}

// Follower maintains the active state; it is a kernel component.
type Follower struct {
	cfg      Config
	log      *zerolog.Logger
	platform Platform
	links    *peer.Manager
	current  atomic.Pointer[Snapshot]
	// reading is true while this node reads the product's table itself, readingConfig while it reads the configuration
	// of the platform's operators.
	reading, readingConfig atomic.Bool
	// configCursor is the store version up to which the configuration was read.
	configCursor atomic.Uint64
	// newestConfigRead is the version of the newest configuration that was read; it becomes active shortly after.
	newestConfigRead atomic.Uint64
	// lastWord is when this node last had word of the newest configuration, as clock.Nanos.
	lastWord atomic.Int64
	// lastConfigRead is when the platform last answered a read of the configuration, as clock.Nanos.
	lastConfigRead atomic.Int64
	// unansweredTables counts the tables of which the platform does not answer this node's reads.
	unansweredTables atomic.Int32
	// silence tells the readers when connections of this node go silent.
	silence silenceAlert
	// confirms shares concurrent queries whether the active configuration is the newest.
	confirms sharedCheck
	// self is this host's announcement as set by this node, which the store may not have yet.
	self        atomic.Pointer[table.HostInfo]
	messages    chan message
	skippedList *skipped.List
	onChange    []func(*Snapshot)
	stop        context.CancelFunc
	done        chan struct{}
	// readers are the goroutines that read the platform's tables.
	readers sync.WaitGroup

	// The fields below are used by the control goroutine only.

	// pulls are the pulls in flight, with the times at which they began, by the address of the peer.
	pulls map[string]time.Time
	// pulledFrom is the peer whose answer is being applied, empty while a read of the platform is.
	pulledFrom string
	sources    map[table.Source]*sourceState
	// lastPeerMessage is when this node last received a message from a peer, or found its link to a peer usable.
	lastPeerMessage time.Time
	// wanted holds, by peer address, the revisions that peers have and this node lacks.
	wanted     map[string]pendingPull
	seedsAsked map[string]bool
	// pullDue expires when the next pending pull is due.
	pullDue   *time.Timer
	startedAt time.Time
	// hosts is the newest list of hosts read from the store or received from a peer; hostsRead is set once one was read.
	hosts     hostList
	hostsRead bool
}

// sourceState is the status of one of the platform's tables that the node reads.
type sourceState struct {
	down bool
	// answered is true once the platform has answered.
	answered bool
}

// Option configures a Follower under construction.
type Option func(*Follower)

// WithChangeHook has f called on the control goroutine for each published snapshot.
func WithChangeHook(f func(*Snapshot)) Option {
	return func(w *Follower) { w.onChange = append(w.onChange, f) }
}

// WithSkippedList records entries that cannot be decoded in l.
func WithSkippedList(l *skipped.List) Option { return func(w *Follower) { w.skippedList = l } }

// New returns a follower that holds the empty state.
func New(cfg Config, log *zerolog.Logger, p Platform, links *peer.Manager, opts ...Option) *Follower {
	f := &Follower{
		cfg: cfg, log: log, platform: p, links: links,
		confirms: sharedCheck{now: clock.Boot}, skippedList: skipped.New(log),
		silence: newSilenceAlert(), messages: make(chan message, messageBacklog), done: make(chan struct{}), pulls: make(map[string]time.Time),
		sources: map[table.Source]*sourceState{table.SourceRows: {}},
		wanted:  make(map[string]pendingPull), seedsAsked: make(map[string]bool), pullDue: time.NewTimer(tickInterval),
	}
	if cfg.WithConfig {
		f.sources[table.SourceConfig] = &sourceState{}
	}
	for _, opt := range opts {
		opt(f)
	}
	f.current.Store(&Snapshot{State: table.NewState(), regions: cfg.Regions})
	return f
}

// Snapshot returns the active snapshot.
func (f *Follower) Snapshot() *Snapshot { return f.current.Load() }

// State returns the active table.
func (f *Follower) State() *table.State { return f.current.Load().State }

// Start starts the control goroutine and the readers. The node may serve once Snapshot().Ready is true.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	f.startedAt = time.Now()
	f.lastPeerMessage = f.startedAt
	f.noteWord()
	f.lastConfigRead.Store(clock.Nanos(f.startedAt))
	f.reading.Store(true)
	f.readingConfig.Store(true)
	go f.control(ctx)
	f.readers.Go(func() { f.readProduct(ctx) })
	if f.cfg.WithConfig {
		f.readers.Go(func() { f.readConfig(ctx) })
	}
	return nil
}

// Stop stops the control goroutine and the readers, and waits for their end.
func (f *Follower) Stop(context.Context) error {
	f.stop()
	<-f.done
	f.readers.Wait()
	return nil
}

// Reads reports which of the platform's tables this node reads itself: the product's table, and the configuration of
// the platform's operators.
func (f *Follower) Reads() (product, config bool) {
	return f.reading.Load(), f.cfg.WithConfig && f.readingConfig.Load()
}

// Hint reports that a peer has a later revision of some source; it never blocks.
func (f *Follower) Hint(peerName string, revisions table.Revisions) {
	select {
	case f.messages <- hint{peer: peerName, revisions: revisions}:
	default:
		// The peer's next heartbeat repeats the hint.
	}
}

// SetSelfAnnouncement makes this host's announcement active on this node before it is in the store.
func (f *Follower) SetSelfAnnouncement(h table.HostInfo) {
	f.self.Store(&h)
	go f.deliver(selfChanged{})
}

func (f *Follower) control(ctx context.Context) {
	defer close(f.done)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-f.messages:
			m.apply(ctx, f)
		case <-f.pullDue.C:
			f.pullNext(ctx)
		case <-tick.C:
			f.tick(ctx)
		}
	}
}

// tick does the periodic work: it updates the node's reader roles and links, and starts pending pulls.
func (f *Follower) tick(ctx context.Context) {
	now := time.Now()
	snap := f.Snapshot()
	reader := f.isReader(f.cfg.Readers)
	alone := !snap.Ready || now.Sub(f.lastPeerMessage) > isolatedAfterRetries*f.cfg.RetryInterval
	f.reading.Store(alone || reader)
	f.readingConfig.Store(alone || f.isReader(f.cfg.ConfigReaders))
	if !snap.Ready {
		f.askSeeds(ctx)
	}
	f.keepLinks(ctx, now, snap, reader)
	f.watchReaders(snap)
	if f.hearsReader() {
		f.noteWord()
	}
	f.pullNext(ctx)
}

// deliver queues a message for the control goroutine. It blocks while the queue is full, because a lost result would
// leave the node behind.
func (f *Follower) deliver(m message) {
	select {
	case f.messages <- m:
	case <-f.done:
	}
}
