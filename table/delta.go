package table

// DeltaTo returns the delta that leads this state to the given rows, which are all rows of a source, read at revision
// to. Rows that have not changed are left out and so keep their revisions.
func (s *State) DeltaTo(src Source, to uint64, rows []Row) Delta {
	// The first read is a full delta: this state does not know which rows earlier revisions had dropped, and must not
	// claim to know it when a peer at an earlier revision asks for changes.
	from := s.revisions[src]
	d := Delta{Source: src, From: from, To: to, Full: from == 0}
	kept := make(map[RowID]bool, len(rows))
	for _, row := range rows {
		kept[row.ID()] = true
		if !s.hasEqualRow(src, row) {
			d.Rows = append(d.Rows, row)
		}
	}
	s.RowsFrom(src, func(r Row) {
		if !kept[r.ID()] {
			d.Rows = append(d.Rows, deletion(r.ID(), Meta{Revision: to, Source: src}))
		}
	})
	return d
}

// DeltaSince returns the delta that leads a peer from a revision of a source to this state's revision. It is a full
// delta if this state does not know all changes since then.
func (s *State) DeltaSince(src Source, from uint64) Delta {
	d := Delta{Source: src, From: from, To: s.revisions[src]}
	rows, ok := s.Since(src, from)
	if !ok {
		d.Full = true
		s.RowsFrom(src, func(r Row) { rows = append(rows, r) })
	} else if src.snapshotOnly() {
		for _, step := range s.histories[src].steps {
			if step > from && step < d.To {
				d.Steps = append(d.Steps, step)
			}
		}
	}
	d.Rows = rows
	return d
}
