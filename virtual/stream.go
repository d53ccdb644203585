package virtual

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/admit"
	"github.com/lynxplank/lynxplank/gen/peerpb"
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

// Result is what one run showed.
type Result struct {
	// Detected is from the onset until the endpoint got no ordinary work, negative if it never came to that.
	Detected time.Duration
	// Begun counts the requests that the endpoint got from the onset until then.
	Begun int
	// FalseEjections counts healthy endpoints taken out.
	FalseEjections int
	// Requests, Bad and Sends count, from the onset on, the requests, those that failed or were late, and the sends.
	Requests, Bad, Sends int
	// Good counts answers in time, from the onset on.
	Good int
	// Admitted are the times of admitted requests from their arrival, in milliseconds.
	Admitted []float64
	// ShareBad and ShareAll count the requests of customers that keep to their share.
	ShareBad, ShareAll int
}

type endpoint struct {
	queue    *admit.Queue
	running  map[uint64]*send
	waiting  map[uint64]*send
	plain    []*send
	busy     int
	pausedTo time.Time
}

type request struct {
	arrived    time.Time
	customer   int
	repeatable bool
	tried      []int
	sends      int
}

type send struct {
	id       uint64
	request  *request
	endpoint int
	trial    bool
	late     bool
	started  time.Time
	over     bool
}

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
	r.result.Detected = -1
	for i := range s.Service.Endpoints {
		r.endpoints = append(r.endpoints, &endpoint{
			queue:   admit.NewQueue(s.Service.Slots, fairQueue, rand.New(rand.NewPCG(s.Seed, uint64(i)+3))), //nolint:gosec // seeded on purpose
			running: make(map[uint64]*send), waiting: make(map[uint64]*send),
		})
		r.pause(i)
	}
	r.arrive()
	r.tick()
	if s.Fault.Cut {
		r.clock.after(Onset+cutFoundIn, func() { r.policy.Usable(r.clock.now, 0, false) })
	}
	r.clock.runUntil(time.Unix(0, 0).Add(Onset + s.Length))
	return r.result
}

func (r *run) since() time.Duration { return r.clock.now.Sub(time.Unix(0, 0)) }

func (r *run) measured() bool { return r.since() >= Onset }

// faulty tells whether the fault holds for an endpoint now.
func (r *run) faulty(i int) bool {
	if !r.measured() || !r.hit(i) {
		return false
	}
	period := r.Fault.Flap
	return period == 0 || ((r.since()-Onset)/period)%2 == 0
}

// hit tells whether the fault concerns an endpoint at all.
func (r *run) hit(i int) bool {
	if r.Fault.Name == "" {
		return false
	}
	return i == 0 || r.Fault.Hall && i%3 == 0
}

func (r *run) exponential(mean time.Duration) time.Duration {
	return time.Duration(r.random.ExpFloat64() * float64(mean))
}

func (r *run) arrive() {
	rate := r.Rate * float64(r.Service.Endpoints)
	if r.since()%burstEvery < burstLength && r.Flood == 0 && r.Fault.Name == "" {
		rate *= burstFactor
	}
	gap := r.exponential(time.Duration(float64(time.Second) / rate))
	r.clock.after(gap, func() {
		r.take()
		r.arrive()
	})
}

func (r *run) take() {
	q := &request{arrived: r.clock.now, customer: r.customer(), repeatable: r.random.IntN(repeatOneIn) == 0}
	if r.measured() {
		r.result.Requests++
		if q.customer > 0 {
			r.result.ShareAll++
		}
	}
	r.budget.Request(r.clock.now, retryShare)
	r.send(q)
}

// customer draws who sends; customer 0 floods if there is a flood.
func (r *run) customer() int {
	if r.Flood == 0 {
		return r.random.IntN(customers)
	}
	if r.random.Float64()*(customers-1+r.Flood) < r.Flood {
		return 0
	}
	return 1 + r.random.IntN(customers-1)
}

// pause stops an endpoint for a moment now and then, as a garbage collector does: healthy, but all its work is late.
func (r *run) pause(i int) {
	r.clock.after(r.exponential(pauseEvery), func() {
		r.endpoints[i].pausedTo = r.clock.now.Add(pauseLength)
		r.pause(i)
	})
}

func (r *run) tick() {
	r.policy.Tick(r.clock.now)
	r.watch()
	r.clock.after(tickEvery, r.tick)
}

// watch notes endpoints that went out of service.
func (r *run) watch() {
	for i := range r.out {
		out := r.policy.Out(i)
		if out && !r.out[i] {
			r.wentOut(i)
		}
		r.out[i] = out
	}
}

func (r *run) wentOut(i int) {
	switch {
	case !r.measured():
	case !r.hit(i):
		r.result.FalseEjections++
	case i == 0 && r.result.Detected < 0:
		r.result.Detected = r.since() - Onset
	}
}

func (r *run) send(q *request) {
	i, trial := r.policy.Pick(r.clock.now, q.tried, q.repeatable)
	if i < 0 {
		r.finish(q, false)
		return
	}
	q.sends++
	if r.measured() {
		r.result.Sends++
		if r.hit(i) && i == 0 && r.result.Detected < 0 {
			r.result.Begun++
		}
	}
	r.nextID++
	r.offer(&send{id: r.nextID, request: q, endpoint: i, trial: trial})
}

func (r *run) offer(s *send) {
	e := r.endpoints[s.endpoint]
	if r.FairQueue {
		name := strconv.Itoa(s.request.customer)
		d, evicted := e.queue.Offer(r.clock.now, admit.Request{ID: s.id, Customer: name, Deadline: s.request.arrived.Add(deadline)})
		e.waiting[s.id] = s
		r.decide(e, append(evicted, d))
		return
	}
	switch {
	case e.busy < r.Service.Slots:
		r.begin(s)
	case len(e.plain) < plainQueue:
		e.plain = append(e.plain, s)
	default:
		r.refused(s)
	}
}

func (r *run) decide(e *endpoint, list []admit.Decision) {
	for _, d := range list {
		s := e.waiting[d.ID]
		switch d.Action {
		case admit.Run:
			delete(e.waiting, d.ID)
			r.begin(s)
		case admit.Refuse:
			delete(e.waiting, d.ID)
			r.refused(s)
		case admit.Wait:
			r.clock.after(d.Until.Sub(r.clock.now), func() { r.decide(e, e.queue.Expire(r.clock.now)) })
		}
	}
}

func (r *run) begin(s *send) {
	e := r.endpoints[s.endpoint]
	e.busy++
	s.started = r.clock.now
	work := r.work(s.endpoint)
	left := s.request.arrived.Add(deadline).Sub(r.clock.now)
	failed := r.fails(s.endpoint)
	if late := r.policy.Late(); late > 0 && late < work {
		r.clock.after(late, func() { r.overdue(s) })
	}
	lost := r.Fault.Cut && r.faulty(s.endpoint)
	// An endpoint honours the deadline and gives its slot back then.
	r.clock.after(min(work, max(left, 0)), func() { r.free(s, min(work, max(left, 0))) })
	if lost || work > left {
		r.clock.after(max(left, 0), func() { r.done(s, true, !lost) })
		return
	}
	r.clock.after(work, func() { r.done(s, failed, true) })
}

func (r *run) work(i int) time.Duration {
	d := math.Exp(r.random.NormFloat64()*workSpread-workSpread*workSpread/2) * float64(meanWork)
	if r.random.Float64() < tailShare {
		d *= tailFactor
	}
	if r.faulty(i) {
		d *= r.Fault.Slow
	}
	paused := max(0, r.endpoints[i].pausedTo.Sub(r.clock.now))
	return time.Duration(d) + paused
}

func (r *run) fails(i int) bool {
	share := failHealthy
	if r.faulty(i) {
		share = max(share, r.Fault.Fail)
	}
	return r.random.Float64() < share
}

func (r *run) overdue(s *send) {
	if !s.over && !s.late {
		s.late = true
		r.policy.Overdue(r.clock.now, s.endpoint)
		r.watch()
	}
}

// free gives the slot back and starts what waits.
func (r *run) free(s *send, service time.Duration) {
	e := r.endpoints[s.endpoint]
	e.busy--
	if r.FairQueue {
		r.decide(e, e.queue.Done(r.clock.now, service))
		return
	}
	if len(e.plain) > 0 {
		next := e.plain[0]
		e.plain = e.plain[1:]
		r.begin(next)
	}
}

func (r *run) done(s *send, failed, worked bool) {
	s.over = true
	r.policy.Done(r.clock.now, s.endpoint, s.trial, worked, failed, s.late, r.clock.now.Sub(s.started))
	r.watch()
	q := s.request
	if !failed {
		r.finish(q, true)
		return
	}
	outcome := peerpb.Outcome_OUTCOME_RAN
	if !worked {
		outcome = peerpb.Outcome_OUTCOME_UNKNOWN
	}
	r.again(s, retry.Attempt{Outcome: outcome, Failed: true, Repeatable: q.repeatable})
}

func (r *run) refused(s *send) {
	r.policy.Done(r.clock.now, s.endpoint, s.trial, false, true, s.late, 0)
	r.again(s, retry.Attempt{Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Overloaded: true, Repeatable: s.request.repeatable})
}

func (r *run) again(s *send, a retry.Attempt) {
	q := s.request
	a.Number, a.Replayable, a.Typical = q.sends, true, meanWork
	a.Left = q.arrived.Add(deadline).Sub(r.clock.now)
	r.refusals.Answer(a.Overloaded)
	q.tried = append(q.tried, s.endpoint)
	if r.refusals.Decide(a) && r.budget.Take(r.clock.now) {
		r.send(q)
		return
	}
	r.finish(q, false)
}

func (r *run) finish(q *request, good bool) {
	if !r.measured() || q.arrived.Before(time.Unix(0, 0).Add(Onset)) {
		return
	}
	took := r.clock.now.Sub(q.arrived)
	good = good && took <= deadline
	if good {
		r.result.Good++
		if r.Length <= longestKept {
			r.result.Admitted = append(r.result.Admitted, float64(took)/float64(time.Millisecond))
		}
		return
	}
	r.result.Bad++
	if q.customer > 0 {
		r.result.ShareBad++
	}
}

func meanAndSpread(ok, all []float64) (mean, spread float64) {
	var shares []float64
	for i := range all {
		if all[i] >= commonLeast {
			shares = append(shares, ok[i]/all[i])
		}
	}
	if len(shares) == 0 {
		return 0, 0
	}
	for _, s := range shares {
		mean += s / float64(len(shares))
	}
	for _, s := range shares {
		spread += (s - mean) * (s - mean) / float64(len(shares))
	}
	return mean, math.Sqrt(spread)
}

// MeanWork is the mean service time of a healthy endpoint, heavy tail included.
func MeanWork() time.Duration {
	factor := 1 - tailShare + tailShare*tailFactor
	return time.Duration(meanWork.Seconds() * factor * float64(time.Second))
}
