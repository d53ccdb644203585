package ingress

import (
	"context"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/poison"
)

// A repeatable request of which this system has ended a send, to free its slot or because a link broke, goes on looking for
// a slot until its deadline: its endpoint might have answered it. A lack of capacity does not end it.

const (
	// firstResumePause and maxResumePause bound the pauses between the rounds in which such a request looks for a slot.
	firstResumePause = 50 * time.Millisecond
	maxResumePause   = 800 * time.Millisecond
)

// allowResends lets a repeatable request be dispatched again before a deadline, as often as its route allows. The functions
// that it sets read only fields of the exchange that do not change.
func (x *exchange) allowResends(deadline time.Time) {
	if !x.call.repeatable || x.call.needsClaim() {
		return
	}
	maxSends := x.maxSends()
	x.progress.mayResend = func(dispatches int) bool {
		return dispatches < maxSends && x.g.crashes.Ends(x.call.fingerprint) < poison.NoRetryThreshold
	}
	x.progress.hasTime = func() bool {
		return time.Until(deadline) > x.g.routeStats.typicalTime(x.call.route.Key, x.latencyTarget())
	}
}

// awaitsSlot reports whether an end leaves it open that another endpoint serves the request: its send was ended by this
// system, or it has not run for a reason that may pass.
func awaitsSlot(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.FatalRequest, fault.Stale, fault.UnknownToken, fault.OutOfRegion:
		return false
	case fault.EndpointHung:
		return true
	}
	return end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN || linkLost(end)
}

// resume begins another round, after a pause, for a request of which this system has ended a send and for which no slot was
// found. It returns false if the request cannot be served any more, or the caller has a part of an answer.
func (x *exchange) resume(ctx context.Context, end *peerpb.End) bool {
	if x.answer.started || !x.progress.wasInterrupted() || !awaitsSlot(end) || x.suspectedPoison() {
		return false
	}
	for x.progress.mayDispatchAgain() && x.pause(ctx, x.resumePause.Next()) {
		if x.takePermit(ctx) {
			x.beginRound()
			return true
		}
	}
	return false
}

// asExpired changes the end of a request that looked for a slot until its deadline, or until its caller left.
func (x *exchange) asExpired(ctx context.Context, end *peerpb.End) *peerpb.End {
	if ctx.Err() == nil || !x.progress.wasInterrupted() || !awaitsSlot(end) {
		return end
	}
	if ctx.Err() == context.DeadlineExceeded {
		return peer.Unknown(fault.DeadlineExceeded)
	}
	return peer.Unknown(fault.Canceled)
}
