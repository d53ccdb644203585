package configsync

import (
	"github.com/lynxplank/lynxplank/table"
)

// rowSource follows a source whose rows are stored as separate records of a store's table, each with its own version;
// one goroutine owns it.
//
// Invariant: a state at a revision includes every change of the source's rows up to that store version, so that of two
// states the one with the later revision is valid.
type rowSource struct {
	source table.Source
	// state holds the rows of this source only.
	state *table.State
}

func newRowSource(source table.Source) *rowSource {
	return &rowSource{source: source, state: table.NewState()}
}

// note applies the rows returned by a read that shows the store at a version; whole means that they are all rows of the
// source.
func (r *rowSource) note(rows []table.Row, whole bool, version uint64) error {
	revision := r.state.Revisions()[r.source]
	d := table.Delta{Source: r.source, From: revision, To: revision, Full: whole, Rows: rows}
	for _, row := range rows {
		d.To = max(d.To, row.Revision)
	}
	if whole && r.lacksAny(rows) {
		// A read of the whole table shows a removal only by the absence of the row; no row's version says when it was
		// removed.
		d.To = version
	}
	next, err := r.state.With(d)
	if err != nil {
		return err
	}
	r.state = next
	return nil
}

// lacksAny reports whether any row of the state is missing from rows.
func (r *rowSource) lacksAny(rows []table.Row) bool {
	shown := make(map[table.RowID]bool, len(rows))
	for _, row := range rows {
		shown[row.ID()] = true
	}
	missing := false
	r.state.RowsFrom(r.source, func(row table.Row) { missing = missing || !shown[row.ID()] })
	return missing
}
