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
	"github.com/lynxplank/lynxplank/retry"
)

const (
	// mostSeconds bounds the endpoints that are asked in a row to take a second send: those beyond have mostly no free slot
	// either.
	mostSeconds = 4
	// secondPause is the wait until they are asked again, a part of the time in which an endpoint ends a short piece of work.
	secondPause = 50 * time.Millisecond
)

// speaker is the one send of a request whose answer goes to the caller.
type speaker struct {
	answer atomic.Pointer[answer]
}

// take makes a the one whose answer goes to the caller; false when another send is.
func (s *speaker) take(a *answer) bool {
	return s.answer.CompareAndSwap(nil, a) || s.answer.Load() == a
}

// leg is one of the sends of a request that are under way side by side.
type leg struct {
	pick   director.Pick
	answer *answer
	// at is how long after the request's arrival it began.
	at     time.Duration
	second bool
	cancel context.CancelFunc
	end    *peerpb.End
}

// race is the sends of a repeatable request that are under way side by side; one goroutine owns it.
type race struct {
	x       *exchange
	ended   chan *leg
	running []*leg
	// done are the sends that have ended, but for second ones that were refused; the last one decides.
	done []*leg
	// declined are the endpoints that turned the second send away.
	declined []string
}

// sendRepeatable sends a repeatable request, and sends it to a second endpoint once its answer is due and missing. The first
// good answer counts, and the other send is cancelled: its slot is worth more than its answer.
//
// An endpoint that stops answering for a second loses what it has; without the second send each of its lookups was lost with
// its caller's request.
func (x *exchange) sendRepeatable(ctx context.Context, pick director.Pick, wait bool) (director.Pick, *peerpb.End) {
	r := &race{x: x, ended: make(chan *leg, 1+mostSeconds)}
	first := r.start(ctx, pick, wait, false)
	due := first.answer.due.due
	for {
		select {
		case l := <-r.ended:
			if r.decides(ctx, l) {
				return r.close()
			}
		case <-due:
			r.startSecond(ctx)
		}
	}
}

// refusedSecond tells that an endpoint did not take a second send, which says nothing of the request.
func refusedSecond(end *peerpb.End) bool {
	return declined(end) || misplaced(end) || crowded(end) || fault.Code(end.GetCode()) == fault.RetryBudget
}

// start begins a send.
func (r *race) start(ctx context.Context, pick director.Pick, wait, second bool) *leg {
	x := r.x
	ctx, cancel := context.WithCancel(ctx)
	l := &leg{pick: pick, answer: x.newAnswer(), at: time.Since(x.start), second: second, cancel: cancel}
	l.answer.late.begin(func() { x.g.director.Late(x.call.service.Key, pick) })
	d := x.dispatch(ctx, pick, nil)
	x.mark(d, wait)
	d.TellDue = !second
	d.Repeat = d.Repeat || second
	r.running = append(r.running, l)
	go func() {
		l.end = x.deliver(ctx, pick.Endpoint, d, l.answer)
		r.ended <- l
	}()
	return l
}

// startSecond sends the request to a second endpoint if one seems to have a free slot.
func (r *race) startSecond(ctx context.Context) {
	x := r.x
	if x.sends+len(r.running) >= x.mostSends() || x.refusals.refusing() || !x.adopt() {
		return
	}
	if len(r.declined) >= mostSeconds {
		r.later()
		return
	}
	wish := x.wish()
	wish.Free, wish.Again = true, true
	wish.Tried = slices.Concat(x.tried, x.declined, r.declined)
	for _, l := range r.running {
		wish.Tried = append(wish.Tried, l.pick.Endpoint.Key)
	}
	pick, err := x.g.director.Pick(ctx, wish)
	if err != nil {
		r.later()
		return
	}
	events.SentTwice.Log(x.g.log).Str("request", x.call.id).Str("service", x.call.service.Key).
		Str("endpoint", pick.Endpoint.Key).Dur("after", time.Since(x.start)).Send()
	r.start(ctx, pick, false, true)
}

// later has the endpoints asked again after a pause.
func (r *race) later() {
	r.declined = nil
	for _, l := range r.running {
		l.answer.due.in(secondPause)
	}
}

// decides takes a send that has ended and tells whether the race is over.
func (r *race) decides(ctx context.Context, l *leg) bool {
	r.running = slices.DeleteFunc(r.running, func(o *leg) bool { return o == l })
	r.x.settleLeg(l)
	if l.second && refusedSecond(l.end) {
		r.declined = append(r.declined, l.pick.Endpoint.Key)
		if len(r.running) > 0 {
			r.startSecond(ctx)
		}
		return len(r.running) == 0
	}
	r.done = append(r.done, l)
	return len(r.running) == 0 || !l.answer.failed(l.end) && r.x.speaker.take(l.answer)
}

// close ends the race with the send that ended last; those still under way are cancelled, and what becomes of them is
// reported when they end.
func (r *race) close() (director.Pick, *peerpb.End) {
	x, last := r.x, r.done[len(r.done)-1]
	for _, l := range slices.Concat(r.done[:len(r.done)-1], r.running) {
		l.cancel()
		x.sends++
		x.tried = append(x.tried, l.pick.Endpoint.Key)
	}
	if rest := len(r.running); rest > 0 {
		go func() {
			for range rest {
				x.report(<-r.ended)
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
	return retry.MostAttempts
}

// settleLeg notes how a send ended.
func (x *exchange) settleLeg(l *leg) {
	x.note(l.end)
	x.count(l.end)
	x.trail.add(step{endpoint: l.pick.Endpoint.Key, at: l.at, seenMillis: l.pick.SeenMillis, end: l.end})
	if worked(l.end) && !l.answer.failed(l.end) {
		work := time.Duration(l.end.GetLoad().GetServiceMicros()) * time.Microsecond
		x.g.routes.note(x.call.route.Key, work, len(x.body.head)+l.answer.size)
	}
	x.report(l)
}

// report tells the director what a send showed of its endpoint; it needs nothing of the exchange that changes.
func (x *exchange) report(l *leg) {
	l.cancel()
	l.answer.due.end()
	late := l.answer.late.end()
	x.g.director.Done(director.Report{
		Service: x.call.service.Key, Pick: l.pick, WasLate: late, Load: l.end.GetLoad(),
		Worked: worked(l.end) && !l.end.GetLoad().GetTrial(), Failed: l.answer.failed(l.end),
		Declined: declined(l.end) || misplaced(l.end), Spent: fault.Code(l.end.GetCode()) == fault.RetryBudget,
	})
}
