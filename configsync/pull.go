package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// hint tells that a peer shows a later revision of something.
type hint struct {
	peer      string
	revisions table.Revisions
}

func (m hint) apply(ctx context.Context, f *Follower) {
	f.heardAt = time.Now()
	address := f.addressOf(m.peer)
	if address == "" || !f.State().Revisions().Behind(m.revisions) {
		return
	}
	w, ok := f.wanted[address]
	if !ok {
		w.since = time.Now()
	}
	// An earlier word may still wait: once what that showed is in force, this one must be wanted all the same.
	w.revisions, w.pulls = w.revisions.Latest(m.revisions), 0
	f.wanted[address] = w
	f.pullNext(ctx)
}

// wantedPull is what a peer has shown that this node lacks.
type wantedPull struct {
	revisions table.Revisions
	since     time.Time
	// pulls counts how often it was asked for, again is when it may be next.
	pulls int
	again time.Time
}

const (
	// mostPulls bounds how often a peer is asked for what one word of it has shown: the answer may be lost, or not lead on from
	// what is in force here by now. Without a second question a node waits for the next word, four seconds on an idle link.
	mostPulls = 3
	// pullAgain is the time between two such questions.
	pullAgain = 100 * time.Millisecond
)

// addressOf takes a peer's address or its host id.
func (f *Follower) addressOf(name string) string {
	for _, h := range f.Snapshot().Hosts {
		if h.ID == name || h.Address == name {
			return h.Address
		}
	}
	if slices.Contains(f.cfg.Seeds, name) {
		return name
	}
	return ""
}

// pullNext pulls from one peer that shows a later revision, of this hall if there is one; at most one pull is under way.
func (f *Follower) pullNext(ctx context.Context) {
	if f.pulling {
		return
	}
	now := time.Now()
	best := ""
	for address, w := range f.wanted {
		if !f.State().Revisions().Behind(w.revisions) {
			delete(f.wanted, address)
			continue
		}
		if now.Sub(w.since) < f.patience(w.revisions) || now.Before(w.again) {
			continue
		}
		if best == "" || f.near(address) {
			best = address
		}
	}
	if best == "" {
		return
	}
	w := f.wanted[best]
	w.pulls, w.again = w.pulls+1, now.Add(pullAgain)
	f.wanted[best] = w
	if w.pulls == mostPulls {
		delete(f.wanted, best)
	}
	f.pull(ctx, best)
}

// patience is how long this node waits for what a peer has shown: not at all for what it does not read itself.
func (f *Follower) patience(shown table.Revisions) time.Duration {
	held := f.State().Revisions()
	reads := map[table.Source]bool{
		table.SourceRows: f.reading.Load(), table.SourceHosts: f.reading.Load(), table.SourceConfig: f.readingConfig.Load(),
		table.SourcePoison: f.reading.Load(), table.SourceHalls: f.readingConfig.Load(),
	}
	wait := pullHostsAfter
	for plane, here := range reads {
		switch {
		case held[plane] >= shown[plane]:
		case !here:
			return 0
		case plane != table.SourceHosts && plane != table.SourcePoison:
			wait = pullAfter
		}
	}
	return wait
}

// near tells whether a peer is of this hall.
func (f *Follower) near(address string) bool {
	for _, h := range f.Snapshot().Hosts {
		if h.Address == address {
			return h.Hall == f.cfg.Hall
		}
	}
	return false
}

// askSeeds asks the next seed that was not asked; once all were and none held a configuration, it begins anew.
func (f *Follower) askSeeds(ctx context.Context) {
	if f.pulling {
		return
	}
	for _, seed := range f.cfg.Seeds {
		if !f.seedsAsked[seed] {
			f.pull(ctx, seed)
			return
		}
	}
	if !f.holdsConfig(f.Snapshot()) {
		clear(f.seedsAsked)
	}
}

// pull asks one peer for what is missing, in a goroutine of its own. A peer that does not even take the question, as a link
// does that carries nothing, holds up no other for longer than the time of a pull.
func (f *Follower) pull(ctx context.Context, address string) {
	f.pulling = true
	from := f.State().Revisions()
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	answer := make(chan pulled, 1)
	go func() {
		defer cancel()
		m := pulled{address: address}
		m.parts, m.err = f.pullFrom(ctx, address, from)
		answer <- m
	}()
	go func() {
		select {
		case m := <-answer:
			f.deliver(m)
		case <-ctx.Done():
			f.deliver(f.latePull(ctx, address, answer))
		}
	}()
}

// latePull is the result of a pull whose time is over: its answer if that came at the same moment.
func (f *Follower) latePull(ctx context.Context, address string, answer <-chan pulled) pulled {
	select {
	case m := <-answer:
		return m
	default:
		return pulled{address: address, err: fault.Wrap(ctx.Err(), fault.DeadlineExceeded, address, "pull took too long")}
	}
}

func (f *Follower) pullFrom(ctx context.Context, address string, from table.Revisions) ([]*peerpb.Delta, error) {
	s, err := f.links.Session(ctx, address)
	if err != nil {
		return nil, err
	}
	return s.Pull(ctx, from)
}

// pulled is the result of one pull.
type pulled struct {
	address string
	parts   []*peerpb.Delta
	err     error
}

func (m pulled) apply(ctx context.Context, f *Follower) {
	f.pulling = false
	f.seedsAsked[m.address] = true
	err := m.err
	if err == nil {
		f.heardAt = time.Now()
		err = f.applyParts(m.parts)
	}
	if code := fault.CodeOf(err); code == fault.BadRow || code == fault.Protocol {
		f.notePlatform(table.SourceRows, err)
	}
	f.checkReady()
	if !f.Snapshot().Ready {
		f.askSeeds(ctx)
	}
	f.pullNext(ctx)
}

// applyParts puts a peer's deltas in force; one that does not lead forward changes nothing, one that cannot be applied keeps no other
// from it.
func (f *Follower) applyParts(parts []*peerpb.Delta) error {
	deltas, hosts := fromParts(parts)
	var failed error
	for _, d := range deltas {
		if err := f.apply(d); err != nil {
			failed = err
		}
	}
	if hosts != nil {
		f.adoptHosts(*hosts)
	}
	return failed
}
