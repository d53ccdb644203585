package virtual

import (
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/retry"
)

// The values of ingress/exchange.go, ingress/lastresort.go and ingress/hedge.go; maxSends is a route's attempts.
const (
	maxOffers          = 6
	maxWaits           = 3
	maxLastResortTries = 3
	maxSends           = 2
	hedgeRetryInterval = 50 * time.Millisecond
	suspectInterval    = 40 * time.Millisecond
	maxSuspectWait     = time.Second
	suspectWaitDivisor = 4
)

// exchange is a caller's request or a nested call at the ingress, with all its sends.
type exchange struct {
	*fleet
	n                 *node
	class             *class
	id                uint64
	service, customer int
	work, callWork    time.Duration
	target, deadline  time.Time
	// counted is set for what belongs to a request that arrived in the measured time.
	counted bool
	// parent is the run that makes this call, nil for a caller's request; done receives the result of a call.
	parent *attempt
	done   func(served bool)
	search
	running []*attempt
	// sends counts the ends that were passed to the retry policy, begun the runs at endpoints.
	sends, begun int
	// reached is set once an endpoint may have had the request, over once the request has ended.
	reached, over bool
	// callLost is set once a run failed because its nested call was not served; pause is until the next start of a call.
	callLost bool
	pause    retry.Backoff
	// restarts counts the times a call has started over.
	restarts int
	// interrupted is set once an attempt gave up its slot; resumePause is until the next round of such a request.
	interrupted bool
	resumePause retry.Backoff
}

// search is what a request has met in looking for an endpoint.
type search struct {
	tried, declined, suspects, hedgeDeclined endpointSet
	// rejecting are those of tried that may take the request in a later round.
	rejecting                    endpointSet
	offers, waits, suspectOffers int
	lastResortTries              int
	lastResort, likelyOnly       bool
	suspectSince                 time.Time
}

func (f *fleet) newExchange(c *class, n *node) *exchange {
	return &exchange{
		fleet: f, n: n, class: c, id: f.newID(), target: f.now.Add(c.target), deadline: f.now.Add(c.deadline),
		pause: retry.Backoff{Initial: minCallPause, Max: maxCallPause}, resumePause: retry.Backoff{Initial: firstResumePause, Max: maxResumePause},
	}
}

// newCall returns the nested call of a run.
func (f *fleet) newCall(parent *attempt, done func(served bool)) *exchange {
	x := f.newExchange(nestedCall, f.nodes[parent.s.index%len(f.nodes)])
	x.service, x.customer, x.work, x.counted = calledService, parent.x.customer, parent.x.callWork, parent.x.counted
	x.parent, x.done = parent, done
	if parent.x.deadline.Before(x.deadline) {
		x.deadline = parent.x.deadline
	}
	return x
}

// begin looks for an endpoint and bounds the time until the request ends.
func (x *exchange) begin() {
	if x.throttled() {
		x.settle(false)
		return
	}
	x.after(x.deadline.Sub(x.now)+2*hop, func() { x.finish(false) })
	x.next()
}

// next asks another endpoint: one that seems to have a free slot, else the one with the shortest wait, else a suspect.
func (x *exchange) next() {
	if x.lastResort {
		x.askLast()
		return
	}
	if x.offers++; x.offers <= maxOffers && x.ask(pickOptions{exclude: x.tried | x.declined, needFree: true}) {
		return
	}
	x.offers = maxOffers
	if x.askSuspect() {
		return
	}
	switch x.waits++; {
	case x.waits > maxWaits:
		x.giveUp()
	case x.ask(pickOptions{exclude: x.tried | x.suspects, shortest: true}):
	case x.suspects != 0 || x.Parts.SuspectRoom && len(x.suspectsOf(x.tried).suspects) > 0:
		x.waitForSuspect()
	default:
		x.giveUp()
	}
}

// waitForSuspect waits for one of the endpoints that all take only trials, and in the end asks them as a last resort.
func (x *exchange) waitForSuspect() {
	if x.suspectSince.IsZero() {
		x.suspectSince = x.now
	}
	if x.now.Sub(x.suspectSince) >= min(maxSuspectWait, x.deadline.Sub(x.suspectSince)/2, x.class.target/suspectWaitDivisor) {
		x.askLast()
		return
	}
	x.after(suspectInterval, func() {
		if !x.over {
			x.offers, x.waits, x.declined, x.suspects = 0, 0, 0, 0
			x.next()
		}
	})
}

// askLast asks a suspect as a last resort.
func (x *exchange) askLast() {
	x.lastResort = true
	var s *server
	if x.lastResortTries++; x.lastResortTries <= maxLastResortTries {
		s = x.pickLast()
	}
	if s == nil {
		x.giveUp()
		return
	}
	x.send(s, true, false)
}

// ask offers the request to an endpoint; false if there is none.
func (x *exchange) ask(o pickOptions) bool {
	s := x.n.pick(x, o)
	if s != nil {
		x.send(s, !o.needFree, false)
	}
	return s != nil
}

// canary reports whether the request may be a trial now.
func (x *exchange) canary() bool { return x.class.repeatable && x.sends == 0 }

// send offers the request to an endpoint.
func (x *exchange) send(s *server, wait, hedge bool) {
	a := &attempt{
		x: x, s: s, id: x.newID(), wait: wait, hedge: hedge, repeat: x.reached || hedge, canary: x.canary(),
		lastResort: x.lastResort, likelyOnly: x.likelyOnly || !x.class.repeatable,
	}
	x.running = append(x.running, a)
	v := &x.n.views[x.service][s.index]
	v.inFlight++
	v.room--
	if x.counted {
		x.result.Offers++
	}
	x.after(hop, func() { s.offer(a) })
}

// hedge sends the request to a second endpoint while the first attempt is unanswered.
func (x *exchange) hedge(first *attempt) {
	if x.over || !first.running || len(x.running)+x.sends >= maxSends || x.n.refusals[x.service].Refusing() {
		return
	}
	exclude := x.tried | x.declined | x.hedgeDeclined
	if s := x.n.pick(x, pickOptions{exclude: exclude.with(first.s.index), needFree: true}); s != nil {
		x.send(s, false, true)
		return
	}
	x.hedgeDeclined = 0
	x.after(hedgeRetryInterval, func() { x.hedge(first) })
}

// ended handles the end of an attempt.
func (x *exchange) ended(a *attempt, e end) {
	x.n.learn(a, e)
	x.running = slices.DeleteFunc(x.running, func(other *attempt) bool { return other == a })
	notRun := e.outcome == peerpb.Outcome_OUTCOME_NOT_RUN
	x.reached = x.reached || !notRun
	x.callLost = x.callLost || e.failed && e.outcome == peerpb.Outcome_OUTCOME_RAN
	switch {
	case x.over:
	case !e.failed:
		x.finish(true)
	case len(x.running) == 0:
		x.afterFailure(a, e)
	case a.hedge && notRun:
		x.hedgeDeclined = x.hedgeDeclined.with(a.s.index)
		x.hedge(x.running[0])
	default:
		x.sends++
	}
}

// afterFailure asks another endpoint if that is allowed.
func (x *exchange) afterFailure(a *attempt, e end) {
	full := e.code == fault.Overloaded || e.code == fault.DeadlineTooShort
	if e.code == fault.Busy || e.code == fault.Suspect {
		x.afterDeclined(a, e)
		return
	}
	x.tried = x.tried.with(a.s.index)
	if e.code == fault.RetryBudget {
		x.next()
		return
	}
	if full && !x.lastResort && x.hasSuspects() {
		x.likelyOnly = true
		x.askLast()
		return
	}
	if full && x.nestedFirst() || x.looksOn(full, e) {
		x.rejecting = x.rejecting.with(a.s.index)
		x.next()
		return
	}
	x.sends++
	r := &x.n.refusals[x.service]
	r.Record(full)
	again := r.Decide(retry.Attempt{
		Attempts: x.sends, MaxAttempts: maxSends, Outcome: e.outcome, Overloaded: full, Failed: e.failed, Repeatable: x.class.repeatable,
		Replayable: true, TimeLeft: x.deadline.Sub(x.now), TypicalServiceTime: x.n.views[x.service][a.s.index].latency,
	})
	if again && (!full || !x.now.After(x.target)) {
		x.next()
		return
	}
	x.giveUp()
}

// afterDeclined asks another endpoint after one that had no free slot or took only trials.
func (x *exchange) afterDeclined(a *attempt, e end) {
	x.declined = x.declined.with(a.s.index)
	if e.code == fault.Suspect {
		x.suspects = x.suspects.with(a.s.index)
	}
	if x.lastResort {
		x.tried = x.tried.with(a.s.index)
	} else if x.waits > 0 {
		x.waits--
	}
	x.next()
}

// finish ends the request and cancels the sends that are still running.
func (x *exchange) finish(served bool) {
	if x.over {
		return
	}
	x.over = true
	x.recordCapacity(served)
	for _, a := range x.running {
		x.after(hop, func() { a.s.cancel(a) })
	}
	x.settle(served && !x.now.After(x.deadline))
}

// settle counts the end of the request and tells the run that made it.
func (x *exchange) settle(served bool) {
	if x.counted {
		x.result.count(x, served, served && !x.now.After(x.target))
	}
	if x.done != nil {
		x.done(served)
	}
}
