package table

import "testing"

// TestChangesOfSeveralRevisionsAreAllTold gives a state the changes of two revisions at once, the later one first, as a peer tells them:
// whoever asks it for those of the later revision alone is told of them. It was told nothing, and went on by a route that was gone.
func TestChangesOfSeveralRevisionsAreAllTold(t *testing.T) {
	for _, plane := range []Source{SourceRows, SourceConfig} {
		t.Run(plane.String(), func(t *testing.T) {
			row := func(key string, revision uint64) Row {
				r, err := NewRow(KindRoute, key, []string{"h", "/" + key, "x"})
				if err != nil {
					t.Fatal(err)
				}
				r.Meta = Meta{Revision: revision, Source: plane}
				return r
			}
			s, err := NewState().With(Delta{Source: plane, Full: true, To: 1, Rows: []Row{row("a", 1)}})
			if err != nil {
				t.Fatal(err)
			}
			rows := []Row{deletion(RowID{Kind: KindRoute, Key: "a"}, Meta{Revision: 3, Source: plane}), row("b", 2)}
			if s, err = s.With(Delta{Source: plane, From: 1, To: 3, Steps: []uint64{2}, Rows: rows}); err != nil {
				t.Fatal(err)
			}
			got := s.DeltaSince(plane, 2)
			if got.Full || len(got.Rows) != 1 || got.Rows[0].Key != "a" || !got.Rows[0].Deleted {
				t.Errorf("changes after the second: got %+v, want the removal of a", got)
			}
		})
	}
}
