package ingress

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/throttle"
)

// earlyRefusals throttles the requests of services that reject most of them, and replaces the log lines of early refusals
// by one a second.
type earlyRefusals struct {
	mu        sync.Mutex
	table     *throttle.Table
	throttled *throttle.Lines[throttle.Key]
	// beyondLimit counts the refusals of customers beyond their limit, by customer.
	beyondLimit *throttle.Lines[string]
	// now is the clock and draw the source of uniform draws.
	now  func() time.Time
	draw func() float64
}

func newEarlyRefusals() *earlyRefusals {
	return &earlyRefusals{
		table: throttle.NewTable(), throttled: throttle.NewLines[throttle.Key](), beyondLimit: throttle.NewLines[string](),
		now: monotonicClock(), draw: rand.Float64,
	}
}

// monotonicClock returns a clock that a change of the wall clock does not move: set back, a window would not slide until
// the old time has come again.
func monotonicClock() func() time.Time {
	start := time.Now()
	return func() time.Time { return start.Add(time.Since(start)) }
}

// throttleKey returns what a request is throttled by.
func (c *call) throttleKey() throttle.Key {
	return throttle.Key{Service: c.service.Key, Route: c.route.Key}
}

// throttles reports whether a request is to be throttled.
func (e *earlyRefusals) throttles(now time.Time, k throttle.Key) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Get(k).Throttles(now, e.draw())
}

// count counts a throttled request. It returns after how long to retry and, if a log line is due, the number of
// throttled requests for it to tell, with the state of the throttle.
func (e *earlyRefusals) count(now time.Time, k throttle.Key) (wait time.Duration, lines int, s throttle.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	th := e.table.Get(k)
	wait = th.RecordThrottled(now, e.draw())
	if lines = e.throttled.Add(now, k); lines > 0 {
		s = th.State(now)
	}
	return wait, lines, s
}

// throttle answers a request at once if its service rejects most requests of its route. It returns false if the request
// is to be served.
func (g *Ingress) throttle(w http.ResponseWriter, r *http.Request, c *call) (*peerpb.End, bool) {
	if !g.cfg.EarlyRefusal {
		return nil, false
	}
	now, k := g.early.now(), c.throttleKey()
	if !g.early.throttles(now, k) || g.isNested(c) {
		return nil, false
	}
	wait, n, state := g.early.count(now, k)
	if n > 0 {
		g.logThrottled(k, n, state)
	}
	g.metrics.Service(k.Service).Throttled.Inc(1)
	end := peer.NotRun(fault.Throttled, wait)
	g.refuseEarly(w, r, c.id, end, details[fault.Throttled])
	return end, true
}

// isNested reports whether the endpoint beside this node makes the request while it handles another one. Throttling it
// would lose the work of its parent.
func (g *Ingress) isNested(c *call) bool {
	return g.local.Work(contract.ParentOf(c.id)).ForRequest ||
		g.routeStats.origin(c.route.Key) == fromEndpoint && g.routeTellsNested(c)
}

// routeTellsNested reports whether the route of a call may tell that the endpoint beside this node makes it. An endpoint
// that has not been idle since the node started, as after a restart under load, tells nothing: all routes look as if only
// it used them. It has no customer's key.
func (g *Ingress) routeTellsNested(c *call) bool {
	return !c.hasCustomerKey && g.routeStats.hasSeenIdle()
}

// origin returns the origin of a route's requests.
func (r *routeStats) origin(route string) origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts, _ := r.arrivals.Peek(route)
	return counts.origin()
}

// recordCapacity counts how a request that was not throttled ended, as far as that tells about the service's capacity.
func (g *Ingress) recordCapacity(c *call, end *peerpb.End) {
	if !g.cfg.EarlyRefusal {
		return
	}
	result := capacityResult(end)
	now := g.early.now()
	g.early.mu.Lock()
	defer g.early.mu.Unlock()
	g.early.table.Get(c.throttleKey()).Record(now, result, time.Duration(end.GetRetryAfterMillis())*time.Millisecond)
}

// capacityResult returns what a request's end says of its service's capacity.
func capacityResult(end *peerpb.End) throttle.Result {
	switch end.GetOutcome() {
	case peerpb.Outcome_OUTCOME_RAN:
		if end.GetNestedFailed() {
			return throttle.Lost
		}
		return throttle.Accepted
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		if code := fault.Code(end.GetCode()); lacksCapacity(code) || code == fault.EndpointShed {
			return throttle.Rejected
		}
	case peerpb.Outcome_OUTCOME_UNKNOWN, peerpb.Outcome_OUTCOME_CLAIMED, peerpb.Outcome_OUTCOME_UNSPECIFIED:
	}
	return throttle.Inconclusive
}

// logThrottled logs that n requests were throttled since the last such line.
func (g *Ingress) logThrottled(k throttle.Key, n int, s throttle.State) {
	events.RequestsThrottled.Log(g.log).Str("service", k.Service).Str("route", k.Route).Str("code", string(fault.Throttled)).Int("count", n).
		Float64("share", s.Share).Int("requests", s.Requests).Int("accepted", s.Accepted).Send()
}

// logBeyondLimit logs the refusals of a customer beyond its limit, at most one line a second. The line names the request
// with which it became due.
func (g *Ingress) logBeyondLimit(c *call, wait time.Duration) {
	g.early.mu.Lock()
	n := g.early.beyondLimit.Add(g.early.now(), c.customer)
	g.early.mu.Unlock()
	if n > 0 {
		events.RequestRefused.Log(g.log).Str("request", c.id).Str("code", string(fault.CustomerLimit)).Str("customer", c.customer).
			Dur("retry_after", wait).Int("count", n).Send()
	}
}

// Throttle is what this node has counted of one service and route. Its JSON names are part of the operators' interface.
type Throttle struct {
	// Service and Route are the keys of the service and the route.
	Service string `json:"service"`
	Route   string `json:"route"`
	throttle.State
}

// Throttles returns the throttles of a service, or of all services if service is "", that have counted requests within
// the window.
func (g *Ingress) Throttles(service string) []Throttle {
	now := g.early.now()
	out := []Throttle{}
	g.early.mu.Lock()
	defer g.early.mu.Unlock()
	g.early.table.Each(func(k throttle.Key, th *throttle.Throttle) {
		if service != "" && service != k.Service {
			return
		}
		if s := th.State(now); s.Requests > 0 {
			out = append(out, Throttle{Service: k.Service, Route: k.Route, State: s})
		}
	})
	return out
}

// SampleThrottles updates the metrics of the throttled shares and logs the early refusals whose lines are due.
func (g *Ingress) SampleThrottles() {
	now := g.early.now()
	shares := make(map[string]float64)
	g.early.mu.Lock()
	g.early.table.Each(func(k throttle.Key, th *throttle.Throttle) {
		shares[k.Service] = max(shares[k.Service], th.Share(now))
	})
	g.early.mu.Unlock()
	for service, share := range shares {
		g.metrics.Service(service).ThrottleShare.Update(share)
	}
	g.logDue(now)
}

// logDue logs the early refusals whose lines are due: those that no later request of the same route or customer has
// caused to be logged.
func (g *Ingress) logDue(now time.Time) {
	type due struct {
		key   throttle.Key
		n     int
		state throttle.State
	}
	var throttled []due
	beyondLimit := make(map[string]int)
	g.early.mu.Lock()
	g.early.throttled.Due(now, func(k throttle.Key, n int) {
		throttled = append(throttled, due{k, n, g.early.table.Get(k).State(now)})
	})
	g.early.beyondLimit.Due(now, func(customer string, n int) { beyondLimit[customer] = n })
	g.early.mu.Unlock()
	for _, d := range throttled {
		g.logThrottled(d.key, d.n, d.state)
	}
	for customer, n := range beyondLimit {
		events.RequestRefused.Log(g.log).Str("code", string(fault.CustomerLimit)).Str("customer", customer).Int("count", n).Send()
	}
}
