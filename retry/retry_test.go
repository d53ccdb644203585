package retry

import (
	"fmt"
	"math"
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
			Attempts: 1, Repeatable: d.HasArg("repeatable"), Failed: d.HasArg("failed"), AnswerStarted: d.HasArg("started"),
			Misrouted: d.HasArg("misplaced"), Overloaded: d.HasArg("overloaded"), Replayable: !d.HasArg("large"),
			TimeLeft: time.Second, TypicalServiceTime: 10 * time.Millisecond,
		}
		word, left := "", "1s"
		d.ScanArgs(t, "outcome", &word)
		d.MaybeScanArgs(t, "n", &a.Attempts)
		d.MaybeScanArgs(t, "left", &left)
		a.Outcome = outcomes[word]
		a.TimeLeft, _ = time.ParseDuration(left)
		b := NewBudget(start.Add(-2*window), window, 0)
		b.SetSlack(start.Add(-2*window), 5/savedShare)
		var r Refusals
		if d.HasArg("refusing") {
			r.share = 1
		}
		ok := r.Decide(a)
		if ok && !a.Misrouted {
			ok = b.Take(start)
		}
		return fmt.Sprintf("again=%v spent=%v\n", ok, 5-b.Remaining(start))
	})
}

// start is when the tests' budgets begin, window what they count over.
var start = time.Unix(1000, 0)

const window = 10 * time.Second

// TestBudgetBoundsRetries checks the budget's invariant over random sequences: no window holds more retries than the slack
// and what the requests of that window or of the one before earn.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slack := rapid.Float64Range(0, 10).Draw(t, "slack")
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		now := start
		b := NewBudget(now, window, 0)
		b.SetSlack(now, slack)
		var requests, retries []time.Time
		between := func(list []time.Time, from, to time.Time) (n int) {
			for _, at := range list {
				if !at.Before(from) && at.Before(to) {
					n++
				}
			}
			return n
		}
		next := func() time.Time { return now.Add(time.Nanosecond) }
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 500).Draw(t, "sequence") {
			switch {
			case step < 4:
				requests = append(requests, now)
				b.CountRequest(now, share)
			case step < 8:
				if b.Take(now) {
					retries = append(retries, now)
				}
			case step == 8 && len(retries) > 0:
				b.Refund()
				retries = retries[:len(retries)-1]
			default:
				now = now.Add(300 * time.Millisecond)
			}
			from := now.Add(-window)
			most := max(between(requests, from, next()), between(requests, from.Add(-window), from))
			if got, want := float64(between(retries, from, next())), slack+share*float64(most); got > want+1e-9 {
				t.Fatalf("retries of a window: got %v, want at most %v", got, want)
			}
		}
	})
}

// TestYoungBudgetGrows checks that a process which has just started does not grant at once what an earlier one beside the
// same endpoint may have granted, and nothing of the slack before it knows the fleet.
func TestYoungBudgetGrows(t *testing.T) {
	b := NewBudget(start, window, settle)
	b.SetSlack(start, 16)
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{0, 0}, {settle, 0}, {settle + window/6, 2}, {2 * window, 4}} {
		if got := b.Remaining(start.Add(c.after)); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("after %v: got %v, want %v", c.after, got, c.want)
		}
	}
}

// TestPartsAddUpToTheSlack checks that the parts of a service's endpoints are at most its slack in any window, however many
// there are, and that whoever has a part can save up a retry unless the whole slack is too small for one.
func TestPartsAddUpToTheSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := FleetSlack{
			Slack:    rapid.Float64Range(0, 1000).Draw(t, "slack"),
			Window:   window,
			MaxShare: rapid.Float64Range(0, 100).Draw(t, "most"),
		}
		n := rapid.IntRange(1, 1000).Draw(t, "endpoints")
		got := 0.0
		for rank := range n {
			part := s.EndpointShare(n, rank)
			got += part
			if part > 0 && part < min(s.MaxShare, s.Slack, 1/savedShare) {
				t.Fatalf("part of endpoint %d of %d: got %v, which never saves up a retry", rank, n, part)
			}
		}
		if got > s.Slack+1e-6 {
			t.Fatalf("retries of %d endpoints in a window: got %v, want at most %v", n, got, s.Slack)
		}
	})
}

// TestNeverAgainAfterDoubt checks that no combination lets a request that must not repeat go again unless it was
// proved not run.
func TestNeverAgainAfterDoubt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			Attempts:   rapid.IntRange(0, 5).Draw(t, "n"),
			Outcome:    rapid.SampledFrom([]peerpb.Outcome{0, 1, 3, 4}).Draw(t, "outcome"),
			Overloaded: rapid.Bool().Draw(t, "overloaded"), Misrouted: rapid.Bool().Draw(t, "misplaced"),
			Failed: rapid.Bool().Draw(t, "failed"), AnswerStarted: rapid.Bool().Draw(t, "started"),
			Replayable: true, TimeLeft: time.Hour,
		}
		if got, want := new(Refusals).Decide(a), false; got != want {
			t.Fatalf("%+v: got %v, want %v", a, got, want)
		}
	})
}

// TestBurstFollowsTheFleet checks that a node which has heard of the whole fleet gives back what it held as if alone.
func TestBurstFollowsTheFleet(t *testing.T) {
	share := FleetSlack{Slack: 80, Window: window, MaxShare: 24}
	b := NewBudget(start, window, 0)
	b.SetSlack(start, share.EndpointShare(1, 0))
	now := start.Add(time.Minute)
	if got, want := b.Remaining(now), 24*savedShare; got != want {
		t.Fatalf("retries of one endpoint that knows no other: got %v, want %v", got, want)
	}
	b.SetSlack(now, share.EndpointShare(20, 0))
	taken := 0
	for b.Take(now) {
		taken++
	}
	if got, want := taken, 1; got != want {
		t.Errorf("retries at once of one in 20 endpoints: got %d, want %d", got, want)
	}
}
