package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/fault"
)

const (
	// suspectInterval is the wait between two rounds over endpoints that all take only trials. maxSuspectWait bounds
	// the total of these waits: most such endpoints recover within a second.
	suspectInterval = 40 * time.Millisecond
	maxSuspectWait  = time.Second
	// suspectWaitDivisor limits that wait to one part in so many of the latency target, so that enough time remains for
	// the work, and a refused caller still has time to retry.
	suspectWaitDivisor = 4
	// maxLastResortTries bounds the endpoints that are asked as a last resort.
	maxLastResortTries = 3
)

// pickSuspect chooses among endpoints that all take only trials. The request waits, round by round, for one of them to
// recover; when its time runs short it goes to one of them regardless.
func (x *exchange) pickSuspect(ctx context.Context) (director.Pick, bool, error) {
	now := time.Now()
	if x.suspectSince.IsZero() {
		x.suspectSince = now
	}
	if now.Sub(x.suspectSince) >= x.suspectWait(ctx) {
		x.lastResort = true
		return x.pickLast(ctx)
	}
	select {
	case <-ctx.Done():
		return director.Pick{}, false, fault.New(fault.Suspect, x.call.service.Key, "every endpoint takes only trials")
	case <-time.After(suspectInterval):
	}
	x.offers, x.remoteOffers, x.waits, x.declined, x.suspects = 0, 0, 0, nil, nil
	return x.pick(ctx)
}

// suspectWait is how long the request waits for one of the endpoints to recover.
func (x *exchange) suspectWait(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	wait := min(maxSuspectWait, deadline.Sub(x.suspectSince)/2)
	if target := x.latencyTarget(); target > 0 {
		wait = min(wait, target/suspectWaitDivisor)
	}
	return wait
}

// pickLast chooses among the suspected endpoints for a request that no other endpoint takes. A request that is not
// repeatable runs only where most trials succeeded: elsewhere its caller would in most cases only learn that it may
// have run.
func (x *exchange) pickLast(ctx context.Context) (director.Pick, bool, error) {
	if x.lastResortTries++; x.lastResortTries > maxLastResortTries {
		return director.Pick{}, true, fault.New(fault.Suspect, x.call.service.Key, "no endpoint took the request as a last resort")
	}
	opts := x.pickOptions()
	for _, key := range x.declined {
		if !slices.Contains(x.suspects, key) {
			opts.Exclude = append(slices.Clone(opts.Exclude), key)
		}
	}
	pick, err := x.g.director.PickLastResort(ctx, opts, x.call.repeatable)
	return pick, true, err
}
