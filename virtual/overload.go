package virtual

import (
	"math"
	"math/rand/v2"
	"time"
)

// Overload describes a seeded run of a front service and a service that it calls, at a demand that may exceed their
// capacity, while endpoints hang in spells (docs/OVERLOAD.md, part 7).
type Overload struct {
	// Load is the demand as a multiple of the capacity.
	Load float64
	// Seed determines all random choices.
	Seed uint64
	// Parts are the parts of docs/OVERLOAD.md that are on.
	Parts Parts
}

// Parts selects parts of docs/OVERLOAD.md by the names of their settings.
type Parts struct{ NestedFirst, ReclaimSlots, EarlyRefusal, SuspectRoom bool }

const (
	frontService, calledService = 0, 1
	slotsPerEndpoint            = 8
	ingressNodes                = 8
	// hop is the time of a message between two nodes.
	hop = 500 * time.Microsecond
	// Each endpoint hangs for hangTimeShare of the time, in spells of minSpell to maxSpell; unansweredShare of the
	// requests that begin in a spell are never answered.
	hangTimeShare   = 0.3
	minSpell        = 2 * time.Second
	maxSpell        = 3 * time.Second
	unansweredShare = 0.75
	// workStddev is the standard deviation of the logarithm of the work time; longWorkShare of the requests take
	// longWorkFactor times longer.
	workStddev     = 0.5
	longWorkShare  = 0.01
	longWorkFactor = 5
	// In the middle half of the measured time customer 0 sends busyFactor times as much as each other customer; the
	// demand of all together stays the same.
	busyFactor       = 5
	overloadWarmup   = 10 * time.Second
	overloadMeasured = 60 * time.Second
)

// overloadEndpoints are the numbers of endpoints of the services.
var overloadEndpoints = [...]int{frontService: 20, calledService: 6}

// class is a kind of request.
type class struct {
	name string
	// share is the class's part of the callers' requests, calledShare the part of these that goes to the called service.
	share, calledShare float64
	rank               int
	// mean is the mean time of the work without its nested call.
	mean, target, deadline time.Duration
	repeatable             bool
	// callShare is the part of the requests whose work ends with a nested call.
	callShare float64
}

// The classes of callers' requests, and the nested calls. The shares fill both services at the same demand.
var (
	classes = []*class{
		{name: "booking", share: 0.25, rank: 0, mean: 550 * time.Millisecond, target: 1650 * time.Millisecond, deadline: 6600 * time.Millisecond, callShare: 0.7},
		{name: "lookup", share: 0.5, rank: 1, mean: 170 * time.Millisecond, target: 850 * time.Millisecond, deadline: 3400 * time.Millisecond, repeatable: true, calledShare: 0.72},
		{name: "report", share: 0.25, rank: 2, mean: 430 * time.Millisecond, target: 1720 * time.Millisecond, deadline: 8600 * time.Millisecond, repeatable: true},
	}
	nestedCall = &class{name: "call", rank: 1, mean: 160 * time.Millisecond, target: 600 * time.Millisecond, deadline: 2 * time.Second, repeatable: true}
)

// capacity returns the callers' requests per second that fill the slots for the time in which endpoints don't hang. A
// nested call takes two slots: its own, and that of the request which waits for it.
func capacity() float64 {
	slots, slotTime := 0, 0.0
	for _, n := range overloadEndpoints {
		slots += n * slotsPerEndpoint
	}
	for _, c := range classes {
		slotTime += c.share * (c.mean.Seconds() + 2*c.callShare*nestedCall.mean.Seconds())
	}
	return float64(slots) * (1 - hangTimeShare) / slotTime
}

// fleet is the state of a run.
type fleet struct {
	Overload
	*clock
	// demand draws the requests and spells the spells, which are therefore the same whatever is on; random draws the rest.
	demand, spells, random *rand.Rand
	servers                [2][]*server
	nodes                  []*node
	nextID                 uint64
	result                 *OverloadResult
}

// Run simulates the run and adds what it measured to a result.
func (o Overload) Run(result *OverloadResult) {
	f := &fleet{Overload: o, clock: newClock(), result: result}
	f.demand, f.spells, f.random = f.newRandom(1), f.newRandom(2), f.newRandom(3)
	for service, n := range overloadEndpoints {
		for i := range n {
			f.servers[service] = append(f.servers[service], newServer(f, i, n))
		}
	}
	for range ingressNodes {
		f.nodes = append(f.nodes, newNode(f))
	}
	f.arrive()
	const drain = 10 * time.Second // longer than any deadline
	f.runUntil(f.now.Add(overloadWarmup + overloadMeasured + drain))
	result.Runs++
}

func (f *fleet) newRandom(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(f.Seed, stream)) //nolint:gosec // seeded on purpose
}

func (f *fleet) newID() uint64 {
	f.nextID++
	return f.nextID
}

// elapsed returns the time since the measurement began, negative before it.
func (f *fleet) elapsed() time.Duration { return f.now.Sub(time.Unix(0, 0)) - overloadWarmup }

// arrive schedules the next request of a Poisson process.
func (f *fleet) arrive() {
	gap := f.demand.ExpFloat64() / (f.Load * capacity())
	f.after(time.Duration(gap*float64(time.Second)), func() {
		if f.elapsed() < overloadMeasured {
			f.drawRequest().begin()
			f.arrive()
		}
	})
}

// drawRequest draws a caller's request.
func (f *fleet) drawRequest() *exchange {
	at, i := f.demand.Float64(), 0
	for at >= classes[i].share && i < len(classes)-1 {
		at -= classes[i].share
		i++
	}
	x := f.newExchange(classes[i], f.nodes[f.demand.IntN(ingressNodes)])
	x.customer, x.work, x.counted = f.drawCustomer(), f.drawWork(x.class), f.elapsed() >= 0
	if f.demand.Float64() < x.class.calledShare {
		x.service = calledService
	}
	if f.demand.Float64() < x.class.callShare {
		x.callWork = f.drawWork(nestedCall)
	}
	return x
}

// drawCustomer draws the customer that sends a request.
func (f *fleet) drawCustomer() int {
	factor := 1.0
	if t := f.elapsed(); t >= overloadMeasured/4 && t < overloadMeasured*3/4 {
		factor = busyFactor
	}
	if at := f.demand.Float64() * (customers - 1 + factor); at < customers-1 {
		return 1 + int(at)
	}
	return 0
}

// drawWork draws the time that a request's work takes.
func (f *fleet) drawWork(c *class) time.Duration {
	seconds := c.mean.Seconds() / (1 + longWorkShare*(longWorkFactor-1)) * math.Exp(f.demand.NormFloat64()*workStddev-workStddev*workStddev/2)
	if f.demand.Float64() < longWorkShare {
		seconds *= longWorkFactor
	}
	return time.Duration(seconds * float64(time.Second))
}
