package configsync

import (
	"github.com/lynxplank/lynxplank/table"
)

// rowPlane follows a plane whose rows stand one by one in a table of the store, each with a version of its own; one goroutine owns it.
//
// Invariant: a state at a revision shows every change of its rows up to that version of the store, so that of two the later one holds.
type rowPlane struct {
	plane table.Source
	// state holds the plane's rows only.
	state *table.State
}

func newRowPlane(p table.Source) *rowPlane { return &rowPlane{plane: p, state: table.NewState()} }

// note takes the rows that a look has shown, whole for a look at all of them; the look shows the store at a version.
func (r *rowPlane) note(rows []table.Row, whole bool, version uint64) error {
	held := r.state.Revisions()[r.plane]
	d := table.Delta{Source: r.plane, From: held, To: held, Full: whole, Rows: rows}
	for _, row := range rows {
		d.To = max(d.To, row.Revision)
	}
	if whole && r.lacks(rows) {
		// A read of the whole table tells of a removal only by not showing the row: no row's version says when that was.
		d.To = version
	}
	next, err := r.state.With(d)
	if err != nil {
		return err
	}
	r.state = next
	return nil
}

// lacks tells whether some row that was known is not among these.
func (r *rowPlane) lacks(rows []table.Row) bool {
	shown := make(map[table.RowID]bool, len(rows))
	for _, row := range rows {
		shown[row.ID()] = true
	}
	gone := false
	r.state.RowsFrom(r.plane, func(row table.Row) { gone = gone || !shown[row.ID()] })
	return gone
}
