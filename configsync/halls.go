package configsync

import (
	"slices"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/skipped"
	"github.com/lynxplank/lynxplank/table"
)

// noteHalls takes what a look has shown of halls that the platform's operators evacuate or take back.
func (r *configReader) noteHalls(recs platform.Records) error {
	now := time.Now()
	var rows []table.Row
	for _, rec := range recs.Records {
		hall, ok := strings.CutPrefix(rec.Key, platform.EvacuatePrefix)
		if !ok {
			continue
		}
		row, err := evacuationOf(hall, rec, now)
		if err != nil {
			r.f.leftOut.Note(skipped.Halls, rec.Key, err.Error())
			continue
		}
		rows = append(rows, row)
	}
	if len(rows) == 0 && r.loaded {
		return nil
	}
	return r.halls.note(rows, !r.loaded, recs.Version)
}

// evacuationOf returns the row of a hall that is evacuated, or its removal; BadRow where the record names no hall.
func evacuationOf(hall string, rec platform.Record, now time.Time) (table.Row, error) {
	meta := table.Meta{Version: rec.Version, Revision: rec.Version, Source: table.SourceHalls}
	if rec.Deleted {
		return table.Row{Kind: table.KindEvacuation, Key: hall, Meta: meta, Deleted: true}, nil
	}
	row, err := table.NewRow(table.KindEvacuation, hall, table.Encode(table.KindEvacuation, hall, meta, table.Evacuation{At: table.MomentOf(now)}).Cells)
	row.Meta = meta
	return row, err
}

// tellHalls logs the halls that are evacuated, or taken back, by a new snapshot.
func (f *Follower) tellHalls(old, next *Snapshot) {
	if old.State == next.State {
		return
	}
	before, after := old.State.EvacuatedHalls(), next.State.EvacuatedHalls()
	in := func(list []table.EvacuatedHall, hall string) bool {
		return slices.ContainsFunc(list, func(h table.EvacuatedHall) bool { return h.Hall == hall })
	}
	for _, h := range after {
		if !in(before, h.Hall) {
			events.HallEvacuated.Log(f.log).Str("hall", h.Hall).Str("by", h.By).Bool("known", f.hasHall(next, h.Hall)).Send()
		}
	}
	for _, h := range before {
		if !in(after, h.Hall) {
			events.HallReturned.Log(f.log).Str("hall", h.Hall).Send()
		}
	}
}

// hasHall tells whether some host stands in a hall.
func (f *Follower) hasHall(snap *Snapshot, hall string) bool {
	return hall == f.cfg.Hall || slices.ContainsFunc(snap.Hosts, func(h table.HostInfo) bool { return h.Hall == hall })
}
