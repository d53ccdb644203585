package ingress

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// A nested call is one that an endpoint beside this node makes while it handles another request, its parent. If the call is
// rejected, the parent's work is lost as well, so that a nested call goes on looking for capacity where a new request is
// rejected.

// maxCallsOfParent bounds the concurrent calls of one parent that are treated as nested. It limits what an outside caller
// gains by an id that names a request in flight here; the calls of a larger fan-out are treated as new requests.
const maxCallsOfParent = 32

// nestedCalls counts the nested calls in flight by parent; calls whose parent is not known by id are not counted.
type nestedCalls map[string]int

// begin counts a call and reports whether it is treated as nested.
func (n nestedCalls) begin(parent string) bool {
	if n[parent] >= maxCallsOfParent {
		return false
	}
	n[parent]++
	return true
}

// end counts a call that has ended.
func (n nestedCalls) end(parent string) {
	if n[parent]--; n[parent] <= 0 {
		delete(n, parent)
	}
}

// startOver waits for the next round of a nested call that found no capacity; it returns false if there is none. cause is
// what the last round lacked.
func (x *exchange) startOver(ctx context.Context, end *peerpb.End, cause fault.Code) bool {
	if !x.call.nested || x.answer.started || ctx.Err() != nil || x.suspectedPoison() {
		return false
	}
	deadline, _ := ctx.Deadline()
	next, pause, ok := x.rounds.next(rejection{
		code: cause, outcome: end.GetOutcome(), mayHaveRun: x.ran || x.mayHaveRun, left: cmp.Or(x.usefulLeft(deadline), x.timeLeft(deadline)),
		usual: x.g.routeStats.medianTime(x.call.route.Key, x.latencyTarget()),
	})
	if !ok || !x.pause(ctx, pause) || !x.takePermit(ctx) {
		return false
	}
	x.rounds = next
	x.beginRound()
	return true
}

// usefulLeft returns how long an answer to a nested call is of use: until the latency target of the request that it is made
// for is over, and at least until its own is. It is 0 for other requests and where that target is not known. A call that
// waits longer keeps a slot of its caller's endpoint for an answer that is late.
func (x *exchange) usefulLeft(deadline time.Time) time.Duration {
	if !x.call.nested || x.call.usefulUntil.IsZero() {
		return 0
	}
	useful := max(time.Until(x.call.usefulUntil), x.latencyTargetLeft(), time.Microsecond)
	return min(useful, x.timeLeft(deadline))
}

// pause waits and reports whether the request may go on: it may not once its context has ended or the node dispatches
// nothing any more.
func (x *exchange) pause(ctx context.Context, d time.Duration) bool {
	waiting, done := x.progress.untilDispatch(ctx, nil)
	defer done()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-waiting.Done():
		return false
	case <-t.C:
		return true
	}
}

// beginRound forgets which endpoints lacked capacity. What ran, what was spent of attempts and retries, how long the call
// has waited for its own hall and for suspects, and the endpoints that had the request stay as they are.
func (x *exchange) beginRound() {
	x.offers, x.remoteOffers, x.waits, x.lastResortTries, x.suspectOffers = 0, 0, 0, 0, 0
	x.declined, x.suspects, x.limited = nil, nil, nil
	x.lastResort, x.likelyOnly = false, false
	x.tried = slices.DeleteFunc(slices.Clone(x.tried), func(key string) bool { return slices.Contains(x.rejecting, key) })
	x.rejecting = nil
	x.isLaterRound, x.askedBefore = true, x.trail.count
}

// noteRejection records a queue that had no room for a request that may look for one again in a later round. The rejection
// does not count as one of the route's attempts.
func (x *exchange) noteRejection(key string) {
	x.rejecting = append(x.rejecting, key)
}

// roundSpent reports whether a round after the first has asked as many endpoints as it may.
func (x *exchange) roundSpent() bool {
	return x.isLaterRound && x.trail.count-x.askedBefore >= maxRoundAsks
}

// noteFailedCall marks the parent of a nested call that was not served. It must run before the endpoint learns of that,
// since it may end the parent's work at once.
func (g *Ingress) noteFailedCall(c *call) {
	if c.parent != "" {
		g.local.NoteCallFailed(c.parent)
	}
}

// served reports whether the request has a complete answer that is no failure.
func (a *answer) served(end *peerpb.End) bool { return a.head != nil && !a.failed(end) }

// refuseCall is refuseEarly for a request that has been parsed.
func (g *Ingress) refuseCall(w http.ResponseWriter, r *http.Request, c *call, end *peerpb.End, detail string) {
	g.noteFailedCall(c)
	g.refuseEarly(w, r, c.id, end, detail)
}
