package configsync

import (
	"cmp"
	"context"
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

// Platform is the part of the platform that a follower reads.
type Platform interface {
	changes.Table
	// All reads every record of a table.
	All(ctx context.Context, table string) (platform.Records, error)
	// Feed returns what changed in a table after a version, waiting for the first change.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Records, error)
}

// Config is the follower's section of the settings.
type Config struct {
	// Host is this node's host.
	Host string
	// Hall is this node's hall.
	Hall string
	// Seeds are peers to start from, as IP and port.
	Seeds []string
	// Retry is the time between a reader's first looks at a platform that fails, RetryMost what it doubles up to.
	RetryInterval, MaxRetryInterval time.Duration
	// Wait is how long one look waits for a change.
	LongPollTimeout time.Duration
	// Readers is how many nodes of a hall read the product's own table, which changes with every host that comes or goes.
	Readers int
	// ConfigReaders is how many read the configuration of the platform's operators, which changes seldom.
	ConfigReaders int
	// Timeout bounds one look at the platform, its wait aside, or one pull.
	Timeout time.Duration
	// WithConfig makes the node read the configuration of the platform's operators besides the product's rows.
	WithConfig bool
	// Policy is what that configuration leaves open of a service.
	ServiceDefaults table.Service
	// Regions are those of the halls of which operators' rows name none.
	Regions map[string]string
}

const (
	// lonelyAfter is how many retries a node waits without word from a reader before it reads itself.
	lonelyAfter = 10
	// neighbourHalls is how many of the next halls a reader keeps a link to: one may be out of reach.
	neighbourHalls = 2
	// pullAfter is how long a node that reads the platform itself may be behind a peer before it asks it: mostly its own
	// reading comes first, and a list of hosts between halls costs more.
	pullAfter = 300 * time.Millisecond
	// pullHostsAfter is the same for the list of hosts, whose changes readers gather.
	pullHostsAfter = 3 * gather
	// messageBacklog is how many events may wait for the control goroutine.
	messageBacklog = 64
	// keepLinksEvery is the time between two looks at the links, the role of this node and what peers have shown.
	keepLinksEvery = 250 * time.Millisecond
	// mostPinned bounds the fleet in which each node keeps a link to every other; links of larger fleets open by need.
	mostPinned = 64
	// meshAfter is how long a node has been up before it takes a short list of hosts for a small fleet: while a fleet starts
	// every list is short, and 353 nodes opened 37 links each before the first request.
	meshAfter = 3 * time.Second
)

// Snapshot is the configuration and the hosts in force.
type Snapshot struct {
	// State is the table.
	State *table.State
	// Hosts are the hosts whose nodes have announced themselves.
	Hosts []table.HostInfo
	// ByID is the list by the hosts' names.
	ByID map[string]table.HostInfo
	// HallHosts are the names of the hosts of this node's hall, in order; the same list until they are others.
	HallHosts []string
	// SelfLine is this host's line as the store shows it, which an earlier life of its node may have written.
	StoredAnnouncement table.HostInfo
	// Ready is false until the node may serve.
	Ready bool
	// regions are those of the halls by the settings.
	regions map[string]string
	// list is the hosts as the store or a peer told them, ranked those in force by rank.
	list   hostList
	ranked ranking
}

// Listed tells whether the list shows a host; without a list every host counts as shown.
func (s *Snapshot) Listed(host string) bool {
	_, ok := s.ByID[host]
	return ok || len(s.ByID) == 0
}

// RegionOf returns the region of a hall, "" where neither the table nor the settings name one.
func (s *Snapshot) RegionOf(hall string) string {
	return cmp.Or(s.State.RegionOf(hall), s.regions[hall])
}

// Follower keeps the state in force; it is a kernel component.
type Follower struct {
	cfg      Config
	log      *zerolog.Logger
	platform Platform
	links    *peer.Manager
	current  atomic.Pointer[Snapshot]
	// reading is set while this node reads the product's own table itself, readingConfig the same for the platform's
	// configuration.
	reading, readingConfig atomic.Bool
	// configCursor is the store's version up to which its configuration was read.
	configCursor atomic.Uint64
	// configSeen is the newest configuration that was read, which is in force a moment later.
	configSeen atomic.Uint64
	// confirms are the questions whether the configuration in force is the newest.
	confirms shared
	// self is this host's own line as this node knows it.
	self     atomic.Pointer[table.HostInfo]
	messages chan message
	leftOut  *skipped.List
	onChange []func(*Snapshot)
	stop     context.CancelFunc
	done     chan struct{}

	// The control goroutine alone uses what follows.

	// pulling is set while a peer is asked; at most one is at a time.
	pulling bool
	sources map[table.Source]*sourceState
	// heardAt is when a peer last gave word.
	heardAt time.Time
	// wanted is what peers have shown that this node lacks, by their address.
	wanted     map[string]wantedPull
	seedsAsked map[string]bool
	startedAt  time.Time
	// hosts is the newest list of hosts as the store or a peer told it.
	hosts hostList
}

// sourceState is what is known of one of the platform's tables that the node reads.
type sourceState struct {
	down bool
	// said is set once the platform has answered.
	said bool
}

// Option changes a follower under construction.
type Option func(*Follower)

// WithChangeHook calls f on the control goroutine for each new table or list of hosts in force.
func WithChangeHook(f func(*Snapshot)) Option {
	return func(w *Follower) { w.onChange = append(w.onChange, f) }
}

// WithLeftOut has entries that cannot be understood noted in l.
func WithSkippedList(l *skipped.List) Option { return func(w *Follower) { w.leftOut = l } }

// New returns a follower that holds the empty state.
func New(cfg Config, log *zerolog.Logger, p Platform, links *peer.Manager, opts ...Option) *Follower {
	f := &Follower{
		cfg: cfg, log: log, platform: p, links: links,
		confirms: shared{now: clock.Boot}, leftOut: skipped.New(log),
		messages: make(chan message, messageBacklog), done: make(chan struct{}),
		sources: map[table.Source]*sourceState{table.SourceRows: {}},
		wanted:  make(map[string]wantedPull), seedsAsked: make(map[string]bool),
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

// Snapshot returns what is in force now.
func (f *Follower) Snapshot() *Snapshot { return f.current.Load() }

// State returns the table in force now.
func (f *Follower) State() *table.State { return f.current.Load().State }

// Start starts the control goroutine and the readers; the node becomes ready when Snapshot says so.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	f.startedAt = time.Now()
	f.heardAt = f.startedAt
	f.reading.Store(true)
	f.readingConfig.Store(true)
	go f.control(ctx)
	go f.readOwn(ctx)
	if f.cfg.WithConfig {
		go f.readConfig(ctx)
	}
	return nil
}

// Stop ends the control goroutine.
func (f *Follower) Stop(context.Context) error {
	f.stop()
	<-f.done
	return nil
}

// Reads tells which of the platform's tables this node reads itself: the product's own, and the operators' configuration.
func (f *Follower) Reads() (own, config bool) {
	return f.reading.Load(), f.cfg.WithConfig && f.readingConfig.Load()
}

// Hint tells that a peer shows a later revision of something; it never blocks.
func (f *Follower) Hint(peerName string, revisions table.Revisions) {
	select {
	case f.messages <- hint{peer: peerName, revisions: revisions}:
	default:
		// The next beat of the peer says the same again.
	}
}

// ShowSelf puts this host's own line in force here, before the store has it.
func (f *Follower) SetSelfAnnouncement(h table.HostInfo) {
	f.self.Store(&h)
	go f.deliver(selfShown{})
}

func (f *Follower) control(ctx context.Context) {
	defer close(f.done)
	tick := time.NewTicker(keepLinksEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-f.messages:
			m.apply(ctx, f)
		case <-tick.C:
			f.tick(ctx)
		}
	}
}

// tick does what is due now and then: who reads, which links are kept, what is still missing.
func (f *Follower) tick(ctx context.Context) {
	now := time.Now()
	snap := f.Snapshot()
	reader := f.isReader(f.cfg.Readers)
	alone := !snap.Ready || now.Sub(f.heardAt) > lonelyAfter*f.cfg.RetryInterval
	f.reading.Store(alone || reader)
	f.readingConfig.Store(alone || f.isReader(f.cfg.ConfigReaders))
	if !snap.Ready {
		f.askSeeds(ctx)
	}
	f.keepLinks(ctx, now, snap, reader)
	f.pullNext(ctx)
}

// deliver hands a result over; it waits, because a lost result would leave the node behind.
func (f *Follower) deliver(m message) {
	select {
	case f.messages <- m:
	case <-f.done:
	}
}
