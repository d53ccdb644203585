package egress

import (
	"context"
	"io"
	"time"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
)

// runAt runs a request that holds a slot, tells the breaker and the records how it went, and frees the slot.
func (e *Egress) runAt(
	ctx context.Context, l *local, d *peerpb.Dispatch, body io.Reader, sink peer.Sink, trial bool,
) *peerpb.End {
	if d.GetClaim() != nil {
		var cancel context.CancelFunc
		ctx, cancel = detach(ctx)
		defer cancel()
	}
	recording := &recordingSink{Sink: sink, hold: e.budget.NewReservation(d.GetCustomer())}
	_, kept := sink.(peer.Permitter)
	if kept {
		sink = recording
	}
	w := &work{e: e, l: l, d: d, trial: trial, start: time.Now(), id: e.nextID.Add(1)}
	e.begin(l, w.start, w.id, d, sink, trial)
	e.working.Begin(d.GetRequestId(), d.GetRepeat())
	hold := e.budget.NewReservation(d.GetCustomer())
	defer hold.Release()
	result := l.run(ctx, d, body, handling{sink: sink, hold: hold, alive: w.alive, holdUp: w.holdUp, ended: w.ended})
	result.end.Load = l.load(w.service, e.cfg.Incarnation)
	if kept {
		result.end.Revision = e.state().Revision()
		e.records.finish(d.GetExchange(), recording, result.end)
	}
	return result.end
}

// work is one run at an endpoint.
type work struct {
	e     *Egress
	l     *local
	d     *peerpb.Dispatch
	trial bool
	// start is when it began, id names it to the watch.
	start time.Time
	id    uint64
	// service is how long the endpoint took, once that is known.
	service time.Duration
}

func (w *work) alive() { w.l.alive(w.id) }

func (w *work) holdUp() (wanted <-chan struct{}, over func()) { return w.l.holdUp(w.id) }

// ended frees the slot and tells everybody how the run went, once the endpoint is done with it.
func (w *work) ended(r result) {
	e, l, d := w.e, w.l, w.d
	e.working.End(d.GetRequestId(), d.GetRepeat())
	w.service = time.Since(w.start) - r.held
	l.release(w.id, w.service, r, d, w.trial)
	if r.cause != nil {
		e.logFailure(l, d, r, w.service, w.trial)
	}
	e.noteState(l)
	e.noteLeaving(l, r.leaving)
	if r.unreachable {
		// What stands there next has just started.
		l.mayBeCold()
	}
	if r.ranWell() {
		e.endings.Ran(contentOf(d))
	}
	if r.brokenAtWork() {
		r.end.Ended = e.noteBroken(l, brokenWork{request: d.GetRequestId(), content: contentOf(d), began: w.start, at: w.start.Add(w.service)})
	}
}

// logFailure tells why the endpoint's work has no whole answer.
func (e *Egress) logFailure(l *local, d *peerpb.Dispatch, r result, service time.Duration, trial bool) {
	events.WorkFailed.Log(e.log).Str("request", d.GetRequestId()).Str("endpoint", l.key).
		Str("outcome", r.end.GetOutcome().String()).Str("code", r.end.GetCode()).
		Stringer("content", contentOf(d)).Dur("after", service).Bool("trial", trial).
		Bool("last_resort", d.GetLastResort()).Any("said", l.said.Load()).Uint32("busy", l.load(0, 0).GetBusy()).
		Err(r.cause).Send()
}

// noteState logs when the breaker of an endpoint has opened or closed.
func (e *Egress) noteState(l *local) {
	if from, to, changed := l.stateChange(); changed {
		events.BreakerChanged.Log(e.log).Str("endpoint", l.key).Str("from", from.String()).Str("to", to.String()).Send()
	}
}

// detach keeps the deadline but not the cancellation: a keyed request runs on when its caller is gone, so that the
// re-send finds an answer and not an unknown fate.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithoutCancel(ctx), func() {}
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}
