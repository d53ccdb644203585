package virtual

import (
	"math/rand/v2"
	"time"

	"github.com/lynxplank/lynxplank/balance"
	"github.com/lynxplank/lynxplank/eject"
)

// Policy chooses endpoints and learns from what they do.
type Policy interface {
	// Pick returns an endpoint that is not among the tried ones, -1 for none; trial marks work for an endpoint that
	// is out of service.
	Pick(now time.Time, tried []int, repeatable bool) (endpoint int, trial bool)
	// Late is when work counts as overdue, 0 for never.
	OverdueAfter() time.Duration
	// Overdue tells of work that has not ended after Late.
	ObserveOverdue(now time.Time, endpoint int)
	// Done tells how work ended; worked is false for work that the endpoint did not take.
	Done(now time.Time, endpoint int, trial, worked, failed, wasLate bool, service time.Duration)
	// Tick lets time pass.
	Tick(now time.Time)
	// Usable tells of a link that was found cut, or whole again.
	SetUsable(now time.Time, endpoint int, usable bool)
	// Out tells whether an endpoint gets no ordinary work.
	OutOfService(endpoint int) bool
}

// Service is one of the brief's services.
type Service struct {
	// Name is the brief's.
	Name string
	// Endpoints and Slots are its size.
	Endpoints, Slots int
	// FalseEjections is the operator's number.
	FalseEjections float64
}

// Services are the brief's, with the numbers that their operators would set: the first two bear few false ejections, the
// others want fast detection.
var Services = []Service{
	{"docket-desk", 15, 4, 0.001},
	{"filing-hub", 6, 4, 0.001},
	{"booking-desk", 23, 3, 1},
	{"dispatch-core", 8, 3, 1},
}

// NewPolicy makes a policy for a service.
type NewPolicy func(s Service, r *rand.Rand) Policy

// roundRobin takes every endpoint in turn and ejects none.
type roundRobin struct {
	n, next int
}

// NewRoundRobin returns the first baseline.
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

// The common rule: five failures in a row, or a failure share that is more than a fixed factor of the mean's spread
// beyond it, eject for 30 s, at most half of the endpoints.
const (
	commonInRow    = 5
	commonTime     = 30 * time.Second
	commonInterval = 10 * time.Second
	commonLeast    = 100
	commonFactor   = 1.9
)

type common struct {
	roundRobin
	limit    int
	byShare  bool
	inRow    []int
	until    []time.Time
	ok, all  []float64
	measured time.Time
	now      time.Time
}

// NewCommon returns the second baseline.
func NewConventional(s Service, _ *rand.Rand) Policy { return newCommon(s, commonInRow, true) }

// NewInRow returns the common rule with another number of failures in a row and without the failure share.
func NewConsecutiveFailures(limit int) NewPolicy {
	return func(s Service, _ *rand.Rand) Policy { return newCommon(s, limit, false) }
}

func newCommon(s Service, limit int, byShare bool) Policy {
	n := s.Endpoints
	return &common{
		limit: limit, byShare: byShare,
		roundRobin: roundRobin{n: n}, inRow: make([]int, n), until: make([]time.Time, n),
		ok: make([]float64, n), all: make([]float64, n),
	}
}

func (p *common) Pick(now time.Time, tried []int, repeatable bool) (int, bool) {
	for range p.n {
		i, _ := p.roundRobin.Pick(now, tried, repeatable)
		if i >= 0 && !now.Before(p.until[i]) {
			return i, false
		}
	}
	return p.roundRobin.Pick(now, tried, repeatable)
}

func (p *common) Done(now time.Time, i int, _, worked, failed, _ bool, _ time.Duration) {
	if !worked {
		return
	}
	p.all[i]++
	if !failed {
		p.ok[i]++
		p.inRow[i] = 0
		return
	}
	if p.inRow[i]++; p.inRow[i] >= p.limit {
		p.eject(now, i)
	}
}

func (p *common) eject(now time.Time, i int) {
	out := 0
	for _, u := range p.until {
		if now.Before(u) {
			out++
		}
	}
	if out < p.n/2 {
		p.until[i] = now.Add(commonTime)
	}
	p.inRow[i] = 0
}

func (p *common) Tick(now time.Time) {
	p.now = now
	if !p.byShare || now.Sub(p.measured) < commonInterval {
		return
	}
	p.measured = now
	mean, spread := meanAndSpread(p.ok, p.all)
	for i := range p.all {
		if p.all[i] >= commonLeast && p.ok[i]/p.all[i] < mean-commonFactor*spread {
			p.eject(now, i)
		}
	}
	clear(p.ok)
	clear(p.all)
}

func (p *common) OutOfService(i int) bool { return p.now.Before(p.until[i]) }

// ours is the project's own choosing and ejecting, as the director joins them.
type ours struct {
	service  Service
	random   *rand.Rand
	detector *eject.Detector
	list     []eject.Endpoint
	inFlight []int
	latency  []float64
	success  []float64
	trial    []bool
	keys     []string
}

// NewOurs returns the project's policy with a floor of one half.
func NewLynxplank(s Service, r *rand.Rand) Policy {
	p := &ours{
		service: s, random: r,
		detector: eject.NewDetector(eject.DefaultConfig().With(s.FalseEjections, 0.5)),
		inFlight: make([]int, s.Endpoints), latency: make([]float64, s.Endpoints),
		success: make([]float64, s.Endpoints), trial: make([]bool, s.Endpoints),
	}
	for i := range s.Endpoints {
		key := string(rune('A' + i))
		p.keys = append(p.keys, key)
		p.success[i] = 1
		p.list = append(p.list, eject.Endpoint{Key: key, Capacity: float64(s.Slots), Usable: true})
	}
	p.detector.SetEndpoints(time.Unix(0, 0), p.list)
	return p
}

func (p *ours) Pick(_ time.Time, tried []int, repeatable bool) (int, bool) {
	candidates := make([]balance.Candidate, 0, len(p.keys))
	from := make([]int, 0, len(p.keys))
	for i, key := range p.keys {
		if contains(tried, i) || !p.list[i].Usable {
			continue
		}
		v := p.detector.Verdict(key)
		switch v.Phase {
		case eject.Ejected:
			continue
		case eject.Trickle:
			if repeatable && len(tried) == 0 && !p.trial[i] {
				p.trial[i] = true
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
		from = append(from, i)
	}
	c := balance.Choose(candidates, p.random)
	if c < 0 {
		return -1, false
	}
	p.inFlight[from[c]]++
	return from[c], false
}

func (p *ours) OverdueAfter() time.Duration {
	if m := p.detector.Baselines(); m.Known {
		return m.Late
	}
	return 0
}

func (p *ours) ObserveOverdue(now time.Time, i int) {
	p.detector.Observe(now, p.keys[i], eject.Observation{Kind: eject.Overdue, Latency: p.OverdueAfter() + time.Microsecond})
}

func (p *ours) Done(now time.Time, i int, trial, worked, failed, wasLate bool, service time.Duration) {
	p.inFlight[i]--
	if trial {
		p.trial[i] = false
	}
	if !worked {
		return
	}
	const memory = 0.1
	good := 1.0
	ev := eject.Observation{Kind: eject.Success, Latency: service, WasOverdue: wasLate}
	if failed {
		good = 0
		ev.Kind = eject.Failure
	} else if p.latency[i] == 0 {
		p.latency[i] = float64(service)
	} else {
		p.latency[i] += (float64(service) - p.latency[i]) * memory
	}
	p.success[i] += (good - p.success[i]) * memory
	p.detector.Observe(now, p.keys[i], ev)
}

func (p *ours) Tick(now time.Time) { p.detector.Tick(now) }

func (p *ours) SetUsable(now time.Time, i int, usable bool) {
	p.list[i].Usable = usable
	p.detector.SetEndpoints(now, p.list)
}

func (p *ours) OutOfService(i int) bool {
	phase := p.detector.Verdict(p.keys[i]).Phase
	return phase == eject.Ejected || phase == eject.Trickle || !p.list[i].Usable
}
