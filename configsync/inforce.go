package configsync

import (
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/skipped"
	"github.com/lynxplank/lynxplank/table"
)

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
	events.RevisionActivated.Log(f.log).Uint64("revision", r[table.SourceRows]).
		Uint64("config", r[table.SourceConfig]).Uint64("hosts", r[table.SourceHosts]).
		Uint64("fatal", r[table.SourcePoison]).Uint64("halls", r[table.SourceHalls]).Send()
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

// adoptConfig puts a later configuration in force; what it leaves as it was keeps its revision.
func (f *Follower) adoptConfig(c platform.Config) error {
	state := f.State()
	if c.Version <= state.Revisions()[table.SourceConfig] {
		return nil
	}
	return f.apply(state.DeltaTo(table.SourceConfig, c.Version, c.Rows))
}

// adoptPlane brings a plane to a state that only holds its rows.
func (f *Follower) adoptPlane(p table.Source, s *table.State) error {
	from := f.State().Revisions()[p]
	if s.Revisions()[p] <= from {
		return nil
	}
	return f.apply(s.DeltaSince(p, from))
}

// adoptRead brings a plane of single rows to what a look has shown, which shows the store at a version. What was in force may have
// come from a peer that knew of a row which this look, a later one, does not show.
func (f *Follower) adoptRead(p table.Source, s *table.State, at uint64) error {
	if d, ok := f.readDelta(p, s, at); ok {
		return f.apply(d)
	}
	return nil
}

// readDelta returns what leads from the state in force to what a look has shown; false for nothing.
func (f *Follower) readDelta(p table.Source, s *table.State, at uint64) (table.Delta, bool) {
	held := f.State()
	switch from := held.Revisions()[p]; {
	case s.Revisions()[p] > from:
		return s.DeltaSince(p, from), true
	case at > from && !sameRows(p, held, s):
		d := table.Delta{Source: p, To: at, Full: true}
		s.RowsFrom(p, func(r table.Row) { d.Rows = append(d.Rows, r) })
		return d, true
	}
	return table.Delta{}, false
}

// sameRows tells whether two states hold the same rows of a plane, each as written by the same transaction.
func sameRows(p table.Source, a, b *table.State) bool {
	written := make(map[table.RowID]uint64)
	a.RowsFrom(p, func(r table.Row) { written[r.ID()] = r.Revision })
	same := true
	b.RowsFrom(p, func(r table.Row) {
		revision, ok := written[r.ID()]
		same = same && ok && revision == r.Revision
		delete(written, r.ID())
	})
	return same && len(written) == 0
}

// adoptReadHosts takes the list of hosts as the store showed it. A read of the whole table tells of hosts that are gone only
// by not showing them, and so counts whatever the newest line's version; one that is older than what a peer has told is
// followed by another.
func (f *Follower) adoptReadHosts(m ownRead) {
	if m.at < f.hosts.revision {
		return
	}
	revision := max(f.hosts.revision, m.hosts.revision)
	f.hosts = m.hosts
	f.hosts.revision = revision
	f.putHosts()
}

// adoptHosts puts a peer's changes of the hosts in force, and the endpoints that these announce.
func (f *Follower) adoptHosts(c hostChanges) {
	next, ok := f.hosts.with(c)
	if !ok {
		return
	}
	f.hosts = next
	f.putHosts()
}

// putHosts publishes the list of hosts with this host's own line as this node knows it.
func (f *Follower) putHosts() {
	hosts, line := f.hostsWithSelf()
	var announced []table.Announced
	for _, h := range hosts {
		announced = append(announced, h.Endpoints...)
	}
	old := f.Snapshot()
	next := *old
	next.State = old.State.WithEndpoints(f.hosts.revision, announced)
	next.Hosts = hosts
	next.list = f.hosts
	next.StoredAnnouncement = line
	next.ByID = make(map[string]table.HostInfo, len(hosts))
	for _, h := range hosts {
		next.ByID[h.ID] = h
	}
	next.ranked = rankHosts(hosts)
	if here := hallHosts(hosts, f.cfg.Hall); !slices.Equal(here, old.HallHosts) {
		next.HallHosts = here
	}
	f.publish(&next)
}

// hallHosts returns the names of a hall's hosts, in order.
func hallHosts(hosts []table.HostInfo, hall string) []string {
	var names []string
	for _, h := range hosts {
		if h.Hall == hall {
			names = append(names, h.ID)
		}
	}
	slices.Sort(names)
	return names
}

// hostsWithSelf returns the newest list with this host's own line in place of the one that it shows, and that one.
func (f *Follower) hostsWithSelf() (hosts []table.HostInfo, shown table.HostInfo) {
	hosts = slices.Clone(f.hosts.hosts)
	p := f.self.Load()
	if p == nil {
		return hosts, shown
	}
	self := *p
	i := slices.IndexFunc(hosts, func(h table.HostInfo) bool { return h.ID == self.ID })
	if i < 0 {
		return append(hosts, self), shown
	}
	shown = hosts[i]
	self.Version = shown.Version
	hosts[i] = self
	return hosts, shown
}

// publish puts a snapshot in force and tells the hooks and the peers.
func (f *Follower) publish(snap *Snapshot) {
	old := f.current.Swap(snap)
	unread := make(map[string]string)
	snap.State.UndecodableRows(func(u table.UndecodableRow) { unread[u.Kind.String()+" "+u.Key] = u.Detail })
	f.leftOut.Replace(skipped.Table, unread)
	f.tellHalls(old, snap)
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
		Uint64("config", snap.State.Revisions()[table.SourceConfig]).
		Dur("after", time.Since(f.startedAt)).Bool("from_platform", said).Send()
}

// holdsConfig tells whether the node has a configuration to serve by.
func (f *Follower) holdsConfig(snap *Snapshot) bool {
	if f.cfg.WithConfig {
		return snap.State.Revisions()[table.SourceConfig] > 0
	}
	return snap.State.Revision() > 0
}

// notePlatform notes whether the platform has answered for one plane, and logs what is new of it.
func (f *Follower) notePlatform(p table.Source, err error) {
	s := f.sources[p]
	switch code := fault.CodeOf(err); {
	case err == nil:
		if s.down {
			events.PlatformBack.Log(f.log).Str("plane", p.String()).Send()
		}
		s.down = false
		s.said = true
	case code == fault.Gone:
		events.HistoryGone.Log(f.log).Str("plane", p.String()).Err(err).Send()
	case code == fault.BadRow || code == fault.Protocol:
		events.BadTable.Log(f.log).Str("plane", p.String()).Err(err).Send()
	default:
		if !s.down {
			events.PlatformLost.Log(f.log).Str("plane", p.String()).Err(err).Send()
		}
		s.down = true
	}
}
