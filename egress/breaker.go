package egress

import (
	"time"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// mayTake reports whether the breaker lets the request through now, as an ordinary request, a trial or a last resort.
func (l *localEndpoint) mayTake(now time.Time, d *peerpb.Dispatch) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.breaker.WouldAllow(now, d.GetCanary()) || l.takesLastResort(d)
}

// takesLastResort reports whether the endpoint accepts a request that no other endpoint takes, although its breaker
// is open; a request with LikelyOnly is accepted only if it is likely to succeed. The lock must be held.
func (l *localEndpoint) takesLastResort(d *peerpb.Dispatch) bool {
	return d.GetLastResort() && (!d.GetLikelyOnly() || l.breaker.LikelyToSucceed())
}

// allowDispatch is mayTake at the moment of the dispatch. A trial that it starts must end with releaseTrial or
// finishRun.
func (l *localEndpoint) allowDispatch(now time.Time, d *peerpb.Dispatch) (ok bool, trial breaker.TrialID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, trial = l.breaker.Allow(now, l.breakerRequest(d))
	return ok || l.takesLastResort(d), trial
}

// releaseTrial ends a trial that was not dispatched; it does nothing for a request that is no trial.
func (l *localEndpoint) releaseTrial(trial breaker.TrialID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaker.CancelTrial(trial)
}

// breakerRetryAfter returns how long a refused request should wait before it is sent again.
func (l *localEndpoint) breakerRetryAfter(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.breaker.RemainingOutage(now), shortRetryAfter)
}

// breakerState returns the breaker's current state.
func (l *localEndpoint) breakerState() breaker.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.breaker.State()
}

// breakerChange returns the breaker's state at the previous call and its current one.
func (l *localEndpoint) breakerChange() (from, to breaker.State, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from, to = l.loggedState, l.breaker.State()
	l.loggedState = to
	return from, to, from != to
}
