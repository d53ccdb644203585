package ingress

import (
	"context"
	"time"
)

const (
	// maxHallWaitShare is the largest share of the time to spare before the latency target that a request waits for a
	// slot in its own hall. In that time a slot usually becomes free there, and the slots of other halls are not left
	// idle meanwhile. With 0.8, answers had 72% of their full value on a day with unevenly loaded halls; with 0.25,
	// 76%. Where traffic between halls is expensive, either share serves as much and transfers as many bytes
	// (docs/DECISIONS.md).
	maxHallWaitShare = 0.25
	// halfWaitSize is the size of request and answer together, in bytes, at which a request waits half of that share.
	// Below it, sending the request to another hall costs little more than asking for a slot there, about 400 bytes
	// each time.
	halfWaitSize = 1000
	// workQuantile is the share of a route's requests that end within the time reserved for the work itself.
	workQuantile = 0.8
	// hallRetryInterval is the wait between two rounds over the hall's endpoints. In a busy hall, slots become free
	// about as often.
	hallRetryInterval = 20 * time.Millisecond
)

// waitForHall waits for hallRetryInterval and reports whether to ask the endpoints of this hall again; it returns false
// once the request may wait no longer.
func (x *exchange) waitForHall(ctx context.Context) bool {
	if x.hallWaitEnd.IsZero() {
		x.hallWaitEnd = time.Now().Add(x.g.routeStats.hallWait(x.call.route.Key, x.latencyTargetLeft()))
	}
	if !time.Now().Add(hallRetryInterval).Before(x.hallWaitEnd) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(hallRetryInterval):
	}
	return true
}
