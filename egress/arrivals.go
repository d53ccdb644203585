package egress

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
)

// arrivalsLogInterval is the minimum time between two log events about the requests dispatched to an endpoint. It is
// short compared with the window of a retry budget, so that the events of all nodes add up to the fleet's arrivals in
// any window.
const arrivalsLogInterval = time.Second

// Arrivals counts the requests dispatched to an endpoint. In the JSON, a retry is a "further" send, and one that was
// refused is "spent".
type Arrivals struct {
	// FirstSends counts the first sends of callers' requests and of endpoints' calls, Retries the retries and hedges.
	FirstSends uint64 `json:"first"`
	Retries    uint64 `json:"further"`
	// CallsOfRetries estimates how many of the first sends are calls that endpoints made while they handled a retry.
	CallsOfRetries float64 `json:"of_further"`
	// RetriesRefused counts the retries refused because the retry budget was exhausted.
	RetriesRefused uint64 `json:"spent"`
}

// minus returns the increase since an earlier count.
func (a Arrivals) minus(earlier Arrivals) Arrivals {
	return Arrivals{
		FirstSends: a.FirstSends - earlier.FirstSends, Retries: a.Retries - earlier.Retries,
		CallsOfRetries: a.CallsOfRetries - earlier.CallsOfRetries, RetriesRefused: a.RetriesRefused - earlier.RetriesRefused,
	}
}

// arrivals counts the requests dispatched to one endpoint and remembers which counts were logged last.
type arrivals struct {
	Arrivals
	logged   Arrivals
	loggedAt time.Time
}

// takeRetry charges a retry to the endpoint's share of the fleet's retry budget; it returns the refusal if the budget
// is exhausted.
func (l *localEndpoint) takeRetry(now time.Time, d *peerpb.Dispatch) *peerpb.End {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.GetRepeat() && !l.retryBudget.Take(now) {
		l.arrivals.RetriesRefused++
		return peer.NotRun(fault.RetryBudget, shortRetryAfter)
	}
	return nil
}

// returnRetry returns the charge of a retry that did not reach the endpoint.
func (l *localEndpoint) returnRetry(d *peerpb.Dispatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.GetRepeat() {
		l.retryBudget.Refund()
	}
}

// countDispatch counts a request that is dispatched to the endpoint. A first send adds to the retry budget only now:
// one that is refused at the dispatch goes to another endpoint and would add to the budget there once more.
func (l *localEndpoint) countDispatch(now time.Time, d *peerpb.Dispatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.GetRepeat() {
		l.arrivals.Retries++
		return
	}
	l.retryBudget.CountRequest(now, l.retryRatio)
	// A call that an endpoint may have made while it handled a retry is charged, but never refused for it.
	l.retryBudget.Charge(now, d.GetOfRepeat())
	l.arrivals.FirstSends++
	l.arrivals.CallsOfRetries += d.GetOfRepeat()
}

// arrivalCounts returns what was dispatched to the endpoint since the node started.
func (l *localEndpoint) arrivalCounts() Arrivals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals.Arrivals
}

// logArrivals logs what was dispatched to the endpoint since the last such event, if there are retries among it or the
// endpoint sends fields that are not read, and how many retries are left. The event's fields have the names that Arrivals has in the JSON; "part" is the
// endpoint's share of the retry slack.
func (l *localEndpoint) logArrivals(now time.Time, log *zerolog.Logger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.arrivals.minus(l.arrivals.logged)
	ordinary := a.Retries+a.RetriesRefused == 0 && a.CallsOfRetries == 0 && !l.unread.any()
	if now.Sub(l.arrivals.loggedAt) < arrivalsLogInterval || ordinary {
		return
	}
	events.RetryCounts.Log(log).Str("endpoint", l.key).Str("service", l.service).
		Uint64("first", a.FirstSends).Uint64("further", a.Retries).Float64("of_further", a.CallsOfRetries).Uint64("spent", a.RetriesRefused).
		Float64("left", l.retryBudget.Remaining(now)).Float64("part", l.slackShare).Dur("for", now.Sub(l.arrivals.loggedAt)).Send()
	l.arrivals.logged, l.arrivals.loggedAt = l.arrivals.Arrivals, now
}
