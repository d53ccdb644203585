package director

import (
	"math/rand/v2"
	"time"

	"github.com/lynxplank/lynxplank/balance"
	"github.com/lynxplank/lynxplank/eject"
)

const (
	// colocatedMaxLoad is the share of its slots up to which the endpoint on this host is preferred. Only this node's
	// own callers treat it as full from there on: other nodes still use the remaining slots, and this node balances
	// over all endpoints, whose slots are as good.
	colocatedMaxLoad = 0.5
	// colocatedMinSuccess is the lowest recent success rate at which the endpoint on this host is preferred: one
	// failure costs the preference until about seven answers have been good.
	colocatedMinSuccess = 0.95
	// colocatedMaxSlowdown is how much slower than the service's median the endpoint on this host may be.
	colocatedMaxSlowdown = 1.5
	// explorationShare is the share of requests that are balanced over all endpoints regardless of the preference, so
	// that observations of the other endpoints stay recent and a new endpoint gets requests from other nodes.
	explorationShare = 0.125
)

// preferColocated returns the index among the candidates of the endpoint on this host if it is as good as any other,
// else -1. Sending there needs no link and no reservation of a slot by another node, and what this node knows of its
// load is exact.
func (d *Director) preferColocated(v *view, set candidateSet, opts PickOptions) int {
	if opts.ShortestWait || rand.Float64() < explorationShare { //nolint:gosec // load balancing, no secret
		return -1
	}
	for n, i := range set.entryIndexes {
		if e := &v.entries[i]; e.endpoint.Value.Host == d.cfg.Host && d.cfg.Host != "" && v.colocatedIsGood(e, set.candidates[n]) {
			return n
		}
	}
	return -1
}

// colocatedIsGood reports whether the endpoint on this host may be preferred.
func (v *view) colocatedIsGood(e *entry, c balance.Candidate) bool {
	full := float64(e.endpoint.Value.Weight) * float64(e.endpoint.Value.Slots)
	return e.verdict.Phase == eject.Serving && !c.Suspect && c.Weight >= full &&
		float64(c.Outstanding) < colocatedMaxLoad*float64(c.Slots) && c.SuccessRate >= colocatedMinSuccess &&
		(!v.baselines.Known || c.Latency <= time.Duration(colocatedMaxSlowdown*float64(v.baselines.Median)))
}
