package egress

import (
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/breaker"
)

const (
	// reclaimSurvival is the largest share of usual requests that take longer than a run that may be ended for another
	// request. The latency model gives no run less than 1 in 100.
	reclaimSurvival = 0.02
	// slowFactor is how many times slower than usual an endpoint may become without losing all its runs. Without it, an
	// endpoint that became slow never had the time to answer anything, and so looked as if it hung for good.
	slowFactor = 4
)

// trackedRun is one run at an endpoint.
type trackedRun struct {
	id    uint64
	class breaker.RequestClass
	start time.Time
	// endable is set for a run that may be ended: it is repeatable and without a claim on an idempotency key.
	endable bool
	// streamed is set for a run whose endpoint may be waiting for the rest of the request.
	streamed bool
	// answering is set once an answer has begun, ended once the run was chosen to be ended.
	answering bool
	ended     bool
	// abandoned is set for a run that began before the breaker closed and had no answer by then: the outage has swallowed
	// it, and answers to later requests say nothing of it.
	abandoned bool
	// requestSlot asks the run's sender to give up the slot; the decisions here do not use it.
	requestSlot func()
}

// silent reports whether the endpoint has the whole request and has not begun to answer it.
func (r *trackedRun) silent() bool { return !r.streamed && !r.answering && !r.ended }

// overdue reports whether no more than reclaimSurvival of usual requests take longer than the run has taken by a time,
// also if they all took slowdown times as long as usual.
func (r *trackedRun) overdue(now time.Time, slowdown int, survival breaker.Survival) bool {
	return survival(r.class, now.Sub(r.start)/time.Duration(slowdown)) <= reclaimSurvival
}

// runSet holds the runs at one endpoint, and decides which of them to end when another request needs a slot. It has no
// clock; its owner locks it.
type runSet struct {
	// runs are ordered by start.
	runs []*trackedRun
	// lastAnswer is when an answer last began; slow is set if it was overdue by then.
	lastAnswer time.Time
	slow       bool
}

func (s *runSet) begin(r trackedRun) { s.runs = append(s.runs, &r) }

// find returns a run, nil if there is none with the ID.
func (s *runSet) find(id uint64) *trackedRun {
	i := slices.IndexFunc(s.runs, func(r *trackedRun) bool { return r.id == id })
	if i < 0 {
		return nil
	}
	return s.runs[i]
}

// answered records that the answer to a run has begun. An answer that only reports a failure is no proof that late answers of the endpoint are worth waiting for.
func (s *runSet) answered(now time.Time, id uint64, success bool, survival breaker.Survival) {
	r := s.find(id)
	if r == nil {
		return
	}
	r.answering = true
	s.lastAnswer = now
	if !r.streamed {
		s.slow = success && r.overdue(now, 1, survival)
	}
}

// breakerClosed records that the breaker has closed after an outage.
func (s *runSet) breakerClosed() {
	for _, r := range s.runs {
		r.abandoned = r.abandoned || r.silent()
	}
}

func (s *runSet) end(id uint64) {
	s.runs = slices.DeleteFunc(s.runs, func(r *trackedRun) bool { return r.id == id })
}

// reclaim chooses the run to be ended for a request that needs a slot: the oldest one that qualifies, nil if none does.
// survival must return 1 for kinds of requests that the model does not know.
//
// A run that began after the last outage does not qualify while the breaker is closed and the endpoint has answered
// anything since the run began. An endpoint that is only slow must not lose its runs: while its last answer was overdue, all of them are kept for
// slowFactor times as long, else only the oldest one, whose answer would show that the endpoint is slow.
func (s *runSet) reclaim(now time.Time, breakerOpen bool, survival breaker.Survival) *trackedRun {
	witnessed := s.slow
	for _, r := range s.runs {
		if !r.silent() || !r.overdue(now, 1, survival) {
			continue
		}
		isWitness := !witnessed && !r.overdue(now, slowFactor, survival)
		witnessed = witnessed || isWitness
		if isWitness || s.slow && !r.overdue(now, slowFactor, survival) {
			continue
		}
		if r.endable && (breakerOpen || r.abandoned || !s.lastAnswer.After(r.start)) {
			r.ended = true
			return r
		}
	}
	return nil
}
