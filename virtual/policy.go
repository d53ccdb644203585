package virtual

import (
	"math/rand/v2"
	"time"

	"github.com/lynxplank/lynxplank/balance"
	"github.com/lynxplank/lynxplank/eject"
)

// Policy chooses endpoints and learns from the results of requests.
type Policy interface {
	// Pick returns an endpoint that has not been tried, or -1 for none; trial is set for a request to an endpoint that
	// is out of service.
	Pick(now time.Time, tried []int, repeatable bool) (endpoint int, trial bool)
	// OverdueAfter returns the service time after which a request counts as overdue, 0 for never.
	OverdueAfter() time.Duration
	// ObserveOverdue reports a request that has not ended after OverdueAfter.
	ObserveOverdue(now time.Time, endpoint int)
	// Done reports the end of a request. received is false if the endpoint refused the request or its answer was lost,
	// so that the result says nothing about the work; wasOverdue is set if ObserveOverdue was called for it.
	Done(now time.Time, endpoint int, trial, received, failed, wasOverdue bool, serviceTime time.Duration)
	// Tick advances the policy's time.
	Tick(now time.Time)
	// SetUsable reports that the link to an endpoint was found to be cut, or to work again.
	SetUsable(now time.Time, endpoint int, usable bool)
	// OutOfService reports whether an endpoint gets no ordinary requests.
	OutOfService(endpoint int) bool
}

// Service describes a simulated service.
type Service struct {
	// Name is the service's name in the brief.
	Name string
	// Endpoints is the number of endpoints, and Slots the number of slots of each.
	Endpoints, Slots int
	// FalseEjections is how many false ejections per endpoint and day the operator accepts.
	FalseEjections float64
}

// Services are the services of the brief, with the numbers that their operators would set: the first two accept few
// false ejections, the others prefer fast detection.
var Services = []Service{
	{"docket-desk", 15, 4, 0.001},
	{"filing-hub", 6, 4, 0.001},
	{"booking-desk", 23, 3, 1},
	{"dispatch-core", 8, 3, 1},
}

// NewPolicy creates a policy for a service.
type NewPolicy func(s Service, r *rand.Rand) Policy

// roundRobin uses the endpoints in turn and ejects none.
type roundRobin struct {
	n, next int
}

// NewRoundRobin returns the round-robin policy, the first of the policies that the product is compared with.
func NewRoundRobin(s Service, _ *rand.Rand) Policy { return &roundRobin{n: s.Endpoints} }

func (p *roundRobin) Pick(_ time.Time, tried []int, _ bool) (int, bool) {
	for range p.n {
		p.next = (p.next + 1) % p.n
		if !contains(tried, p.next) {
			return p.next, false
		}
	}
	return -1, false
}

func contains(list []int, x int) bool {
	for _, v := range list {
		if v == x {
			return true
		}
	}
	return false
}

func (p *roundRobin) OverdueAfter() time.Duration                                { return 0 }
func (p *roundRobin) ObserveOverdue(time.Time, int)                              {}
func (p *roundRobin) Done(time.Time, int, bool, bool, bool, bool, time.Duration) {}
func (p *roundRobin) Tick(time.Time)                                             {}
func (p *roundRobin) SetUsable(time.Time, int, bool)                             {}
func (p *roundRobin) OutOfService(int) bool                                      { return false }

// The conventional rule ejects an endpoint for 30 s after five consecutive failures, or if its success rate is more
// than a fixed number of standard deviations below the mean, and never ejects more than half of the endpoints.
const (
	conventionalFailures     = 5
	conventionalEjectionTime = 30 * time.Second
	conventionalInterval     = 10 * time.Second
	conventionalMinRequests  = 100
	conventionalStddevFactor = 1.9
)

// conventional combines round robin with the conventional ejection rule.
type conventional struct {
	roundRobin
	limit               int
	bySuccessRate       bool
	consecutiveFailures []int
	ejectedUntil        []time.Time
	succeeded, total    []float64
	evaluatedAt         time.Time
	now                 time.Time
}

// NewConventional returns the second policy that the product is compared with: round robin with the conventional
// ejection rule.
func NewConventional(s Service, _ *rand.Rand) Policy {
	return newConventional(s, conventionalFailures, true)
}

// NewConsecutiveFailures returns the conventional rule with another limit of consecutive failures and without the
// success rate.
func NewConsecutiveFailures(limit int) NewPolicy {
	return func(s Service, _ *rand.Rand) Policy { return newConventional(s, limit, false) }
}

func newConventional(s Service, limit int, bySuccessRate bool) Policy {
	n := s.Endpoints
	return &conventional{
		limit: limit, bySuccessRate: bySuccessRate,
		roundRobin: roundRobin{n: n}, consecutiveFailures: make([]int, n), ejectedUntil: make([]time.Time, n),
		succeeded: make([]float64, n), total: make([]float64, n),
	}
}

func (p *conventional) Pick(now time.Time, tried []int, repeatable bool) (int, bool) {
	for range p.n {
		i, _ := p.roundRobin.Pick(now, tried, repeatable)
		if i >= 0 && !now.Before(p.ejectedUntil[i]) {
			return i, false
		}
	}
	return p.roundRobin.Pick(now, tried, repeatable)
}

func (p *conventional) Done(now time.Time, i int, _, received, failed, _ bool, _ time.Duration) {
	if !received {
		return
	}
	p.total[i]++
	if !failed {
		p.succeeded[i]++
		p.consecutiveFailures[i] = 0
		return
	}
	if p.consecutiveFailures[i]++; p.consecutiveFailures[i] >= p.limit {
		p.eject(now, i)
	}
}

func (p *conventional) eject(now time.Time, i int) {
	ejected := 0
	for _, u := range p.ejectedUntil {
		if now.Before(u) {
			ejected++
		}
	}
	if ejected < p.n/2 {
		p.ejectedUntil[i] = now.Add(conventionalEjectionTime)
	}
	p.consecutiveFailures[i] = 0
}

func (p *conventional) Tick(now time.Time) {
	p.now = now
	if !p.bySuccessRate || now.Sub(p.evaluatedAt) < conventionalInterval {
		return
	}
	p.evaluatedAt = now
	mean, stddev := meanAndStddev(p.succeeded, p.total)
	for i := range p.total {
		if p.total[i] >= conventionalMinRequests && p.succeeded[i]/p.total[i] < mean-conventionalStddevFactor*stddev {
			p.eject(now, i)
		}
	}
	clear(p.succeeded)
	clear(p.total)
}

func (p *conventional) OutOfService(i int) bool { return p.now.Before(p.ejectedUntil[i]) }

// lynxplank is the product's own load balancing and ejection, combined as in the director.
type lynxplank struct {
	service       Service
	random        *rand.Rand
	detector      *eject.Detector
	endpoints     []eject.Endpoint
	inFlight      []int
	latency       []float64
	success       []float64
	trialInFlight []bool
	keys          []string
}

// NewLynxplank returns the product's policy with a floor of one half.
func NewLynxplank(s Service, r *rand.Rand) Policy {
	p := &lynxplank{
		service: s, random: r,
		detector: eject.NewDetector(eject.DefaultConfig().With(s.FalseEjections, 0.5)),
		inFlight: make([]int, s.Endpoints), latency: make([]float64, s.Endpoints),
		success: make([]float64, s.Endpoints), trialInFlight: make([]bool, s.Endpoints),
	}
	for i := range s.Endpoints {
		key := string(rune('A' + i))
		p.keys = append(p.keys, key)
		p.success[i] = 1
		p.endpoints = append(p.endpoints, eject.Endpoint{Key: key, Capacity: float64(s.Slots), Usable: true})
	}
	p.detector.SetEndpoints(time.Unix(0, 0), p.endpoints)
	return p
}

func (p *lynxplank) Pick(_ time.Time, tried []int, repeatable bool) (int, bool) {
	candidates := make([]balance.Candidate, 0, len(p.keys))
	indexes := make([]int, 0, len(p.keys))
	for i, key := range p.keys {
		if contains(tried, i) || !p.endpoints[i].Usable {
			continue
		}
		v := p.detector.Verdict(key)
		switch v.Phase {
		case eject.Ejected:
			continue
		case eject.Trickle:
			if repeatable && len(tried) == 0 && !p.trialInFlight[i] {
				p.trialInFlight[i] = true
				p.inFlight[i]++
				return i, true
			}
			continue
		case eject.Serving, eject.LastChoice, eject.Ramp:
		}
		candidates = append(candidates, balance.Candidate{
			Weight: float64(p.service.Slots) * v.Share, Slots: p.service.Slots, Outstanding: p.inFlight[i],
			Latency: time.Duration(p.latency[i]), SuccessRate: p.success[i], LastChoice: v.Phase == eject.LastChoice, Suspect: v.Suspect,
		})
		indexes = append(indexes, i)
	}
	c := balance.Choose(candidates, p.random)
	if c < 0 {
		return -1, false
	}
	p.inFlight[indexes[c]]++
	return indexes[c], false
}

func (p *lynxplank) OverdueAfter() time.Duration {
	if m := p.detector.Baselines(); m.Known {
		return m.Late
	}
	return 0
}

func (p *lynxplank) ObserveOverdue(now time.Time, i int) {
	p.detector.Observe(now, p.keys[i], eject.Observation{Kind: eject.Overdue, Latency: p.OverdueAfter() + time.Microsecond})
}

func (p *lynxplank) Done(now time.Time, i int, trial, received, failed, wasOverdue bool, serviceTime time.Duration) {
	p.inFlight[i]--
	if trial {
		p.trialInFlight[i] = false
	}
	if !received {
		return
	}
	const ewmaWeight = 0.1
	success := 1.0
	o := eject.Observation{Kind: eject.Success, Latency: serviceTime, WasOverdue: wasOverdue}
	if failed {
		success = 0
		o.Kind = eject.Failure
	} else if p.latency[i] == 0 {
		p.latency[i] = float64(serviceTime)
	} else {
		p.latency[i] += (float64(serviceTime) - p.latency[i]) * ewmaWeight
	}
	p.success[i] += (success - p.success[i]) * ewmaWeight
	p.detector.Observe(now, p.keys[i], o)
}

func (p *lynxplank) Tick(now time.Time) { p.detector.Tick(now) }

func (p *lynxplank) SetUsable(now time.Time, i int, usable bool) {
	p.endpoints[i].Usable = usable
	p.detector.SetEndpoints(now, p.endpoints)
}

func (p *lynxplank) OutOfService(i int) bool {
	phase := p.detector.Verdict(p.keys[i]).Phase
	return phase == eject.Ejected || phase == eject.Trickle || !p.endpoints[i].Usable
}
