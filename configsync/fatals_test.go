package configsync

import (
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

// fatalRow is what a node writes of a content under which some endpoints ended.
func fatalRow(t *testing.T, c poison.Fingerprint, ends ...string) platform.Write {
	t.Helper()
	value, err := poison.Encode(poison.WithCrashes(table.PoisonRequest{}, "docket-desk", ends, time.Now()))
	if err != nil {
		t.Fatal(err)
	}
	return platform.Write{Key: poison.KeyOf(c), Value: value}
}

// endsOf returns a test for how many ends a snapshot shows of a content.
func endsOf(c poison.Fingerprint, want int) func(*Snapshot) bool {
	return func(s *Snapshot) bool {
		row, _ := s.State.PoisonRequest(c.String())
		return len(row.Value.Ends.List()) == want
	}
}

// TestFatalsFollow writes, changes and takes out rows of requests under which endpoints ended; one that cannot be read is left out, and a
// removal that the reader's history does not show is found all the same.
func TestFatalsFollow(t *testing.T) {
	s := store.New()
	one, two := poison.FingerprintOf("", "GET", "", "/one", nil), poison.FingerprintOf("", "GET", "", "/two", nil)
	commit(t, s, fatalRow(t, one, "e1@1"))
	f := startFollower(t, s)
	wait(t, f, "the row that was there", endsOf(one, 1))
	commit(t, s, platform.Write{Key: poison.KeyPrefix + "short", Value: []byte(`{}`)})
	commit(t, s, platform.Write{Key: poison.KeyOf(two), Value: []byte(`{"ends":`)})
	commit(t, s, fatalRow(t, one, "e1@1", "e2@2", "e3@3"))
	wait(t, f, "a changed row beside unreadable ones", endsOf(one, 3))
	commit(t, s, fatalRow(t, two, "e4@4"))
	wait(t, f, "a row that can be read again", endsOf(two, 1))
	commit(t, s, platform.Write{Key: poison.KeyOf(two), Delete: true})
	wait(t, f, "a removal", endsOf(two, 0))
	wait(t, f, "the other row", endsOf(one, 3))
}

// TestRemovalWithoutHistory has a reader read the whole table again: a row that is not shown any more is gone.
func TestRemovalWithoutHistory(t *testing.T) {
	one, two := poison.FingerprintOf("", "GET", "", "/one", nil), poison.FingerprintOf("", "GET", "", "/two", nil)
	rec := func(c poison.Fingerprint, version uint64) platform.Record {
		w := fatalRow(t, c, "e1@1")
		return platform.Record{Key: w.Key, Value: w.Value, Version: version}
	}
	r := &ownReader{fatals: newRowPlane(table.SourcePoison)}
	if err := r.noteFatals([]platform.Record{rec(one, 5), rec(two, 7)}, 9); err != nil {
		t.Fatal(err)
	}
	if err := r.noteFatals([]platform.Record{rec(one, 5)}, 20); err != nil {
		t.Fatal(err)
	}
	if _, got := r.fatals.state.PoisonRequest(two.String()); got {
		t.Error("row that is gone: got it, want none")
	}
	if _, got := r.fatals.state.PoisonRequest(one.String()); !got {
		t.Error("row that stands: got none, want it")
	}
	if got, want := r.fatals.state.Revisions()[table.SourcePoison], uint64(20); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
}
