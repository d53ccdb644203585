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

// activate makes a later state the active one.
//
// Invariant: no active revision ever decreases; every other part of the node relies on it.
func (f *Follower) activate(s *table.State) {
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
		Uint64("fatal", r[table.SourcePoison]).Uint64("halls", r[table.SourceHalls]).Str("peer", f.pulledFrom).Send()
}

// apply activates a delta on top of the active state.
func (f *Follower) apply(delta table.Delta) error {
	next, err := f.State().With(delta)
	if err != nil {
		return err
	}
	f.activate(next)
	return nil
}

// activateConfig activates a later configuration; rows that it leaves unchanged keep their revision.
func (f *Follower) activateConfig(c platform.Config) error {
	state := f.State()
	if c.Version <= state.Revisions()[table.SourceConfig] {
		return nil
	}
	return f.apply(state.DeltaTo(table.SourceConfig, c.Version, c.Rows))
}

// activateSource updates one source to a state that holds only the rows of that source.
func (f *Follower) activateSource(source table.Source, s *table.State) error {
	from := f.State().Revisions()[source]
	if s.Revisions()[source] <= from {
		return nil
	}
	return f.apply(s.DeltaSince(source, from))
}

// activateRead updates a source of separately stored rows to the result of a read; at is the store version that the
// read shows. The active rows may include one that came from a peer and that this later read does not show any more.
func (f *Follower) activateRead(source table.Source, s *table.State, at uint64) error {
	if d, ok := f.readDelta(source, s, at); ok {
		return f.apply(d)
	}
	return nil
}

// readDelta returns the delta from the active state to the result of a read; false if nothing changes.
func (f *Follower) readDelta(source table.Source, s *table.State, at uint64) (table.Delta, bool) {
	active := f.State()
	switch from := active.Revisions()[source]; {
	case s.Revisions()[source] > from:
		return s.DeltaSince(source, from), true
	case at > from && !sameRows(source, active, s):
		d := table.Delta{Source: source, To: at, Full: true}
		s.RowsFrom(source, func(r table.Row) { d.Rows = append(d.Rows, r) })
		return d, true
	}
	return table.Delta{}, false
}

// sameRows reports whether two states hold the same rows of a source, each written by the same transaction.
func sameRows(source table.Source, a, b *table.State) bool {
	written := make(map[table.RowID]uint64)
	a.RowsFrom(source, func(r table.Row) { written[r.ID()] = r.Revision })
	same := true
	b.RowsFrom(source, func(r table.Row) {
		revision, ok := written[r.ID()]
		same = same && ok && revision == r.Revision
		delete(written, r.ID())
	})
	return same && len(written) == 0
}

// activateHostsRead activates the list of hosts that a read of the store has returned. A read of the whole table shows
// a removal only by the host's absence, so the list is activated even if its newest announcement is older than the
// active revision. A read of an older store version than the newest known list is dropped, and another read follows; a read
// without changes leaves the list as it is.
func (f *Follower) activateHostsRead(m productRead) {
	if m.at < f.hosts.revision || f.hostsRead && m.unchanged && m.hosts.revision == f.hosts.revision {
		return
	}
	f.hostsRead = true
	revision := max(f.hosts.revision, m.hosts.revision)
	f.hosts = m.hosts
	f.hosts.revision = revision
	f.publishHosts()
}

// activateHostChanges activates a peer's changes of the list of hosts, and the endpoints that these hosts announce.
func (f *Follower) activateHostChanges(c hostChanges) {
	next, ok := f.hosts.with(c)
	if !ok {
		return
	}
	f.hosts = next
	f.publishHosts()
}

// publishHosts publishes the list of hosts, with this node's local announcement in place of its stored one.
func (f *Follower) publishHosts() {
	hosts, stored := f.hostsWithSelf()
	var announced []table.Announced
	for _, h := range hosts {
		announced = append(announced, h.Endpoints...)
	}
	old := f.Snapshot()
	next := *old
	next.State = old.State.WithEndpoints(f.hosts.revision, announced)
	next.Hosts = hosts
	next.list = f.hosts
	next.StoredAnnouncement, next.HostsRead = stored, f.hostsRead
	next.ByID = make(map[string]table.HostInfo, len(hosts))
	for _, h := range hosts {
		next.ByID[h.ID] = h
	}
	next.ranked = rankHosts(hosts)
	if names := hallHosts(hosts, f.cfg.Hall); !slices.Equal(names, old.HallHosts) {
		next.HallHosts = names
	}
	f.publish(&next)
}

// hallHosts returns the sorted names of the hosts in a hall.
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

// hostsWithSelf returns the newest list of hosts with this node's local announcement in place of the stored one, and
// the stored one.
func (f *Follower) hostsWithSelf() (hosts []table.HostInfo, stored table.HostInfo) {
	hosts = slices.Clone(f.hosts.hosts)
	p := f.self.Load()
	if p == nil {
		return hosts, stored
	}
	self := *p
	i := slices.IndexFunc(hosts, func(h table.HostInfo) bool { return h.ID == self.ID })
	if i < 0 {
		return append(hosts, self), stored
	}
	stored = hosts[i]
	self.Version = stored.Version
	hosts[i] = self
	return hosts, stored
}

// publish makes a snapshot the active one and notifies the hooks and the peers.
func (f *Follower) publish(snap *Snapshot) {
	old := f.current.Swap(snap)
	undecodable := make(map[string]string)
	snap.State.UndecodableRows(func(u table.UndecodableRow) { undecodable[u.Kind.String()+" "+u.Key] = u.Detail })
	f.skippedList.Replace(skipped.Table, undecodable)
	f.logEvacuations(old, snap)
	for _, hook := range f.onChange {
		hook(snap)
	}
	f.links.Announce(snap.State.Revisions(), f.otherReaders(old, snap))
}

// otherReaders returns the nodes of other halls that are notified of a snapshot at once: the readers of their halls, if this node
// has read a change of the operators itself. Theirs may have lost the platform without knowing it.
func (f *Follower) otherReaders(old, next *Snapshot) func(node string) bool {
	none := func(string) bool { return false }
	if f.pulledFrom != "" {
		return none
	}
	before, after := old.State.Revisions(), next.State.Revisions()
	for _, source := range []table.Source{table.SourceRows, table.SourceConfig, table.SourceHalls} {
		if after[source] > before[source] {
			return next.readsForOtherHall(f.cfg.Hall, max(f.cfg.Readers, f.cfg.ConfigReaders))
		}
	}
	return none
}

// readsForOtherHall reports of a node whether it is one of the count highest-ranked hosts of another hall.
func (s *Snapshot) readsForOtherHall(own string, count int) func(node string) bool {
	return func(node string) bool {
		hall := s.ByID[node].Hall
		return hall != own && slices.ContainsFunc(s.ranked.readers(hall, count, anyHost), func(h table.HostInfo) bool { return h.ID == node })
	}
}

// checkReady makes the node ready once the platform has answered for every table that the node reads. While the
// platform does not answer, the node becomes ready once every reachable seed has answered and one of them had a
// configuration.
func (f *Follower) checkReady() {
	snap := f.Snapshot()
	if snap.Ready {
		return
	}
	answered, down := true, false
	for _, s := range f.sources {
		answered = answered && s.answered
		down = down || s.down
	}
	seedsDone := len(f.seedsAsked) >= len(f.cfg.Seeds) && down && f.holdsConfig(snap)
	if f.cfg.WithConfig && !f.holdsConfig(snap) || !answered && !seedsDone {
		return
	}
	next := *snap
	next.Ready = true
	f.publish(&next)
	events.ConfigReady.Log(f.log).Uint64("revision", snap.State.Revision()).
		Uint64("config", snap.State.Revisions()[table.SourceConfig]).
		Dur("after", time.Since(f.startedAt)).Bool("from_platform", answered).Send()
}

// holdsConfig reports whether the node has a configuration to serve with.
func (f *Follower) holdsConfig(snap *Snapshot) bool {
	if f.cfg.WithConfig {
		return snap.State.Revisions()[table.SourceConfig] > 0
	}
	return snap.State.Revision() > 0
}

// recordSourceStatus records whether the platform has answered for a source, and logs what has changed.
func (f *Follower) recordSourceStatus(source table.Source, err error) {
	s := f.sources[source]
	switch code := fault.CodeOf(err); {
	case err == nil:
		if s.down {
			events.PlatformBack.Log(f.log).Str("plane", source.String()).Send()
		}
		s.down = false
		s.answered = true
	case code == fault.Gone:
		events.HistoryGone.Log(f.log).Str("plane", source.String()).Err(err).Send()
	case code == fault.BadRow || code == fault.Protocol:
		events.BadTable.Log(f.log).Str("plane", source.String()).Err(err).Send()
	default:
		if !s.down {
			events.PlatformLost.Log(f.log).Str("plane", source.String()).Err(err).Send()
		}
		s.down = true
	}
}
