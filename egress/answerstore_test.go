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

// TestFetchAndDispatchExcludeEachOther checks over random orders of dispatch, fetch and lapse that a request which a
// fetch has reported as not run never runs.
func TestFetchAndDispatchExcludeEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAnswerStore()
		now := time.Unix(1000, 0)
		a.begin(now, 1, now.Add(time.Second))
		ran, fetchedNotRun := false, false
		for _, step := range rapid.SliceOfN(rapid.SampledFrom([]string{"dispatch", "fetch", "void"}), 1, 6).Draw(t, "steps") {
			switch step {
			case "dispatch":
				ran = a.dispatch(1) || ran
			case "void":
				a.void(1)
			case "fetch":
				_, end := a.fetch(1)
				fetchedNotRun = fetchedNotRun || end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
			}
		}
		if ran && fetchedNotRun {
			t.Fatalf("got a request that ran and was reported as not run, want one or the other")
		}
	})
}

// TestStoredAnswersAreBounded checks that stored answers are dropped after their time, and the oldest ones when the
// store is full.
func TestStoredAnswersAreBounded(t *testing.T) {
	a := newAnswerStore()
	now := time.Unix(1000, 0)
	for id := range uint64(20) {
		a.begin(now, id, now.Add(time.Minute))
		a.dispatch(id)
		a.finish(id, &storingSink{body: make([]byte, maxStoredAnswer)}, peer.Unknown(fault.EndpointCut))
	}
	if got, want := a.bytes, maxStoredBytes+2*maxStoredAnswer; got > want {
		t.Errorf("stored: got %d bytes, want at most %d", got, want)
	}
	if r, _ := a.fetch(0); r != nil {
		t.Errorf("oldest: got a stored answer, want none")
	}
	if r, _ := a.fetch(19); r == nil {
		t.Errorf("newest: got none, want a stored answer")
	}
	a.begin(now.Add(2*time.Minute), 100, now.Add(3*time.Minute))
	if got, want := a.bytes, 0; got != want {
		t.Errorf("stored after their time: got %d bytes, want %d", got, want)
	}
}

// configState returns the state of a node that has held the version before some version of the configuration, and
// then that one. routes gives, for each route, the version that changed it last; the route "gone" exists before only.
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

// TestOlderConfigurationIsRefused checks which requests of older configurations than the node holds or has served are
// stale.
func TestOlderConfigurationIsRefused(t *testing.T) {
	held := configState(t, 5, map[string]uint64{"kept": 2, "moved": 5})
	steps := []struct {
		route  string
		config uint64
		stale  bool
	}{
		{"kept", 4, false},  // unchanged since
		{"moved", 4, true},  // changed by 5
		{"gone", 4, true},   // removed by 5
		{"moved", 5, false}, // routed by the active configuration
		{"new", 7, false},   // routed by a newer one than this node has
		{"kept", 5, true},   // 6 or 7 may have moved it, and this node does not know
		{"kept", 7, false},
		{"kept", 7, false},
		{"new", 6, true},
		{"kept", 3, true},  // this node has never held 3 and cannot compare
		{"kept", 0, false}, // a deployment without the platform's configuration
	}
	c := new(seenRevisions)
	for i, s := range steps {
		got := c.stale(held, &peerpb.Dispatch{Route: s.route, Config: s.config})
		if want := s.stale; got != want {
			t.Errorf("step %d, %s by %d: got stale %v, want %v", i, s.route, s.config, got, want)
		}
	}
}

// TestStoredEndIsACopy checks that changing an end after it was stored does not change the stored one.
func TestStoredEndIsACopy(t *testing.T) {
	a := newAnswerStore()
	now := time.Now()
	a.begin(now, 1, now.Add(time.Minute))
	if got, want := a.dispatch(1), true; got != want {
		t.Fatalf("dispatch: got %v, want %v", got, want)
	}
	end := &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN}
	a.finish(1, &storingSink{Sink: discardSink{}}, end)
	end.Revision = 7
	r, _ := a.fetch(1)
	if got, want := r.end.GetRevision(), uint64(0); got != want {
		t.Errorf("revision of the stored end: got %d, want %d", got, want)
	}
}
