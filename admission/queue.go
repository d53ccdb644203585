package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

// Request is one request that wants a slot.
type Request struct {
	// ID is unique among the requests of the queue.
	ID uint64
	// Customer shares the queue with the others by weight.
	Customer string
	// Weight is the customer's share relative to the others; 0 stands for 1.
	Weight float64
	// Priority ranks the request among waiting ones, 0 first.
	Priority int
	// NoWait refuses the request as Busy when no slot is free.
	NoWait bool
	// Aim is when the answer loses most of its worth; the zero time stands for the deadline.
	TargetTime time.Time
	// Deadline is when the answer is no longer of use.
	Deadline time.Time
	// Work is how long such work takes; 0 stands for the usual time of all work. An endpoint's work is of very different
	// lengths: without it, a lookup of a millisecond was refused for the half second that a booking beside it takes.
	ServiceTime time.Duration
}

// Action says what becomes of a request.
type Action uint8

// The actions.
const (
	// Run takes a slot now.
	Run Action = iota
	// Wait stays in the queue until a later decision names it.
	Wait
	// Refuse ends the request; it was not run.
	Refuse
)

// Decision is what becomes of one request.
type Decision struct {
	// ID is the request's.
	ID uint64
	// Action says what to do.
	Action Action
	// Code gives the reason for a refusal.
	Code fault.Code
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	// Until is when a waiting request can no longer end in time; call Expire then.
	Until time.Time
}

const (
	// serviceMemory is the weight of the newest service time in the usual one.
	serviceMemory = 0.05
	// firstService stands for the usual service time before any was seen.
	firstService = 5 * time.Millisecond
	// leastRetryAfter is the shortest time after which a refused caller is asked to come back.
	leastRetryAfter = 20 * time.Millisecond
	// spreadLow and spreadWidth bound the random factor of that time: from spreadLow to their sum.
	spreadLow   = 0.75
	spreadWidth = 1.0
)

// waiting is a request in the queue, with the virtual time at which it may start.
type waiting struct {
	Request
	tag float64
}

// spanOf turns seconds into a time span.
func spanOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// Queue is the admission state of one endpoint; its owner locks it.
//
// Invariant: at most the set number of slots is taken at any time.
type Queue struct {
	// slots is how many requests run at once, most how many wait, busy the slots taken.
	slots int
	most  int
	busy  int
	// queue is sorted by rank and then by tag.
	queue []waiting
	// clock is the virtual time of the last start, finish that at which each customer's last request ends.
	clock  float64
	finish map[string]float64
	// service is the usual service time and spread its usual deviation, in seconds.
	service float64
	spread  float64
	random  *rand.Rand
}

// NewQueue returns an empty queue with its own random numbers for the spread of Retry-After.
func NewQueue(slots, most int, random *rand.Rand) *Queue {
	return &Queue{
		slots: slots, most: most, random: random,
		finish: make(map[string]float64), service: firstService.Seconds(),
	}
}

// SetLimits replaces the number of slots and of waiting requests; what runs is left to end.
func (q *Queue) SetLimits(slots, most int) {
	q.slots = slots
	q.most = most
}

// Busy returns the slots taken.
func (q *Queue) Busy() int { return q.busy }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.queue) }

// Offer decides about a new request; the second result names a waiting request that had to make room.
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
	w := waiting{Request: r, tag: q.startTag(r)}
	at, _ := slices.BinarySearchFunc(q.queue, w, func(a, b waiting) int {
		if a.Priority < b.Priority || a.Priority == b.Priority && a.tag <= b.tag {
			return -1
		}
		return 1
	})
	if !q.inTime(now, at, r) {
		return q.refuse(r.ID, fault.DeadlineTooShort), nil
	}
	var out []Decision
	if len(q.queue) >= q.most {
		victim, ok := q.victim(r)
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
	until := q.latest(r).Add(-q.work(r))
	return Decision{ID: r.ID, Action: Wait, Until: until}, out
}

// startTag is the virtual time at which the customer's next request may start (start-time fair queueing).
func (q *Queue) startTag(r Request) float64 { return max(q.clock, q.finish[r.Customer]) }

// charge counts a request against its customer's share.
func (q *Queue) charge(r Request) { q.finish[r.Customer] = q.startTag(r) + 1/r.Weight }

// remove takes out a waiting request that will not run, and gives its customer back what it was charged.
func (q *Queue) remove(i int) {
	w := q.queue[i]
	q.queue = slices.Delete(q.queue, i, i+1)
	q.finish[w.Customer] -= 1 / w.Weight
}

// victim returns the newest request of the lowest rank, if that is below the new one's; else the newest of the customer
// that holds the most of the queue for its weight, if that is more than the new request's customer would hold.
func (q *Queue) victim(r Request) (int, bool) {
	if last := len(q.queue) - 1; last >= 0 && q.queue[last].Priority > r.Priority {
		return last, true
	}
	held := make(map[string]float64)
	for _, w := range q.queue {
		held[w.Customer] += 1 / w.Weight
	}
	mine := held[r.Customer] + 1/r.Weight
	worst, most := -1, mine
	for i, w := range q.queue {
		if h := held[w.Customer]; w.Customer != r.Customer && w.Priority == r.Priority && h >= most && h > mine {
			worst, most = i, h
		}
	}
	return worst, worst >= 0
}

// inTime tells whether a request at a place in the queue can end before its answer is of little use.
func (q *Queue) inTime(now time.Time, place int, r Request) bool {
	turns := float64(place+1) / float64(max(q.slots, 1))
	// A turn takes a service time at most until a slot comes free, and the request its own time more.
	need := spanOf(turns*q.typical()) + q.work(r)
	return now.Add(need).Before(q.latest(r))
}

// work is how long a request's own work takes.
func (q *Queue) work(r Request) time.Duration {
	if r.ServiceTime > 0 {
		return r.ServiceTime
	}
	return spanOf(q.typical())
}

// lateGrace is how long after its aim an answer may come for its request to go on waiting, in usual service times. A
// late answer has little worth, and gets a slot only when nothing else wants one; a caller who is told at once can come
// back or go elsewhere.
const lateGrace = 1

// latest is when an answer must come for its request to wait.
func (q *Queue) latest(r Request) time.Time {
	if r.TargetTime.IsZero() {
		return r.Deadline
	}
	late := r.TargetTime.Add(lateGrace * q.work(r))
	if late.Before(r.Deadline) {
		return late
	}
	return r.Deadline
}

// Typical returns the usual service time with an allowance for its spread.
func (q *Queue) TypicalServiceTime() time.Duration { return spanOf(q.typical()) }

// typical is the usual service time with an allowance for its spread, in seconds.
func (q *Queue) typical() float64 { return q.service + q.spread }

func (q *Queue) refuse(id uint64, code fault.Code) Decision {
	return Decision{ID: id, Action: Refuse, Code: code, RetryAfter: q.RetryAfter()}
}

// RetryAfter is the time in which what is here now drains, spread so that callers don't come back together.
func (q *Queue) RetryAfter() time.Duration {
	drain := float64(len(q.queue)+q.busy+1) / float64(max(q.slots, 1)) * q.service
	d := spanOf(drain * (spreadLow + spreadWidth*q.random.Float64()))
	return max(d, leastRetryAfter)
}

// Done frees a slot after a service time and decides about the waiting requests: some run, and those that can no
// longer end in time are refused at once.
func (q *Queue) Done(now time.Time, service time.Duration) []Decision {
	q.busy--
	if service > 0 {
		diff := service.Seconds() - q.service
		q.service += diff * serviceMemory
		q.spread += (max(diff, -diff) - q.spread) * serviceMemory
	}
	return q.fill(now)
}

// Expire refuses the waiting requests that can no longer end in time while no slot comes free.
func (q *Queue) Expire(now time.Time) []Decision { return q.prune(now) }

// Cancel takes a waiting request out; false if it does not wait (any more).
func (q *Queue) Cancel(id uint64) bool {
	i := slices.IndexFunc(q.queue, func(w waiting) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.remove(i)
	return true
}

// fill has waiting requests run while slots are free, and refuses those that cannot end in time any more.
func (q *Queue) fill(now time.Time) []Decision {
	var out []Decision
	for q.busy < q.slots && len(q.queue) > 0 {
		i := q.first(now)
		w := q.queue[i]
		q.queue = slices.Delete(q.queue, i, i+1)
		q.clock = max(q.clock, w.tag)
		if !now.Add(q.least(w.Request)).Before(w.Deadline) {
			out = append(out, q.refuse(w.ID, fault.DeadlineTooShort))
			continue
		}
		q.busy++
		out = append(out, Decision{ID: w.ID, Action: Run})
	}
	return append(out, q.prune(now)...)
}

// first returns the place of the request that runs next: the first whose answer can still come by its aim. With more
// work than slots, first come first served would answer everything late; late answers get the slots that are left.
func (q *Queue) first(now time.Time) int {
	for i, w := range q.queue {
		if w.TargetTime.IsZero() || now.Add(q.least(w.Request)).Before(w.TargetTime) {
			return i
		}
	}
	return 0
}

// least is how long a request's work takes without an allowance for its spread.
func (q *Queue) least(r Request) time.Duration {
	if r.ServiceTime > 0 {
		return min(r.ServiceTime, spanOf(q.service))
	}
	return spanOf(q.service)
}

// prune refuses the waiting requests that cannot end in time any more, and forgets idle customers.
func (q *Queue) prune(now time.Time) []Decision {
	var out []Decision
	for i := 0; i < len(q.queue); {
		if q.inTime(now, i, q.queue[i].Request) {
			i++
			continue
		}
		out = append(out, q.refuse(q.queue[i].ID, fault.DeadlineTooShort))
		q.remove(i)
	}
	if len(q.queue) == 0 {
		for c, f := range q.finish {
			if f <= q.clock {
				delete(q.finish, c)
			}
		}
		if q.busy == 0 {
			clear(q.finish)
		}
	}
	return out
}
