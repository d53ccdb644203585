package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/director"
)

// maxSuspectOffers bounds the suspects with room that one request asks before it waits in a queue: their reports may be
// a second old, and other nodes use the same room.
const maxSuspectOffers = 3

// pickSuspectWithRoom chooses a suspect that has room for a request that found no free slot, if the request could not
// wait in a queue and be answered within its latency target.
func (x *exchange) pickSuspectWithRoom(ctx context.Context) (director.Pick, bool) {
	if !x.g.cfg.SuspectRoom || x.suspectOffers >= maxSuspectOffers {
		return director.Pick{}, false
	}
	opts := director.SuspectOptions{PickOptions: x.pickOptions(), Declined: x.declined, TimeLeft: x.latencyTargetLeft()}
	opts.Exclude = slices.Concat(x.tried, x.limited)
	if deadline, ok := ctx.Deadline(); ok && opts.TimeLeft == 0 {
		opts.TimeLeft = time.Until(deadline)
	}
	pick, ok := x.g.director.PickSuspect(ctx, opts)
	if ok {
		x.suspectOffers++
	}
	return pick, ok
}

// hasSuspects reports whether there are endpoints that a request which met a full queue could be sent to as a last
// resort. With the setting on, a suspect whose slots are all taken is not worth an offer: its queue is as full.
func (x *exchange) hasSuspects(ctx context.Context) bool {
	if x.g.cfg.SuspectRoom {
		return x.g.director.MayHaveFreeSuspect(ctx, x.pickOptions(), x.suspects)
	}
	return len(x.suspects) > 0
}
