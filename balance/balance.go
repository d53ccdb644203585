package balance

import (
	"math/rand/v2"
	"time"
)

// Candidate describes an endpoint to the load balancer at the moment of the choice.
type Candidate struct {
	// Key names the endpoint.
	Key string
	// Weight is the endpoint's configured weight times its slots, scaled by the share that it may take.
	Weight float64
	// Slots is how many requests the endpoint runs at once.
	Slots int
	// Outstanding is how many requests the endpoint is known to hold: the larger of this node's own and the last
	// report.
	Outstanding int
	// Latency is the endpoint's recent service time, 0 while unknown.
	Latency time.Duration
	// OtherHall is set for an endpoint of another hall. It is chosen only when the endpoints of the own hall are full,
	// because the round trip costs time and the links between halls are expensive.
	OtherHall bool
	// RTT is the round-trip time to the endpoint.
	RTT time.Duration
	// RateWait is how long the rate that the endpoint states would keep a request from it.
	RateWait time.Duration
	// SuccessRate is the recent share of good answers, 0 to 1.
	SuccessRate float64
	// Suspect candidates are compared by their load alone: steering requests away from one would starve the detector of
	// the observations that clear or eject it.
	Suspect bool
	// LastChoice candidates are chosen only when all others are full.
	LastChoice bool
}

const (
	// defaultLatency is assumed while the service time is unknown.
	defaultLatency = 5 * time.Millisecond
	// minSuccessRate bounds the cost of a candidate that has failed a few times.
	minSuccessRate = 0.05
	// samples is how many candidates are drawn.
	samples = 2
)

// Cost returns the expected time to a good answer in seconds: the round trip, the waits for outstanding requests and for
// the endpoint's stated rate, and the service time, divided by the success rate to allow for retries.
func Cost(c Candidate) float64 {
	latency := c.Latency
	if latency == 0 {
		latency = defaultLatency
	}
	success := max(c.SuccessRate, minSuccessRate)
	slots := float64(max(c.Slots, 1))
	waiting := max(0, float64(c.Outstanding)+1-slots) / slots
	busy := float64(c.Outstanding) / slots
	work := latency.Seconds() * (1 + waiting + busy/2)
	return (work + c.RTT.Seconds() + c.RateWait.Seconds()) / success
}

// neutralizeSuspects gives suspect candidates the best latency of the others and a success rate of 1.
func neutralizeSuspects(candidates []Candidate) {
	best := time.Duration(0)
	anySuspect := false
	for _, c := range candidates {
		anySuspect = anySuspect || c.Suspect
		if !c.Suspect && c.Latency > 0 && (best == 0 || c.Latency < best) {
			best = c.Latency
		}
	}
	if !anySuspect {
		return
	}
	for i := range candidates {
		if candidates[i].Suspect {
			candidates[i].Latency = best
			candidates[i].SuccessRate = 1
		}
	}
}

// hasFreeSlot reports whether a candidate has a slot for another request.
func hasFreeSlot(c Candidate) bool { return c.Outstanding < c.Slots }

// Choose returns the index of a candidate, or -1 if there is none. It draws two candidates by weight and takes the one
// of lower cost. Taking the lowest cost of all would send the requests of all nodes to the same endpoint, because their
// views of the load lag behind.
func Choose(candidates []Candidate, r *rand.Rand) int {
	neutralizeSuspects(candidates)
	tiers := [...]func(Candidate) bool{
		func(c Candidate) bool { return !c.OtherHall && !c.LastChoice && hasFreeSlot(c) },
		func(c Candidate) bool { return !c.LastChoice && hasFreeSlot(c) },
		func(c Candidate) bool { return c.LastChoice && hasFreeSlot(c) },
		func(Candidate) bool { return true },
	}
	for _, eligible := range tiers {
		if i := choose(candidates, r, eligible); i >= 0 {
			return i
		}
	}
	return -1
}

// LowestCost returns the index of the candidate with the lowest Cost, or -1 if there is none; ties are broken at
// random. It is meant for a request that will have to wait at the endpoint anyway.
func LowestCost(candidates []Candidate, r *rand.Rand) int {
	neutralizeSuspects(candidates)
	best, lowest, ties := -1, 0.0, 0
	for i, c := range candidates {
		if c.Weight <= 0 {
			continue
		}
		cost := Cost(c)
		switch {
		case best < 0 || cost < lowest:
			best, lowest, ties = i, cost, 1
		case cost == lowest:
			ties++
			if r.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// choose draws candidates by weight among the eligible ones and returns the index of the cheapest drawn, or -1.
func choose(candidates []Candidate, r *rand.Rand, eligible func(Candidate) bool) int {
	total := 0.0
	for _, c := range candidates {
		if eligible(c) {
			total += c.Weight
		}
	}
	if total <= 0 {
		return -1
	}
	best := -1
	for range samples {
		i := draw(candidates, eligible, r.Float64()*total)
		if best < 0 || i >= 0 && Cost(candidates[i]) < Cost(candidates[best]) {
			best = i
		}
	}
	return best
}

// draw returns the index of the eligible candidate at a position in the sum of the weights, or -1 if there is none.
func draw(candidates []Candidate, eligible func(Candidate) bool, position float64) int {
	last := -1
	for i, c := range candidates {
		if !eligible(c) || c.Weight <= 0 {
			continue
		}
		last = i
		position -= c.Weight
		if position < 0 {
			return i
		}
	}
	return last
}
