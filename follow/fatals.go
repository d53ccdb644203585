package follow

import (
	"github.com/lynxplank/lynxplank/fatal"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// noteFatals takes what a look has shown of requests under which endpoints ended; the look shows the store at a version. One that
// cannot be read is left out, and all others stand.
func (r *ownReader) noteFatals(recs []platform.Record, version uint64) error {
	held := r.fatals.Revisions()[table.PlaneFatal]
	d := table.Delta{Plane: table.PlaneFatal, From: held, To: held, Full: !r.loaded}
	for _, rec := range recs {
		row, err := fatal.RowOf(rec)
		if err != nil {
			r.f.leaveOut(rec.Key, err)
			continue
		}
		d.Rows = append(d.Rows, row)
		d.To = max(d.To, rec.Version)
	}
	if d.Full && r.lacks(d.Rows) {
		// A read of the whole table tells of a removal only by not showing the row: no row's version says when that was.
		d.To = version
	}
	next, err := r.fatals.With(d)
	if err != nil {
		return err
	}
	r.fatals = next
	return nil
}

// lacks tells whether some row that was known is not among these.
func (r *ownReader) lacks(rows []table.Row) bool {
	shown := make(map[string]bool, len(rows))
	for _, row := range rows {
		shown[row.Key] = true
	}
	gone := false
	r.fatals.Fatals(func(e table.Entry[table.Fatal]) { gone = gone || !shown[e.Key] })
	return gone
}
