package follow

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/platform"
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
	// Retry is the time between a reader's looks at a platform that fails.
	Retry time.Duration
	// Wait is how long one look waits for a change.
	Wait time.Duration
	// Readers is how many nodes of a hall read the platform.
	Readers int
	// Timeout bounds one look at the platform, its wait aside, or one pull.
	Timeout time.Duration
	// WithConfig makes the node read the configuration of the platform's operators besides the product's rows.
	WithConfig bool
	// Policy is what that configuration leaves open of a service.
	Policy table.Service
}

const (
	// lonelyAfter is how many retries a node waits without word from a reader before it reads itself.
	lonelyAfter    = 10
	neighbourHalls = 2
	// pullAfter is how long a node that reads the platform itself may be behind a peer before it asks it: mostly its own
	// reading comes first, and a list of hosts between halls costs more.
	pullAfter = 300 * time.Millisecond
	// pullHostsAfter is the same for the list of hosts, whose changes readers gather.
	pullHostsAfter = 3 * gather
	messageBacklog = 64
	keepLinksEvery = 250 * time.Millisecond
	// mostPinned bounds the fleet in which each node keeps a link to every other; links of larger fleets open by need.
	mostPinned = 64
)

// Snapshot is the configuration and the hosts in force.
type Snapshot struct {
	// State is the table.
	State *table.State
	// Hosts are the hosts whose nodes have announced themselves.
	Hosts []table.HostInfo
	// ByID is the list by the hosts' names.
	ByID map[string]table.HostInfo
	// SelfLine is this host's line as the store shows it, which an earlier life of its node may have written.
	SelfLine table.HostInfo
	// SelfListed is set while the store's list shows this host as this life of its node announced it.
	SelfListed bool
	// Ready is false until the node may serve.
	Ready bool
}

// Listed tells whether the list shows a host; without a list every host counts as shown.
func (s *Snapshot) Listed(host string) bool {
	_, ok := s.ByID[host]
	return ok || len(s.ByID) == 0
}

// Follower keeps the state in force; it is a kernel component.
type Follower struct {
	cfg      Config
	log      *zerolog.Logger
	platform Platform
	links    *peer.Manager
	current  atomic.Pointer[Snapshot]
	reading  atomic.Bool
	// configCursor is the store's version up to which its configuration was read.
	configCursor atomic.Uint64
	// self is this host's own line as this node knows it.
	self     atomic.Pointer[table.HostInfo]
	messages chan message
	onChange []func(*Snapshot)
	stop     context.CancelFunc
	done     chan struct{}

	// The control goroutine alone uses what follows.
	pulling    bool
	sources    map[table.Plane]*sourceState
	heardAt    time.Time
	wanted     map[string]wantedPull
	seedsAsked map[string]bool
	startedAt  time.Time
	// hosts is the newest list of hosts.
	hosts         []table.HostInfo
	hostsRevision uint64
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

// New returns a follower that holds the empty state.
func New(cfg Config, log *zerolog.Logger, p Platform, links *peer.Manager, opts ...Option) *Follower {
	f := &Follower{
		cfg: cfg, log: log, platform: p, links: links,
		messages: make(chan message, messageBacklog), done: make(chan struct{}),
		sources: map[table.Plane]*sourceState{table.PlaneRows: {}},
		wanted:  make(map[string]wantedPull), seedsAsked: make(map[string]bool),
	}
	if cfg.WithConfig {
		f.sources[table.PlaneConfig] = &sourceState{}
	}
	for _, opt := range opts {
		opt(f)
	}
	f.current.Store(&Snapshot{State: table.NewState()})
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

// Hint tells that a peer shows a later revision of something; it never blocks.
func (f *Follower) Hint(peerName string, revisions table.Revisions) {
	select {
	case f.messages <- hint{peer: peerName, revisions: revisions}:
	default:
		// The next beat of the peer says the same again.
	}
}

// ShowSelf puts this host's own line in force here, before the store has it.
func (f *Follower) ShowSelf(h table.HostInfo) {
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

func (f *Follower) tick(ctx context.Context) {
	now := time.Now()
	snap := f.Snapshot()
	reader := f.isReader(snap.Hosts)
	lonely := now.Sub(f.heardAt) > lonelyAfter*f.cfg.Retry
	f.reading.Store(!snap.Ready || reader || lonely)
	if !snap.Ready {
		f.askSeeds(ctx)
	}
	f.keepLinks(ctx, snap.Hosts, reader)
	f.pullNext(ctx)
}

func (f *Follower) isReader(hosts []table.HostInfo) bool {
	if len(hosts) == 0 {
		return true
	}
	for _, h := range Readers(hosts, f.cfg.Hall, f.cfg.Readers) {
		if h.ID == f.cfg.Host {
			return true
		}
	}
	return false
}

// keepLinks holds a link to the hall's readers, from a reader also to those of the next halls, and in a small fleet to
// every host.
func (f *Follower) keepLinks(ctx context.Context, hosts []table.HostInfo, reader bool) {
	wanted := Readers(hosts, f.cfg.Hall, f.cfg.Readers)
	if reader {
		wanted = append(wanted, Neighbours(hosts, f.cfg.Hall, neighbourHalls)...)
	}
	if len(hosts) <= mostPinned {
		wanted = hosts
	}
	for _, h := range wanted {
		if h.ID != f.cfg.Host {
			f.pin(ctx, h)
		}
	}
}

func (f *Follower) pin(ctx context.Context, h table.HostInfo) {
	if f.links.Linked(h.Address) {
		if f.links.Usable(h.Address) {
			f.heardAt = time.Now()
		}
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
		defer cancel()
		// A peer that cannot be reached is tried again at the next tick; the link's own events say why.
		_, _ = f.links.Pin(ctx, h.Address)
	}()
}

// deliver hands a result over; it waits, because a lost result would leave the node behind.
func (f *Follower) deliver(m message) {
	select {
	case f.messages <- m:
	case <-f.done:
	}
}

// adopt puts a later state in force.
//
// Invariant: no revision in force ever goes down; it is what every other part of the node reads.
func (f *Follower) adopt(s *table.State) {
	old := f.Snapshot()
	if !old.State.Revisions().Behind(s.Revisions()) || s.Revisions().Behind(old.State.Revisions()) {
		return
	}
	next := *old
	next.State = s
	f.publish(&next)
	r := s.Revisions()
	events.RevisionInForce.Log(f.log).Uint64("revision", r[table.PlaneRows]).
		Uint64("config", r[table.PlaneConfig]).Uint64("hosts", r[table.PlaneHosts]).Send()
}

// apply puts a delta in force on top of what is there by now.
func (f *Follower) apply(d table.Delta) error {
	next, err := f.State().With(d)
	if err != nil {
		return err
	}
	f.adopt(next)
	return nil
}

// adoptHosts puts a later list of hosts in force, and the endpoints that they announce.
func (f *Follower) adoptHosts(hosts []table.HostInfo, revision uint64) error {
	if revision < f.hostsRevision || revision == f.hostsRevision && f.hosts != nil {
		return nil
	}
	f.hosts, f.hostsRevision = hosts, revision
	return f.putHosts()
}

// putHosts publishes the list of hosts with this host's own line as this node knows it.
func (f *Follower) putHosts() error {
	hosts := slices.Clone(f.hosts)
	var selfLine table.HostInfo
	selfListed := false
	if p := f.self.Load(); p != nil {
		self := *p
		i := slices.IndexFunc(hosts, func(h table.HostInfo) bool { return h.ID == self.ID })
		if i < 0 {
			hosts = append(hosts, self)
		} else {
			selfLine = hosts[i]
			selfListed = hosts[i].Incarnation == self.Incarnation
			self.Version = hosts[i].Version
			hosts[i] = self
		}
	}
	var announced []table.Announced
	for _, h := range hosts {
		announced = append(announced, h.Endpoints...)
	}
	old := f.Snapshot()
	state, err := old.State.WithEndpoints(f.hostsRevision, announced)
	if err != nil {
		return err
	}
	next := *old
	next.State = state
	next.Hosts = hosts
	next.SelfListed = selfListed
	next.SelfLine = selfLine
	next.ByID = make(map[string]table.HostInfo, len(hosts))
	for _, h := range hosts {
		next.ByID[h.ID] = h
	}
	f.publish(&next)
	return nil
}

func (f *Follower) publish(snap *Snapshot) {
	f.current.Store(snap)
	for _, hook := range f.onChange {
		hook(snap)
	}
	f.links.Announce(snap.State.Revisions())
}

// checkReady lets the node serve once the platform has answered for every table that it reads, or, while it does not,
// once every seed that can be reached has answered and one of them held a configuration.
func (f *Follower) checkReady() {
	snap := f.Snapshot()
	if snap.Ready {
		return
	}
	said, down := true, false
	for _, s := range f.sources {
		said = said && s.said
		down = down || s.down
	}
	seedsDone := len(f.seedsAsked) >= len(f.cfg.Seeds) && down && f.holdsConfig(snap)
	if f.cfg.WithConfig && !f.holdsConfig(snap) || !said && !seedsDone {
		return
	}
	next := *snap
	next.Ready = true
	f.publish(&next)
	events.ConfigReady.Log(f.log).Uint64("revision", snap.State.Revision()).
		Uint64("config", snap.State.Revisions()[table.PlaneConfig]).
		Dur("after", time.Since(f.startedAt)).Bool("from_platform", said).Send()
}

func (f *Follower) holdsConfig(snap *Snapshot) bool {
	if f.cfg.WithConfig {
		return snap.State.Revisions()[table.PlaneConfig] > 0
	}
	return snap.State.Revision() > 0
}

func (f *Follower) notePlatform(p table.Plane, err error) {
	s := f.sources[p]
	switch code := fault.CodeOf(err); {
	case err == nil:
		if s.down {
			events.PlatformBack.Log(f.log).Str("plane", p.String()).Send()
		}
		s.down = false
		s.said = true
	case code == fault.BadRow || code == fault.Protocol:
		events.BadTable.Log(f.log).Str("plane", p.String()).Err(err).Send()
	default:
		if !s.down {
			events.PlatformLost.Log(f.log).Str("plane", p.String()).Err(err).Send()
		}
		s.down = true
	}
}
