package virtual

import (
	"slices"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/throttle"
)

const (
	// The values of egress/reclaim.go.
	reclaimShare = 0.02
	slowFactor   = 4
	// minCallPause and maxCallPause bound the pauses after which a nested call starts over.
	minCallPause = 50 * time.Millisecond
	maxCallPause = 200 * time.Millisecond
	// maxRestarts bounds how often it does.
	maxRestarts = 3
	// The values of ingress/resume.go.
	firstResumePause = 50 * time.Millisecond
	maxResumePause   = 800 * time.Millisecond
)

// reclaim asks for the slot of the oldest run that holds it without prospect of an answer, as egress/reclaim.go does (part 4).
func (s *server) reclaim() {
	if !s.Parts.ReclaimSlots {
		return
	}
	overdue := func(a *attempt, slowdown time.Duration) bool {
		return s.survival(requestClass(a.x), s.now.Sub(a.started)/slowdown) <= reclaimShare
	}
	witnessed := s.lateAnswer
	i := slices.IndexFunc(s.running, func(a *attempt) bool {
		if a.asked || !overdue(a, 1) {
			return false
		}
		isWitness := !witnessed && !overdue(a, slowFactor)
		witnessed = witnessed || isWitness
		if isWitness || s.lateAnswer && !overdue(a, slowFactor) {
			return false
		}
		return a.x.class.repeatable && (s.breaker.State() != breaker.Closed || a.abandoned || !s.answeredAt.After(a.started))
	})
	if i >= 0 {
		s.running[i].asked = true
		s.running[i].x.yield(s.running[i])
	}
}

// yield gives up the slot of an attempt if the request is served elsewhere or may be sent again, as ingress/progress.go
// does.
func (x *exchange) yield(a *attempt) {
	isElsewhere := slices.ContainsFunc(x.running, func(b *attempt) bool { return b != a && b.running })
	hasTime := x.deadline.Sub(x.now) > x.n.usualTime(x.class)
	if !isElsewhere && (x.begun >= maxSends || !hasTime) {
		return
	}
	x.interrupted = true
	a.s.finish(a, end{outcome: peerpb.Outcome_OUTCOME_UNKNOWN, code: fault.EndpointHung, failed: true})
}

// looksOn reports whether a request of which an attempt gave up its slot asks another endpoint, whatever the retry policy says.
func (x *exchange) looksOn(full bool, e end) bool {
	return x.interrupted && (full || e.code == fault.EndpointHung && x.begun < maxSends)
}

// resume has a request of which an attempt gave up its slot look for another one after a pause, as ingress/resume.go does;
// false if it may not be sent again.
func (x *exchange) resume() bool {
	if !x.interrupted || x.begun >= maxSends {
		return false
	}
	x.after(x.resumePause.Next(), func() {
		if !x.over {
			x.search = search{suspectSince: x.suspectSince, tried: x.tried &^ x.rejecting}
			x.next()
		}
	})
	return true
}

// nestedFirst reports whether the request is treated as a nested call (parts 2 and 3).
func (x *exchange) nestedFirst() bool { return x.parent != nil && x.Parts.NestedFirst }

// usefulUntil returns until when an answer to the request is of use: for a nested call until the latency target of its
// parent is over, at least until its own.
func (x *exchange) usefulUntil() time.Time {
	if x.parent == nil {
		return x.deadline
	}
	until := x.target
	if x.parent.x.target.After(until) {
		until = x.parent.x.target
	}
	if x.deadline.Before(until) {
		return x.deadline
	}
	return until
}

// giveUp ends a request that found no capacity, but has a nested call that has not run start over after a pause, as
// ingress/rounds.go does (part 3).
func (x *exchange) giveUp() {
	if x.resume() {
		return
	}
	spare := x.usefulUntil().Sub(x.now) - x.n.usualTime(x.class)
	if !x.nestedFirst() || x.reached || spare < minCallPause || x.restarts >= maxRestarts {
		x.finish(false)
		return
	}
	x.restarts++
	x.after(min(x.pause.Next(), spare), func() {
		if !x.over {
			x.search = search{suspectSince: x.suspectSince}
			x.next()
		}
	})
}

// throttle returns the node's throttle for such requests, nil for none (part 5).
func (x *exchange) throttle() *throttle.Throttle {
	if x.parent != nil || !x.Parts.EarlyRefusal {
		return nil
	}
	return x.n.throttles.Get(throttle.Key{Service: strconv.Itoa(x.service), Route: x.class.name})
}

// throttled reports whether the request is rejected at once.
func (x *exchange) throttled() bool {
	t := x.throttle()
	if t == nil || !t.Throttles(x.now, x.random.Float64()) {
		return false
	}
	t.RecordThrottled(x.now, x.random.Float64())
	return true
}

// recordCapacity counts the end of a request that was not throttled.
func (x *exchange) recordCapacity(served bool) {
	result := throttle.Inconclusive
	switch {
	case x.callLost && x.Parts.NestedFirst:
		result = throttle.Lost
	case served || x.callLost:
		result = throttle.Accepted
	case !x.reached:
		result = throttle.Rejected
	}
	if t := x.throttle(); t != nil {
		t.Record(x.now, result, 0)
	}
}
