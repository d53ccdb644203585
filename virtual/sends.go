package virtual

import (
	"math"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/admission"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/retry"
)

// endpoint is a simulated endpoint; it queues requests either by the product's admission queue or in a plain queue.
type endpoint struct {
	queue      *admission.Queue
	running    map[uint64]*send
	waiting    map[uint64]*send
	plainQueue []*send
	busy       int
	pausedTo   time.Time
	// checkAt is when the next check of the queue is scheduled.
	checkAt time.Time
}

// request is one request of a customer.
type request struct {
	arrived    time.Time
	customer   int
	repeatable bool
	tried      []int
	sends      int
}

// send is one attempt of a request at an endpoint.
type send struct {
	id       uint64
	request  *request
	endpoint int
	trial    bool
	overdue  bool
	started  time.Time
	ended    bool
}

// send picks an endpoint for the next attempt of a request.
func (r *run) send(q *request) {
	i, trial := r.policy.Pick(r.clock.now, q.tried, q.repeatable)
	if i < 0 {
		r.finish(q, false)
		return
	}
	q.sends++
	if r.measured() {
		r.result.Sends++
		if r.affected(i) && i == 0 && r.result.DetectionTime < 0 {
			r.result.RequestsUntilDetection++
		}
	}
	r.nextID++
	r.offer(&send{id: r.nextID, request: q, endpoint: i, trial: trial})
}

// offer has an endpoint run, queue or refuse an attempt.
func (r *run) offer(s *send) {
	e := r.endpoints[s.endpoint]
	if r.FairQueue {
		name := strconv.Itoa(s.request.customer)
		d, evicted := e.queue.Offer(r.clock.now, admission.Request{ID: s.id, Customer: name, Deadline: s.request.arrived.Add(deadline)})
		e.waiting[s.id] = s
		r.apply(e, append(evicted, d))
		r.scheduleCheck(e)
		return
	}
	switch {
	case e.busy < r.Service.Slots:
		r.startWork(s)
	case len(e.plainQueue) < plainQueueLength:
		e.plainQueue = append(e.plainQueue, s)
	default:
		r.refused(s)
	}
}

// apply carries out the decisions of an endpoint's admission queue.
func (r *run) apply(e *endpoint, list []admission.Decision) {
	for _, d := range list {
		s := e.waiting[d.ID]
		switch d.Action {
		case admission.Run:
			delete(e.waiting, d.ID)
			r.startWork(s)
		case admission.Refuse:
			delete(e.waiting, d.ID)
			r.refused(s)
		case admission.Wait:
		}
	}
}

// scheduleCheck has an endpoint's queue refuse the waiting requests that can no longer finish in time. A check that is
// already scheduled for an earlier time schedules the next one.
func (r *run) scheduleCheck(e *endpoint) {
	at, ok := e.queue.NextCheck(r.clock.now)
	if !ok || e.checkAt.After(r.clock.now) && !at.Before(e.checkAt) {
		return
	}
	e.checkAt = at
	r.clock.after(at.Sub(r.clock.now), func() {
		if !e.checkAt.Equal(at) {
			return
		}
		r.apply(e, e.queue.Expire(r.clock.now))
		r.scheduleCheck(e)
	})
}

// startWork occupies a slot of the endpoint and schedules the attempt's end.
func (r *run) startWork(s *send) {
	e := r.endpoints[s.endpoint]
	e.busy++
	s.started = r.clock.now
	serviceTime := r.drawServiceTime(s.endpoint)
	left := s.request.arrived.Add(deadline).Sub(r.clock.now)
	failed := r.drawFailure(s.endpoint)
	if overdue := r.policy.OverdueAfter(); overdue > 0 && overdue < serviceTime {
		r.clock.after(overdue, func() { r.reportOverdue(s) })
	}
	lost := r.Fault.Cut && r.faulty(s.endpoint)
	// The endpoint observes the deadline and releases its slot then.
	r.clock.after(min(serviceTime, max(left, 0)), func() { r.free(s, min(serviceTime, max(left, 0))) })
	if lost || serviceTime > left {
		r.clock.after(max(left, 0), func() { r.done(s, true, !lost) })
		return
	}
	r.clock.after(serviceTime, func() { r.done(s, failed, true) })
}

// drawServiceTime draws a service time from a lognormal distribution with a heavy tail, plus the rest of a pause.
func (r *run) drawServiceTime(i int) time.Duration {
	d := math.Exp(r.random.NormFloat64()*serviceTimeStddev-serviceTimeStddev*serviceTimeStddev/2) * float64(baseServiceTime)
	if r.random.Float64() < tailShare {
		d *= tailFactor
	}
	if r.faulty(i) {
		d *= r.Fault.Slow
	}
	paused := max(0, r.endpoints[i].pausedTo.Sub(r.clock.now))
	return time.Duration(d) + paused
}

// drawFailure draws whether an attempt fails.
func (r *run) drawFailure(i int) bool {
	share := healthyFailureShare
	if r.faulty(i) {
		share = max(share, r.Fault.Fail)
	}
	return r.random.Float64() < share
}

// reportOverdue reports an attempt that has not ended to the policy, once.
func (r *run) reportOverdue(s *send) {
	if !s.ended && !s.overdue {
		s.overdue = true
		r.policy.ObserveOverdue(r.clock.now, s.endpoint)
		r.detectEjections()
	}
}

// free releases a slot and starts the next queued attempt.
func (r *run) free(s *send, service time.Duration) {
	e := r.endpoints[s.endpoint]
	e.busy--
	if r.FairQueue {
		r.apply(e, e.queue.Done(r.clock.now, s.id, service))
		r.scheduleCheck(e)
		return
	}
	if len(e.plainQueue) > 0 {
		next := e.plainQueue[0]
		e.plainQueue = e.plainQueue[1:]
		r.startWork(next)
	}
}

// done ends an attempt; received is false if its answer was lost.
func (r *run) done(s *send, failed, received bool) {
	s.ended = true
	r.policy.Done(r.clock.now, s.endpoint, s.trial, received, failed, s.overdue, r.clock.now.Sub(s.started))
	r.detectEjections()
	q := s.request
	if !failed {
		r.finish(q, true)
		return
	}
	outcome := peerpb.Outcome_OUTCOME_RAN
	if !received {
		outcome = peerpb.Outcome_OUTCOME_UNKNOWN
	}
	r.retryOrFinish(s, retry.Attempt{Outcome: outcome, Failed: true, Repeatable: q.repeatable})
}

// refused ends an attempt that the endpoint refused.
func (r *run) refused(s *send) {
	r.policy.Done(r.clock.now, s.endpoint, s.trial, false, true, s.overdue, 0)
	r.retryOrFinish(s, retry.Attempt{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Overloaded: true, Repeatable: s.request.repeatable})
}

// retryOrFinish retries a request if the retry policy and the budget allow it, and else records its failure.
func (r *run) retryOrFinish(s *send, a retry.Attempt) {
	q := s.request
	a.Attempts, a.Replayable, a.TypicalServiceTime = q.sends, true, baseServiceTime
	a.TimeLeft = q.arrived.Add(deadline).Sub(r.clock.now)
	r.refusals.Record(a.Overloaded)
	q.tried = append(q.tried, s.endpoint)
	if r.refusals.Decide(a) && r.budget.Take(r.clock.now) {
		r.send(q)
		return
	}
	r.finish(q, false)
}
