package egress

import (
	"time"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// takes tells whether the endpoint may take a request of this kind at all just now.
func (l *local) takes(now time.Time, d *peerpb.Dispatch) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.breaker.WouldAllow(now, d.GetCanary()) || l.lastResort(d)
}

// lastResort tells whether the endpoint takes a request that has no other one, although it is under suspicion; the lock
// is held.
func (l *local) lastResort(d *peerpb.Dispatch) bool {
	return d.GetLastResort() && (!d.GetLikelyOnly() || l.breaker.LikelyToSucceed())
}

// allow is the same as takes at the moment of the hand-over; a trial must end with untry or release.
func (l *local) allow(now time.Time, d *peerpb.Dispatch) (ok, trial bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, trial = l.breaker.Allow(now, d.GetCanary())
	return ok || l.lastResort(d), trial
}

// untry ends a trial that was not handed over.
func (l *local) untry(trial bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaker.CancelTrial(trial)
}

// pauseLeft is when a request that was not taken may come back.
func (l *local) pauseLeft(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.breaker.RemainingOutage(now), shortRetryAfter)
}

// breakerState returns what the endpoint takes just now.
func (l *local) breakerState() breaker.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.breaker.State()
}

// stateChange returns the breaker's state as it was when last asked for here, and as it is now.
func (l *local) stateChange() (from, to breaker.State, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from, to = l.shown, l.breaker.State()
	l.shown = to
	return from, to, from != to
}
