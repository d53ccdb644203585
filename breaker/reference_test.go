package breaker

import (
	"math"
	"time"
)

// referenceBreaker is the breaker before slow start was added to it, with one trial at a time.
type referenceBreaker struct {
	cfg   Config
	state State
	// score is the failure score as of scoredAt.
	score    float64
	scoredAt time.Time
	// downProbability is the probability that the endpoint was still failing at downProbabilityAt; it decays with the
	// expected length of an outage.
	downProbability   float64
	downProbabilityAt time.Time
	// outage is the expected length of an outage, openedAt when the breaker opened, successesSince when the current run
	// of successful trials began, closedAt when the breaker last closed.
	outage         time.Duration
	openedAt       time.Time
	successesSince time.Time
	closedAt       time.Time
	// openings are the times of the last openings, successes the number of successful trials in a row.
	openings  []time.Time
	successes int
	// trialInterval is the current minimum time between two trials, trialAt when the last one began.
	trialInterval time.Duration
	trialAt       time.Time
	// trialRunning is set while a trial is in flight.
	trialRunning bool
	// successShare is the moving average of successful trials since the breaker opened.
	successShare float64
}

// newReference returns a closed breaker.
func newReference(cfg Config) *referenceBreaker {
	return &referenceBreaker{cfg: cfg, outage: cfg.InitialOutage, trialInterval: cfg.TrialInterval}
}

// State returns which requests the endpoint takes.
func (b *referenceBreaker) State() State { return b.state }

// RemainingOutage returns the time until the endpoint has probably recovered and takes non-repeatable requests as
// trials, 0 if the breaker is closed. Successful trials may close the breaker sooner.
func (b *referenceBreaker) RemainingOutage(now time.Time) time.Duration {
	if b.state == Closed {
		return 0
	}
	return max(0, time.Duration(math.Log(b.currentDownProbability(now)/maxTrialDownProbability)*float64(b.outage)))
}

// currentDownProbability returns the probability that the endpoint is still failing.
func (b *referenceBreaker) currentDownProbability(now time.Time) float64 {
	return b.downProbability * math.Exp(-now.Sub(b.downProbabilityAt).Seconds()/b.outage.Seconds())
}

// ForceClose closes the breaker if it is open. It is for a breaker that ForceOpen opened for a reason that has proved
// wrong.
func (b *referenceBreaker) ForceClose(now time.Time) {
	if b.state == Trial {
		b.close(now)
	}
}

// close makes the breaker take every request.
func (b *referenceBreaker) close(now time.Time) {
	b.state = Closed
	b.score = 0
	b.trialInterval = b.cfg.TrialInterval
	b.closedAt = now
}

// observeOutage updates the expected length of an outage with the length of one, measured from its opening.
func (b *referenceBreaker) observeOutage(d time.Duration) {
	b.outage += time.Duration(outageSmoothing * float64(d-b.outage))
	b.outage = min(max(b.outage, b.cfg.MinOutage), b.cfg.MaxOutage)
}

// LikelyToSucceed reports whether the endpoint is worth sending a non-repeatable request, judging by its trials
// (likelySuccessShare). It is true until the first trial has finished.
func (b *referenceBreaker) LikelyToSucceed() bool {
	return b.state == Closed || b.successShare >= likelySuccessShare
}

// ReportLastResort records the result of a request that was sent as a last resort, while the breaker was open. It
// counts for LikelyToSucceed only: the breaker closes on trials alone, which can be retried.
func (b *referenceBreaker) ReportLastResort(r Result) {
	if b.state == Trial {
		b.observeTrial(r == OK)
	}
}

// observeTrial updates the share of successful trials with one result.
func (b *referenceBreaker) observeTrial(success bool) {
	sample := 0.0
	if success {
		sample = 1
	}
	b.successShare += (sample - b.successShare) * trialSmoothing
}

// WouldAllow reports whether Allow would let a request run, without using up the trial. A non-repeatable request may be
// a trial only once an outage of the expected length is probably over.
func (b *referenceBreaker) WouldAllow(now time.Time, repeatable bool) bool {
	if b.state == Closed {
		return true
	}
	if b.trialRunning || now.Sub(b.trialAt) < b.trialInterval {
		return false
	}
	return repeatable || b.currentDownProbability(now) < maxTrialDownProbability
}

// Allow reports whether a request may run now, and whether it is a trial. A trial must end with Report or CancelTrial.
func (b *referenceBreaker) Allow(now time.Time, repeatable bool) (ok, trial bool) {
	if !b.WouldAllow(now, repeatable) {
		return false, false
	}
	if b.state == Closed {
		return true, false
	}
	b.trialRunning = true
	b.trialAt = now
	return true, true
}

// CancelTrial ends a trial that did not run after all; it does nothing for a request that is no trial.
func (b *referenceBreaker) CancelTrial(trial bool) {
	if trial {
		b.trialRunning = false
	}
}

// Report records the result of a request; trial is what Allow returned for it.
func (b *referenceBreaker) Report(now time.Time, r Result, trial bool) {
	if trial {
		b.trialRunning = false
	}
	b.decayScore(now)
	switch r {
	case OK:
		b.recordSuccess(now, trial)
	case Failed:
		b.recordFailure(now, b.cfg.FailedWeight, trial)
	case Broken:
		b.recordFailure(now, b.cfg.BrokenWeight, trial)
	case Overdue:
		if trial {
			b.recordFailure(now, b.cfg.FailedWeight, trial)
		}
	}
}

// ForceOpen opens the breaker on evidence from elsewhere, such as InflightMonitor. It returns false if the breaker was
// open already.
func (b *referenceBreaker) ForceOpen(now time.Time) bool {
	if b.state != Closed {
		return false
	}
	b.open(now)
	return true
}

// decayScore reduces the failure score for the time since the last result, linearly within a half-life.
func (b *referenceBreaker) decayScore(now time.Time) {
	elapsed := now.Sub(b.scoredAt)
	b.scoredAt = now
	for ; elapsed >= b.cfg.ScoreHalfLife && b.score > minScore; elapsed -= b.cfg.ScoreHalfLife {
		b.score /= 2
	}
	b.score *= 1 - float64(min(elapsed, b.cfg.ScoreHalfLife))/float64(2*b.cfg.ScoreHalfLife)
}

// recordSuccess records an answer that reports no failure.
func (b *referenceBreaker) recordSuccess(now time.Time, trial bool) {
	if b.state == Closed {
		b.score /= 2
		return
	}
	// Only a trial shows the endpoint's present state: other answers belong to requests that were sent before the
	// breaker opened.
	if !trial {
		return
	}
	b.observeTrial(true)
	if b.successes++; b.successes == 1 {
		b.successesSince = now
	}
	odds := b.currentDownProbability(now) / (1 - b.currentDownProbability(now)) * goodTrialOddsFactor
	b.downProbability, b.downProbabilityAt = odds/(1+odds), now
	if b.successes >= b.requiredSuccesses(now) || b.downProbability < maxCloseDownProbability {
		b.observeOutage(b.successesSince.Sub(b.openedAt))
		b.close(now)
	}
}

// requiredSuccesses returns how many trials in a row must succeed to close the breaker.
func (b *referenceBreaker) requiredSuccesses(now time.Time) int {
	recent := 0
	for _, at := range b.openings {
		if now.Sub(at) < b.cfg.OpeningWindow {
			recent++
		}
	}
	return min(b.cfg.RequiredSuccesses+max(recent-1, 0), b.cfg.MaxRequiredSuccesses)
}

// recordFailure records an answer that reports or shows a failure, with its weight in the failure score.
func (b *referenceBreaker) recordFailure(now time.Time, weight float64, trial bool) {
	if b.state == Closed {
		b.score += weight
		if b.score < openScore {
			return
		}
		b.open(now)
		return
	}
	if !trial {
		return
	}
	b.observeTrial(false)
	b.successes = 0
	b.trialInterval = min(2*b.trialInterval, b.cfg.MaxTrialInterval)
	if b.currentDownProbability(now) < maxTrialDownProbability {
		// The outage lasts longer than expected.
		b.observeOutage(2 * now.Sub(b.openedAt))
	}
	b.downProbability, b.downProbabilityAt = initialDownProbability, now
}

// open starts the trials; the first may run after the time between two trials.
func (b *referenceBreaker) open(now time.Time) {
	b.state = Trial
	b.successes = 0
	b.successShare = initialSuccessShare
	if now.Sub(b.closedAt) < reopenWindow {
		// The breaker had closed too early: this is still the same outage.
		b.observeOutage(2 * now.Sub(b.openedAt))
	} else {
		b.openedAt = now
	}
	b.downProbability, b.downProbabilityAt = initialDownProbability, now
	b.trialAt = now
	b.openings = append(b.openings, now)
	if len(b.openings) > maxOpenings {
		b.openings = b.openings[1:]
	}
}
