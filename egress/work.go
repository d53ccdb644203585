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
	recording := &recordingSink{Sink: sink}
	_, kept := sink.(peer.Permitter)
	if kept {
		sink = recording
	}
	start, id := time.Now(), e.nextID.Add(1)
	e.begin(l, start, id, d, sink, trial)
	result := e.counted(d, func() result { return l.run(ctx, d, body, sink) })
	service := time.Since(start)
	l.release(id, service, result, d, trial)
	if result.cause != nil {
		e.logFailure(l, d, result, service, trial)
	}
	e.noteState(l)
	e.noteLeaving(l, result.leaving)
	if result.unreachable {
		// What stands there next has just started.
		l.mayBeCold()
	}
	if result.ranWell() {
		e.endings.Ran(contentOf(d))
	}
	if result.brokenAtWork() {
		e.noteBroken(l, brokenWork{request: d.GetRequestId(), content: contentOf(d), began: start, at: start.Add(service)})
	}
	result.end.Load = l.load(service, e.cfg.Incarnation)
	if kept {
		result.end.Revision = e.state().Revision()
		e.records.finish(d.GetExchange(), recording, result.end)
	}
	return result.end
}

// counted counts a run while it lasts.
func (e *Egress) counted(d *peerpb.Dispatch, run func() result) result {
	e.working.Begin(d.GetRequestId(), d.GetRepeat())
	defer e.working.End(d.GetRequestId(), d.GetRepeat())
	return run()
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
