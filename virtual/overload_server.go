package virtual

import (
	"slices"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/admission"
	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/latency"
	"github.com/lynxplank/lynxplank/retry"
)

// The quantiles are those of egress/due.go; queue and retry budget are as in a usual deployment.
const (
	expectedQuantile    = 0.7
	dueQuantile         = 0.95
	minDueQuantile      = 0.8
	overloadQueueLength = 16
	overloadRetryShare  = 0.2
	overloadRetrySlack  = 20
)

// server is an endpoint with the egress beside it.
type server struct {
	*fleet
	index     int
	queue     *admission.Queue
	breaker   *breaker.Breaker
	monitor   breaker.InflightMonitor
	latencies *latency.Models
	budget    *retry.Budget
	// waiting are the attempts in the queue, running those at the endpoint, in the order in which they began.
	waiting map[uint64]*attempt
	running []*attempt
	hanging bool
	// checkAt is when the queue is checked next for requests that can no longer be answered in time.
	checkAt time.Time
	// openedByMonitor is as in the egress.
	openedByMonitor bool
	// answeredAt is when the endpoint last answered, lateAnswer whether that answer was overdue.
	answeredAt time.Time
	lateAnswer bool
}

// attempt is one send of a request.
type attempt struct {
	x  *exchange
	s  *server
	id uint64
	// wait lets the attempt queue, repeat has it take from the retry budget, hedge marks a second concurrent one.
	wait, repeat, hedge            bool
	canary, lastResort, likelyOnly bool
	// abandoned marks a run that had no answer when the breaker closed, asked one that was asked for its slot.
	running, hung, abandoned, asked bool
	// trial is 0 for an attempt that is no trial, or is overdue as such.
	trial   breaker.TrialID
	started time.Time
}

// end is how an attempt ended, with the endpoint's load.
type end struct {
	outcome peerpb.Outcome
	code    fault.Code
	failed  bool
	service time.Duration
	held    int
	suspect bool
	// chance and room are what a suspect reports.
	chance float64
	room   int
}

func newServer(f *fleet, index, servers int) *server {
	cfg := breaker.DefaultConfig()
	cfg.SlowStart = f.Parts.SuspectRoom
	s := &server{
		fleet: f, index: index, breaker: breaker.New(cfg), latencies: latency.NewModels(),
		queue:  admission.NewQueue(slotsPerEndpoint, overloadQueueLength, f.newRandom(uint64(100*servers+index))), //nolint:gosec // small
		budget: retry.NewBudget(f.now, retryWindow, 0), waiting: make(map[uint64]*attempt),
	}
	s.breaker.SetSlots(slotsPerEndpoint)
	slack := retry.FleetSlack{Slack: overloadRetrySlack, Window: retryWindow, MaxShare: overloadRetrySlack}
	s.budget.SetSlack(f.now, slack.EndpointShare(servers, index))
	s.scheduleSpell()
	s.evaluate()
	return s
}

// scheduleSpell schedules the next spell in which the endpoint hangs.
func (s *server) scheduleSpell() {
	const meanGap = float64(minSpell+maxSpell) / 2 * (1 - hangTimeShare) / hangTimeShare
	s.after(time.Duration(s.spells.ExpFloat64()*meanGap), func() {
		s.hanging = true
		s.after(minSpell+time.Duration(s.spells.Float64()*float64(maxSpell-minSpell)), func() {
			s.hanging = false
			s.scheduleSpell()
		})
	})
}

// offer admits, queues or refuses an attempt.
func (s *server) offer(a *attempt) {
	if a.x.over || !s.breaker.WouldAllow(s.now, a.canary) && !s.takesLastResort(a) {
		s.refuse(a, fault.Suspect)
		return
	}
	x, model := a.x, s.model(requestClass(a.x))
	r := admission.Request{
		ID: a.id, Customer: strconv.Itoa(x.customer), Priority: x.class.rank, NoWait: !a.wait, TargetTime: x.target, Deadline: x.deadline,
		Kind: x.class.name, ServiceTime: model.Quantile(expectedQuantile), SlotTime: model.Mean(), Nested: x.nestedFirst(),
	}
	if x.parent != nil {
		r.Customer = "request " + strconv.FormatUint(x.id, 10)
	}
	if x.nestedFirst() {
		r.Deadline = x.usefulUntil()
	}
	if a.wait && s.queue.Busy() >= slotsPerEndpoint {
		s.reclaim()
	}
	s.waiting[a.id] = a
	d, evicted := s.queue.Offer(s.now, r)
	s.apply(append(evicted, d))
	if d.Code == fault.Busy {
		s.reclaim()
	}
}

// takesLastResort reports whether the endpoint accepts an attempt although its breaker is open.
func (s *server) takesLastResort(a *attempt) bool {
	return a.lastResort && (!a.likelyOnly || s.breaker.LikelyToSucceed())
}

// apply carries out decisions of the queue and schedules its next check.
func (s *server) apply(list []admission.Decision) {
	for _, d := range list {
		a := s.waiting[d.ID]
		switch d.Action {
		case admission.Run:
			delete(s.waiting, d.ID)
			s.dispatch(a)
		case admission.Refuse:
			delete(s.waiting, d.ID)
			s.refuse(a, d.Code)
		case admission.Wait:
		}
	}
	at, ok := s.queue.NextCheck(s.now)
	if ok && !at.Equal(s.checkAt) {
		s.after(at.Sub(s.now), func() {
			if s.checkAt.Equal(at) {
				s.apply(s.queue.Expire(s.now))
			}
		})
	}
	s.checkAt = at
}

// dispatch begins an attempt that holds a slot, unless the retry budget or the breaker forbids it.
func (s *server) dispatch(a *attempt) {
	code := fault.RetryBudget
	if !a.repeat || s.budget.Take(s.now) {
		ok, trial := s.breaker.Allow(s.now, breaker.Request{Repeatable: a.canary, MedianTime: s.model(requestClass(a.x)).Quantile(median)})
		if a.trial = trial; ok || s.takesLastResort(a) {
			s.begin(a)
			return
		}
		code = fault.Suspect
		if a.repeat {
			s.budget.Refund()
		}
	}
	s.refuse(a, code)
	s.apply(s.queue.Done(s.now, a.id, 0))
}

// begin starts the work of an attempt.
func (s *server) begin(a *attempt) {
	x := a.x
	x.begun++
	if !a.repeat {
		s.budget.CountRequest(s.now, overloadRetryShare)
	}
	a.started, a.running, s.running = s.now, true, append(s.running, a)
	s.monitor.Begin(s.now, a.id, requestClass(x))
	a.hung = s.hanging && s.random.Float64() < unansweredShare
	if !a.hung {
		s.after(x.work, func() { s.worked(a) })
	}
	if x.class.repeatable && !a.hedge {
		s.after(hop+s.answerDue(x), func() { x.hedge(a) })
	}
	s.after(x.deadline.Sub(s.now), func() {
		s.finish(a, end{outcome: peerpb.Outcome_OUTCOME_UNKNOWN, code: fault.DeadlineExceeded, failed: true})
	})
}

// worked ends an attempt whose own work is done, after its nested call if it makes one.
func (s *server) worked(a *attempt) {
	answer := func(served bool) { s.finish(a, end{outcome: peerpb.Outcome_OUTCOME_RAN, failed: !served}) }
	if a.x.callWork == 0 || !a.running {
		answer(true)
		return
	}
	s.newCall(a, answer).begin()
}

// answerDue is the time within which the answer to a request is due, as in egress/due.go.
func (s *server) answerDue(x *exchange) time.Duration {
	model, target := s.model(requestClass(x)), x.target.Sub(s.now)
	usual, soon := model.Quantile(dueQuantile), model.Quantile(minDueQuantile)
	return max(soon, min(usual, target-soon), min(target/2, target-2*usual))
}

// cancel ends an attempt that its sender no longer needs.
func (s *server) cancel(a *attempt) {
	if s.waiting[a.id] != nil && s.queue.Cancel(a.id) {
		delete(s.waiting, a.id)
		s.refuse(a, fault.Canceled)
	}
	s.finish(a, end{outcome: peerpb.Outcome_OUTCOME_UNKNOWN, code: fault.Canceled, failed: true})
}

// finish ends a running attempt and frees its slot; it does nothing for one that has ended.
func (s *server) finish(a *attempt, e end) {
	if !a.running {
		return
	}
	a.running, s.running = false, slices.DeleteFunc(s.running, func(other *attempt) bool { return other == a })
	e.service = s.now.Sub(a.started)
	if a.hung && a.x.counted {
		s.result.HungSeconds += e.service.Seconds()
	}
	if e.outcome == peerpb.Outcome_OUTCOME_RAN {
		s.answeredAt, s.lateAnswer = s.now, !e.failed && s.survivalOf(a) <= reclaimShare
	}
	s.record(a, e)
	s.reply(a, e)
	service := e.service
	if e.code == fault.Canceled || e.code == fault.EndpointHung {
		service = 0 // says nothing about the endpoint's speed
	}
	s.apply(s.queue.Done(s.now, a.id, service))
}

func (s *server) refuse(a *attempt, code fault.Code) {
	s.reply(a, end{outcome: peerpb.Outcome_OUTCOME_NOT_RUN, code: code, failed: true})
}

// reply tells the sender of an attempt how it ended, and the endpoint's load.
func (s *server) reply(a *attempt, e end) {
	e.held, e.suspect = s.queue.Busy()+s.queue.Waiting(), s.breaker.State() == breaker.Trial
	if e.suspect && s.Parts.SuspectRoom {
		e.chance, e.room = s.breaker.SuccessChance(s.now), min(s.breaker.TrialRoom(s.now), max(0, slotsPerEndpoint-e.held))
	}
	s.after(hop, func() { a.x.ended(a, e) })
}
