package soak

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/demo"
)

// StateRate has an endpoint state how many requests a second it takes.
const StateRate Kind = "state-rate"

const (
	// ratesSeed keeps the draws of rates apart from those of other actions.
	ratesSeed = 1 << 40
	// shortestRate and longestRate bound how long an endpoint states a rate: it binds after demo.RateBindsAfter.
	shortestRate, longestRate = 5 * time.Second, 10 * time.Second
)

// PlanRates draws n times in which endpoints state rates.
func PlanRates(seed uint64, members, n int, length time.Duration) []Action {
	r := rand.New(rand.NewPCG(seed, ratesSeed+uint64(members))) //nolint:gosec // seeded on purpose
	plan := make([]Action, 0, n)
	for range n {
		a := draw(r, members, length)
		a.Kind, a.For = StateRate, shortestRate+time.Duration(r.Int64N(int64(longestRate-shortestRate)))
		a.Rate = []float64{0, 0.5, 1, 1.9, 4, 10}[r.IntN(6)]
		plan = append(plan, a)
	}
	return plan
}

// stateRate has an endpoint state a rate and looks whether more arrived than that allows.
func (r *run) stateRate(a Action) {
	r.ends[a.On].Lock()
	defer r.ends[a.On].Unlock()
	m, how := r.fleet.Members[a.On], r.behaviour(normal())
	how.MaxRate = strconv.FormatFloat(a.Rate, 'f', -1, 64)
	r.must("endpoint", m.Behave(how))
	stated := time.Now()
	time.Sleep(a.For)
	arrivals, err := m.Arrivals()
	r.must("arrivals", err)
	if got, allowed := demo.MostArrivals(arrivals, stated.Add(demo.RateBindsAfter)), demo.MaxArrivals(a.Rate); got > allowed {
		r.breaks("rate: %s got %d requests in %v, %d allowed at %v a second", m.Key(), got, demo.RateWindow, allowed, a.Rate)
	}
	r.mu.Lock()
	r.report.Rates++
	r.mu.Unlock()
	r.must("endpoint", m.Behave(r.behaviour(normal())))
}
