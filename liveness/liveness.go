package liveness

import (
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

// State is the judgment of a connection.
type State uint8

// The states of a connection, best first.
const (
	// Fresh means that no answer is overdue.
	Fresh State = iota
	// Suspect means that an answer is overdue: the connection gets no new work.
	Suspect
	// Replace means that the connection has been suspect for long enough that a new one is opened beside it.
	Replace
	// Dead means that an answer is so long overdue that the connection is closed.
	Dead
)

// Bounds are the times after which a connection changes its state.
type Bounds struct {
	// Answer is how long an answer may take before the connection is suspect.
	Answer time.Duration
	// Race is how long a connection is suspect before a new one is opened beside it: a peer that is only slow answers
	// within a few round trips more.
	Race time.Duration
	// Retry is the time from one such opening to the next; it doubles up to MaxRetry. A frozen peer accepts connections and
	// answers on none, and a peer that is cut off must not be dialed in a storm.
	Retry, MaxRetry time.Duration
	// Close is how long an answer may take before the connection is closed.
	Close time.Duration
}

// Validate returns a BadSetting error that names the first bound that is not positive or contradicts another.
func (b Bounds) Validate() error {
	for _, bound := range []struct {
		name  string
		value time.Duration
	}{{"answer", b.Answer}, {"race", b.Race}, {"retry", b.Retry}, {"max_retry", b.MaxRetry}, {"close", b.Close}} {
		if bound.value <= 0 {
			return fault.New(fault.BadSetting, "liveness."+bound.name, "want a positive time, got "+bound.value.String())
		}
	}
	switch {
	case b.MaxRetry < b.Retry:
		return fault.New(fault.BadSetting, "liveness.max_retry", "want at least retry")
	case b.Close <= b.Answer:
		return fault.New(fault.BadSetting, "liveness.close", "want more than answer")
	}
	return nil
}

// Path is what is known of one connection; the zero value is fresh. It is immutable.
type Path struct {
	// suspectAt is since when the connection is suspect, zero if it is not.
	suspectAt time.Time
	// replaceAt is when a new connection is opened next, retry the time from then to the following opening.
	replaceAt time.Time
	retry     time.Duration
}

// WithSuspicion returns the path from the first sign, at the given time, that the connection does not carry anything. jitter,
// from 0 to 1, spreads the openings of nodes that notice the same failure at the same time.
func (p Path) WithSuspicion(b Bounds, at time.Time, jitter float64) Path {
	if !p.suspectAt.IsZero() {
		return p
	}
	return Path{suspectAt: at, replaceAt: at.Add(spread(b.Race, jitter)), retry: b.Retry}
}

// WithOpening returns the path after a new connection was opened beside it at the given time.
func (p Path) WithOpening(b Bounds, at time.Time, jitter float64) Path {
	p.replaceAt, p.retry = at.Add(spread(p.retry, jitter)), min(2*p.retry, b.MaxRetry)
	return p
}

// WithPostponement returns the path after no new connection could be opened at the given time; the next attempt follows after wait.
func (p Path) WithPostponement(at time.Time, wait time.Duration, jitter float64) Path {
	p.replaceAt = at.Add(spread(wait, jitter))
	return p
}

// spread returns a duration from d to one and a half times d.
func spread(d time.Duration, jitter float64) time.Duration {
	return d + time.Duration(jitter*float64(d)/2)
}

// WithAnswer returns the path after an answer has arrived.
func (Path) WithAnswer() Path { return Path{} }

// State returns the state at a time; asked is when the oldest unanswered question was sent, zero for none.
func (p Path) State(b Bounds, asked, now time.Time) State {
	waiting := time.Duration(0)
	if !asked.IsZero() {
		waiting = now.Sub(asked)
	}
	switch {
	case waiting > b.Close:
		return Dead
	case p.suspectAt.IsZero() && waiting <= b.Answer:
		return Fresh
	case p.suspectAt.IsZero() || now.Before(p.replaceAt):
		return Suspect
	}
	return Replace
}

// Next returns the earliest time after which the state may be another without a further event, zero for none.
func (p Path) Next(b Bounds, asked time.Time) time.Time {
	switch {
	case !p.suspectAt.IsZero():
		return p.replaceAt
	case !asked.IsZero():
		return asked.Add(b.Answer)
	}
	return time.Time{}
}
