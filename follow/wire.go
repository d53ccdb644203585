package follow

import (
	"math"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// rowsPerPart keeps a part of the table well under the largest frame.
const rowsPerPart = 2000

// Deltas returns what leads a peer from a revision to the snapshot's, in parts that fit a frame; with it goes the list
// of hosts, unless the peer's has the same digest.
func Deltas(snap *Snapshot, from, hosts uint64) []*peerpb.Delta {
	rows, ok := snap.State.Since(from)
	full := !ok
	if full {
		snap.State.Rows(func(r table.Row) { rows = append(rows, r) })
	}
	to := snap.State.Revision()
	var parts []*peerpb.Delta
	for start := 0; start < len(rows) || start == 0; start += rowsPerPart {
		end := min(start+rowsPerPart, len(rows))
		d := &peerpb.Delta{From: from, To: to, Full: full, More: end < len(rows)}
		for _, r := range rows[start:end] {
			d.Rows = append(d.Rows, toWire(r))
		}
		parts = append(parts, d)
	}
	if hosts == hostsDigest(snap.Hosts) {
		return parts
	}
	for _, h := range snap.Hosts {
		parts[0].Hosts = append(parts[0].Hosts, &peerpb.Host{Id: h.ID, Hall: h.Hall, Address: h.Address, Leaving: h.Leaving})
	}
	return parts
}

func toWire(r table.Row) *peerpb.Row {
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

// applyParts returns the state after a peer's delta; a delta that does not lead forward changes nothing.
func applyParts(s *table.State, parts []*peerpb.Delta) (*table.State, error) {
	d := table.Delta{}
	for i, p := range parts {
		if i == 0 {
			d.From, d.To, d.Full = p.GetFrom(), p.GetTo(), p.GetFull()
		}
		for _, r := range p.GetRows() {
			d.Rows = append(d.Rows, fromWire(r))
		}
	}
	return s.With(d)
}

func hostsOf(parts []*peerpb.Delta) []table.HostInfo {
	var out []table.HostInfo
	for _, p := range parts {
		for _, h := range p.GetHosts() {
			out = append(out, table.HostInfo{ID: h.GetId(), Hall: h.GetHall(), Address: h.GetAddress(), Leaving: h.GetLeaving()})
		}
	}
	return out
}
