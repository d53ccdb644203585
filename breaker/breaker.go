package breaker

import "time"

// Config is the policy of one breaker.
type Config struct {
	// Broken is the evidence that one answer which broke off gives, Failed that of one whole answer that says the work
	// failed. A breaker opens at openAt.
	Broken, Failed float64
	// Forget is the time in which evidence halves.
	Forget time.Duration
	// Pause is how long an open breaker takes no request that must not repeat, at least; it doubles with each trial
	// that fails, up to LongestPause.
	Pause, LongestPause time.Duration
	// TrialEvery is the least time between two trials; it doubles with each one that fails, up to LongestTrial.
	TrialEvery, LongestTrial time.Duration
	// Barren is how long no repeatable request must have come for one that must not repeat to be the trial.
	Barren time.Duration
	// Successes is how many trials in a row close the breaker after it has opened once, and one more for each time that
	// it opened again within Memory, up to MostSuccesses.
	Successes, MostSuccesses int
	// Overdue is how many requests in a row, with no whole answer between them, must have had no answer in a time in which
	// the endpoint usually ends several.
	Overdue int
	// Memory is how long an opening counts.
	Memory time.Duration
}

const (
	// openAt is the evidence at which a breaker opens.
	openAt = 1
	// trialMemory is how much of its weight the past loses to each new trial: about the last three count.
	trialMemory = 0.3
	// unknownShare is the share of trials taken as good while none has ended.
	unknownShare = 0.5
	// likelyShare is the share from which on an endpoint is worth a request that must not repeat: below it, most callers
	// would learn no more than that their request may have run.
	likelyShare = 0.45
	// leastEvidence is what is too little to be halved again.
	leastEvidence = 0.01
	// mostOpenings bounds the openings that are remembered: more than any policy asks for.
	mostOpenings = 8
)

// DefaultConfig returns the policy for endpoints that break off most of their work for some seconds at a time, and let
// about one request in seven through meanwhile. The figures come from rounds on the users' bench (docs/MEASUREMENTS.md).
func DefaultConfig() Config {
	return Config{
		Broken: 1, Failed: 0.4, Forget: time.Second,
		Pause: 250 * time.Millisecond, LongestPause: 5 * time.Second,
		TrialEvery: 40 * time.Millisecond, LongestTrial: 400 * time.Millisecond, Barren: time.Second,
		Successes: 2, MostSuccesses: 3, Memory: 8 * time.Second,
		// An endpoint of 3 or 4 slots ends about ten requests in the time of an overdue one: two without any is no chance.
		Overdue: 2,
	}
}

// State says what an endpoint takes.
type State uint8

// The states.
const (
	// Closed takes every request.
	Closed State = iota
	// Trial takes one repeatable request at a time.
	Trial
)

// String returns the state's name.
func (s State) String() string {
	if s == Trial {
		return "trial"
	}
	return "closed"
}

// Result is how one request went at the endpoint.
type Result uint8

// The results.
const (
	// OK is a whole answer that says nothing of a failure.
	OK Result = iota
	// Failed is a whole answer that says the work failed.
	Failed
	// Broken is an answer that broke off or could not be read.
	Broken
	// Overdue is work that had no answer in a time in which the endpoint usually ends several.
	Overdue
)

// Breaker watches one endpoint; its owner locks it.
type Breaker struct {
	cfg   Config
	state State
	// evidence is what speaks against the endpoint, as it was at seenAt.
	evidence float64
	seenAt   time.Time
	// pause is the present length of a pause, pausedUntil when it ends.
	pause       time.Duration
	pausedUntil time.Time
	// openings are the times of the last openings, successes the trials in a row that went well.
	openings  []time.Time
	successes int
	// trialEvery is the present time between two trials, trialAt when the last one began.
	trialEvery time.Duration
	trialAt    time.Time
	// trialing is set while a trial runs.
	trialing bool
	// overdue counts the requests without an answer since the last whole one.
	overdue int
	// goodShare is the recent share of good trials since it opened.
	goodShare float64
}

// New returns a closed breaker.
func New(cfg Config) *Breaker {
	return &Breaker{cfg: cfg, pause: cfg.Pause, trialEvery: cfg.TrialEvery}
}

// State returns what the endpoint takes.
func (b *Breaker) State() State { return b.state }

// Pause returns how long the endpoint takes nothing that must not repeat, at least; 0 when it takes everything.
func (b *Breaker) Pause(now time.Time) time.Duration {
	if b.state == Closed {
		return 0
	}
	return max(0, b.pausedUntil.Sub(now))
}

// Likely tells whether the endpoint does more of its work than not, as far as its trials show; while none has ended it
// is given the benefit of the doubt.
func (b *Breaker) Likely() bool { return b.state == Closed || b.goodShare >= likelyShare }

// LastResort takes the result of a request that ran as a last resort: it says whether the endpoint is worth the next
// one, but only trials, which can be sent again, close the breaker.
func (b *Breaker) LastResort(r Result) {
	if b.state == Trial {
		b.learn(r == OK)
	}
}

// learn moves the share of good trials by one.
func (b *Breaker) learn(good bool) {
	hit := 0.0
	if good {
		hit = 1
	}
	b.goodShare += (hit - b.goodShare) * trialMemory
}

// Would tells whether Allow would let a request run.
func (b *Breaker) Would(now time.Time, repeatable bool) bool {
	if b.state == Closed {
		return true
	}
	if b.trialing || now.Sub(b.trialAt) < b.trialEvery {
		return false
	}
	// Where nothing repeatable comes, what must not repeat finds out once the pause is over.
	return repeatable || !now.Before(b.pausedUntil) && now.Sub(b.trialAt) >= b.cfg.Barren
}

// Allow tells whether a request may run now, and whether it is a trial, whose result must be reported with Done.
func (b *Breaker) Allow(now time.Time, repeatable bool) (ok, trial bool) {
	if !b.Would(now, repeatable) {
		return false, false
	}
	if b.state == Closed {
		return true, false
	}
	b.trialing = true
	b.trialAt = now
	return true, true
}

// Release takes back a trial that did not run after all.
func (b *Breaker) Release(trial bool) {
	if trial {
		b.trialing = false
	}
}

// Done takes the result of a request.
func (b *Breaker) Done(now time.Time, r Result, trial bool) {
	if trial {
		b.trialing = false
	}
	b.fade(now)
	if r == OK || r == Failed {
		b.overdue = 0
	}
	switch r {
	case OK:
		b.good(now, trial)
	case Failed:
		b.bad(now, b.cfg.Failed, trial)
	case Broken:
		b.bad(now, b.cfg.Broken, trial)
	case Overdue:
		b.late(now, trial)
	}
}

// late takes work that had no answer in time. What was long under way when the endpoint was suspected says nothing new.
func (b *Breaker) late(now time.Time, trial bool) {
	b.overdue++
	if b.state == Closed && b.overdue >= b.cfg.Overdue {
		b.open(now)
		return
	}
	if trial {
		b.bad(now, b.cfg.Failed, trial)
	}
}

// fade takes off the evidence what the time since the last result does; within a half-life the loss is taken as linear.
func (b *Breaker) fade(now time.Time) {
	elapsed := now.Sub(b.seenAt)
	b.seenAt = now
	for ; elapsed >= b.cfg.Forget && b.evidence > leastEvidence; elapsed -= b.cfg.Forget {
		b.evidence /= 2
	}
	b.evidence *= 1 - float64(min(elapsed, b.cfg.Forget))/float64(2*b.cfg.Forget)
}

// good takes an answer that says nothing of a failure.
func (b *Breaker) good(now time.Time, trial bool) {
	if b.state == Closed {
		b.evidence /= 2
		return
	}
	// Only a trial shows how the endpoint is now: other answers are of work that began before it was suspected.
	if !trial {
		return
	}
	b.learn(true)
	b.successes++
	if b.successes >= b.needed(now) {
		b.state = Closed
		b.evidence = 0
		b.pause = b.cfg.Pause
		b.trialEvery = b.cfg.TrialEvery
	}
}

// needed is how many trials in a row must succeed.
func (b *Breaker) needed(now time.Time) int {
	recent := 0
	for _, at := range b.openings {
		if now.Sub(at) < b.cfg.Memory {
			recent++
		}
	}
	return min(b.cfg.Successes+max(recent-1, 0), b.cfg.MostSuccesses)
}

// bad takes an answer that is evidence of a failure.
func (b *Breaker) bad(now time.Time, weight float64, trial bool) {
	if b.state == Closed {
		b.evidence += weight
		if b.evidence < openAt {
			return
		}
		b.open(now)
		return
	}
	if !trial {
		return
	}
	b.learn(false)
	b.successes = 0
	b.pause = min(2*b.pause, b.cfg.LongestPause)
	b.trialEvery = min(2*b.trialEvery, b.cfg.LongestTrial)
	b.pausedUntil = now.Add(b.pause)
}

// open begins the trials; the first one waits for the time between two.
func (b *Breaker) open(now time.Time) {
	b.state = Trial
	b.successes = 0
	b.goodShare = unknownShare
	b.pausedUntil = now.Add(b.pause)
	b.trialAt = now
	b.openings = append(b.openings, now)
	if len(b.openings) > mostOpenings {
		b.openings = b.openings[1:]
	}
}
