package egress

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/upstream"
)

// errReclaimed is why a run was ended whose sender gave up its slot.
var errReclaimed = fault.New(fault.EndpointHung, "slot", "endpoint did not answer, and another request needs the slot")

// newTrackedRun returns a run of the request. One whose body is streamed cannot be sent again.
func newTrackedRun(id uint64, start time.Time, d *peerpb.Dispatch) trackedRun {
	streamed := d.GetBodyLength() != 0
	return trackedRun{
		id: id, class: workOf(d), start: start, streamed: streamed, endable: d.GetRepeatable() && d.GetClaim() == nil && !streamed,
	}
}

// slotRequested is the context key of the time at which a run's sender was asked to give up the slot, nil before that.
type slotRequested struct{}

// maxReleaseDelay is how long after that a cancellation counts as the release of the slot. Later the caller has left.
const maxReleaseDelay = time.Second

// trackRun adds a run to those of its endpoint and returns its context, which tells whether its sender was asked to give
// up the slot.
func (l *localEndpoint) trackRun(ctx context.Context, id uint64, start time.Time, d *peerpb.Dispatch, sink peer.Sink) context.Context {
	if !l.reclaims {
		return ctx
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r, requested := newTrackedRun(id, start, d), new(atomic.Pointer[time.Time])
	r.requestSlot = func() {
		now := time.Now()
		requested.Store(&now)
		peer.RequestSlot(sink)
	}
	l.runs.begin(r)
	l.use.Begin(start, id, d.GetRoute(), r.class)
	return context.WithValue(ctx, slotRequested{}, requested)
}

// gaveUpSlot reports whether the sender of a run canceled it after it was asked to give up the slot.
func gaveUpSlot(ctx context.Context) bool {
	requested, ok := ctx.Value(slotRequested{}).(*atomic.Pointer[time.Time])
	if !ok || !errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	at := requested.Load()
	return at != nil && time.Since(*at) < maxReleaseDelay
}

// untrackRun removes a run that is done, and counts it if it was ended for another request.
func (l *localEndpoint) untrackRun(id uint64, r result) {
	if !l.reclaims {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs.end(id)
	l.use.End(time.Now(), id, l.lateAfter)
	if r.reclaimed {
		l.reclaimed++
	}
}

// reclaimedCount returns how many runs were ended for other requests.
func (l *localEndpoint) reclaimedCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reclaimed
}

// noteAnswer records that the answer to a run has begun.
func (l *localEndpoint) noteAnswer(id uint64, a contract.Answer, resp *upstream.Response) {
	if !l.reclaims {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	success := !a.NotRun && !a.Foreign && resp.StatusCode < http.StatusInternalServerError
	now := time.Now()
	l.use.Answer(now, id, l.lateAfter)
	l.runs.answered(now, id, success, l.knownSurvival)
}

// knownSurvival is survival by the endpoint's own answers: 1 for a kind of request of which it has answered too few. The
// lock must be held.
func (l *localEndpoint) knownSurvival(class breaker.RequestClass, age time.Duration) float64 {
	if !l.latencies.Knows(class.Kind) {
		return 1
	}
	return l.survival(class, age)
}

// reclaimTime is the time in which the sender of a run gives up its slot: a round trip between regions (20 ms one way).
const reclaimTime = 40 * time.Millisecond

// reclaimHungSlot asks for the slot of a run at an endpoint that hangs, if no slot is free and one qualifies; the lock must
// be held. The queue then expects the slot to be free shortly: by its usual estimate the run would hold it for as long as it is
// overdue, and the request that needs the slot would be refused.
func (l *localEndpoint) reclaimHungSlot(now time.Time) bool {
	if !l.reclaims || l.queue.Busy() != l.slots {
		return false
	}
	r := l.runs.reclaim(now, l.breaker.State() != breaker.Closed, l.knownSurvival)
	if r == nil {
		return false
	}
	r.requestSlot()
	l.releaseBy = now.Add(reclaimTime)
	l.queue.ExpectRelease(r.id, l.releaseBy)
	return true
}

// reclaimedResult is the result of a run that was ended for another request. For the breaker, the monitor and the
// directors it is a request that the endpoint left unanswered.
func reclaimedResult(err error) result {
	r := result{end: peer.Unknown(fault.EndpointHung), sample: true, failed: true, unanswered: true, reclaimed: true, cause: errReclaimed}
	if fault.CodeOf(err) == fault.EndpointUnreachable {
		// The endpoint has not taken the connection, so the request has not run.
		r.end, r.cause = peer.NotRun(fault.EndpointUnreachable, shortRetryAfter), err
	}
	return r
}

// logReclaimed logs a run that was ended for another request.
func (e *Egress) logReclaimed(l *localEndpoint, d *peerpb.Dispatch, after time.Duration) {
	l.mu.Lock()
	survival := l.survival(workOf(d), after)
	l.mu.Unlock()
	events.SlotReclaimed.Log(e.log).Str("request", d.GetRequestId()).Str("endpoint", l.key).Str("service", d.GetService()).
		Str("route", d.GetRoute()).Dur("after", after).Float64("survival", survival).Send()
}
