package breaker

import (
	"math"
	"time"
)

// Config is the policy of one breaker.
type Config struct {
	// BrokenWeight is how much an answer that broke off adds to the failure score, FailedWeight how much a complete
	// answer that reports a failure adds. A breaker opens when the score reaches openScore.
	BrokenWeight, FailedWeight float64
	// ScoreHalfLife is the time in which the failure score halves.
	ScoreHalfLife time.Duration
	// InitialOutage is how long an outage of the endpoint is expected to last before any was seen. The expected length
	// is then learned for each endpoint, between MinOutage and MaxOutage.
	InitialOutage, MinOutage, MaxOutage time.Duration
	// TrialInterval is the minimum time between two trials; it doubles with each failed trial, up to MaxTrialInterval.
	TrialInterval, MaxTrialInterval time.Duration
	// RequiredSuccesses is how many successful trials in a row close a breaker that has opened once. One more is
	// required for each further opening within OpeningWindow, up to MaxRequiredSuccesses.
	RequiredSuccesses, MaxRequiredSuccesses int
	// OpeningWindow is how long an opening counts for the required successes.
	OpeningWindow time.Duration
	// SlowStart lets more than one trial run at once: their number doubles with each successful trial in a row, up to the
	// endpoint's slots.
	SlowStart bool
}

const (
	// openScore is the failure score at which a breaker opens.
	openScore = 1
	// trialSmoothing is the weight of the newest trial in the moving average of successes: about the last three trials
	// count.
	trialSmoothing = 0.3
	// initialSuccessShare is the assumed share of successful trials until one has finished.
	initialSuccessShare = 0.5
	// likelySuccessShare is the share of successful trials from which an endpoint is worth sending a non-repeatable
	// request: below it, most callers would only learn that their request may have run.
	likelySuccessShare = 0.45
	// initialDownProbability is the probability that an endpoint is still failing at the moment when the breaker opens
	// or a trial fails. At maxTrialDownProbability a non-repeatable request may be a trial; at maxCloseDownProbability
	// a successful trial closes the breaker.
	initialDownProbability  = 0.95
	maxTrialDownProbability = 0.2
	maxCloseDownProbability = 0.1
	// goodTrialOddsFactor multiplies the odds that the endpoint is still failing after a successful trial: a failing
	// endpoint still answers three requests in ten.
	goodTrialOddsFactor = 0.3
	// outageSmoothing is the weight of the latest outage in the expected length of the next.
	outageSmoothing = 0.3
	// reopenWindow is how soon after closing a breaker must open again for the closing to count as premature: an
	// endpoint that stays silent at requests that usually take half a second is detected within that time.
	reopenWindow = 3 * time.Second
	// minScore is the failure score below which it is no longer halved.
	minScore = 0.01
	// maxOpenings bounds the openings that are remembered; no policy needs more.
	maxOpenings = 8
)

// DefaultConfig returns the policy for endpoints that break off most of their answers for some seconds at a time and
// answer about one request in seven meanwhile. docs/DECISIONS.md has the measurements behind the numbers.
func DefaultConfig() Config {
	return Config{
		BrokenWeight: 1, FailedWeight: 0.4, ScoreHalfLife: time.Second,
		InitialOutage: time.Second, MinOutage: 200 * time.Millisecond, MaxOutage: 1500 * time.Millisecond,
		TrialInterval: 40 * time.Millisecond, MaxTrialInterval: 400 * time.Millisecond,
		RequiredSuccesses: 2, MaxRequiredSuccesses: 3, OpeningWindow: 8 * time.Second,
	}
}

// State says which requests an endpoint takes.
type State uint8

// The states.
const (
	// Closed takes every request.
	Closed State = iota
	// Trial (half-open) takes one trial request at a time, or more with Config.SlowStart: a repeatable one, or a
	// non-repeatable one once an outage of the expected length is probably over.
	Trial
)

// String returns the state's name.
func (s State) String() string {
	if s == Trial {
		return "trial"
	}
	return "closed"
}

// Result is how one request ended at the endpoint.
type Result uint8

// The results.
const (
	// OK is a complete answer that reports no failure.
	OK Result = iota
	// Failed is a complete answer that reports that the endpoint couldn't do the work.
	Failed
	// Broken is an answer that broke off or could not be read.
	Broken
	// Overdue is a trial that has not been answered in the usual time.
	Overdue
)

// Breaker is the circuit breaker of one endpoint. It is not safe for concurrent use; its owner must hold a lock.
type Breaker struct {
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
	// trials are those in flight, lastTrial is the ID of the latest. slots is how many requests the endpoint runs at once.
	trials    []trial
	lastTrial TrialID
	slots     int
	// successShare is the moving average of successful trials since the breaker opened.
	successShare float64
}

// New returns a closed breaker.
func New(cfg Config) *Breaker {
	return &Breaker{cfg: cfg, outage: cfg.InitialOutage, trialInterval: cfg.TrialInterval}
}

// State returns which requests the endpoint takes.
func (b *Breaker) State() State { return b.state }

// RemainingOutage returns the time until the endpoint has probably recovered and takes non-repeatable requests as
// trials, 0 if the breaker is closed. Successful trials may close the breaker sooner.
func (b *Breaker) RemainingOutage(now time.Time) time.Duration {
	if b.state == Closed {
		return 0
	}
	return max(0, time.Duration(math.Log(b.currentDownProbability(now)/maxTrialDownProbability)*float64(b.outage)))
}

// currentDownProbability returns the probability that the endpoint is still failing.
func (b *Breaker) currentDownProbability(now time.Time) float64 {
	return b.downProbability * math.Exp(-now.Sub(b.downProbabilityAt).Seconds()/b.outage.Seconds())
}

// ForceClose closes the breaker if it is open. It is for a breaker that ForceOpen opened for a reason that has proved
// wrong.
func (b *Breaker) ForceClose(now time.Time) {
	if b.state == Trial {
		b.close(now)
	}
}

// close makes the breaker take every request.
func (b *Breaker) close(now time.Time) {
	b.state = Closed
	b.score = 0
	b.trialInterval = b.cfg.TrialInterval
	b.closedAt = now
	if b.cfg.SlowStart {
		// If the breaker opens again, they are requests from before the opening.
		b.trials = nil
	}
}

// observeOutage updates the expected length of an outage with the length of one, measured from its opening.
func (b *Breaker) observeOutage(d time.Duration) {
	b.outage += time.Duration(outageSmoothing * float64(d-b.outage))
	b.outage = min(max(b.outage, b.cfg.MinOutage), b.cfg.MaxOutage)
}

// LikelyToSucceed reports whether the endpoint is worth sending a non-repeatable request, judging by its trials
// (likelySuccessShare). It is true until the first trial has finished.
func (b *Breaker) LikelyToSucceed() bool {
	return b.state == Closed || b.successShare >= likelySuccessShare
}

// ReportLastResort records the result of a request that was sent as a last resort, while the breaker was open. It
// counts for LikelyToSucceed only: the breaker closes on trials alone, which can be retried.
func (b *Breaker) ReportLastResort(r Result) {
	if b.state == Trial {
		b.observeTrial(r == OK)
	}
}

// observeTrial updates the share of successful trials with one result.
func (b *Breaker) observeTrial(success bool) {
	sample := 0.0
	if success {
		sample = 1
	}
	b.successShare += (sample - b.successShare) * trialSmoothing
}

// WouldAllow reports whether Allow would let a request run, without using up a trial. A non-repeatable request may be
// a trial only once an outage of the expected length is probably over.
func (b *Breaker) WouldAllow(now time.Time, repeatable bool) bool {
	if b.state == Closed {
		return true
	}
	if b.trialRoom(now, repeatable) == 0 {
		return false
	}
	return repeatable || b.currentDownProbability(now) < maxTrialDownProbability
}

// Allow reports whether a request may run now, and as which trial, 0 for none. A trial must end with Report or
// CancelTrial.
func (b *Breaker) Allow(now time.Time, r Request) (ok bool, id TrialID) {
	if !b.WouldAllow(now, r.Repeatable) {
		return false, 0
	}
	if b.state == Closed {
		return true, 0
	}
	b.trialAt = now
	return true, b.beginTrial(now, r)
}

// CancelTrial ends a trial that did not run after all; it does nothing for a request that is no trial.
func (b *Breaker) CancelTrial(id TrialID) { b.endTrial(id) }

// Report records the result of a request; id is what Allow returned for it. The second result of a trial counts like
// that of a request that was no trial.
func (b *Breaker) Report(now time.Time, r Result, id TrialID) {
	trial := b.endTrial(id)
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
func (b *Breaker) ForceOpen(now time.Time) bool {
	if b.state != Closed {
		return false
	}
	b.open(now)
	return true
}

// decayScore reduces the failure score for the time since the last result, linearly within a half-life.
func (b *Breaker) decayScore(now time.Time) {
	elapsed := now.Sub(b.scoredAt)
	b.scoredAt = now
	for ; elapsed >= b.cfg.ScoreHalfLife && b.score > minScore; elapsed -= b.cfg.ScoreHalfLife {
		b.score /= 2
	}
	b.score *= 1 - float64(min(elapsed, b.cfg.ScoreHalfLife))/float64(2*b.cfg.ScoreHalfLife)
}

// recordSuccess records an answer that reports no failure.
func (b *Breaker) recordSuccess(now time.Time, trial bool) {
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
func (b *Breaker) requiredSuccesses(now time.Time) int {
	recent := 0
	for _, at := range b.openings {
		if now.Sub(at) < b.cfg.OpeningWindow {
			recent++
		}
	}
	return min(b.cfg.RequiredSuccesses+max(recent-1, 0), b.cfg.MaxRequiredSuccesses)
}

// recordFailure records an answer that reports or shows a failure, with its weight in the failure score.
func (b *Breaker) recordFailure(now time.Time, weight float64, trial bool) {
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
func (b *Breaker) open(now time.Time) {
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
