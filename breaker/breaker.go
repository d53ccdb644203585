package breaker

import (
	"math"
	"time"
)

// Config is the policy of one breaker.
type Config struct {
	// Broken is the evidence that one answer which broke off gives, Failed that of one whole answer that says the work
	// failed. A breaker opens at openAt.
	BrokenWeight, FailedWeight float64
	// Forget is the time in which evidence halves.
	ScoreHalfLife time.Duration
	// Spell is how long an endpoint is thought to fail at a time before any spell was seen; what is learned of each
	// endpoint stays between ShortestSpell and LongestSpell.
	InitialOutage, MinOutage, MaxOutage time.Duration
	// TrialEvery is the least time between two trials; it doubles with each one that fails, up to LongestTrial.
	TrialInterval, MaxTrialInterval time.Duration
	// Successes is how many trials in a row close the breaker after it has opened once, and one more for each time that
	// it opened again within Memory, up to MostSuccesses.
	RequiredSuccesses, MaxRequiredSuccesses int
	// Memory is how long an opening counts.
	OpeningWindow time.Duration
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
	// firstDoubt is the chance that an endpoint still fails, at the moment in which the breaker opens or a trial fails;
	// trialDoubt is the one at which what must not repeat may be a trial, closeDoubt that at which a good trial ends them.
	firstDoubt = 0.95
	trialDoubt = 0.2
	closeDoubt = 0.1
	// goodTrial is by how much one good trial lowers the odds: three answers in ten come from an endpoint that fails.
	goodTrial = 0.3
	// spellMemory is the weight of the latest spell in what is thought of the next.
	spellMemory = 0.3
	// again is how soon after it closed a breaker that opens again has closed too early: work of half a second that is
	// silent from then on shows within so long.
	again = 3 * time.Second
	// leastEvidence is what is too little to be halved again.
	leastEvidence = 0.01
	// mostOpenings bounds the openings that are remembered: more than any policy asks for.
	mostOpenings = 8
)

// DefaultConfig returns the policy for endpoints that break off most of their work for some seconds at a time, and let
// about one request in seven through meanwhile. docs/DECISIONS.md has the measurements behind the figures.
func DefaultConfig() Config {
	return Config{
		BrokenWeight: 1, FailedWeight: 0.4, ScoreHalfLife: time.Second,
		InitialOutage: time.Second, MinOutage: 200 * time.Millisecond, MaxOutage: 1500 * time.Millisecond,
		TrialInterval: 40 * time.Millisecond, MaxTrialInterval: 400 * time.Millisecond,
		RequiredSuccesses: 2, MaxRequiredSuccesses: 3, OpeningWindow: 8 * time.Second,
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
	// Overdue is a trial whose answer is due and missing.
	Overdue
)

// Breaker watches one endpoint; its owner locks it.
type Breaker struct {
	cfg   Config
	state State
	// evidence is what speaks against the endpoint, as it was at seenAt.
	evidence float64
	seenAt   time.Time
	// doubt is the chance that the endpoint still failed at doubtAt; it falls as spells of its usual length end.
	doubt   float64
	doubtAt time.Time
	// spell is the usual length of a spell after the breaker has opened, openedAt when it did, goodAt when the latest row of
	// good trials began, and closedAt when it closed.
	spell    time.Duration
	openedAt time.Time
	goodAt   time.Time
	closedAt time.Time
	// openings are the times of the last openings, successes the trials in a row that went well.
	openings  []time.Time
	successes int
	// trialEvery is the present time between two trials, trialAt when the last one began.
	trialEvery time.Duration
	trialAt    time.Time
	// trialing is set while a trial runs.
	trialing bool
	// goodShare is the recent share of good trials since it opened.
	goodShare float64
}

// New returns a closed breaker.
func New(cfg Config) *Breaker {
	return &Breaker{cfg: cfg, spell: cfg.InitialOutage, trialEvery: cfg.TrialInterval}
}

// State returns what the endpoint takes.
func (b *Breaker) State() State { return b.state }

// Pause returns how long the endpoint takes no ordinary work unless trials go well sooner; 0 when it takes everything.
func (b *Breaker) RemainingOutage(now time.Time) time.Duration {
	if b.state == Closed {
		return 0
	}
	return max(0, time.Duration(math.Log(b.doubtNow(now)/trialDoubt)*float64(b.spell)))
}

// doubtNow is the chance that the endpoint still fails.
func (b *Breaker) doubtNow(now time.Time) float64 {
	return b.doubt * math.Exp(-now.Sub(b.doubtAt).Seconds()/b.spell.Seconds())
}

// Clear closes a breaker that was opened by Suspect and for a reason that has proved wrong.
func (b *Breaker) ForceClose(now time.Time) {
	if b.state == Trial {
		b.close(now)
	}
}

func (b *Breaker) close(now time.Time) {
	b.state = Closed
	b.evidence = 0
	b.trialEvery = b.cfg.TrialInterval
	b.closedAt = now
}

// learnSpell takes the length of a spell, from its opening on.
func (b *Breaker) learnSpell(d time.Duration) {
	b.spell += time.Duration(spellMemory * float64(d-b.spell))
	b.spell = min(max(b.spell, b.cfg.MinOutage), b.cfg.MaxOutage)
}

// Likely tells whether the endpoint does more of its work than not, as far as its trials show; while none has ended it
// is given the benefit of the doubt.
func (b *Breaker) LikelyToSucceed() bool { return b.state == Closed || b.goodShare >= likelyShare }

// LastResort takes the result of a request that ran as a last resort: it says whether the endpoint is worth the next
// one, but only trials, which can be sent again, close the breaker.
func (b *Breaker) ReportLastResort(r Result) {
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

// Would tells whether Allow would let a request run. What must not repeat is a trial only once a spell of the usual length
// should be over.
func (b *Breaker) WouldAllow(now time.Time, repeatable bool) bool {
	if b.state == Closed {
		return true
	}
	if b.trialing || now.Sub(b.trialAt) < b.trialEvery {
		return false
	}
	return repeatable || b.doubtNow(now) < trialDoubt
}

// Allow tells whether a request may run now, and whether it is a trial, whose result must be reported with Done.
func (b *Breaker) Allow(now time.Time, repeatable bool) (ok, trial bool) {
	if !b.WouldAllow(now, repeatable) {
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
func (b *Breaker) CancelTrial(trial bool) {
	if trial {
		b.trialing = false
	}
}

// Done takes the result of a request.
func (b *Breaker) Report(now time.Time, r Result, trial bool) {
	if trial {
		b.trialing = false
	}
	b.fade(now)
	switch r {
	case OK:
		b.good(now, trial)
	case Failed:
		b.bad(now, b.cfg.FailedWeight, trial)
	case Broken:
		b.bad(now, b.cfg.BrokenWeight, trial)
	case Overdue:
		if trial {
			b.bad(now, b.cfg.FailedWeight, trial)
		}
	}
}

// Suspect opens the breaker for evidence that is weighed elsewhere, and tells whether it was closed.
func (b *Breaker) ForceOpen(now time.Time) bool {
	if b.state != Closed {
		return false
	}
	b.open(now)
	return true
}

// fade takes off the evidence what the time since the last result does; within a half-life the loss is taken as linear.
func (b *Breaker) fade(now time.Time) {
	elapsed := now.Sub(b.seenAt)
	b.seenAt = now
	for ; elapsed >= b.cfg.ScoreHalfLife && b.evidence > leastEvidence; elapsed -= b.cfg.ScoreHalfLife {
		b.evidence /= 2
	}
	b.evidence *= 1 - float64(min(elapsed, b.cfg.ScoreHalfLife))/float64(2*b.cfg.ScoreHalfLife)
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
	if b.successes++; b.successes == 1 {
		b.goodAt = now
	}
	odds := b.doubtNow(now) / (1 - b.doubtNow(now)) * goodTrial
	b.doubt, b.doubtAt = odds/(1+odds), now
	if b.successes >= b.needed(now) || b.doubt < closeDoubt {
		b.learnSpell(b.goodAt.Sub(b.openedAt))
		b.close(now)
	}
}

// needed is how many trials in a row must succeed.
func (b *Breaker) needed(now time.Time) int {
	recent := 0
	for _, at := range b.openings {
		if now.Sub(at) < b.cfg.OpeningWindow {
			recent++
		}
	}
	return min(b.cfg.RequiredSuccesses+max(recent-1, 0), b.cfg.MaxRequiredSuccesses)
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
	b.trialEvery = min(2*b.trialEvery, b.cfg.MaxTrialInterval)
	if b.doubtNow(now) < trialDoubt {
		// The spell lasts longer than usual.
		b.learnSpell(2 * now.Sub(b.openedAt))
	}
	b.doubt, b.doubtAt = firstDoubt, now
}

// open begins the trials; the first one waits for the time between two.
func (b *Breaker) open(now time.Time) {
	b.state = Trial
	b.successes = 0
	b.goodShare = unknownShare
	if now.Sub(b.closedAt) < again {
		// It closed too early: the spell goes on.
		b.learnSpell(2 * now.Sub(b.openedAt))
	} else {
		b.openedAt = now
	}
	b.doubt, b.doubtAt = firstDoubt, now
	b.trialAt = now
	b.openings = append(b.openings, now)
	if len(b.openings) > mostOpenings {
		b.openings = b.openings[1:]
	}
}
