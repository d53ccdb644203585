package configsync

import (
	"math"
	"slices"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// rowsPerDelta keeps one part of a delta well below the maximum frame size.
const rowsPerDelta = 2000

// Deltas returns the changes from a peer's revisions to those of the snapshot, in parts that fit a frame. changesOnly
// is true if the peer accepts changes of the list of hosts instead of the whole list.
func Deltas(snap *Snapshot, from table.Revisions, changesOnly bool) []*peerpb.Delta {
	var parts []*peerpb.Delta
	to := snap.State.Revisions()
	for _, source := range []table.Source{table.SourceRows, table.SourceConfig, table.SourcePoison, table.SourceHalls} {
		if to[source] > from[source] {
			parts = append(parts, sourceDeltas(snap.State.DeltaSince(source, from[source]))...)
		}
	}
	if to[table.SourceHosts] > from[table.SourceHosts] {
		parts = append(parts, hostsDelta(snap.hostsSince(from[table.SourceHosts], changesOnly)))
	}
	if len(parts) == 0 {
		parts = append(parts, &peerpb.Delta{})
	}
	for _, d := range parts[:len(parts)-1] {
		d.More = true
	}
	return parts
}

// sourceDeltas splits a source's delta into parts that fit a frame.
func sourceDeltas(whole table.Delta) []*peerpb.Delta {
	var parts []*peerpb.Delta
	for start := 0; start < len(whole.Rows) || start == 0; start += rowsPerDelta {
		end := min(start+rowsPerDelta, len(whole.Rows))
		d := &peerpb.Delta{From: whole.From, To: whole.To, Full: whole.Full, Plane: uint32(whole.Source), Steps: whole.Steps}
		for _, r := range whole.Rows[start:end] {
			d.Rows = append(d.Rows, toWire(r))
		}
		parts = append(parts, d)
	}
	return parts
}

// hostsSince returns the changes of the list of hosts that a peer lacks, or the whole list if the peer does not accept
// changes. It includes this host's own announcement.
func (s *Snapshot) hostsSince(from uint64, changesOnly bool) hostChanges {
	c := s.list.since(from)
	own, ok := s.ownAnnouncement()
	isOwn := func(h table.HostInfo) bool { return ok && h.ID == own.ID }
	if c.from == 0 || !changesOnly {
		c = hostChanges{revision: s.list.revision, base: s.list.base, hosts: s.Hosts}
		if i := slices.IndexFunc(c.hosts, isOwn); i >= 0 {
			c.hosts = slices.Clone(c.hosts)
			c.hosts[i] = own
		}
		return c
	}
	if ok && !slices.ContainsFunc(c.hosts, isOwn) {
		c.hosts = append(c.hosts, own)
	}
	return c
}

// ownAnnouncement returns this host's announcement for peers, false while the list of hosts has none: the local one, which may
// be newer than the stored one, but with the stored endpoints until one has reported to this process. Peers keep what they
// receive under the version of the stored one.
func (s *Snapshot) ownAnnouncement() (own table.HostInfo, ok bool) {
	own, ok = s.ByID[s.StoredAnnouncement.ID]
	if len(own.Endpoints) == 0 {
		own.Endpoints, own.PastIncarnations = s.StoredAnnouncement.Endpoints, s.StoredAnnouncement.PastIncarnations
	}
	return own, ok
}

// hostsDelta encodes changes of the list of hosts; changesFromWire decodes them. The wire calls a removed host gone.
func hostsDelta(c hostChanges) *peerpb.Delta {
	d := &peerpb.Delta{
		Plane: uint32(table.SourceHosts), HostsRevision: c.revision, HostsFrom: c.from, HostsBase: c.base,
	}
	for _, removed := range c.removed {
		d.Gone = append(d.Gone, &peerpb.GoneHost{Id: removed.id, Version: removed.version})
	}
	for _, h := range c.hosts {
		d.Hosts = append(d.Hosts, hostToWire(h))
	}
	return d
}

func hostToWire(h table.HostInfo) *peerpb.Host {
	host := &peerpb.Host{
		Id: h.ID, Hall: h.Hall, Address: h.Address, Leaving: h.Leaving, Version: h.Version, Incarnation: h.Incarnation,
		Ended: h.Ended, Replaced: h.Replaced,
	}
	for _, e := range h.Endpoints {
		host.Endpoints = append(host.Endpoints, toWire(table.Encode(table.KindEndpoint, e.Key, table.Meta{}, e.Value)))
	}
	return host
}

func hostFromWire(h *peerpb.Host) table.HostInfo {
	info := table.HostInfo{
		ID: h.GetId(), Hall: h.GetHall(), Address: h.GetAddress(), Leaving: h.GetLeaving(),
		Version: h.GetVersion(), Incarnation: h.GetIncarnation(),
		PastIncarnations: table.PastIncarnations{Ended: h.GetEnded(), Replaced: h.GetReplaced()},
	}
	for _, r := range h.GetEndpoints() {
		// A row written by another version of the program that cannot be decoded is skipped.
		if value, err := table.Decode[table.Endpoint](fromWire(r)); err == nil {
			info.Endpoints = append(info.Endpoints, table.Announced{Key: r.GetKey(), Value: value})
		}
	}
	return info
}

func toWire(r table.Row) *peerpb.Row {
	r = r.Trimmed()
	return &peerpb.Row{
		Kind: uint32(r.Kind), Key: r.Key, Version: r.Version, Revision: r.Revision,
		Deleted: r.Deleted, Cells: r.Cells,
	}
}

func fromWire(r *peerpb.Row) table.Row {
	return table.Row{
		Meta: table.Meta{Version: r.GetVersion(), Revision: r.GetRevision()},
		Kind: table.Kind(min(r.GetKind(), math.MaxUint8)), Key: r.GetKey(), Deleted: r.GetDeleted(), Cells: r.GetCells(),
	}
}

// deltasFromParts joins the parts sent by a peer into one delta for each source, and returns the changes of the list of
// hosts, nil for none.
func deltasFromParts(parts []*peerpb.Delta) (deltas []table.Delta, hosts *hostChanges) {
	for _, p := range parts {
		if p.GetHostsRevision() > 0 {
			hosts = changesFromWire(p)
			continue
		}
		source := table.Source(min(p.GetPlane(), math.MaxUint8))
		if !source.Valid() {
			// A source that only a newer version of the program has.
			continue
		}
		if len(deltas) == 0 || deltas[len(deltas)-1].Source != source {
			deltas = append(deltas, table.Delta{
				Source: source, From: p.GetFrom(), To: p.GetTo(), Full: p.GetFull(), Steps: p.GetSteps(),
			})
		}
		last := &deltas[len(deltas)-1]
		for _, r := range p.GetRows() {
			last.Rows = append(last.Rows, fromWire(r))
		}
	}
	return deltas, hosts
}

// changesFromWire decodes the changes of the list of hosts that hostsDelta has encoded.
func changesFromWire(p *peerpb.Delta) *hostChanges {
	c := &hostChanges{
		from: p.GetHostsFrom(), revision: p.GetHostsRevision(), base: p.GetHostsBase(),
		hosts: make([]table.HostInfo, 0, len(p.GetHosts())),
	}
	for _, h := range p.GetHosts() {
		if host := hostFromWire(h); checkAnnouncement(h.GetId(), host) == nil {
			c.hosts = append(c.hosts, host)
		}
	}
	for _, removed := range p.GetGone() {
		c.removed = append(c.removed, removedHost{id: removed.GetId(), version: removed.GetVersion()})
	}
	return c
}
