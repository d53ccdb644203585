package soak

import (
	"math/rand/v2"
	"time"
)

// StepClock has an endpoint that announces itself start twice under its name while its host's time of day steps, and leave.
const StepClock Kind = "step-clock"

const (
	// stepsSeed keeps these draws apart from those of other actions.
	stepsSeed = 1 << 46
	// mostStep bounds how far a host's time of day is from the true one.
	mostStep = 5 * time.Second
	// shortLife and longLife bound how long the first and the second incarnation run.
	shortLife, longLife = 2 * time.Second, 6 * time.Second
	// gapOfLives bounds the time between two incarnations.
	gapOfLives = 700 * time.Millisecond
)

// Steps are two lives of an endpoint under one name: how far the host's time of day is ahead at their starts, and how long they last.
type Steps struct {
	Ahead, Lives [2]time.Duration
	Gap          time.Duration
}

// PlanSteps draws n such times, without changing what Plan draws.
func PlanSteps(seed uint64, members, n int, length time.Duration) []Action {
	r := rand.New(rand.NewPCG(seed, stepsSeed+uint64(members))) //nolint:gosec // seeded on purpose
	plan := make([]Action, 0, n)
	for range n {
		a := draw(r, members, length)
		a.Kind, a.Leaving = StepClock, drawLeaving(r)
		a.Steps.Gap = time.Duration(r.Int64N(int64(gapOfLives)))
		for i, longest := range []time.Duration{shortLife, longLife} {
			a.Steps.Ahead[i] = time.Duration(r.Int64N(int64(2*mostStep))) - mostStep
			a.Steps.Lives[i] = time.Duration(r.Int64N(int64(longest)))
		}
		a.For = mostLate + time.Second
		plan = append(plan, a)
	}
	return plan
}

// restart begins another incarnation of the same name, by a time of day that is ahead by some time.
func (b *boot) restart(ahead time.Duration) {
	b.mu.Lock()
	b.born, b.sequence = time.Now().Add(ahead).UnixMilli(), 0
	b.mu.Unlock()
	// It may find no node.
	_ = b.m.Report(b.heartbeat())
}

// stepClock has an endpoint start, end without a word, start again under its name and leave, with a time of day that steps.
func (r *run) stepClock(a Action) {
	r.ends[a.On].Lock()
	defer r.ends[a.On].Unlock()
	b := r.boots[a.On]
	for i, ahead := range a.Steps.Ahead {
		b.restart(ahead)
		time.Sleep(a.Steps.Lives[i])
		if i == 0 {
			b.silence(a.Steps.Gap)
		}
	}
	r.leaveNow(a)
}

// silence stops the heartbeats for some time.
func (b *boot) silence(length time.Duration) {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	time.Sleep(length)
	b.mu.Lock()
	b.leaving = false
	b.mu.Unlock()
}
