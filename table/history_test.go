package table

import "testing"

// TestDeltaOfSeveralRevisionsInAnyOrder applies a delta that holds the changes of two revisions, the later one first,
// as peers send them, and checks that a delta from the first of the two contains the change of the second. It used to
// be empty, so that a peer kept using a route that had been deleted.
func TestDeltaOfSeveralRevisionsInAnyOrder(t *testing.T) {
	for _, source := range []Source{SourceRows, SourceConfig} {
		t.Run(source.String(), func(t *testing.T) {
			row := func(key string, revision uint64) Row {
				r, err := NewRow(KindRoute, key, []string{"h", "/" + key, "x"})
				if err != nil {
					t.Fatal(err)
				}
				r.Meta = Meta{Revision: revision, Source: source}
				return r
			}
			s, err := NewState().With(Delta{Source: source, Full: true, To: 1, Rows: []Row{row("a", 1)}})
			if err != nil {
				t.Fatal(err)
			}
			rows := []Row{deletion(RowID{Kind: KindRoute, Key: "a"}, Meta{Revision: 3, Source: source}), row("b", 2)}
			if s, err = s.With(Delta{Source: source, From: 1, To: 3, Steps: []uint64{2}, Rows: rows}); err != nil {
				t.Fatal(err)
			}
			got := s.DeltaSince(source, 2)
			if got.Full || len(got.Rows) != 1 || got.Rows[0].Key != "a" || !got.Rows[0].Deleted {
				t.Errorf("changes after revision 2: got %+v, want the deletion of a", got)
			}
		})
	}
}
