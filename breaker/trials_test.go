package breaker

import (
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"
)

// drawnRun is a request that a property test has begun; reference is what the reference breaker returned for it.
type drawnRun struct {
	id        TrialID
	reference bool
}

// drawWait draws the time to the next event.
func drawWait(t *rapid.T) time.Duration {
	return time.Duration(rapid.SampledFrom([]int{0, 5, 20, 50, 120, 400, 1500}).Draw(t, "wait ms")) * time.Millisecond
}

// drawResult draws the result of a request.
func drawResult(t *rapid.T) Result {
	return rapid.SampledFrom([]Result{OK, OK, OK, Failed, Broken, Overdue}).Draw(t, "result")
}

// TestWithoutSlowStartDecisionsAreTheSame compares the breaker with the reference for arbitrary sequences: with the
// setting off, an endpoint must not be sent one trial more or less than before.
func TestWithoutSlowStartDecisionsAreTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, reference := New(DefaultConfig()), newReference(DefaultConfig())
		b.SetSlots(rapid.IntRange(0, 8).Draw(t, "slots"))
		now := time.Unix(1000, 0)
		var runs []drawnRun
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(drawWait(t))
			switch event := rapid.IntRange(0, 9).Draw(t, "event"); {
			case event < 4:
				repeatable := rapid.Bool().Draw(t, "repeatable")
				ok, id := b.Allow(now, Request{Repeatable: repeatable, MedianTime: 20 * time.Millisecond})
				wantOK, wantTrial := reference.Allow(now, repeatable)
				if ok != wantOK || (id != 0) != wantTrial {
					t.Fatalf("allow: got %v, trial %v; want %v, trial %v", ok, id != 0, wantOK, wantTrial)
				}
				if ok {
					runs = append(runs, drawnRun{id: id, reference: wantTrial})
				}
			case event < 8 && len(runs) > 0:
				i := rapid.IntRange(0, len(runs)-1).Draw(t, "run")
				r := runs[i]
				runs = append(runs[:i], runs[i+1:]...)
				if rapid.IntRange(0, 9).Draw(t, "canceled") == 0 {
					b.CancelTrial(r.id)
					reference.CancelTrial(r.reference)
					break
				}
				result := drawResult(t)
				b.Report(now, result, r.id)
				reference.Report(now, result, r.reference)
			case event == 8:
				b.ForceOpen(now)
				reference.ForceOpen(now)
			case event == 9:
				b.ForceClose(now)
				reference.ForceClose(now)
			}
			compareWithReference(t, now, b, reference)
		}
	})
}

// compareWithReference fails if the breaker would decide otherwise than the reference.
func compareWithReference(t *rapid.T, now time.Time, b *Breaker, reference *referenceBreaker) {
	t.Helper()
	if got, want := b.State(), reference.State(); got != want {
		t.Fatalf("state: got %v, want %v", got, want)
	}
	if got, want := b.RemainingOutage(now), reference.RemainingOutage(now); got != want {
		t.Fatalf("remaining outage: got %v, want %v", got, want)
	}
	if got, want := b.LikelyToSucceed(), reference.LikelyToSucceed(); got != want {
		t.Fatalf("likely to succeed: got %v, want %v", got, want)
	}
	for _, repeatable := range []bool{true, false} {
		if got, want := b.WouldAllow(now, repeatable), reference.WouldAllow(now, repeatable); got != want {
			t.Fatalf("would allow, repeatable=%v: got %v, want %v", repeatable, got, want)
		}
	}
}

// unansweredTrial is a trial that a property test has begun.
type unansweredTrial struct {
	id         TrialID
	repeatable bool
	lateAt     time.Time
}

// TestUnansweredTrialsAreBounded checks for arbitrary sequences that a suspect is never sent a trial beyond the bound
// of docs/OVERLOAD.md: after k successes in a row 2^k unanswered ones, up to its slots; before the first success one,
// and another once the median time has passed, both repeatable. A suspect that hangs would otherwise take more callers
// along than stated.
func TestUnansweredTrialsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.SlowStart = true
		b := New(cfg)
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		b.SetSlots(slots)
		now := time.Unix(1000, 0)
		b.ForceOpen(now)
		var unanswered []unansweredTrial
		successes := 0
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(drawWait(t))
			if rapid.Bool().Draw(t, "begin") || len(unanswered) == 0 {
				r := Request{Repeatable: rapid.Bool().Draw(t, "repeatable"), MedianTime: time.Duration(rapid.IntRange(0, 200).Draw(t, "median ms")) * time.Millisecond}
				room := b.TrialRoom(now)
				_, id := b.Allow(now, r)
				if id == 0 {
					continue
				}
				if r.Repeatable && room == 0 {
					t.Fatalf("room: got 0 before a trial, want at least 1")
				}
				checkTrialBound(t, now, unanswered, r, successes, slots)
				unanswered = append(unanswered, unansweredTrial{id: id, repeatable: r.Repeatable, lateAt: now.Add(r.MedianTime)})
				continue
			}
			i := rapid.IntRange(0, len(unanswered)-1).Draw(t, "trial")
			result := drawResult(t)
			b.Report(now, result, unanswered[i].id)
			unanswered = append(unanswered[:i], unanswered[i+1:]...)
			successes++
			if result != OK {
				successes = 0
			}
			if b.State() == Closed {
				b.ForceOpen(now)
				unanswered, successes = nil, 0
			}
		}
	})
}

// checkTrialBound fails if a trial of a request exceeds the bound, given the unanswered trials before it.
func checkTrialBound(t *rapid.T, now time.Time, unanswered []unansweredTrial, r Request, successes, slots int) {
	t.Helper()
	limit := min(1<<successes, slots)
	if successes == 0 && r.Repeatable && len(unanswered) == 1 {
		first := unanswered[0]
		if first.repeatable && !first.lateAt.After(now) {
			limit = min(2, slots)
		}
	}
	if got := len(unanswered) + 1; got > limit {
		t.Fatalf("unanswered trials after %d successes with %d slots: got %d, want at most %d", successes, slots, got, limit)
	}
}

// maxTrialBytes is the memory of one trial in flight that docs/CAPACITY.md states.
const maxTrialBytes = 40

// TestSizes guards against memory for each trial beyond what is stated.
func TestSizes(t *testing.T) {
	got := unsafe.Sizeof(trial{})
	t.Logf("a trial in flight takes %d bytes", got)
	if got > maxTrialBytes {
		t.Errorf("trial: got %d bytes, want at most %d", got, maxTrialBytes)
	}
}
