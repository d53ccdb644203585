package egress

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// TestFetchAndHandOver checks over random orders of hand-over, fetch and lapse that a request which a fetch was told of
// as not run never runs, and that one which runs is never told so.
func TestFetchAndHandOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newRecords()
		now := time.Unix(1000, 0)
		k.begin(now, 1, now.Add(time.Second))
		ran, toldNotRun := false, false
		for _, step := range rapid.SliceOfN(rapid.SampledFrom([]string{"hand", "fetch", "void"}), 1, 6).Draw(t, "steps") {
			switch step {
			case "hand":
				ran = k.hand(1) || ran
			case "void":
				k.void(1)
			case "fetch":
				_, end := k.fetch(1)
				toldNotRun = toldNotRun || end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
			}
		}
		if ran && toldNotRun {
			t.Fatalf("got a request that ran and was told as not run, want one or the other")
		}
	})
}

// TestRecordsAreBounded checks that kept answers go with their time, the oldest first with the room.
func TestRecordsAreBounded(t *testing.T) {
	k := newRecords()
	now := time.Unix(1000, 0)
	for id := range uint64(20) {
		k.begin(now, id, now.Add(time.Minute))
		k.hand(id)
		k.finish(id, &recordingSink{body: make([]byte, keptAnswer)}, peer.Unknown(fault.EndpointCut))
	}
	if got, want := k.bytes, keptBytes+2*keptAnswer; got > want {
		t.Errorf("kept: got %d bytes, want at most %d", got, want)
	}
	if r, _ := k.fetch(0); r != nil {
		t.Errorf("oldest: got a record, want none")
	}
	if r, _ := k.fetch(19); r == nil {
		t.Errorf("newest: got none, want a record")
	}
	k.begin(now.Add(2*time.Minute), 100, now.Add(3*time.Minute))
	if got, want := k.bytes, 0; got != want {
		t.Errorf("kept after their time: got %d bytes, want %d", got, want)
	}
}

// configState is the state of a node that has held the configuration before a version, and then that one; routes are given
// with the version that changed them last, and "gone" was there before.
func configState(t *testing.T, version uint64, routes map[string]uint64) *table.State {
	t.Helper()
	row := func(key, service string, revision uint64) table.Row {
		r, err := table.NewRow(table.KindRoute, key, []string{"*", "/" + key + "/", service})
		if err != nil {
			t.Fatal(err)
		}
		r.Meta = table.Meta{Revision: revision, Source: table.SourceConfig}
		return r
	}
	before, after := []table.Row{row("gone", "desk", version-1)}, []table.Row{}
	for key, revision := range routes {
		after = append(after, row(key, "desk", version))
		if revision < version {
			before = append(before, row(key, "desk", revision))
		} else {
			before = append(before, row(key, "hub", version-1))
		}
	}
	s := table.NewState()
	for v, rows := range [][]table.Row{before, after} {
		next, err := s.With(s.DeltaTo(table.SourceConfig, version-1+uint64(v), rows))
		if err != nil {
			t.Fatal(err)
		}
		s = next
	}
	return s
}

// TestOlderConfigurationIsRefused checks what goes by an older configuration than the node knows or has served.
func TestOlderConfigurationIsRefused(t *testing.T) {
	own := configState(t, 5, map[string]uint64{"kept": 2, "moved": 5})
	steps := []struct {
		route  string
		config uint64
		stale  bool
	}{
		{"kept", 4, false},  // unchanged since
		{"moved", 4, true},  // changed by 5
		{"gone", 4, true},   // taken out by 5
		{"moved", 5, false}, // by what is in force
		{"new", 7, false},   // by a newer one than this node has
		{"kept", 5, true},   // 6 or 7 may have moved it, and this node does not know
		{"kept", 7, false},
		{"kept", 7, false},
		{"new", 6, true},
		{"kept", 3, true},  // this node has never held 3 and cannot tell
		{"kept", 0, false}, // a product without the platform's configuration
	}
	c := new(seenConfig)
	for i, s := range steps {
		got := c.stale(own, &peerpb.Dispatch{Route: s.route, Config: s.config})
		if want := s.stale; got != want {
			t.Errorf("step %d, %s by %d: got stale %v, want %v", i, s.route, s.config, got, want)
		}
	}
}

// TestKeptEndIsItsOwn checks that an end which is changed after it was kept does not change under whoever fetches it.
func TestKeptEndIsItsOwn(t *testing.T) {
	k := newRecords()
	now := time.Now()
	k.begin(now, 1, now.Add(time.Minute))
	if got, want := k.hand(1), true; got != want {
		t.Fatalf("hand-over: got %v, want %v", got, want)
	}
	end := &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN}
	k.finish(1, &recordingSink{Sink: discard{}}, end)
	end.Revision = 7
	r, _ := k.fetch(1)
	if got, want := r.end.GetRevision(), uint64(0); got != want {
		t.Errorf("revision of the kept end: got %d, want %d", got, want)
	}
}
