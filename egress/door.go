package egress

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
)

// tellArrivalsEvery is the least time between two lines that tell what was handed to an endpoint: short beside the window
// of a retry budget, so that the lines of all nodes add up to the fleet's arrivals in any window.
const tellArrivalsEvery = time.Second

// Arrivals counts what was handed to an endpoint.
type Arrivals struct {
	// First counts the first sends of callers' requests and of calls, Further the further ones.
	FirstSends uint64 `json:"first"`
	Retries    uint64 `json:"further"`
	// OfFurther is about how many of the first ones are calls of work that was itself a further send.
	CallsOfRetries float64 `json:"of_further"`
	// Spent counts the further sends that were refused because no retry was left.
	RetriesRefused uint64 `json:"spent"`
}

// since returns what came after an earlier count.
func (a Arrivals) since(b Arrivals) Arrivals {
	return Arrivals{
		FirstSends: a.FirstSends - b.FirstSends, Retries: a.Retries - b.Retries, CallsOfRetries: a.CallsOfRetries - b.CallsOfRetries, RetriesRefused: a.RetriesRefused - b.RetriesRefused,
	}
}

// arrivals counts what was handed to one endpoint, and what of it is not told yet.
type arrivals struct {
	Arrivals
	told   Arrivals
	toldAt time.Time
}

// spend takes a further send of a request from the endpoint's part of the fleet's retries; it returns the refusal when none
// is left.
func (l *local) spend(now time.Time, d *peerpb.Dispatch) *peerpb.End {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.GetRepeat() && !l.retries.Take(now) {
		l.arrivals.RetriesRefused++
		return peer.NotRun(fault.RetryBudget, shortRetryAfter)
	}
	return nil
}

// unspend gives back a retry that did not reach the endpoint.
func (l *local) unspend(d *peerpb.Dispatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.GetRepeat() {
		l.retries.Refund()
	}
}

// arrived counts a request that is handed to the endpoint. Only now has a first send earned its share: one that is
// refused at the hand-over goes on to another endpoint and would earn it there once more.
func (l *local) arrived(now time.Time, d *peerpb.Dispatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.GetRepeat() {
		l.arrivals.Retries++
		return
	}
	l.retries.CountRequest(now, l.share)
	// A call that may be of further work is never refused for it.
	l.retries.Charge(now, d.GetOfRepeat())
	l.arrivals.FirstSends++
	l.arrivals.CallsOfRetries += d.GetOfRepeat()
}

// handed returns what was handed to the endpoint since the node started.
func (l *local) handed() Arrivals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals.Arrivals
}

// tellArrivals logs what was handed to the endpoint since the last such line, if further sends are among it, and what is
// left of its retries.
func (l *local) tellArrivals(now time.Time, log *zerolog.Logger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.arrivals.since(l.arrivals.told)
	if now.Sub(l.arrivals.toldAt) < tellArrivalsEvery || a.Retries+a.RetriesRefused == 0 && a.CallsOfRetries == 0 {
		return
	}
	events.RetryCounts.Log(log).Str("endpoint", l.key).Str("service", l.service).
		Uint64("first", a.FirstSends).Uint64("further", a.Retries).Float64("of_further", a.CallsOfRetries).Uint64("spent", a.RetriesRefused).
		Float64("left", l.retries.Remaining(now)).Float64("part", l.part).Dur("for", now.Sub(l.arrivals.toldAt)).Send()
	l.arrivals.told, l.arrivals.toldAt = l.arrivals.Arrivals, now
}
