package ingress

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/ratelimit"
	"github.com/lynxplank/lynxplank/retry"
)

const (
	// maxHedgeOffers bounds the endpoints that are asked in a row to take a hedge: most of those beyond have no free
	// slot either.
	maxHedgeOffers = 4
	// hedgeRetryInterval is the wait before they are asked again, shorter than an endpoint takes for a short piece of
	// work.
	hedgeRetryInterval = 50 * time.Millisecond
)

// winner is the one send of a request whose answer goes to the caller.
type winner struct {
	answer atomic.Pointer[answer]
	// onFailure, unless nil, is called when an answer with a failure status begins to go to the caller.
	onFailure func()
}

// takenByOther reports whether the answer of a send other than a's goes to the caller.
func (w *winner) takenByOther(a *answer) bool {
	first := w.answer.Load()
	return first != nil && first != a
}

// take makes a the answer that goes to the caller. It returns false if another answer was first.
func (w *winner) take(a *answer) bool {
	return w.answer.CompareAndSwap(nil, a) || w.answer.Load() == a
}

// attempt is one of the concurrent sends of a request.
type attempt struct {
	pick   director.Pick
	answer *answer
	// offset is the time from the request's arrival to the start of the send.
	offset  time.Duration
	isHedge bool
	// permit was granted by the customer's rate limit for a hedge.
	permit ratelimit.Permit
	cancel context.CancelFunc
	end    *peerpb.End
}

// hedgedRequest holds the concurrent sends of a repeatable request; one goroutine owns it.
type hedgedRequest struct {
	x        *exchange
	finished chan *attempt
	running  []*attempt
	// completed are the sends that have ended, without refused hedges; the last of them decides.
	completed []*attempt
	// superseded are the sends that ended while the answer of another was on its way to the caller.
	superseded []*attempt
	// declined are the endpoints that refused the hedge.
	declined []string
}

// sendRepeatable sends a repeatable request, and hedges it to a second endpoint if its answer is overdue. The first
// good answer counts and the other send is canceled: its slot is worth more than its answer.
//
// An endpoint that stops answering for a second loses the requests it has, and each lost lookup also fails the caller's
// request that depends on it. Without hedges 21 in 100 requests go unserved instead of 15 (docs/DECISIONS.md).
func (x *exchange) sendRepeatable(ctx context.Context, pick director.Pick, wait bool) (director.Pick, *peerpb.End) {
	h := &hedgedRequest{x: x, finished: make(chan *attempt, 1+maxHedgeOffers)}
	first := h.start(ctx, pick, wait, false)
	due := first.answer.due.due
	for {
		select {
		case a := <-h.finished:
			if h.finishAttempt(ctx, a) {
				return h.close()
			}
		case <-due:
			h.startHedge(ctx)
		}
	}
}

// hedgeRefused reports whether an endpoint did not take a hedge, which says nothing about the request.
func hedgeRefused(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.RetryBudget, fault.Stopping:
		return true
	}
	return declined(end) || misrouted(end) || egressFull(end)
}

// start begins a send.
func (h *hedgedRequest) start(ctx context.Context, pick director.Pick, wait, isHedge bool) *attempt {
	x := h.x
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{pick: pick, answer: x.newAnswer(), offset: time.Since(x.start), isHedge: isHedge, cancel: cancel}
	a.answer.cancel = cancel
	a.answer.late.begin(func() { x.g.director.ReportOverdue(x.call.service.Key, pick) })
	d := x.buildDispatch(ctx, pick, nil)
	x.markSend(d, wait)
	a.answer.waits = wait || x.lastResort
	d.TellDue = !isHedge
	d.Repeat = d.Repeat || isHedge
	h.running = append(h.running, a)
	go func() {
		a.end = a.answer.asYielded(x.deliver(ctx, pick.Endpoint, d, a.answer))
		h.finished <- a
	}()
	return a
}

// startHedge sends the request to a second endpoint if one seems to have a free slot.
func (h *hedgedRequest) startHedge(ctx context.Context) {
	x := h.x
	if x.sends+len(h.running)+len(h.completed)+len(h.superseded) >= x.maxSends() || x.refusals.refusing() || !x.adoptConfig() ||
		x.progress.isClosed() || x.crashes >= maxOwnCrashes || x.g.crashes.Ends(x.call.fingerprint) >= poison.NoRetryThreshold {
		return
	}
	if len(h.declined) >= x.search.maxOffers(maxHedgeOffers) {
		h.retryLater()
		return
	}
	opts := x.pickOptions()
	opts.RequireFreeSlot, opts.IsRetry = true, true
	opts.Exclude = slices.Concat(x.tried, x.declined, h.declined)
	for _, a := range h.running {
		opts.Exclude = append(opts.Exclude, a.pick.Endpoint.Key)
	}
	pick, err := x.g.director.Pick(ctx, opts)
	if err != nil {
		h.retryLater()
		return
	}
	permit, _, ok := x.g.limits.Take(ctx, x.call.customer)
	if !ok {
		h.retryLater()
		return
	}
	events.RequestHedged.Log(x.g.log).Str("request", x.call.id).Str("service", x.call.service.Key).
		Str("endpoint", pick.Endpoint.Key).Dur("after", time.Since(x.start)).Send()
	h.start(ctx, pick, false, true).permit = permit
}

// retryLater has startHedge run again after an interval.
func (h *hedgedRequest) retryLater() {
	h.declined = nil
	interval := h.x.search.hedgeInterval()
	for _, a := range h.running {
		a.answer.due.set(interval)
	}
}

// finishAttempt handles a send that has ended and reports whether the hedged request is finished.
//
// Invariant: once an answer has begun to go to the caller, its send decides how the request ends, whether the answer is
// complete or breaks off.
func (h *hedgedRequest) finishAttempt(ctx context.Context, a *attempt) bool {
	h.running = slices.DeleteFunc(h.running, func(other *attempt) bool { return other == a })
	h.x.recordAttempt(a)
	if a.isHedge && !a.answer.started && hedgeRefused(a.end) {
		a.permit.Return()
		h.declined = append(h.declined, a.pick.Endpoint.Key)
		if len(h.running) > 0 {
			h.startHedge(ctx)
		}
		return len(h.running) == 0
	}
	if h.x.winner.takenByOther(a.answer) {
		// The send whose answer goes to the caller decides, and is still running unless it belongs to an earlier round.
		if len(h.running) > 0 {
			h.superseded = append(h.superseded, a)
			return false
		}
	}
	h.completed = append(h.completed, a)
	if a.answer.isHeld(a.end) {
		h.x.progress.holdAnswer()
	}
	return len(h.running) == 0 || a.answer.started || !a.answer.failed(a.end) && h.x.winner.take(a.answer)
}

// close returns the send that decides and cancels those still running, which are reported when they end.
func (h *hedgedRequest) close() (director.Pick, *peerpb.End) {
	x, last := h.x, h.deciding()
	for _, a := range slices.Concat(h.completed, h.superseded, h.running) {
		if a == last {
			continue
		}
		a.cancel()
		x.sends++
		x.reachedEndpoint = true
		x.tried = append(x.tried, a.pick.Endpoint.Key)
	}
	if remaining := len(h.running); remaining > 0 {
		x.detachReservations(h.running)
		go func() {
			for range remaining {
				a := <-h.finished
				x.report(a)
				a.answer.reservation.Release()
			}
		}()
	}
	x.answer = last.answer
	if first := x.winner.answer.Load(); first != nil && first.started {
		x.answer = first
	}
	return last.pick, last.end
}

// deciding returns the send that ended last, or one with a whole answer if that has none.
func (h *hedgedRequest) deciding() *attempt {
	last := h.completed[len(h.completed)-1]
	if last.answer.started || last.answer.isHeld(last.end) {
		return last
	}
	for _, a := range slices.Backward(h.completed) {
		if a.answer.isHeld(a.end) {
			return a
		}
	}
	return last
}

// maxSends is how many sends the request's route allows.
func (x *exchange) maxSends() int {
	if n := int(x.call.route.Value.Attempts); n > 0 {
		return n
	}
	return retry.MaxAttempts
}

// recordAttempt records how a send ended.
func (x *exchange) recordAttempt(a *attempt) {
	x.recordEnd(a.end)
	x.countAsked(a.end)
	if a.end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN {
		a.answer.recordOffer(false, fault.Code(a.end.GetCode()))
	}
	x.trail.add(step{endpoint: a.pick.Endpoint.Key, offset: a.offset, reportAgeMillis: a.pick.ReportAgeMillis, end: a.end})
	if isEndpointSample(a.end) && !a.answer.failed(a.end) {
		work := time.Duration(a.end.GetLoad().GetServiceMicros()) * time.Microsecond
		x.g.routeStats.record(x.call.route.Key, work, len(x.body.data)+a.answer.bodySize)
	}
	x.report(a)
}

// report reports to the director what a send showed of its endpoint. It reads only fields of the exchange that do not
// change, so it may run after the exchange.
func (x *exchange) report(a *attempt) {
	a.cancel()
	a.answer.due.end()
	late := a.answer.late.end()
	x.g.director.Done(director.Report{
		Service: x.call.service.Key, Pick: a.pick, WasOverdue: late, Load: a.end.GetLoad(),
		Received: isEndpointSample(a.end) && !a.end.GetLoad().GetTrial(), Failed: a.answer.failed(a.end),
		Refused: seemsBusy(a.end), OutOfRetries: fault.Code(a.end.GetCode()) == fault.RetryBudget,
	})
}
