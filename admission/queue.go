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
	// ServiceTime is how long requests of this kind usually take; 0 means the usual time of all requests. An endpoint
	// serves requests of very different lengths: with one service time for all, a 1 ms lookup was refused because of
	// the half second that the bookings beside it take.
	ServiceTime time.Duration
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
	// Until is when a waiting request can no longer finish in time; the caller of Offer must call Expire then.
	Until time.Time
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

// waiting is a queued request with its start tag: the virtual time at which it may start.
type waiting struct {
	Request
	startTag float64
}

// durationOf converts seconds to a duration.
func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// Queue is the admission state of one endpoint. It is not safe for concurrent use; its owner must hold a lock.
//
// Invariant: at most the configured number of slots is taken at any time.
type Queue struct {
	// slots is how many requests may run at once, maxWaiting how many may wait, busy how many slots are taken.
	slots      int
	maxWaiting int
	busy       int
	// queue is sorted by priority, then by start tag.
	queue []waiting
	// virtualTime is the start tag of the last request taken from the queue; finishTags holds, for each customer, the
	// virtual time at which its last request finishes (start-time fair queueing).
	virtualTime float64
	finishTags  map[string]float64
	// meanServiceTime and serviceDeviation are moving averages of the service time and of its absolute deviation, in
	// seconds.
	meanServiceTime  float64
	serviceDeviation float64
	// pace is the minimum time between two starts, 0 for none.
	pace   time.Duration
	random *rand.Rand
}

// NewQueue returns an empty queue; random supplies the random spread of RetryAfter.
func NewQueue(slots, maxWaiting int, random *rand.Rand) *Queue {
	return &Queue{
		slots: slots, maxWaiting: maxWaiting, random: random,
		finishTags: make(map[string]float64), meanServiceTime: initialServiceTime.Seconds(),
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

// Busy returns the number of slots taken.
func (q *Queue) Busy() int { return q.busy }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.queue) }

// Offer decides about a new request. The second result refuses a waiting request that was evicted for the new one.
func (q *Queue) Offer(now time.Time, r Request) (Decision, []Decision) {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if q.busy < q.slots && len(q.queue) == 0 {
		q.busy++
		q.charge(r)
		return Decision{ID: r.ID, Action: Run}, nil
	}
	if r.NoWait {
		return q.refuse(r.ID, fault.Busy), nil
	}
	w := waiting{Request: r, startTag: q.startTag(r)}
	at, _ := slices.BinarySearchFunc(q.queue, w, func(a, b waiting) int {
		if a.Priority < b.Priority || a.Priority == b.Priority && a.startTag <= b.startTag {
			return -1
		}
		return 1
	})
	if !q.canFinishInTime(now, at, r) {
		return q.refuse(r.ID, fault.DeadlineTooShort), nil
	}
	var out []Decision
	if len(q.queue) >= q.maxWaiting {
		victim, ok := q.evictionIndex(r)
		if !ok {
			return q.refuse(r.ID, fault.Overloaded), nil
		}
		out = append(out, q.refuse(q.queue[victim].ID, fault.Overloaded))
		q.remove(victim)
		if victim < at {
			at--
		}
	}
	q.queue = slices.Insert(q.queue, at, w)
	q.charge(r)
	until := q.latestAnswer(r).Add(-q.serviceTime(r))
	return Decision{ID: r.ID, Action: Wait, Until: until}, out
}

// startTag is the virtual time at which the customer's next request may start (start-time fair queueing).
func (q *Queue) startTag(r Request) float64 { return max(q.virtualTime, q.finishTags[r.Customer]) }

// charge counts a request against its customer's share.
func (q *Queue) charge(r Request) { q.finishTags[r.Customer] = q.startTag(r) + 1/r.Weight }

// remove takes a waiting request that will not run out of the queue and refunds what its customer was charged.
func (q *Queue) remove(i int) {
	w := q.queue[i]
	q.queue = slices.Delete(q.queue, i, i+1)
	q.finishTags[w.Customer] -= 1 / w.Weight
}

// evictionIndex returns the index of the waiting request to evict for r, false if there is none. It picks the last
// request in the queue if that has a lower priority than r. Otherwise it picks, among requests of r's priority, the
// newest one of the customer that holds most of the queue relative to its weight, provided that is more than r's
// customer would hold.
func (q *Queue) evictionIndex(r Request) (int, bool) {
	if last := len(q.queue) - 1; last >= 0 && q.queue[last].Priority > r.Priority {
		return last, true
	}
	held := make(map[string]float64)
	for _, w := range q.queue {
		held[w.Customer] += 1 / w.Weight
	}
	ownHeld := held[r.Customer] + 1/r.Weight
	index, maxHeld := -1, ownHeld
	for i, w := range q.queue {
		if h := held[w.Customer]; w.Customer != r.Customer && w.Priority == r.Priority && h >= maxHeld && h > ownHeld {
			index, maxHeld = i, h
		}
	}
	return index, index >= 0
}

// canFinishInTime reports whether a request at an index of the queue can finish before latestAnswer.
func (q *Queue) canFinishInTime(now time.Time, index int, r Request) bool {
	turns := float64(index+1) / float64(max(q.slots, 1))
	// At most one typical service time passes until a slot becomes free; the request's own service time comes on top.
	wait := max(durationOf(turns*q.typicalSeconds()), time.Duration(index+1)*q.pace)
	need := wait + q.serviceTime(r)
	return now.Add(need).Before(q.latestAnswer(r))
}

// serviceTime returns how long the request is expected to run.
func (q *Queue) serviceTime(r Request) time.Duration {
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
// time, at most its deadline.
func (q *Queue) latestAnswer(r Request) time.Time {
	if r.TargetTime.IsZero() {
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
func (q *Queue) refuse(id uint64, code fault.Code) Decision {
	return Decision{ID: id, Action: Refuse, Code: code, RetryAfter: q.RetryAfter()}
}

// RetryAfter returns roughly the time in which the running and waiting requests finish, spread at random so that
// refused callers don't retry all at the same time.
func (q *Queue) RetryAfter() time.Duration {
	drain := float64(len(q.queue)+q.busy+1) / float64(max(q.slots, 1)) * q.meanServiceTime
	d := durationOf(drain * (minRetrySpread + retrySpreadRange*q.random.Float64()))
	return max(d, minRetryAfter)
}

// Done frees a slot after a request ran for the given service time and decides about the waiting requests: some run,
// and those that can no longer finish in time are refused at once.
func (q *Queue) Done(now time.Time, service time.Duration) []Decision {
	q.busy--
	if service > 0 {
		diff := service.Seconds() - q.meanServiceTime
		q.meanServiceTime += diff * serviceSmoothing
		q.serviceDeviation += (max(diff, -diff) - q.serviceDeviation) * serviceSmoothing
	}
	return q.fill(now)
}

// Expire refuses the waiting requests that can no longer finish in time; call it when a decision's Until has passed and
// no slot has become free.
func (q *Queue) Expire(now time.Time) []Decision { return q.prune(now) }

// Cancel removes a waiting request from the queue; false if it isn't waiting.
func (q *Queue) Cancel(id uint64) bool {
	i := slices.IndexFunc(q.queue, func(w waiting) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.remove(i)
	return true
}

// fill starts waiting requests while slots are free and refuses those that can no longer finish in time.
func (q *Queue) fill(now time.Time) []Decision {
	var out []Decision
	for q.busy < q.slots && len(q.queue) > 0 {
		i := q.nextIndex(now)
		w := q.queue[i]
		q.queue = slices.Delete(q.queue, i, i+1)
		q.virtualTime = max(q.virtualTime, w.startTag)
		if !now.Add(q.minServiceTime(w.Request)).Before(w.Deadline) {
			out = append(out, q.refuse(w.ID, fault.DeadlineTooShort))
			continue
		}
		q.busy++
		out = append(out, Decision{ID: w.ID, Action: Run})
	}
	return append(out, q.prune(now)...)
}

// nextIndex returns the index of the request to run next: the first whose answer can still come by its target time, or
// index 0 if there is none. Under overload, first come first served would answer every request late; this way late
// requests only get slots that no other request needs.
func (q *Queue) nextIndex(now time.Time) int {
	for i, w := range q.queue {
		if w.TargetTime.IsZero() || now.Add(q.minServiceTime(w.Request)).Before(w.TargetTime) {
			return i
		}
	}
	return 0
}

// minServiceTime returns how long the request is expected to run, without an allowance for the deviation.
func (q *Queue) minServiceTime(r Request) time.Duration {
	if r.ServiceTime > 0 {
		return min(r.ServiceTime, durationOf(q.meanServiceTime))
	}
	return durationOf(q.meanServiceTime)
}

// prune refuses the waiting requests that can no longer finish in time and drops the finish tags of idle customers.
func (q *Queue) prune(now time.Time) []Decision {
	var out []Decision
	for i := 0; i < len(q.queue); {
		if q.canFinishInTime(now, i, q.queue[i].Request) {
			i++
			continue
		}
		out = append(out, q.refuse(q.queue[i].ID, fault.DeadlineTooShort))
		q.remove(i)
	}
	if len(q.queue) == 0 {
		for c, f := range q.finishTags {
			if f <= q.virtualTime {
				delete(q.finishTags, c)
			}
		}
		if q.busy == 0 {
			clear(q.finishTags)
		}
	}
	return out
}
