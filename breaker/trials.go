package breaker

import (
	"slices"
	"time"
)

// TrialID identifies one trial of a breaker; 0 stands for none.
type TrialID uint64

// Request is what a breaker must know of a request that may be a trial.
type Request struct {
	// Repeatable is set for a request that may run more than once.
	Repeatable bool
	// MedianTime is the time within which half of such requests are answered, 0 if unknown.
	MedianTime time.Duration
}

// trial is a trial in flight. lateAt is when it has taken longer than such requests usually do, zero if that time is
// unknown.
type trial struct {
	id         TrialID
	repeatable bool
	lateAt     time.Time
}

// late reports whether a trial has taken so long that it does not hold back another one.
func (t trial) late(now time.Time) bool {
	return t.repeatable && !t.lateAt.IsZero() && !now.Before(t.lateAt)
}

// SetSlots sets how many requests the endpoint runs at once, which bounds its trials.
func (b *Breaker) SetSlots(n int) { b.slots = n }

// MinNonRepeatableChance is the SuccessChance from which a non-repeatable request may be a trial.
const MinNonRepeatableChance = 1 - hangShare*maxTrialDownProbability

// SuccessChance returns the chance that the endpoint answers a request sent now: a failing endpoint leaves hangShare of
// its requests unanswered.
func (b *Breaker) SuccessChance(now time.Time) float64 {
	if b.state == Closed {
		return 1
	}
	return 1 - hangShare*b.currentDownProbability(now)
}

// TrialRoom returns how many more repeatable requests the endpoint takes as trials now, 0 while the breaker is closed.
func (b *Breaker) TrialRoom(now time.Time) int {
	if b.state == Closed {
		return 0
	}
	return b.trialRoom(now, true)
}

// trialRoom returns how many more trials may run now; the next one is repeatable or not.
func (b *Breaker) trialRoom(now time.Time, repeatable bool) int {
	tooSoon := now.Sub(b.trialAt) < b.trialInterval
	if !b.cfg.SlowStart {
		if tooSoon || len(b.trials) > 0 {
			return 0
		}
		return 1
	}
	if b.successes > 0 {
		return max(0, min(1<<min(b.successes, maxDoublings), max(b.slots, 1))-len(b.trials))
	}
	switch {
	case tooSoon:
		return 0
	case len(b.trials) == 0:
		return 1
	case len(b.trials) == 1 && b.slots > 1 && repeatable && b.trials[0].late(now):
		return 1
	}
	return 0
}

// maxDoublings bounds the doublings of the number of trials; no endpoint has more slots than that allows.
const maxDoublings = 16

// beginTrial adds a trial to those in flight.
func (b *Breaker) beginTrial(now time.Time, r Request) TrialID {
	b.lastTrial++
	t := trial{id: b.lastTrial, repeatable: r.Repeatable}
	if r.MedianTime > 0 {
		t.lateAt = now.Add(r.MedianTime)
	}
	b.trials = append(b.trials, t)
	return t.id
}

// endTrial removes a trial and reports whether it was in flight.
func (b *Breaker) endTrial(id TrialID) bool {
	i := slices.IndexFunc(b.trials, func(t trial) bool { return t.id == id })
	if i < 0 {
		return false
	}
	b.trials = slices.Delete(b.trials, i, i+1)
	return true
}
