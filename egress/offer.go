package egress

import (
	"context"
	"io"
	"time"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// admitAndRun runs a request at its endpoint once it is admitted there, or returns and logs the refusal.
func (e *Egress) admitAndRun(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink peer.Sink) *peerpb.End {
	l, end := e.find(d)
	if end != nil {
		e.logRefusal(nil, d, end)
		return end
	}
	e.updateColdReport(l)
	stopwatch := e.clock.StartStopwatch()
	a := admitted{id: e.nextID.Add(1), usefulUntil: usefulUntil(d, time.Now())}
	a.trial, end = e.runAdmissionChecks(ctx, l, a.id, d, sink)
	if end != nil {
		end.Load = l.loadReport(0, e.cfg.Incarnation)
		e.logRefusal(l, d, end)
		return end
	}
	ctx, cancel := subtractSuspension(ctx, stopwatch)
	defer cancel()
	return e.runAt(ctx, l, a, d, body, sink)
}

// subtractSuspension moves the deadline of a request forward by the time for which the host was suspended while the
// request waited: for its caller, that time has passed.
func subtractSuspension(ctx context.Context, stopwatch clock.Stopwatch) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	suspended := stopwatch.Suspended()
	if !ok || suspended == 0 {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline.Add(-suspended))
}

// runAdmissionChecks returns nil once a request holds a slot and its sender has confirmed the dispatch, otherwise the
// refusal. The id names the request in the endpoint's queue.
func (e *Egress) runAdmissionChecks(
	ctx context.Context, l *localEndpoint, id uint64, d *peerpb.Dispatch, sink peer.Sink,
) (trial breaker.TrialID, end *peerpb.End) {
	if !l.mayTake(time.Now(), d) {
		return 0, peer.NotRun(fault.Suspect, l.breakerRetryAfter(time.Now()))
	}
	if end := e.adoptLeaving(l, d); end != nil {
		return 0, end
	}
	e.adoptRate(l, d)
	if end := l.refuseBeyondRate(d); end != nil {
		return 0, end
	}
	if p, ok := sink.(peer.Permitter); ok && d.GetWait() {
		p.Queued()
	}
	if end := e.waitForSlot(ctx, l, id, d); end != nil {
		return 0, l.refusedForRate(end)
	}
	defer func() { l.logArrivals(time.Now(), e.log) }()
	if end := l.takeRetry(time.Now(), d); end != nil {
		l.freeSlot(id, 0)
		return 0, end
	}
	admission, end := e.waitForRate(ctx, l, d)
	if end != nil {
		l.returnRetry(d)
		l.freeSlot(id, 0)
		return 0, end
	}
	trial, end = e.confirmDispatch(ctx, l, d, sink, admission)
	if end != nil {
		l.returnAdmission(admission)
		l.returnRetry(d)
		l.freeSlot(id, 0)
		return trial, end
	}
	l.countDispatch(time.Now(), d)
	e.logOlderConfig(d)
	return trial, nil
}

// waitForSlot waits for a slot of the endpoint, at most until Close, and returns the refusal if there is none.
func (e *Egress) waitForSlot(ctx context.Context, l *localEndpoint, id uint64, d *peerpb.Dispatch) *peerpb.End {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.closeCtx, cancel)()
	end := l.waitForSlot(ctx, id, d, e.state())
	if end != nil && e.closeCtx.Err() != nil {
		return peer.NotRun(fault.Draining, drainRetryAfter)
	}
	return end
}

// logRefusal logs why a request was refused before its dispatch; l is nil if the endpoint was not found.
func (e *Egress) logRefusal(l *localEndpoint, d *peerpb.Dispatch, end *peerpb.End) {
	line := events.OfferRefused.Log(e.log).Str("request", d.GetRequestId()).Str("endpoint", d.GetEndpoint()).
		Str("service", d.GetService()).Str("code", end.GetCode()).Uint64("config", d.GetConfig()).
		Uint64("holds", e.state().Revisions()[table.SourceConfig]).Uint64("seen", e.seenRevisions.newest[table.SourceConfig].Load())
	if l != nil {
		line.Uint32("busy", end.GetLoad().GetBusy()).Uint32("queued", end.GetLoad().GetQueued()).
			Uint32("slots", end.GetLoad().GetSlots()).Str("breaker", l.breakerState().String())
		if load := end.GetLoad(); load != nil && load.SuccessChance != nil {
			line.Float64("chance", load.GetSuccessChance()).Uint32("room", load.GetTrialRoom())
		}
		if m := end.GetLoad().GetMaxRate(); m != nil {
			line.Float64("max_rate", m.GetRate()).Time("rate_since", time.UnixMilli(m.GetSinceMillis()).UTC()).
				Uint64("rate_refused", m.GetRefused()).Uint64("rate_delayed", m.GetDelayed())
		}
	}
	line.Send()
}

// confirmDispatch checks again, right before the dispatch, whether the request may run, and asks its sender for a
// confirmation.
func (e *Egress) confirmDispatch(
	ctx context.Context, l *localEndpoint, d *peerpb.Dispatch, sink peer.Sink, admission rateAdmission,
) (trial breaker.TrialID, end *peerpb.End) {
	if _, end := e.find(d); end != nil {
		return 0, end
	}
	if ctx.Err() != nil {
		return 0, peer.NotRun(fault.DeadlineTooShort, shortRetryAfter)
	}
	ok, trial := l.allowDispatch(time.Now(), d)
	if !ok {
		return 0, peer.NotRun(fault.Suspect, l.breakerRetryAfter(time.Now()))
	}
	due := l.answerDue(d)
	p, isOffer := sink.(peer.Permitter)
	if !isOffer {
		if admission.lapsed(l.clock()) {
			// The host was suspended meanwhile.
			l.releaseTrial(trial)
			return 0, peer.NotRun(fault.OfferLapsed, shortRetryAfter)
		}
		if !peer.AllowsDispatch(sink) {
			l.releaseTrial(trial)
			return 0, peer.NotRun(fault.Stopping, 0)
		}
		if due > 0 {
			sink.Due(due)
		}
		return trial, nil
	}
	deadline, _ := ctx.Deadline()
	id := d.GetExchange()
	e.answers.begin(time.Now(), id, deadline)
	end = peer.NotRun(fault.OfferLapsed, 0)
	if p.Permit(ctx, l.loadReport(0, e.cfg.Incarnation), due) {
		// The configuration or the endpoint may have changed while the confirmation was on its way.
		_, refused := e.find(d)
		if refused == nil && !admission.lapsed(l.clock()) && e.answers.dispatch(id) {
			return trial, nil
		}
		if refused != nil {
			end = refused
		}
	}
	e.answers.void(id)
	l.releaseTrial(trial)
	return 0, end
}
