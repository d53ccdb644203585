package virtual

import (
	"math/rand/v2"
	"time"

	"github.com/lynxplank/lynxplank/admission"
	"github.com/lynxplank/lynxplank/retry"
)

// Fault is what is wrong with an endpoint for a time.
type Fault struct {
	// Name is for the table.
	Name string
	// Fail is the share of the work that fails.
	Fail float64
	// Slow multiplies the service time; 0 stands for 1.
	Slow float64
	// Flap switches the fault on and off with this period.
	Flap time.Duration
	// Cut loses the answers on the way back.
	Cut bool
	// Hall hits a third of the endpoints together.
	Hall bool
}

// Stream is one seeded run.
type Stream struct {
	// Service is the service.
	Service Service
	// Policy makes the chooser.
	Policy NewPolicy
	// Fault begins at Onset.
	Fault Fault
	// Seed fixes the stream.
	Seed uint64
	// Rate is the requests a second for each endpoint; 0 stands for 20.
	Rate float64
	// Length is how long the fault, or the healthy run, lasts.
	Length time.Duration
	// FairQueue queues by the project's admission; else each endpoint has a plain queue.
	FairQueue bool
	// Flood makes one of ten customers send this many times its share; 0 for none.
	Flood float64
}

// Onset is when the fault begins.
const Onset = 60 * time.Second

const (
	meanWork    = 50 * time.Millisecond
	workSpread  = 0.6
	tailShare   = 0.005
	tailFactor  = 8
	failHealthy = 0.001
	pauseEvery  = 60 * time.Second
	pauseLength = 100 * time.Millisecond
	burstEvery  = 60 * time.Second
	burstLength = 2 * time.Second
	burstFactor = 2
	deadline    = time.Second
	plainQueue  = 64
	fairQueue   = 16
	tickEvery   = 100 * time.Millisecond
	cutFoundIn  = 1250 * time.Millisecond
	// retryBurst is what may be retried in a window beyond the share.
	retryBurst  = 10
	retryWindow = 10 * time.Second
	defaultRate = 20
	customers   = 10
	retryShare  = 0.1
	repeatOneIn = 2
	// Times of single requests are kept in runs up to this long.
	longestKept = 10 * time.Minute
)

type run struct {
	Stream
	clock     *clock
	random    *rand.Rand
	policy    Policy
	endpoints []*endpoint
	budget    *retry.Budget
	refusals  retry.Refusals
	out       []bool
	nextID    uint64
	result    Result
}

// Run runs the stream.
func (s Stream) Run() Result {
	if s.Rate == 0 {
		s.Rate = defaultRate
	}
	if s.Fault.Slow == 0 {
		s.Fault.Slow = 1
	}
	r := &run{
		Stream: s, clock: newClock(), random: rand.New(rand.NewPCG(s.Seed, 1)), //nolint:gosec // seeded on purpose
		out: make([]bool, s.Service.Endpoints),
	}
	r.budget = retry.NewBudget(r.clock.now, retryWindow, 0)
	r.budget.SetSlack(r.clock.now, retryBurst)
	r.policy = s.Policy(s.Service, rand.New(rand.NewPCG(s.Seed, 2))) //nolint:gosec // seeded on purpose
	r.result.DetectionTime = -1
	for i := range s.Service.Endpoints {
		r.endpoints = append(r.endpoints, &endpoint{
			queue:   admission.NewQueue(s.Service.Slots, fairQueue, rand.New(rand.NewPCG(s.Seed, uint64(i)+3))), //nolint:gosec // seeded on purpose
			running: make(map[uint64]*send), waiting: make(map[uint64]*send),
		})
		r.pause(i)
	}
	r.arrive()
	r.tick()
	if s.Fault.Cut {
		r.clock.after(Onset+cutFoundIn, func() { r.policy.SetUsable(r.clock.now, 0, false) })
	}
	r.clock.runUntil(time.Unix(0, 0).Add(Onset + s.Length))
	return r.result
}

func (r *run) since() time.Duration { return r.clock.now.Sub(time.Unix(0, 0)) }

func (r *run) measured() bool { return r.since() >= Onset }

// MeanWork is the mean service time of a healthy endpoint, heavy tail included.
func MeanServiceTime() time.Duration {
	factor := 1 - tailShare + tailShare*tailFactor
	return time.Duration(meanWork.Seconds() * factor * float64(time.Second))
}
