package configsync

import (
	"math"
	"slices"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// rowsPerPart keeps a part of the table well under the largest frame.
const rowsPerPart = 2000

// Deltas returns what leads a peer from its revisions to the snapshot's, in parts that fit a frame; changesOnly tells
// whether it takes the hosts' changes alone.
func Deltas(snap *Snapshot, from table.Revisions, changesOnly bool) []*peerpb.Delta {
	var parts []*peerpb.Delta
	to := snap.State.Revisions()
	for _, p := range []table.Source{table.SourceRows, table.SourceConfig, table.SourcePoison, table.SourceHalls} {
		if to[p] > from[p] {
			parts = append(parts, planeDeltas(snap.State.DeltaSince(p, from[p]))...)
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

// planeDeltas is a plane's delta in parts that fit a frame.
func planeDeltas(whole table.Delta) []*peerpb.Delta {
	var parts []*peerpb.Delta
	for start := 0; start < len(whole.Rows) || start == 0; start += rowsPerPart {
		end := min(start+rowsPerPart, len(whole.Rows))
		d := &peerpb.Delta{From: whole.From, To: whole.To, Full: whole.Full, Plane: uint32(whole.Source), Steps: whole.Steps}
		for _, r := range whole.Rows[start:end] {
			d.Rows = append(d.Rows, toWire(r))
		}
		parts = append(parts, d)
	}
	return parts
}

// hostsSince returns what of the hosts a peer lacks, the whole list to one that does not take changes only. This host's own line goes as its node knows it, which may be newer
// than the store's.
func (s *Snapshot) hostsSince(from uint64, changesOnly bool) hostChanges {
	c := s.list.since(from)
	if c.from == 0 || !changesOnly {
		return hostChanges{revision: s.list.revision, base: s.list.base, hosts: s.Hosts}
	}
	own, ok := s.ByID[s.StoredAnnouncement.ID]
	if !ok || slices.ContainsFunc(c.hosts, func(h table.HostInfo) bool { return h.ID == own.ID }) {
		return c
	}
	c.hosts = append(c.hosts, own)
	return c
}

// hostsDelta is the wire's form of changes; changesOf reads it.
func hostsDelta(c hostChanges) *peerpb.Delta {
	d := &peerpb.Delta{
		Plane: uint32(table.SourceHosts), HostsRevision: c.revision, HostsFrom: c.from, HostsBase: c.base,
	}
	for _, g := range c.gone {
		d.Gone = append(d.Gone, &peerpb.GoneHost{Id: g.id, Version: g.version})
	}
	for _, h := range c.hosts {
		d.Hosts = append(d.Hosts, hostToWire(h))
	}
	return d
}

func hostToWire(h table.HostInfo) *peerpb.Host {
	line := &peerpb.Host{
		Id: h.ID, Hall: h.Hall, Address: h.Address, Leaving: h.Leaving, Version: h.Version, Incarnation: h.Incarnation,
	}
	for _, e := range h.Endpoints {
		line.Endpoints = append(line.Endpoints, toWire(table.Encode(table.KindEndpoint, e.Key, table.Meta{}, e.Value)))
	}
	return line
}

func hostFromWire(h *peerpb.Host) table.HostInfo {
	info := table.HostInfo{
		ID: h.GetId(), Hall: h.GetHall(), Address: h.GetAddress(), Leaving: h.GetLeaving(),
		Version: h.GetVersion(), Incarnation: h.GetIncarnation(),
	}
	for _, r := range h.GetEndpoints() {
		// A row of another program's version that cannot be read is no endpoint for this one.
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

// fromParts puts a peer's pieces together: one delta for each plane, and the changes of the hosts, nil for none.
func fromParts(parts []*peerpb.Delta) (deltas []table.Delta, hosts *hostChanges) {
	for _, p := range parts {
		if p.GetHostsRevision() > 0 {
			hosts = changesOf(p)
			continue
		}
		plane := table.Source(min(p.GetPlane(), math.MaxUint8))
		if !plane.Valid() {
			// A part that a later program has and this one does not.
			continue
		}
		if len(deltas) == 0 || deltas[len(deltas)-1].Source != plane {
			deltas = append(deltas, table.Delta{
				Source: plane, From: p.GetFrom(), To: p.GetTo(), Full: p.GetFull(), Steps: p.GetSteps(),
			})
		}
		last := &deltas[len(deltas)-1]
		for _, r := range p.GetRows() {
			last.Rows = append(last.Rows, fromWire(r))
		}
	}
	return deltas, hosts
}

// changesOf reads the changes of the hosts that hostsDelta wrote.
func changesOf(p *peerpb.Delta) *hostChanges {
	c := &hostChanges{
		from: p.GetHostsFrom(), revision: p.GetHostsRevision(), base: p.GetHostsBase(),
		hosts: make([]table.HostInfo, 0, len(p.GetHosts())),
	}
	for _, h := range p.GetHosts() {
		if line := hostFromWire(h); checkLine(h.GetId(), line) == nil {
			c.hosts = append(c.hosts, line)
		}
	}
	for _, g := range p.GetGone() {
		c.gone = append(c.gone, goneHost{id: g.GetId(), version: g.GetVersion()})
	}
	return c
}
