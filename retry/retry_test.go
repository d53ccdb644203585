package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

var outcomes = map[string]peerpb.Outcome{
	"ran": peerpb.Outcome_OUTCOME_RAN, "not-run": peerpb.Outcome_OUTCOME_NOT_RUN, "unknown": peerpb.Outcome_OUTCOME_UNKNOWN,
}

// TestScripts runs the table of testdata: after outcome=O [n=N] [repeatable] [failed] [started] [misplaced]
// [overloaded] [large] [left=1s].
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/decide", func(t *testing.T, d *datadriven.TestData) string {
		a := Attempt{
			Number: 1, Repeatable: d.HasArg("repeatable"), Failed: d.HasArg("failed"), Started: d.HasArg("started"),
			Misplaced: d.HasArg("misplaced"), Overloaded: d.HasArg("overloaded"), Replayable: !d.HasArg("large"),
			Left: time.Second, Typical: 10 * time.Millisecond,
		}
		word, left := "", "1s"
		d.ScanArgs(t, "outcome", &word)
		d.MaybeScanArgs(t, "n", &a.Number)
		d.MaybeScanArgs(t, "left", &left)
		a.Outcome = outcomes[word]
		a.Left, _ = time.ParseDuration(left)
		b := NewBudget(10)
		b.tokens = 5
		if d.HasArg("refusing") {
			b.refusing = 1
		}
		ok := b.Decide(a)
		return fmt.Sprintf("again=%v spent=%v\n", ok, 5-b.tokens)
	})
}

// TestBudgetBoundsRetries checks the budget's invariant over random sequences.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.Float64Range(0, 10).Draw(t, "burst")
		b := NewBudget(burst)
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		requests, retries := 0, 0
		for _, again := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "sequence") {
			if !again {
				requests++
				b.Request(share)
			} else if b.Decide(Attempt{Number: 1, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Replayable: true, Left: 1}) {
				retries++
			}
		}
		if got, want := float64(retries), share*float64(requests)+burst; got > want+1e-9 {
			t.Fatalf("retries: got %v, want at most %v", got, want)
		}
	})
}

// TestNeverAgainAfterDoubt checks that no combination lets a request that must not repeat go again unless it was
// proved not run.
func TestNeverAgainAfterDoubt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			Number:     rapid.IntRange(0, 5).Draw(t, "n"),
			Outcome:    rapid.SampledFrom([]peerpb.Outcome{0, 1, 3, 4}).Draw(t, "outcome"),
			Overloaded: rapid.Bool().Draw(t, "overloaded"), Misplaced: rapid.Bool().Draw(t, "misplaced"),
			Failed: rapid.Bool().Draw(t, "failed"), Started: rapid.Bool().Draw(t, "started"),
			Replayable: true, Left: time.Hour,
		}
		if got, want := NewBudget(10).Decide(a), false; got != want {
			t.Fatalf("%+v: got %v, want %v", a, got, want)
		}
	})
}

// TestBurstFollowsTheFleet checks that a node which has heard of the whole fleet gives back what it held as if alone.
func TestBurstFollowsTheFleet(t *testing.T) {
	share := Share{Slack: 30, MostBurst: 3}
	b := NewBudget(share.Burst(1))
	b.SetBurst(share.Burst(20))
	taken := 0
	for b.Take() {
		taken++
	}
	if got, want := taken, 1; got != want {
		t.Errorf("retries at once of one in 20 nodes: got %d, want %d", got, want)
	}
}
