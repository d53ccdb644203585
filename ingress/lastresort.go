package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/fault"
)

const (
	// suspectPause is the wait between two rounds over endpoints that all take only trials, and mostSuspect how long a
	// request waits so at most: such endpoints have mostly recovered within a second.
	suspectPause = 40 * time.Millisecond
	mostSuspect  = time.Second
	// suspectShare is the part of a request's aim that it waits so at most, as one in so many: what is left then still suffices
	// for the work, and who is refused learns it while there is time to come back.
	suspectShare = 4
	// mostLast bounds the endpoints that are asked as a last resort.
	mostLast = 3
)

// pickSuspect chooses among endpoints that all take only trials. The request waits for one of them to show that it works
// again, round by round; when its time grows short it goes to one all the same.
func (x *exchange) pickSuspect(ctx context.Context) (director.Pick, bool, error) {
	now := time.Now()
	if x.suspectSince.IsZero() {
		x.suspectSince = now
	}
	if now.Sub(x.suspectSince) >= x.patience(ctx) {
		x.lastResort = true
		return x.pickLast(ctx)
	}
	select {
	case <-ctx.Done():
		return director.Pick{}, false, fault.New(fault.Suspect, x.call.service.Key, "every endpoint takes only trials")
	case <-time.After(suspectPause):
	}
	x.offers, x.far, x.waits, x.declined, x.suspects = 0, 0, 0, nil, nil
	return x.pick(ctx)
}

// patience is how long the request waits for one of the endpoints to recover.
func (x *exchange) patience(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	patience := min(mostSuspect, deadline.Sub(x.suspectSince)/2)
	if aim := x.aim(); aim > 0 {
		patience = min(patience, aim/suspectShare)
	}
	return patience
}

// pickLast chooses among the endpoints under suspicion for a request that nobody else takes. What must not repeat runs
// only where most trials went well: elsewhere its caller would mostly learn that it may have run, and nothing more.
func (x *exchange) pickLast(ctx context.Context) (director.Pick, bool, error) {
	if x.lasts++; x.lasts > mostLast {
		return director.Pick{}, true, fault.New(fault.Suspect, x.call.service.Key, "the endpoints fail most of their work")
	}
	wish := x.wish()
	for _, key := range x.declined {
		if !slices.Contains(x.suspects, key) {
			wish.Exclude = append(slices.Clone(wish.Exclude), key)
		}
	}
	pick, err := x.g.director.Pick(ctx, wish)
	return pick, true, err
}
