package table

// Read returns the delta that a whole plane makes which was read at a revision; what it leaves as it was keeps its revision.
func (s *State) DeltaTo(p Source, to uint64, rows []Row) Delta {
	// The first read stands for all that came before it: what that has dropped this state does not know, and must not seem
	// to know to a peer that is behind.
	from := s.revisions[p]
	d := Delta{Source: p, From: from, To: to, Full: from == 0}
	kept := make(map[RowID]bool, len(rows))
	for _, row := range rows {
		kept[row.ID()] = true
		if !s.holds(p, row) {
			d.Rows = append(d.Rows, row)
		}
	}
	s.RowsFrom(p, func(r Row) {
		if !kept[r.ID()] {
			d.Rows = append(d.Rows, deletion(r.ID(), Meta{Revision: to, Source: p}))
		}
	})
	return d
}

// Between returns the delta that leads a peer's plane from a revision to this state's, the whole plane where the state does
// not know what has changed since.
func (s *State) DeltaSince(p Source, from uint64) Delta {
	d := Delta{Source: p, From: from, To: s.revisions[p]}
	rows, ok := s.Since(p, from)
	if !ok {
		d.Full = true
		s.RowsFrom(p, func(r Row) { rows = append(rows, r) })
	} else if p.sparse() {
		for _, step := range s.tails[p].steps {
			if step > from && step < d.To {
				d.Steps = append(d.Steps, step)
			}
		}
	}
	d.Rows = rows
	return d
}
