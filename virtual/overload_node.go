package virtual

import (
	"time"

	"github.com/lynxplank/lynxplank/balance"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/latency"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/throttle"
)

// The values of director/target.go and ingress/routes.go.
const (
	reportFreshTTL       = 100 * time.Millisecond
	reportTTL            = 500 * time.Millisecond
	refusedTTL           = 20 * time.Millisecond
	trialOnlyTTL         = 400 * time.Millisecond
	averageWeight        = 0.1
	median               = 0.5
	latencyTargetDivisor = 3
)

// endpointSet is a set of endpoints of one service by index.
type endpointSet uint64

func (s endpointSet) with(i int) endpointSet { return s | 1<<i }

func (s endpointSet) has(i int) bool { return s&(1<<i) != 0 }

// node is the ingress of one node, with its own view of all endpoints.
type node struct {
	*fleet
	views    [2][]view
	times    *latency.Models
	refusals [2]retry.Refusals
	// throttles are used with part 5.
	throttles *throttle.Table
}

// view is what a node knows of an endpoint. suspectAt is when it last reported that it takes only trials, zero if it
// has reported otherwise since.
type view struct {
	inFlight, held                   int
	reportedAt, refusedAt, suspectAt time.Time
	// chance and room are what the endpoint reported at suspectAt.
	chance  float64
	room    int
	latency time.Duration
	success float64
}

func newNode(f *fleet) *node {
	n := &node{fleet: f, times: latency.NewModels(), throttles: throttle.NewTable()}
	for service, servers := range f.servers {
		for range servers {
			n.views[service] = append(n.views[service], view{success: 1})
		}
	}
	return n
}

// usualTime is the median time of the work of a class, as far as this node knows.
func (n *node) usualTime(c *class) time.Duration {
	return n.times.For(c.name, c.target/latencyTargetDivisor).Quantile(median)
}

// pickOptions restricts the choice of an endpoint to one that seems to have a free slot, or to the one with the shortest
// wait; lastResort leaves in suspects without room.
type pickOptions struct {
	exclude                        endpointSet
	needFree, shortest, lastResort bool
}

// pick chooses an endpoint of the request's service, nil if there is none.
func (n *node) pick(x *exchange, o pickOptions) *server {
	var indexes [64]int
	candidates := make([]balance.Candidate, 0, len(n.views[x.service]))
	for i := range n.views[x.service] {
		v := &n.views[x.service][i]
		c := v.candidate(n.now)
		if o.exclude.has(i) || o.needFree && (c.Outstanding >= c.Slots || v.refusing(n.now, x)) {
			continue
		}
		if n.Parts.SuspectRoom && !o.lastResort && v.asSuspect(n.now).Full() {
			continue
		}
		indexes[len(candidates)] = i
		candidates = append(candidates, c)
	}
	choose := balance.Choose
	if o.shortest {
		choose = balance.LowestCost
	}
	if i := choose(candidates, n.random); i >= 0 {
		return n.servers[x.service][indexes[i]]
	}
	return nil
}

// refusing reports whether the endpoint has just reported that it would refuse such a request.
func (v *view) refusing(now time.Time, x *exchange) bool {
	return now.Sub(v.refusedAt) < refusedTTL || !x.canary() && now.Sub(v.suspectAt) < trialOnlyTTL
}

// candidate describes the endpoint to the load balancer.
func (v *view) candidate(now time.Time) balance.Candidate {
	return balance.Candidate{
		Weight: slotsPerEndpoint, Slots: slotsPerEndpoint, Outstanding: v.outstanding(now), Latency: v.latency, SuccessRate: v.success,
	}
}

// outstanding estimates how many requests the endpoint holds, as director/target.go does.
func (v *view) outstanding(now time.Time) int {
	age := now.Sub(v.reportedAt)
	if age >= reportTTL {
		return v.inFlight
	}
	weight := 1 - max(0, float64(age-reportFreshTTL))/float64(reportTTL-reportFreshTTL)
	return max(v.inFlight, int(float64(v.held)*weight))
}

// learn records what the end of an attempt showed of its endpoint.
func (n *node) learn(a *attempt, e end) {
	v := &n.views[a.x.service][a.s.index]
	v.inFlight--
	v.held, v.reportedAt, v.suspectAt, v.chance, v.room = e.held, n.now, time.Time{}, e.chance, e.room
	if e.suspect {
		v.suspectAt = n.now
	}
	if e.code == fault.Busy || e.code == fault.Suspect {
		v.refusedAt = n.now
	}
	ran := e.outcome == peerpb.Outcome_OUTCOME_RAN
	if ran && !e.failed {
		n.times.Observe(a.x.class.name, e.service)
	}
	if e.suspect || !ran && e.code != fault.DeadlineExceeded && e.code != fault.EndpointHung {
		return
	}
	success := 0.0
	if !e.failed {
		success = 1
		if v.latency == 0 {
			v.latency = e.service
		}
		v.latency += time.Duration(averageWeight * float64(e.service-v.latency))
	}
	v.success += averageWeight * (success - v.success)
}
