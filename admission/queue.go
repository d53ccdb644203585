package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

// Request is one request that needs a slot of the endpoint.
type Request struct {
	// ID is unique among the requests of the queue.
	ID uint64
	// Customer is the tenant that sent the request; customers share the queue by weight.
	Customer string
	// Weight is the customer's share relative to the others; 0 means 1.
	Weight float64
	// Priority orders waiting requests; 0 is served first.
	Priority int
	// NoWait refuses the request with fault.Busy when no slot is free, instead of queueing it.
	NoWait bool
	// TargetTime is when the latency target ends, after which the answer loses most of its value. The zero time means
	// Deadline.
	TargetTime time.Time
	// Deadline is when the answer becomes useless.
	Deadline time.Time
	// Kind names the kind of work, for Learn.
	Kind string
	// ServiceTime is how long requests of this kind usually take; 0 means the usual time of all requests. An endpoint
	// serves requests of very different lengths: with one service time for all, a 1 ms lookup was refused because of
	// the half second that the bookings beside it take.
	ServiceTime time.Duration
	// SlotTime is how long requests of this kind hold a slot on average; 0 means ServiceTime. ServiceTime may contain a
	// margin, which would add up over the requests of a long queue.
	SlotTime time.Duration
	// Nested marks a call that an endpoint makes while it handles another request. Nested calls go before all others,
	// and wait until their deadline, whatever their latency target: to refuse one loses the work of its caller.
	Nested bool
}

// Action is what happens to a request.
type Action uint8

// The actions.
const (
	// Run means that the request takes a slot now.
	Run Action = iota
	// Wait means that the request stays in the queue until a later decision names it.
	Wait
	// Refuse ends the request; it has not run.
	Refuse
)

// Decision says what happens to one request.
type Decision struct {
	// ID is the request's ID.
	ID uint64
	// Action is what to do with the request.
	Action Action
	// Code is the reason for a refusal.
	Code fault.Code
	// RetryAfter is when a refused caller may retry.
	RetryAfter time.Duration
}

// Counts are the numbers of requests that nested calls have affected.
type Counts struct {
	// NestedStarts is the number of nested calls that started.
	NestedStarts uint64
	// Displaced is the number of waiting requests that were refused for the place of a nested call.
	Displaced uint64
}

const (
	// serviceSmoothing is the weight of the newest service time in the moving average.
	serviceSmoothing = 0.05
	// initialServiceTime stands in for the mean service time until one has been measured.
	initialServiceTime = 5 * time.Millisecond
	// minRetryAfter is the shortest delay after which a refused caller is asked to retry.
	minRetryAfter = 20 * time.Millisecond
	// The retry delay is multiplied by a random factor between minRetrySpread and minRetrySpread+retrySpreadRange.
	minRetrySpread   = 0.75
	retrySpreadRange = 1.0
)

// durationOf converts seconds to a duration.
func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// Queue is the admission state of one endpoint. It is not safe for concurrent use; its owner must hold a lock.
//
// Invariant: at most the configured number of slots is taken at any time.
type Queue struct {
	// slots is how many requests may run at once, maxWaiting how many may wait.
	slots      int
	maxWaiting int
	// running are the requests that hold a slot.
	running []active
	// nested are the nested calls that wait, others the other requests; turn decides between them.
	nested, others line
	turn           turn
	counts         Counts
	// meanServiceTime and serviceDeviation are moving averages of the service time and of its absolute deviation, in
	// seconds.
	meanServiceTime  float64
	serviceDeviation float64
	// pace is the minimum time between two starts, 0 for none.
	pace   time.Duration
	random *rand.Rand
	// scratch is the memory of slotTimes.
	scratch []time.Duration
}

// NewQueue returns an empty queue; random supplies the random spread of RetryAfter.
func NewQueue(slots, maxWaiting int, random *rand.Rand) *Queue {
	return &Queue{
		slots: slots, maxWaiting: maxWaiting, random: random,
		nested: line{finishTags: make(map[string]float64)}, others: line{finishTags: make(map[string]float64)},
		meanServiceTime: initialServiceTime.Seconds(),
	}
}

// SetLimits changes the number of slots and the queue length; running requests are left to finish.
func (q *Queue) SetLimits(slots, maxWaiting int) {
	q.slots = slots
	q.maxWaiting = maxWaiting
}

// SetPace sets the minimum time between two requests that start, which the owner enforces; 0 means none. Waiting requests
// are refused by it when they can no longer finish in time.
func (q *Queue) SetPace(pace time.Duration) { q.pace = pace }

// Learn updates the times that the requests of a kind are expected to take. Those that wait or run may have come while
// nothing was known of their kind.
func (q *Queue) Learn(kind string, service, slot time.Duration) {
	learn := func(r *Request) {
		if r.Kind == kind {
			r.ServiceTime, r.SlotTime = service, slot
		}
	}
	for i := range q.running {
		learn(&q.running[i].Request)
	}
	for _, l := range []*line{&q.nested, &q.others} {
		for i := range l.requests {
			learn(&l.requests[i].Request)
		}
	}
}

// Busy returns the number of slots taken.
func (q *Queue) Busy() int { return len(q.running) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.nested.requests) + len(q.others.requests) }

// Counts returns the numbers of requests that nested calls have affected.
func (q *Queue) Counts() Counts { return q.counts }

// line returns the line in which a request waits.
func (q *Queue) line(r *Request) *line {
	if r.Nested {
		return &q.nested
	}
	return &q.others
}

// Offer decides about a new request. The second result refuses a waiting request that was evicted for the new one.
func (q *Queue) Offer(now time.Time, r Request) (Decision, []Decision) {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if q.Busy() < q.slots && q.Waiting() == 0 {
		q.line(&r).charge(r)
		return q.start(now, r), nil
	}
	if r.NoWait {
		return q.refuse(now, r.ID, fault.Busy), nil
	}
	l := q.line(&r)
	l.insert(r)
	if !q.waitsInTime(now, r.ID) {
		l.remove(l.index(r.ID))
		return q.refuse(now, r.ID, fault.DeadlineTooShort), nil
	}
	if q.Waiting() <= q.maxWaiting {
		return Decision{ID: r.ID, Action: Wait}, nil
	}
	victim, ok := q.evict(r)
	if !ok {
		l.remove(l.index(r.ID))
		return q.refuse(now, r.ID, fault.Overloaded), nil
	}
	return Decision{ID: r.ID, Action: Wait}, []Decision{q.refuse(now, victim.ID, fault.Overloaded)}
}

// waitsInTime reports whether a waiting request can finish in time.
func (q *Queue) waitsInTime(now time.Time, id uint64) bool {
	inTime := false
	q.eachStart(now, func(w *waiting, start time.Duration) bool {
		if w.ID == id {
			inTime = q.canFinishInTime(now, start, &w.Request)
		}
		return true
	})
	return inTime
}

// evict removes the waiting request whose place r takes, false if there is none. A nested call displaces the last request
// that is not nested; a nested call is only evicted for another one.
func (q *Queue) evict(r Request) (waiting, bool) {
	if last := len(q.others.requests) - 1; r.Nested && last >= 0 {
		q.counts.Displaced++
		return q.others.remove(last), true
	}
	l := q.line(&r)
	i, ok := l.evictionIndex(r)
	if !ok {
		return waiting{}, false
	}
	return l.remove(i), true
}

// start has a request take a slot.
func (q *Queue) start(now time.Time, r Request) Decision {
	q.running = append(q.running, active{Request: r, since: now})
	if r.Nested {
		q.counts.NestedStarts++
	}
	return Decision{ID: r.ID, Action: Run}
}

// serviceTime returns how long the request is expected to run.
func (q *Queue) serviceTime(r *Request) time.Duration {
	if r.ServiceTime > 0 {
		return r.ServiceTime
	}
	return durationOf(q.typicalSeconds())
}

// lateAllowance is how late an answer may come after the latency target for its request to keep waiting, in service
// times. A late answer has little value and gets a slot only when no other request needs it; a caller that is refused
// at once can retry or go elsewhere.
const lateAllowance = 1

// latestAnswer returns the time by which the answer must come for the request to wait: lateAllowance after its target
// time, at most its deadline; for a nested call its deadline.
func (q *Queue) latestAnswer(r *Request) time.Time {
	if r.TargetTime.IsZero() || r.Nested {
		return r.Deadline
	}
	late := r.TargetTime.Add(lateAllowance * q.serviceTime(r))
	if late.Before(r.Deadline) {
		return late
	}
	return r.Deadline
}

// TypicalServiceTime returns the mean service time plus its deviation.
func (q *Queue) TypicalServiceTime() time.Duration { return durationOf(q.typicalSeconds()) }

// typicalSeconds is TypicalServiceTime in seconds.
func (q *Queue) typicalSeconds() float64 { return q.meanServiceTime + q.serviceDeviation }

// refuse returns the decision that refuses a request.
func (q *Queue) refuse(now time.Time, id uint64, code fault.Code) Decision {
	return Decision{ID: id, Action: Refuse, Code: code, RetryAfter: q.RetryAfter(now)}
}

// RetryAfter returns roughly the time after which a further request could start, spread at random so that refused callers
// don't retry all at the same time.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	return q.spread(q.eachStart(now, func(*waiting, time.Duration) bool { return true }))
}

// spread returns the retry delay for the time after which a further request could start.
func (q *Queue) spread(start time.Duration) time.Duration {
	d := time.Duration(float64(start) * (minRetrySpread + retrySpreadRange*q.random.Float64()))
	return max(d, minRetryAfter)
}

// Done frees the slot of a request that ran for the given service time and decides about the waiting requests: some run,
// and those that can no longer finish in time are refused at once. A request that holds no slot frees none.
func (q *Queue) Done(now time.Time, id uint64, service time.Duration) []Decision {
	i := slices.IndexFunc(q.running, func(a active) bool { return a.ID == id })
	if i < 0 {
		return nil
	}
	q.running = slices.Delete(q.running, i, i+1)
	if service > 0 {
		diff := service.Seconds() - q.meanServiceTime
		q.meanServiceTime += diff * serviceSmoothing
		q.serviceDeviation += (max(diff, -diff) - q.serviceDeviation) * serviceSmoothing
	}
	return q.prune(now, q.fill(now))
}

// Fill starts waiting requests after the limits have changed.
func (q *Queue) Fill(now time.Time) []Decision { return q.prune(now, q.fill(now)) }

// Expire refuses the waiting requests that can no longer finish in time; call it at the time of NextCheck.
func (q *Queue) Expire(now time.Time) []Decision { return q.prune(now, nil) }

// Cancel removes a waiting request from the queue; false if it isn't waiting.
func (q *Queue) Cancel(id uint64) bool {
	for _, l := range []*line{&q.nested, &q.others} {
		if i := l.index(id); i >= 0 {
			l.remove(i)
			return true
		}
	}
	return false
}

// fill starts waiting requests while slots are free and refuses, without a RetryAfter yet, those of them whose deadline
// is too near.
func (q *Queue) fill(now time.Time) []Decision {
	var out []Decision
	for q.Busy() < q.slots && q.Waiting() > 0 {
		l := &q.others
		if q.turn.isNested(len(q.nested.requests), len(q.others.requests)) {
			l = &q.nested
		}
		others := len(q.others.requests)
		w := l.take(l.nextIndex(now, q.minServiceTime))
		if !now.Add(q.minServiceTime(&w.Request)).Before(w.Deadline) {
			out = append(out, Decision{ID: w.ID, Action: Refuse, Code: fault.DeadlineTooShort})
			continue
		}
		q.turn = q.turn.after(w.Nested, others)
		out = append(out, q.start(now, w.Request))
	}
	return out
}

// minServiceTime returns how long the request is expected to run, without an allowance for the deviation.
func (q *Queue) minServiceTime(r *Request) time.Duration {
	if r.ServiceTime > 0 {
		return min(r.ServiceTime, durationOf(q.meanServiceTime))
	}
	return durationOf(q.meanServiceTime)
}

// prune adds to out the refusals of the waiting requests that can no longer finish in time, sets the RetryAfter of all
// refusals in it and drops the finish tags of idle customers.
func (q *Queue) prune(now time.Time, out []Decision) []Decision {
	kept := len(out)
	further := q.eachStart(now, func(w *waiting, start time.Duration) bool {
		if q.canFinishInTime(now, start, &w.Request) {
			return true
		}
		out = append(out, Decision{ID: w.ID, Action: Refuse, Code: fault.DeadlineTooShort})
		return false
	})
	for _, d := range out[kept:] {
		q.Cancel(d.ID)
	}
	for i := range out {
		if out[i].Action == Refuse {
			out[i].RetryAfter = q.spread(further)
		}
	}
	q.nested.forgetIdle(q.Busy() == 0)
	q.others.forgetIdle(q.Busy() == 0)
	return out
}
