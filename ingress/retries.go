package ingress

import (
	"context"
	"time"

	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/retry"
)

// shouldRetry handles the end of a send and reports whether the request is to be sent again.
//
// Invariant: no send follows once the caller has received a part of an answer.
func (x *exchange) shouldRetry(ctx context.Context, pick director.Pick, end *peerpb.End) bool {
	if ctx.Err() != nil || x.progress.isClosed() {
		return false
	}
	if x.answer.started {
		x.tried = append(x.tried, pick.Endpoint.Key)
		x.sends++
		return false
	}
	if fault.Code(end.GetCode()) == fault.FatalRequest || x.suspectedPoison() {
		return false
	}
	if declined(end) {
		return x.afterDeclined(pick.Endpoint.Key, end)
	}
	if fault.Code(end.GetCode()) == fault.RetryBudget {
		return x.afterBudgetRefusal(pick.Endpoint.Key)
	}
	x.tried = append(x.tried, pick.Endpoint.Key)
	if misrouted(end) {
		return x.afterMisrouted(ctx, pick.Endpoint.Key, end)
	}
	if egressFull(end) && x.afterFull(ctx, pick.Endpoint.Key) {
		return true
	}
	if x.overdue() && end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN {
		// The request has waited for its whole latency target: the caller learns of the refusal now.
		return false
	}
	x.sends++
	if !x.allowsRetry(ctx, pick, end) {
		return false
	}
	x.g.metrics.Service(x.call.service.Key).Retries.Inc(1)
	x.logRetry(end)
	return true
}

// allowsRetry reports whether another send may follow an end that concerns the request itself.
func (x *exchange) allowsRetry(ctx context.Context, pick director.Pick, end *peerpb.End) bool {
	if x.progress.wasInterrupted() && awaitsSlot(end) {
		// The endpoint may take the request in a later round, when it no longer hangs or its link is up again.
		x.rejecting = append(x.rejecting, pick.Endpoint.Key)
		return x.progress.mayDispatchAgain()
	}
	return x.refusals.decide(x.retryAttempt(ctx, pick, end))
}

// afterFull handles a queue that had no room, and reports whether to ask another endpoint whatever the retry policy says.
func (x *exchange) afterFull(ctx context.Context, key string) bool {
	keepsAsking := x.call.nested || x.progress.wasInterrupted()
	if keepsAsking {
		x.noteRejection(key)
	}
	if !x.lastResort && x.hasSuspects(ctx) {
		x.lastResort, x.likelyOnly = true, true
		return true
	}
	return keepsAsking
}

// afterMisrouted handles a refusal because of an outdated view or a link that is down, and reports whether to send the
// request again. A link may be up in a later round.
func (x *exchange) afterMisrouted(ctx context.Context, key string, end *peerpb.End) bool {
	if fault.Code(end.GetCode()) == fault.LinkDown {
		x.rejecting = append(x.rejecting, key)
	}
	return x.refreshConfig(ctx, end)
}

// maxOwnCrashes is how many endpoints may crash on the sends of one request: one more would have it blocked before it
// comes again.
const maxOwnCrashes = poison.BlockThreshold - 1

// suspectedPoison reports whether a retry is ruled out because endpoints have crashed under this request: at its own
// sends, or at earlier ones while an endpoint may have had this one. With a retry, each arrival of such a request would
// crash two endpoints.
func (x *exchange) suspectedPoison() bool {
	return x.reachedEndpoint && x.g.crashes.Ends(x.call.fingerprint) >= poison.NoRetryThreshold || x.crashes >= maxOwnCrashes
}

// afterDeclined records an endpoint that declined the request before it was sent, and reports whether to ask another.
func (x *exchange) afterDeclined(key string, end *peerpb.End) bool {
	x.declined = append(x.declined, key)
	switch fault.Code(end.GetCode()) {
	case fault.Suspect:
		x.suspects = append(x.suspects, key)
	case fault.MaxRate:
		if x.waits > 0 {
			x.limited = append(x.limited, key)
			return x.waits < maxWaits
		}
	}
	if x.lastResort {
		x.tried, x.rejecting = append(x.tried, key), append(x.rejecting, key)
	} else if x.waits > 0 {
		// The request did not wait in a queue; the next endpoint may have one.
		x.waits--
	}
	return len(x.declined) < maxDeclined
}

// maxBudgetRefusals bounds the endpoints that are asked to take a retry although others have no retries left: each
// endpoint saves up two or three retries, which one failing endpoint beside it can use up.
const maxBudgetRefusals = 6

// afterBudgetRefusal records an endpoint that has no retries left, and reports whether to ask another.
func (x *exchange) afterBudgetRefusal(key string) bool {
	x.declined = append(x.declined, key)
	x.budgetRefusals++
	return x.budgetRefusals < maxBudgetRefusals
}

// retryAttempt describes the latest send to the retry policy.
func (x *exchange) retryAttempt(ctx context.Context, pick director.Pick, end *peerpb.End) retry.Attempt {
	deadline, _ := ctx.Deadline()
	return retry.Attempt{
		Attempts: x.sends, MaxAttempts: int(x.call.route.Value.Attempts), Outcome: end.GetOutcome(), Repeatable: x.call.repeatable,
		Overloaded: egressFull(end) || fault.Code(end.GetCode()) == fault.EndpointShed,
		Failed:     x.answer.failed(end), AnswerStarted: x.answer.started, Replayable: true,
		TimeLeft: time.Until(deadline), TypicalServiceTime: pick.TypicalLatency,
	}
}
