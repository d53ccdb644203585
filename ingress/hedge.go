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
	// mostSeconds bounds the endpoints that are asked in a row to take a second send: those beyond have mostly no free slot
	// either.
	mostSeconds = 4
	// secondPause is the wait until they are asked again, a part of the time in which an endpoint ends a short piece of work.
	secondPause = 50 * time.Millisecond
)

// winner is the one send of a request whose answer goes to the caller.
type winner struct {
	answer atomic.Pointer[answer]
}

// other tells whether the answer of a send besides a goes to the caller.
func (w *winner) other(a *answer) bool {
	first := w.answer.Load()
	return first != nil && first != a
}

// take makes a the one whose answer goes to the caller; false when another send is.
func (w *winner) take(a *answer) bool {
	return w.answer.CompareAndSwap(nil, a) || w.answer.Load() == a
}

// attempt is one of the sends of a request that are under way side by side.
type attempt struct {
	pick   director.Pick
	answer *answer
	// at is how long after the request's arrival it began.
	at     time.Duration
	second bool
	// pass is what the customer's limit has let pass for a second send.
	pass   ratelimit.Permit
	cancel context.CancelFunc
	end    *peerpb.End
}

// hedge is the sends of a repeatable request that are under way side by side; one goroutine owns it.
type hedge struct {
	x       *exchange
	ended   chan *attempt
	running []*attempt
	// done are the sends that have ended, but for second ones that were refused; the last one decides.
	done []*attempt
	// beaten are those that have ended while the answer of another was on its way to the caller.
	beaten []*attempt
	// declined are the endpoints that turned the second send away.
	declined []string
}

// sendRepeatable sends a repeatable request, and sends it to a second endpoint once its answer is due and missing. The first
// good answer counts, and the other send is cancelled: its slot is worth more than its answer.
//
// An endpoint that stops answering for a second loses what it has, and each of its lookups with its caller's request: without
// second sends 21 in 100 requests go unserved instead of 15 (docs/DECISIONS.md).
func (x *exchange) sendRepeatable(ctx context.Context, pick director.Pick, wait bool) (director.Pick, *peerpb.End) {
	h := &hedge{x: x, ended: make(chan *attempt, 1+mostSeconds)}
	first := h.start(ctx, pick, wait, false)
	due := first.answer.due.due
	for {
		select {
		case a := <-h.ended:
			if h.decides(ctx, a) {
				return h.close()
			}
		case <-due:
			h.startSecond(ctx)
		}
	}
}

// refusedSecond tells that an endpoint did not take a second send, which says nothing of the request.
func refusedSecond(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.RetryBudget, fault.Stopping:
		return true
	}
	return declined(end) || misplaced(end) || crowded(end)
}

// start begins a send.
func (h *hedge) start(ctx context.Context, pick director.Pick, wait, second bool) *attempt {
	x := h.x
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{pick: pick, answer: x.newAnswer(), at: time.Since(x.start), second: second, cancel: cancel}
	a.answer.late.begin(func() { x.g.director.ReportOverdue(x.call.service.Key, pick) })
	d := x.dispatch(ctx, pick, nil)
	x.mark(d, wait)
	d.TellDue = !second
	d.Repeat = d.Repeat || second
	h.running = append(h.running, a)
	go func() {
		a.end = x.deliver(ctx, pick.Endpoint, d, a.answer)
		h.ended <- a
	}()
	return a
}

// startSecond sends the request to a second endpoint if one seems to have a free slot.
func (h *hedge) startSecond(ctx context.Context) {
	x := h.x
	if x.sends+len(h.running)+len(h.done)+len(h.beaten) >= x.mostSends() || x.refusals.refusing() || !x.adopt() ||
		x.progress.isClosed() || x.ended >= mostOwnEnds || x.g.fatal.Ends(x.call.content) >= poison.NoRetryThreshold {
		return
	}
	if len(h.declined) >= mostSeconds {
		h.later()
		return
	}
	wish := x.wish()
	wish.RequireFreeSlot, wish.IsRetry = true, true
	wish.Exclude = slices.Concat(x.tried, x.declined, h.declined)
	for _, a := range h.running {
		wish.Exclude = append(wish.Exclude, a.pick.Endpoint.Key)
	}
	pick, err := x.g.director.Pick(ctx, wish)
	if err != nil {
		h.later()
		return
	}
	pass, _, ok := x.g.limits.Take(ctx, x.call.customer)
	if !ok {
		h.later()
		return
	}
	events.SentTwice.Log(x.g.log).Str("request", x.call.id).Str("service", x.call.service.Key).
		Str("endpoint", pick.Endpoint.Key).Dur("after", time.Since(x.start)).Send()
	h.start(ctx, pick, false, true).pass = pass
}

// later has the endpoints asked again after a pause.
func (h *hedge) later() {
	h.declined = nil
	for _, a := range h.running {
		a.answer.due.in(secondPause)
	}
}

// decides takes a send that has ended and tells whether the hedge is over.
//
// Invariant: once an answer has begun to go to the caller, its send decides how the request ends, whole or broken off.
func (h *hedge) decides(ctx context.Context, a *attempt) bool {
	h.running = slices.DeleteFunc(h.running, func(o *attempt) bool { return o == a })
	h.x.settleAttempt(a)
	if a.second && refusedSecond(a.end) {
		a.pass.Return()
		h.declined = append(h.declined, a.pick.Endpoint.Key)
		if len(h.running) > 0 {
			h.startSecond(ctx)
		}
		return len(h.running) == 0
	}
	if h.x.winner.other(a.answer) {
		// The send whose answer goes to the caller decides, and it is still under way.
		h.beaten = append(h.beaten, a)
		return false
	}
	h.done = append(h.done, a)
	return len(h.running) == 0 || a.answer.started || !a.answer.failed(a.end) && h.x.winner.take(a.answer)
}

// close ends the hedge with the send that ended last; those still under way are cancelled, and what becomes of them is
// reported when they end.
func (h *hedge) close() (director.Pick, *peerpb.End) {
	x, last := h.x, h.done[len(h.done)-1]
	for _, a := range slices.Concat(h.done[:len(h.done)-1], h.beaten, h.running) {
		a.cancel()
		x.sends++
		x.arrived = true
		x.tried = append(x.tried, a.pick.Endpoint.Key)
	}
	if rest := len(h.running); rest > 0 {
		x.leave(h.running)
		go func() {
			for range rest {
				a := <-h.ended
				x.report(a)
				a.answer.hold.Release()
			}
		}()
	}
	x.answer = last.answer
	return last.pick, last.end
}

// mostSends is how many sends the request's route allows.
func (x *exchange) mostSends() int {
	if n := int(x.call.route.Value.Attempts); n > 0 {
		return n
	}
	return retry.MaxAttempts
}

// settleAttempt notes how a send ended.
func (x *exchange) settleAttempt(a *attempt) {
	x.note(a.end)
	x.count(a.end)
	x.trail.add(step{endpoint: a.pick.Endpoint.Key, at: a.at, seenMillis: a.pick.ReportAgeMillis, end: a.end})
	if worked(a.end) && !a.answer.failed(a.end) {
		work := time.Duration(a.end.GetLoad().GetServiceMicros()) * time.Microsecond
		x.g.routes.note(x.call.route.Key, work, len(x.body.head)+a.answer.size)
	}
	x.report(a)
}

// report tells the director what a send showed of its endpoint; it needs nothing of the exchange that changes.
func (x *exchange) report(a *attempt) {
	a.cancel()
	a.answer.due.end()
	late := a.answer.late.end()
	x.g.director.Done(director.Report{
		Service: x.call.service.Key, Pick: a.pick, WasOverdue: late, Load: a.end.GetLoad(),
		Received: worked(a.end) && !a.end.GetLoad().GetTrial(), Failed: a.answer.failed(a.end),
		Refused: declined(a.end) || misplaced(a.end), OutOfRetries: fault.Code(a.end.GetCode()) == fault.RetryBudget,
	})
}
