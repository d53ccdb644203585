package configsync

import (
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

// crashWrite returns the write of a node that records the crashes of endpoints during a request with this fingerprint.
func crashWrite(t *testing.T, c poison.Fingerprint, ends ...string) platform.Write {
	t.Helper()
	value, err := poison.Encode(poison.WithCrashes(table.PoisonRequest{}, "docket-desk", ends, time.Now()))
	if err != nil {
		t.Fatal(err)
	}
	return platform.Write{Key: poison.KeyOf(c), Value: value}
}

// crashesAre returns a condition that holds when a snapshot has this number of crashes for a fingerprint.
func crashesAre(c poison.Fingerprint, want int) func(*Snapshot) bool {
	return func(s *Snapshot) bool {
		row, _ := s.State.PoisonRequest(c.String())
		return len(row.Value.Ends.List()) == want
	}
}

// TestPoisonRequestsAreFollowed writes, changes and removes rows of requests during which endpoints crashed: a row that
// cannot be decoded is skipped, and later rows and removals are still applied.
func TestPoisonRequestsAreFollowed(t *testing.T) {
	s := store.New()
	one, two := poison.FingerprintOf("", "GET", "", "/one", nil), poison.FingerprintOf("", "GET", "", "/two", nil)
	commit(t, s, crashWrite(t, one, "e1@1"))
	f := startFollower(t, s)
	wait(t, f, "the row that was there", crashesAre(one, 1))
	commit(t, s, platform.Write{Key: poison.KeyPrefix + "short", Value: []byte(`{}`)})
	commit(t, s, platform.Write{Key: poison.KeyOf(two), Value: []byte(`{"ends":`)})
	commit(t, s, crashWrite(t, one, "e1@1", "e2@2", "e3@3"))
	wait(t, f, "a changed row beside undecodable ones", crashesAre(one, 3))
	commit(t, s, crashWrite(t, two, "e4@4"))
	wait(t, f, "a row that can be decoded again", crashesAre(two, 1))
	commit(t, s, platform.Write{Key: poison.KeyOf(two), Delete: true})
	wait(t, f, "a removal", crashesAre(two, 0))
	wait(t, f, "the other row", crashesAre(one, 3))
}

// TestRemovalIsFoundByFullRead has a reader read the whole table again: a row that is no longer there is removed.
func TestRemovalIsFoundByFullRead(t *testing.T) {
	one, two := poison.FingerprintOf("", "GET", "", "/one", nil), poison.FingerprintOf("", "GET", "", "/two", nil)
	rec := func(c poison.Fingerprint, version uint64) platform.Record {
		w := crashWrite(t, c, "e1@1")
		return platform.Record{Key: w.Key, Value: w.Value, Version: version}
	}
	r := &productReader{poisonRequests: newRowSource(table.SourcePoison)}
	if err := r.applyPoisonRecords([]platform.Record{rec(one, 5), rec(two, 7)}, 9); err != nil {
		t.Fatal(err)
	}
	if err := r.applyPoisonRecords([]platform.Record{rec(one, 5)}, 20); err != nil {
		t.Fatal(err)
	}
	if _, got := r.poisonRequests.state.PoisonRequest(two.String()); got {
		t.Error("removed row: got it, want none")
	}
	if _, got := r.poisonRequests.state.PoisonRequest(one.String()); !got {
		t.Error("remaining row: got none, want it")
	}
	if got, want := r.poisonRequests.state.Revisions()[table.SourcePoison], uint64(20); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
}
