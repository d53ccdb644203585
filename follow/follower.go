package follow

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// Hosts reads the lagging list of hosts.
	Hosts(ctx context.Context) (platform.Hosts, error)
}

// Config is the follower's section of the settings.
type Config struct {
	// Host is this node's host.
	Host string
	// Hall is this node's hall.
	Hall string
	// Seeds are peers to start from, as IP and port.
	Seeds []string
	// Poll is the time between a reader's looks at the log.
	Poll time.Duration
	// Readers is how many nodes of a hall read the platform.
	Readers int
	// Timeout bounds one look at the platform or one pull.
	Timeout time.Duration
}

// Listed tells whether the list shows a host; without a list every host counts as shown.
func (s *Snapshot) Listed(host string) bool {
	_, ok := s.ByID[host]
	return ok || len(s.ByID) == 0
}

const (
	hostsEvery      = 10
	lonelyAfter     = 10
	neighbourHalls  = 2
	messageBacklog  = 64
	pollJitterShare = 0.2
)

// Snapshot is the configuration and the host list in force.
type Snapshot struct {
	// State is the table.
	State *table.State
	// Hosts is the lagging list.
	Hosts []table.HostInfo
	// ByID is the list by the hosts' names.
	ByID map[string]table.HostInfo
	// Ready is false until the node may serve.
	Ready bool
}

// Follower keeps the state in force; it is a kernel component.
type Follower struct {
	cfg      Config
	log      *zerolog.Logger
	platform Platform
	reader   *changes.Reader
	links    *peer.Manager
	current  atomic.Pointer[Snapshot]
	messages chan message
	onChange []func(*Snapshot)
	stop     context.CancelFunc
	done     chan struct{}

	// The control goroutine alone uses what follows.
	pulling      bool
	polling      bool
	polls        int
	platformDown bool
	platformSaid bool
	heardAt      time.Time
	hostsAt      time.Time
	wanted       map[string]uint64
	seedsAsked   map[string]bool
	startedAt    time.Time
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
		cfg: cfg, log: log, platform: p, reader: changes.NewReader(p), links: links,
		messages: make(chan message, messageBacklog), done: make(chan struct{}),
		wanted: make(map[string]uint64), seedsAsked: make(map[string]bool),
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

// Start starts the control goroutine; the node becomes ready when Snapshot says so.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	f.startedAt = time.Now()
	f.heardAt = f.startedAt
	go f.control(ctx)
	return nil
}

// Stop ends the control goroutine.
func (f *Follower) Stop(context.Context) error {
	f.stop()
	<-f.done
	return nil
}

// Hint tells that a peer shows a later revision or another list of hosts; it never blocks.
func (f *Follower) Hint(peerName string, revision, hosts uint64) {
	f.send(hint{peer: peerName, revision: revision, hosts: hosts})
}

func (f *Follower) send(m message) {
	select {
	case f.messages <- m:
	default:
		// The next beat of the peer says the same again.
	}
}

func (f *Follower) control(ctx context.Context) {
	defer close(f.done)
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-f.messages:
			m.apply(ctx, f)
		case <-tick.C:
			f.tick(ctx)
			jitter := 1 + pollJitterShare*(rand.Float64()-0.5) //nolint:gosec // spreads the readers, no secret
			tick.Reset(time.Duration(float64(f.cfg.Poll) * jitter))
		}
	}
}

func (f *Follower) tick(ctx context.Context) {
	now := time.Now()
	snap := f.Snapshot()
	reader := f.isReader(snap.Hosts)
	lonely := now.Sub(f.heardAt) > lonelyAfter*f.cfg.Poll
	if !snap.Ready || reader || lonely {
		f.poll(ctx)
	}
	if !snap.Ready {
		f.askSeeds(ctx)
	}
	f.keepLinks(ctx, snap.Hosts, reader)
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

// keepLinks holds a link to the hall's readers, and from a reader also to those of the next halls.
func (f *Follower) keepLinks(ctx context.Context, hosts []table.HostInfo, reader bool) {
	wanted := Readers(hosts, f.cfg.Hall, f.cfg.Readers)
	if reader {
		wanted = append(wanted, Neighbours(hosts, f.cfg.Hall, neighbourHalls)...)
	}
	for _, h := range wanted {
		if h.ID == f.cfg.Host {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
			defer cancel()
			if _, err := f.links.Pin(ctx, h.Address); err == nil && f.links.Usable(h.Address) {
				f.send(heard{})
			}
		}()
	}
}

// poll reads the platform in a goroutine of its own; at most one read is under way.
func (f *Follower) poll(ctx context.Context) {
	if f.polling {
		return
	}
	f.polling = true
	f.polls++
	withHosts := f.polls%hostsEvery == 1
	state := f.State()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, lonelyAfter*f.cfg.Timeout)
		defer cancel()
		m := polled{}
		m.state, m.err = f.reader.Advance(ctx, state)
		if withHosts && m.err == nil {
			var list platform.Hosts
			list, m.err = f.platform.Hosts(ctx)
			m.hosts, m.hasHosts = list.Hosts, m.err == nil
		}
		f.deliver(ctx, m)
	}()
}

// deliver hands a result over; it waits, because a lost result would stop the next read.
func (f *Follower) deliver(ctx context.Context, m message) {
	select {
	case f.messages <- m:
	case <-f.done:
	case <-ctx.Done():
		select {
		case f.messages <- m:
		case <-f.done:
		}
	}
}

// adopt puts a later state in force.
//
// Invariant: the revision in force never goes down; it is what every other part of the node reads.
func (f *Follower) adopt(s *table.State) {
	old := f.Snapshot()
	if s.Revision() <= old.State.Revision() {
		return
	}
	next := *old
	next.State = s
	f.publish(&next)
	events.RevisionInForce.Log(f.log).Uint64("revision", s.Revision()).Send()
}

func (f *Follower) adoptHosts(hosts []table.HostInfo) {
	next := *f.Snapshot()
	next.Hosts = hosts
	next.ByID = make(map[string]table.HostInfo, len(hosts))
	for _, h := range hosts {
		next.ByID[h.ID] = h
	}
	f.publish(&next)
}

func (f *Follower) publish(snap *Snapshot) {
	f.current.Store(snap)
	for _, hook := range f.onChange {
		hook(snap)
	}
	f.links.Announce(snap.State.Revision(), hostsDigest(snap.Hosts))
}

// hostsDigest is a number that differs between lists that differ.
func hostsDigest(hosts []table.HostInfo) uint64 {
	d := xxhash.New()
	for _, h := range hosts {
		_, _ = d.WriteString(h.ID + "\x00" + h.Hall + "\x00" + h.Address + "\x00" + strconv.FormatBool(h.Leaving) + "\x00")
	}
	return d.Sum64()
}

// checkReady lets the node serve once the platform has answered, or, while it does not, once every seed that can be
// reached has answered and one of them held a configuration.
func (f *Follower) checkReady() {
	snap := f.Snapshot()
	if snap.Ready {
		return
	}
	seedsDone := len(f.seedsAsked) >= len(f.cfg.Seeds) && f.platformDown && snap.State.Revision() > 0
	if !f.platformSaid && !seedsDone {
		return
	}
	next := *snap
	next.Ready = true
	f.publish(&next)
	events.ConfigReady.Log(f.log).Uint64("revision", snap.State.Revision()).
		Dur("after", time.Since(f.startedAt)).Bool("from_platform", f.platformSaid).Send()
}

func (f *Follower) notePlatform(err error) {
	switch {
	case err == nil:
		if f.platformDown {
			events.PlatformBack.Log(f.log).Send()
		}
		f.platformDown = false
		f.platformSaid = true
	case fault.CodeOf(err) == fault.BadRow || fault.CodeOf(err) == fault.Protocol:
		events.BadTable.Log(f.log).Err(err).Send()
	default:
		if !f.platformDown {
			events.PlatformLost.Log(f.log).Err(err).Send()
		}
		f.platformDown = true
	}
}
