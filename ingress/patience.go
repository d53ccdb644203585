package ingress

import (
	"context"
	"time"
)

const (
	// patientShare is the most of the time to spare before its aim that a request waits for a slot in its own hall: so long that
	// a slot mostly comes free there, and other halls' slots are not left idle meanwhile. With 0.8 of it 72 in 100 of the worth of
	// callers' requests came on a day with halls under unlike load, with a quarter 76; where bytes between halls are dear, as much
	// is served either way, and the bytes are the same (docs/DECISIONS.md).
	patientShare = 0.25
	// patientSize is the size, request and answer together, in bytes, at which a request waits half of that: below it, the
	// way to another hall costs little more than the asking for a slot there, about 400 bytes each time.
	patientSize = 1000
	// usualShare is the share of ordinary work that the time kept for the work itself suffices for.
	usualShare = 0.8
	// hallPause is the wait between two rounds over the hall's endpoints: a busy hall frees a slot about as often.
	hallPause = 20 * time.Millisecond
)

// waitForHall waits a moment for a slot in the own hall, and tells whether the hall is to be asked again.
func (x *exchange) waitForHall(ctx context.Context) bool {
	if x.hallUntil.IsZero() {
		x.hallUntil = time.Now().Add(x.g.routes.patience(x.call.route.Key, x.aimLeft()))
	}
	if !time.Now().Add(hallPause).Before(x.hallUntil) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(hallPause):
	}
	return true
}
