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
		now := time.Unix(1000, 0)
		b := NewBudget(5, time.Second)
		if d.HasArg("refusing") {
			b.refusing = 1
		}
		ok := b.Decide(now, a)
		return fmt.Sprintf("again=%v spent=%v\n", ok, 5-b.Tokens(now))
	})
}

// grants is what happened at one moment of a sequence.
type grants struct {
	at     time.Time
	earned float64
	taken  float64
}

// TestBudgetBoundsRetries checks the budget's invariant over random sequences: of every window that ends with a retry.
func TestBudgetBoundsRetries(t *testing.T) {
	const window = time.Second
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.Float64Range(0, 10).Draw(t, "burst")
		b := NewBudget(burst, window)
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		now := time.Unix(1000, 0)
		var log []grants
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 400), 0, 500).Draw(t, "sequence") {
			now = now.Add(time.Duration(step/4) * time.Millisecond)
			if step%2 == 0 {
				b.Request(now, share)
				log = append(log, grants{at: now, earned: share})
				continue
			}
			if !b.Decide(now, Attempt{Number: 1, Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Replayable: true, Left: 1}) {
				continue
			}
			log = append(log, grants{at: now, taken: 1})
			got, want := 0.0, burst
			for _, g := range log {
				if now.Sub(g.at) < window {
					got += g.taken
					want += g.earned
				}
			}
			if got > want+1e-9 {
				t.Fatalf("retries within a window: got %v, want at most %v", got, want)
			}
		}
	})
}

// TestCalmTimesCount checks that what requests have earned within the window is there when a burst of failures comes, and
// not after.
func TestCalmTimesCount(t *testing.T) {
	const share, requests, window = 0.1, 100, 10 * time.Second
	now := time.Unix(1000, 0)
	b := NewBudget(0, window)
	for range requests {
		now = now.Add(window / (2 * requests))
		b.Request(now, share)
	}
	taken := 0
	for b.Take(now) {
		taken++
	}
	if got, want := taken, 10; got != want && got != want-1 {
		t.Errorf("retries at once: got %d, want %d to within one", got, want)
	}
	if got, want := b.Left(now.Add(2*window)), false; got != want {
		t.Errorf("left after two windows without requests: got %v, want %v", got, want)
	}
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
		if got, want := NewBudget(10, time.Second).Decide(time.Unix(1000, 0), a), false; got != want {
			t.Fatalf("%+v: got %v, want %v", a, got, want)
		}
	})
}
