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

// applyHallRecords applies the records of halls that the platform's operators evacuate or return to service.
func (r *configReader) applyHallRecords(recs platform.Records) error {
	now := time.Now()
	var rows []table.Row
	for _, rec := range recs.Records {
		hall, ok := strings.CutPrefix(rec.Key, platform.EvacuatePrefix)
		if !ok {
			continue
		}
		row, err := evacuationOf(hall, rec, now)
		if err != nil {
			r.f.skippedList.Note(skipped.Halls, rec.Key, err.Error())
			continue
		}
		rows = append(rows, row)
	}
	if len(rows) == 0 && r.loaded {
		return nil
	}
	return r.halls.note(rows, !r.loaded, recs.Version)
}

// evacuationOf returns the row of an evacuated hall, or its removal; BadRow if the record does not name a hall.
func evacuationOf(hall string, rec platform.Record, now time.Time) (table.Row, error) {
	meta := table.Meta{Version: rec.Version, Revision: rec.Version, Source: table.SourceHalls}
	if rec.Deleted {
		return table.Row{Kind: table.KindEvacuation, Key: hall, Meta: meta, Deleted: true}, nil
	}
	row, err := table.NewRow(table.KindEvacuation, hall, table.Encode(table.KindEvacuation, hall, meta, table.Evacuation{At: table.MomentOf(now)}).Cells)
	row.Meta = meta
	return row, err
}

// logEvacuations logs the halls that a new snapshot evacuates or returns to service.
func (f *Follower) logEvacuations(old, next *Snapshot) {
	if old.State == next.State {
		return
	}
	before, after := old.State.EvacuatedHalls(), next.State.EvacuatedHalls()
	contains := func(list []table.EvacuatedHall, hall string) bool {
		return slices.ContainsFunc(list, func(h table.EvacuatedHall) bool { return h.Hall == hall })
	}
	for _, h := range after {
		if !contains(before, h.Hall) {
			events.HallEvacuated.Log(f.log).Str("hall", h.Hall).Str("by", h.By).Bool("known", f.hasHall(next, h.Hall)).Send()
		}
	}
	for _, h := range before {
		if !contains(after, h.Hall) {
			events.HallReturned.Log(f.log).Str("hall", h.Hall).Send()
		}
	}
}

// hasHall reports whether a hall has any host.
func (f *Follower) hasHall(snap *Snapshot, hall string) bool {
	return hall == f.cfg.Hall || slices.ContainsFunc(snap.Hosts, func(h table.HostInfo) bool { return h.Hall == hall })
}
