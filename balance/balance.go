package balance

import (
	"math/rand/v2"
	"time"
)

// Candidate is one endpoint as the chooser sees it at this moment.
type Candidate struct {
	// Key names the endpoint.
	Key string
	// Weight is its configured weight times its slots, scaled by the share it may take.
	Weight float64
	// Slots is how many requests it runs at once.
	Slots int
	// Outstanding is how many requests it is known to hold: the larger of the chooser's own and of the last report.
	Outstanding int
	// Latency is its recent service time, 0 while unknown.
	Latency time.Duration
	// Far is set for an endpoint of another hall, which is chosen only when those of the own hall are full: the way costs
	// time and the links between halls are dear.
	OtherHall bool
	// Distance is the time that the way there and back takes.
	RTT time.Duration
	// SuccessShare is the recent share of good answers, 0 to 1.
	SuccessRate float64
	// Suspect is judged by its load alone: steering work away from it would starve the detector of the evidence that
	// clears it or takes it out.
	Suspect bool
	// LastChoice is used only when every other candidate is full.
	LastChoice bool
}

const (
	// defaultLatency stands for a service time that nobody has seen.
	defaultLatency = 5 * time.Millisecond
	// leastSuccess keeps a few failures from making the cost endless.
	leastSuccess = 0.05
	// samples is how many candidates are drawn.
	samples = 2
)

// Cost returns the expected time to a good answer in seconds: the way, the wait behind what is outstanding, the
// work, all as often as the success share demands.
func Cost(c Candidate) float64 {
	latency := c.Latency
	if latency == 0 {
		latency = defaultLatency
	}
	success := max(c.SuccessRate, leastSuccess)
	slots := float64(max(c.Slots, 1))
	waiting := max(0, float64(c.Outstanding)+1-slots) / slots
	busy := float64(c.Outstanding) / slots
	work := latency.Seconds() * (1 + waiting + busy/2)
	return (work + c.RTT.Seconds()) / success
}

// neutral gives those under suspicion the best latency and success of the others.
func neutral(candidates []Candidate) {
	best := time.Duration(0)
	some := false
	for _, c := range candidates {
		some = some || c.Suspect
		if !c.Suspect && c.Latency > 0 && (best == 0 || c.Latency < best) {
			best = c.Latency
		}
	}
	if !some {
		return
	}
	for i := range candidates {
		if candidates[i].Suspect {
			candidates[i].Latency = best
			candidates[i].SuccessRate = 1
		}
	}
}

// free tells whether a candidate has a slot for one request more.
func free(c Candidate) bool { return c.Outstanding < c.Slots }

// Choose returns the index of a candidate, -1 if there is none. Two are drawn by weight and the cheaper one is
// taken: with views that lag, taking the cheapest of all sends every chooser to the same endpoint.
func Choose(candidates []Candidate, r *rand.Rand) int {
	neutral(candidates)
	steps := [...]func(Candidate) bool{
		func(c Candidate) bool { return !c.OtherHall && !c.LastChoice && free(c) },
		func(c Candidate) bool { return !c.LastChoice && free(c) },
		func(c Candidate) bool { return c.LastChoice && free(c) },
		func(Candidate) bool { return true },
	}
	for _, fits := range steps {
		if i := choose(candidates, r, fits); i >= 0 {
			return i
		}
	}
	return -1
}

// Least returns the index of the candidate with the least work outstanding for its slots and speed, -1 if there is none;
// among equals one is drawn. It is for a request that will wait there anyway.
func LowestCost(candidates []Candidate, r *rand.Rand) int {
	neutral(candidates)
	best, least, ties := -1, 0.0, 0
	for i, c := range candidates {
		if c.Weight <= 0 {
			continue
		}
		cost := Cost(c)
		switch {
		case best < 0 || cost < least:
			best, least, ties = i, cost, 1
		case cost == least:
			ties++
			if r.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func choose(candidates []Candidate, r *rand.Rand, fits func(Candidate) bool) int {
	total := 0.0
	for _, c := range candidates {
		if fits(c) {
			total += c.Weight
		}
	}
	if total <= 0 {
		return -1
	}
	best := -1
	for range samples {
		i := draw(candidates, fits, r.Float64()*total)
		if best < 0 || i >= 0 && Cost(candidates[i]) < Cost(candidates[best]) {
			best = i
		}
	}
	return best
}

func draw(candidates []Candidate, fits func(Candidate) bool, at float64) int {
	last := -1
	for i, c := range candidates {
		if !fits(c) || c.Weight <= 0 {
			continue
		}
		last = i
		at -= c.Weight
		if at < 0 {
			return i
		}
	}
	return last
}
