package egress

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/upstream"
)

// admitted describes a request that holds a slot of its endpoint.
type admitted struct {
	// id names the request in the endpoint's queue, trial is its trial of the breaker, 0 for none.
	id    uint64
	trial breaker.TrialID
	// usefulUntil is when its answer loses most of its value, the zero time if that is not known.
	usefulUntil time.Time
}

// runAt runs an admitted request, stores its answer if the sender may fetch it again, and frees the slot.
func (e *Egress) runAt(
	ctx context.Context, l *localEndpoint, a admitted, d *peerpb.Dispatch, body io.Reader, sink peer.Sink,
) *peerpb.End {
	if d.GetClaim() != nil {
		var cancel context.CancelFunc
		ctx, cancel = detach(ctx)
		defer cancel()
	}
	recording := &storingSink{Sink: sink, hold: e.budget.NewReservation(d.GetCustomer())}
	_, stored := sink.(peer.Permitter)
	if stored {
		sink = recording
	}
	run := &endpointRun{e: e, l: l, d: d, trial: a.trial, start: time.Now(), sentAt: e.clock(), id: a.id}
	ctx = l.trackRun(ctx, run.id, run.start, d, sink)
	e.startMonitoring(l, run.start, run.id, d, sink, a.trial)
	e.running.Begin(d.GetRequestId(), d.GetRepeat(), a.usefulUntil)
	hold := e.budget.NewReservation(d.GetCustomer())
	defer hold.Release()
	result := l.run(ctx, d, body, answerHooks{
		sink: sink, onHead: run.noteHead, hold: hold, onProgress: run.noteProgress, onStall: run.noteStall, onDone: run.done,
	})
	result.end.Load = l.loadReport(run.serviceTime, e.cfg.Incarnation)
	result.end.NestedFailed = run.callFailed && result.failedStatus
	if stored {
		result.end.Revision = e.state().Revision()
		e.answers.finish(d.GetExchange(), recording, result.end)
	}
	return result.end
}

// endpointRun is one run of a request at an endpoint.
type endpointRun struct {
	e *Egress
	l *localEndpoint
	d *peerpb.Dispatch
	// trial is the run as a trial of the breaker, 0 for none.
	trial breaker.TrialID
	// start is when the run began; id identifies it for the queue and the in-flight monitor.
	start time.Time
	id    uint64
	// sentAt is start by the egress's clock.
	sentAt time.Time
	// serviceTime is how long the endpoint took, set when the run is done.
	serviceTime time.Duration
	// callFailed is set when a call that the endpoint made for the request was not served.
	callFailed bool
}

// noteHead applies what the head of the answer states of the endpoint, before the sender can act on the answer.
func (run *endpointRun) noteHead(a contract.Answer, resp *upstream.Response) {
	run.e.noteUnreadFields(run.l, run.l.contract.Unread(resp.Header))
	run.e.noteMaxRate(run.l, run.sentAt, a)
	run.e.noteLeaving(run.l, a)
	run.l.noteAnswer(run.id, a, resp)
}

func (run *endpointRun) noteProgress() { run.l.noteProgress(run.id) }

func (run *endpointRun) noteStall() (wanted <-chan struct{}, over func()) {
	return run.l.noteStall(run.id)
}

// done frees the slot and reports the result to everything that depends on it, as soon as the endpoint is done.
func (run *endpointRun) done(r result) {
	e, l, d := run.e, run.l, run.d
	run.callFailed = e.running.End(d.GetRequestId(), d.GetRepeat())
	run.serviceTime = time.Since(run.start) - r.stalledFor
	l.untrackRun(run.id, r)
	l.finishRun(run.id, run.serviceTime, r, d, run.trial != 0)
	if r.reclaimed {
		e.logReclaimed(l, d, run.serviceTime)
	}
	if r.cause != nil {
		e.logFailure(l, d, r, run.serviceTime, run.trial != 0)
	}
	if errors.Is(r.cause, upstream.ErrHeadTooLong) {
		events.AnswerHeadTooLong.Log(e.log).Str("request", d.GetRequestId()).Str("endpoint", l.key).Int("limit", upstream.MaxHead).Send()
	}
	e.logBreakerChange(l)
	if r.unreachable {
		// The process that takes its place will have just started.
		l.notePossiblyCold()
	}
	if r.succeeded() {
		e.crashes.Ran(fingerprintOf(d))
	}
	if r.brokenWhileRunning() {
		r.end.Ended = e.noteBrokenRequest(l,
			brokenRequest{request: d.GetRequestId(), fingerprint: fingerprintOf(d), startedAt: run.start, brokeAt: run.start.Add(run.serviceTime)})
	}
}

// logFailure logs why there is no complete answer from the endpoint.
func (e *Egress) logFailure(l *localEndpoint, d *peerpb.Dispatch, r result, service time.Duration, trial bool) {
	events.WorkFailed.Log(e.log).Str("request", d.GetRequestId()).Str("endpoint", l.key).
		Str("outcome", r.end.GetOutcome().String()).Str("code", r.end.GetCode()).
		Stringer("content", fingerprintOf(d)).Dur("after", service).Bool("trial", trial).
		Bool("last_resort", d.GetLastResort()).Any("said", l.reportedLoad.Load()).Uint32("busy", l.loadReport(0, 0).GetBusy()).
		Err(r.cause).Send()
}

// logBreakerChange logs when the breaker of an endpoint has opened or closed.
func (e *Egress) logBreakerChange(l *localEndpoint) {
	if from, to, changed := l.breakerChange(); changed {
		events.BreakerChanged.Log(e.log).Str("endpoint", l.key).Str("from", from.String()).Str("to", to.String()).Send()
	}
}

// detach keeps the deadline but not the cancellation: a request with a key goes on when its caller is gone, so that
// the caller's resend finds an answer rather than an unknown outcome.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithoutCancel(ctx), func() {}
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}
