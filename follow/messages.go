package follow

import (
	"context"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// message is one event for the control goroutine.
type message interface {
	apply(ctx context.Context, f *Follower)
}

// heard notes that a reader is linked and answers.
type heard struct{}

func (heard) apply(_ context.Context, f *Follower) { f.heardAt = time.Now() }

// polled is the result of one look at the platform.
type polled struct {
	state    *table.State
	hosts    []table.HostInfo
	hasHosts bool
	err      error
}

func (m polled) apply(_ context.Context, f *Follower) {
	f.polling = false
	f.notePlatform(m.err)
	if m.state != nil {
		f.adopt(m.state)
	}
	if m.hasHosts {
		f.adoptHosts(m.hosts)
	}
	f.checkReady()
}

// hint tells that a peer shows a later revision or another list of hosts.
type hint struct {
	peer     string
	revision uint64
	hosts    uint64
}

func (m hint) apply(ctx context.Context, f *Follower) {
	f.heardAt = time.Now()
	address := f.addressOf(m.peer)
	if address == "" {
		return
	}
	if m.revision <= f.State().Revision() {
		f.hintHosts(ctx, address, m.hosts)
		return
	}
	f.wanted[address] = m.revision
	f.pullNext(ctx)
}

// hintHosts pulls the list of hosts from the hall's first reader, at most once a second: the others may lag or lead.
func (f *Follower) hintHosts(ctx context.Context, address string, digest uint64) {
	hosts := f.Snapshot().Hosts
	first := Readers(hosts, f.cfg.Hall, 1)
	fromFirst := len(first) == 1 && first[0].Address == address
	if !fromFirst || f.isReader(hosts) || digest == hostsDigest(hosts) {
		return
	}
	if f.pulling || time.Since(f.hostsAt) < hostsPause {
		return
	}
	f.hostsAt = time.Now()
	f.pull(ctx, address)
}

const hostsPause = time.Second

// addressOf takes a peer's address or its host id.
func (f *Follower) addressOf(name string) string {
	for _, h := range f.Snapshot().Hosts {
		if h.ID == name || h.Address == name {
			return h.Address
		}
	}
	for _, seed := range f.cfg.Seeds {
		if seed == name {
			return seed
		}
	}
	return ""
}

// pullNext pulls from one peer that shows a later revision; at most one pull is under way.
func (f *Follower) pullNext(ctx context.Context) {
	if f.pulling {
		return
	}
	for address, revision := range f.wanted {
		delete(f.wanted, address)
		if revision > f.State().Revision() {
			f.pull(ctx, address)
			return
		}
	}
}

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
	if f.State().Revision() == 0 {
		clear(f.seedsAsked)
	}
}

// pull asks one peer for what is missing, in a goroutine of its own.
func (f *Follower) pull(ctx context.Context, address string) {
	f.pulling = true
	snap := f.Snapshot()
	state := snap.State
	go func() {
		ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
		defer cancel()
		m := pulled{address: address}
		m.parts, m.err = f.pullFrom(ctx, address, state.Revision(), hostsDigest(snap.Hosts))
		if m.err == nil {
			m.state, m.err = applyParts(state, m.parts)
		}
		f.deliver(ctx, m)
	}()
}

func (f *Follower) pullFrom(ctx context.Context, address string, from, hosts uint64) ([]*peerpb.Delta, error) {
	s, err := f.links.Session(ctx, address)
	if err != nil {
		return nil, err
	}
	return s.Pull(ctx, from, hosts)
}

// pulled is the result of one pull.
type pulled struct {
	address string
	parts   []*peerpb.Delta
	state   *table.State
	err     error
}

func (m pulled) apply(ctx context.Context, f *Follower) {
	f.pulling = false
	f.seedsAsked[m.address] = true
	if m.err == nil {
		f.heardAt = time.Now()
		f.adopt(m.state)
		if hosts := hostsOf(m.parts); len(hosts) > 0 && (f.platformDown || len(f.Snapshot().Hosts) == 0 || !f.isReader(f.Snapshot().Hosts)) {
			f.adoptHosts(hosts)
		}
	} else {
		f.notePullError(m)
	}
	f.checkReady()
	if !f.Snapshot().Ready {
		f.askSeeds(ctx)
	}
	f.pullNext(ctx)
}

func (f *Follower) notePullError(m pulled) {
	if code := fault.CodeOf(m.err); code == fault.BadRow || code == fault.Protocol {
		f.notePlatform(m.err)
	}
}
