package virtual

import (
	"math"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/admission"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/retry"
)

type endpoint struct {
	queue    *admission.Queue
	running  map[uint64]*send
	waiting  map[uint64]*send
	plain    []*send
	busy     int
	pausedTo time.Time
}

type request struct {
	arrived    time.Time
	customer   int
	repeatable bool
	tried      []int
	sends      int
}

type send struct {
	id       uint64
	request  *request
	endpoint int
	trial    bool
	late     bool
	started  time.Time
	over     bool
}

func (r *run) send(q *request) {
	i, trial := r.policy.Pick(r.clock.now, q.tried, q.repeatable)
	if i < 0 {
		r.finish(q, false)
		return
	}
	q.sends++
	if r.measured() {
		r.result.Sends++
		if r.hit(i) && i == 0 && r.result.DetectionTime < 0 {
			r.result.RequestsUntilDetection++
		}
	}
	r.nextID++
	r.offer(&send{id: r.nextID, request: q, endpoint: i, trial: trial})
}

func (r *run) offer(s *send) {
	e := r.endpoints[s.endpoint]
	if r.FairQueue {
		name := strconv.Itoa(s.request.customer)
		d, evicted := e.queue.Offer(r.clock.now, admission.Request{ID: s.id, Customer: name, Deadline: s.request.arrived.Add(deadline)})
		e.waiting[s.id] = s
		r.decide(e, append(evicted, d))
		return
	}
	switch {
	case e.busy < r.Service.Slots:
		r.begin(s)
	case len(e.plain) < plainQueue:
		e.plain = append(e.plain, s)
	default:
		r.refused(s)
	}
}

func (r *run) decide(e *endpoint, list []admission.Decision) {
	for _, d := range list {
		s := e.waiting[d.ID]
		switch d.Action {
		case admission.Run:
			delete(e.waiting, d.ID)
			r.begin(s)
		case admission.Refuse:
			delete(e.waiting, d.ID)
			r.refused(s)
		case admission.Wait:
			r.clock.after(d.Until.Sub(r.clock.now), func() { r.decide(e, e.queue.Expire(r.clock.now)) })
		}
	}
}

func (r *run) begin(s *send) {
	e := r.endpoints[s.endpoint]
	e.busy++
	s.started = r.clock.now
	work := r.work(s.endpoint)
	left := s.request.arrived.Add(deadline).Sub(r.clock.now)
	failed := r.fails(s.endpoint)
	if late := r.policy.OverdueAfter(); late > 0 && late < work {
		r.clock.after(late, func() { r.overdue(s) })
	}
	lost := r.Fault.Cut && r.faulty(s.endpoint)
	// An endpoint honours the deadline and gives its slot back then.
	r.clock.after(min(work, max(left, 0)), func() { r.free(s, min(work, max(left, 0))) })
	if lost || work > left {
		r.clock.after(max(left, 0), func() { r.done(s, true, !lost) })
		return
	}
	r.clock.after(work, func() { r.done(s, failed, true) })
}

func (r *run) work(i int) time.Duration {
	d := math.Exp(r.random.NormFloat64()*workSpread-workSpread*workSpread/2) * float64(meanWork)
	if r.random.Float64() < tailShare {
		d *= tailFactor
	}
	if r.faulty(i) {
		d *= r.Fault.Slow
	}
	paused := max(0, r.endpoints[i].pausedTo.Sub(r.clock.now))
	return time.Duration(d) + paused
}

func (r *run) fails(i int) bool {
	share := failHealthy
	if r.faulty(i) {
		share = max(share, r.Fault.Fail)
	}
	return r.random.Float64() < share
}

func (r *run) overdue(s *send) {
	if !s.over && !s.late {
		s.late = true
		r.policy.ObserveOverdue(r.clock.now, s.endpoint)
		r.watch()
	}
}

// free gives the slot back and starts what waits.
func (r *run) free(s *send, service time.Duration) {
	e := r.endpoints[s.endpoint]
	e.busy--
	if r.FairQueue {
		r.decide(e, e.queue.Done(r.clock.now, service))
		return
	}
	if len(e.plain) > 0 {
		next := e.plain[0]
		e.plain = e.plain[1:]
		r.begin(next)
	}
}

func (r *run) done(s *send, failed, worked bool) {
	s.over = true
	r.policy.Done(r.clock.now, s.endpoint, s.trial, worked, failed, s.late, r.clock.now.Sub(s.started))
	r.watch()
	q := s.request
	if !failed {
		r.finish(q, true)
		return
	}
	outcome := peerpb.Outcome_OUTCOME_RAN
	if !worked {
		outcome = peerpb.Outcome_OUTCOME_UNKNOWN
	}
	r.again(s, retry.Attempt{Outcome: outcome, Failed: true, Repeatable: q.repeatable})
}

func (r *run) refused(s *send) {
	r.policy.Done(r.clock.now, s.endpoint, s.trial, false, true, s.late, 0)
	r.again(s, retry.Attempt{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Overloaded: true, Repeatable: s.request.repeatable})
}

func (r *run) again(s *send, a retry.Attempt) {
	q := s.request
	a.Attempts, a.Replayable, a.TypicalServiceTime = q.sends, true, meanWork
	a.TimeLeft = q.arrived.Add(deadline).Sub(r.clock.now)
	r.refusals.Record(a.Overloaded)
	q.tried = append(q.tried, s.endpoint)
	if r.refusals.Decide(a) && r.budget.Take(r.clock.now) {
		r.send(q)
		return
	}
	r.finish(q, false)
}
