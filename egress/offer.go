package egress

import (
	"context"
	"io"
	"time"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/coldstart"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// admitAndRun runs a request at its endpoint once that has room for it, or returns and logs the refusal.
func (e *Egress) admitAndRun(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink peer.Sink) *peerpb.End {
	l, end := e.find(d)
	if end != nil {
		e.logRefusal(nil, d, end)
		return end
	}
	e.hear(l)
	watch := e.clock.StartStopwatch()
	trial, end := e.take(ctx, l, d, sink)
	if end != nil {
		end.Load = l.load(0, e.cfg.Incarnation)
		e.logRefusal(l, d, end)
		return end
	}
	ctx, cancel := withoutSuspended(ctx, watch)
	defer cancel()
	return e.runAt(ctx, l, d, body, sink, trial)
}

// withoutSuspended brings the deadline of a request forward by the time in which the host was suspended while it waited: for its caller that
// time went on.
func withoutSuspended(ctx context.Context, watch clock.Stopwatch) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	lost := watch.Suspended()
	if !ok || lost == 0 {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline.Add(-lost))
}

// take brings a request to a slot of the endpoint and to the word of whoever sent it, or returns the refusal.
func (e *Egress) take(ctx context.Context, l *local, d *peerpb.Dispatch, sink peer.Sink) (trial bool, end *peerpb.End) {
	if !l.takes(time.Now(), d) {
		return false, peer.NotRun(fault.Suspect, l.pauseLeft(time.Now()))
	}
	if p, ok := sink.(peer.Permitter); ok && d.GetWait() {
		p.Queued()
	}
	if end := e.admit(ctx, l, d); end != nil {
		return false, end
	}
	defer func() { l.tellArrivals(time.Now(), e.log) }()
	if end := l.spend(time.Now(), d); end != nil {
		l.free(0)
		return false, end
	}
	admitted, end := e.admitCold(ctx, l, d)
	if end != nil {
		l.unspend(d)
		l.free(0)
		return false, end
	}
	trial, end = e.permit(ctx, l, d, sink, admitted)
	if end != nil {
		l.notSent()
		l.unspend(d)
		l.free(0)
		return trial, end
	}
	l.arrived(time.Now(), d)
	e.logOlder(d)
	return trial, nil
}

// admit waits for a slot of the endpoint until the door is closed, and returns the refusal.
func (e *Egress) admit(ctx context.Context, l *local, d *peerpb.Dispatch) *peerpb.End {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.closed, cancel)()
	end := l.admit(ctx, e.nextID.Add(1), d, e.state())
	if end != nil && e.closed.Err() != nil {
		return peer.NotRun(fault.Draining, drainRetryAfter)
	}
	return end
}

// logRefusal tells why a request was turned away before the hand-over; l is nil where the endpoint is not here.
func (e *Egress) logRefusal(l *local, d *peerpb.Dispatch, end *peerpb.End) {
	line := events.OfferRefused.Log(e.log).Str("request", d.GetRequestId()).Str("endpoint", d.GetEndpoint()).
		Str("service", d.GetService()).Str("code", end.GetCode()).Uint64("config", d.GetConfig()).
		Uint64("holds", e.state().Revisions()[table.SourceConfig]).Uint64("seen", e.configs.newest[table.SourceConfig].Load())
	if l != nil {
		line.Uint32("busy", end.GetLoad().GetBusy()).Uint32("queued", end.GetLoad().GetQueued()).
			Uint32("slots", end.GetLoad().GetSlots()).Str("breaker", l.breakerState().String())
	}
	line.Send()
}

// permit looks once more, at the moment of the hand-over, whether the request may run, and asks whoever sent it; admitted is when the
// endpoint's door let it pass.
func (e *Egress) permit(
	ctx context.Context, l *local, d *peerpb.Dispatch, sink peer.Sink, admitted time.Time,
) (trial bool, end *peerpb.End) {
	if _, end := e.find(d); end != nil {
		return false, end
	}
	if ctx.Err() != nil {
		return false, peer.NotRun(fault.DeadlineTooShort, shortRetryAfter)
	}
	ok, trial := l.allow(time.Now(), d)
	if !ok {
		return false, peer.NotRun(fault.Suspect, l.pauseLeft(time.Now()))
	}
	due := l.due(d)
	p, asks := sink.(peer.Permitter)
	if !asks {
		if !peer.AllowsDispatch(sink) {
			l.untry(trial)
			return false, peer.NotRun(fault.Stopping, 0)
		}
		if due > 0 {
			sink.Due(due)
		}
		return trial, nil
	}
	deadline, _ := ctx.Deadline()
	id := d.GetExchange()
	e.records.begin(time.Now(), id, deadline)
	end = peer.NotRun(fault.OfferLapsed, 0)
	if p.Permit(ctx, l.load(0, e.cfg.Incarnation), due) {
		// The word may have taken a while, in which the configuration, or the endpoint, can have moved on.
		_, moved := e.find(d)
		inTime := e.clock.Since(admitted) <= coldstart.MaxSendDelay
		if moved == nil && inTime && e.records.hand(id) {
			return trial, nil
		}
		if moved != nil {
			end = moved
		}
	}
	e.records.void(id)
	l.untry(trial)
	return false, end
}
