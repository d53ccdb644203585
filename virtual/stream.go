package virtual

import (
	"math/rand/v2"
	"time"

	"github.com/lynxplank/lynxplank/admission"
	"github.com/lynxplank/lynxplank/retry"
)

// Fault is a fault of one endpoint, or of several.
type Fault struct {
	// Name identifies the fault in the printed table; no name means no fault.
	Name string
	// Fail is the share of the requests that fail.
	Fail float64
	// Slow is the factor of the service time; 0 means 1.
	Slow float64
	// Flap is the time for which the fault is alternately on and off; 0 means always on.
	Flap time.Duration
	// Cut drops all answers on their way back.
	Cut bool
	// Hall extends the fault to every third endpoint, as if all of one hall were affected.
	Hall bool
}

// Stream describes one seeded run.
type Stream struct {
	// Service is the simulated service.
	Service Service
	// Policy creates the policy.
	Policy NewPolicy
	// Fault is the fault, which begins at Onset.
	Fault Fault
	// Seed determines all random choices.
	Seed uint64
	// Rate is the number of requests per second and endpoint; 0 means 20.
	Rate float64
	// Length is the duration of the run after Onset.
	Length time.Duration
	// FairQueue uses the product's admission queue at each endpoint; otherwise each has a plain queue.
	FairQueue bool
	// Flood is how many times its share one of ten customers sends; 0 means no flood.
	Flood float64
}

// Onset is when the fault begins and measurement starts.
const Onset = 60 * time.Second

const (
	baseServiceTime = 50 * time.Millisecond
	// serviceTimeStddev is the standard deviation of the logarithm of the service time.
	serviceTimeStddev   = 0.6
	tailShare           = 0.005
	tailFactor          = 8
	healthyFailureShare = 0.001
	pauseInterval       = 60 * time.Second
	pauseLength         = 100 * time.Millisecond
	burstInterval       = 60 * time.Second
	burstLength         = 2 * time.Second
	burstFactor         = 2
	deadline            = time.Second
	plainQueueLength    = 64
	fairQueueLength     = 16
	tickInterval        = 100 * time.Millisecond
	cutDetectionDelay   = 1250 * time.Millisecond
	// retrySlack is how many retries a window allows in addition to the share.
	retrySlack  = 10
	retryWindow = 10 * time.Second
	defaultRate = 20
	customers   = 10
	retryShare  = 0.1
	// One request in oneRepeatableIn is repeatable.
	oneRepeatableIn = 2
	// The latencies of single requests are recorded in runs up to this length.
	maxRecordedLength = 10 * time.Minute
)

// run is the state of a running stream.
type run struct {
	Stream
	clock        *clock
	random       *rand.Rand
	policy       Policy
	endpoints    []*endpoint
	budget       *retry.Budget
	refusals     retry.Refusals
	outOfService []bool
	nextID       uint64
	result       Result
}

// Run simulates the stream and returns its result.
func (s Stream) Run() Result {
	if s.Rate == 0 {
		s.Rate = defaultRate
	}
	if s.Fault.Slow == 0 {
		s.Fault.Slow = 1
	}
	r := &run{
		Stream: s, clock: newClock(), random: rand.New(rand.NewPCG(s.Seed, 1)), //nolint:gosec // seeded on purpose
		outOfService: make([]bool, s.Service.Endpoints),
	}
	r.budget = retry.NewBudget(r.clock.now, retryWindow, 0)
	r.budget.SetSlack(r.clock.now, retrySlack)
	r.policy = s.Policy(s.Service, rand.New(rand.NewPCG(s.Seed, 2))) //nolint:gosec // seeded on purpose
	r.result.DetectionTime = -1
	for i := range s.Service.Endpoints {
		r.endpoints = append(r.endpoints, &endpoint{
			queue:   admission.NewQueue(s.Service.Slots, fairQueueLength, rand.New(rand.NewPCG(s.Seed, uint64(i)+3))), //nolint:gosec // seeded on purpose
			running: make(map[uint64]*send), waiting: make(map[uint64]*send),
		})
		r.schedulePause(i)
	}
	r.arrive()
	r.tick()
	if s.Fault.Cut {
		r.clock.after(Onset+cutDetectionDelay, func() { r.policy.SetUsable(r.clock.now, 0, false) })
	}
	r.clock.runUntil(time.Unix(0, 0).Add(Onset + s.Length))
	return r.result
}

// elapsed returns the virtual time since the start.
func (r *run) elapsed() time.Duration { return r.clock.now.Sub(time.Unix(0, 0)) }

// measured reports whether the measurement has started.
func (r *run) measured() bool { return r.elapsed() >= Onset }

// MeanServiceTime returns the mean service time of a healthy endpoint, including the heavy tail.
func MeanServiceTime() time.Duration {
	factor := 1 - tailShare + tailShare*tailFactor
	return time.Duration(baseServiceTime.Seconds() * factor * float64(time.Second))
}
