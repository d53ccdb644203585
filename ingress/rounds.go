package ingress

import (
	"cmp"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

const (
	// firstRoundPause and maxRoundPause bound the pauses between the rounds of a nested call. Slots become free every 20 to
	// 200 ms at the services that work calls.
	firstRoundPause = 50 * time.Millisecond
	maxRoundPause   = 200 * time.Millisecond
	// maxRestarts bounds the rounds after the first: a lack of capacity that lasts longer than their pauses, 350 ms, is not
	// passing, and the requests that make the calls would hold the slots of their own service meanwhile.
	maxRestarts = 3
	// unknownWorkTime stands in for the usual time of work of which none has been served yet.
	unknownWorkTime = 50 * time.Millisecond
	// maxRoundAsks bounds the endpoints that a request asks in each round after the first.
	maxRoundAsks = maxOffers + maxWaits + maxLastResortTries
)

// rounds decides whether a nested call that found no capacity starts over, and after which pause. The load that it answers:
// all endpoints of the called service are full or suspect for some hundred milliseconds, while the work that made the call
// holds a slot and would be lost with it.
//
// Invariant: a call that may have run never starts over.
type rounds struct {
	// restarts counts the rounds after the first.
	restarts int
}

// rejection describes how a round ended.
type rejection struct {
	// code is what the last round lacked, outcome whether the last send ran.
	code    fault.Code
	outcome peerpb.Outcome
	// mayHaveRun is set when some send of the call ran or may have run.
	mayHaveRun bool
	// left is the time until the deadline, usual the time that such work takes, 0 if that is not known.
	left, usual time.Duration
}

// next returns the state with one more round and the pause before it; ok is false when the call must not start over. The
// last pause is shortened so that the usual time of the work remains after it.
func (r rounds) next(end rejection) (after rounds, pause time.Duration, ok bool) {
	spare := end.left - cmp.Or(end.usual, unknownWorkTime)
	if r.restarts >= maxRestarts || spare < firstRoundPause {
		return r, 0, false
	}
	if end.mayHaveRun || end.outcome != peerpb.Outcome_OUTCOME_NOT_RUN || !lacksCapacity(end.code) {
		return r, 0, false
	}
	pause = firstRoundPause
	for i := 0; i < r.restarts && pause < maxRoundPause; i++ {
		pause = min(2*pause, maxRoundPause)
	}
	return rounds{restarts: r.restarts + 1}, min(pause, spare), true
}

// count is the number of rounds, the first included.
func (r rounds) count() int { return r.restarts + 1 }
