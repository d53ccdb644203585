package admission

import (
	"slices"
	"time"
)

// active is a request that holds a slot.
type active struct {
	Request
	since time.Time
	// yieldsWithin is the time within which a paused request gives up its slot for another one, 0 for a request that is
	// not paused; pausedAt is when it was paused.
	yieldsWithin time.Duration
	pausedAt     time.Time
	// releaseBy is when it is expected to have given up its slot, zero if it was not asked to.
	releaseBy time.Time
}

// active returns the request that holds a slot under an id, nil if there is none.
func (q *Queue) active(id uint64) *active {
	i := slices.IndexFunc(q.running, func(a active) bool { return a.ID == id })
	if i < 0 {
		return nil
	}
	return &q.running[i]
}

// Pause records that a running request does not proceed, for a reason that says nothing about the endpoint, and that it
// gives up its slot within a time once another request needs it.
func (q *Queue) Pause(now time.Time, id uint64, yieldsWithin time.Duration) {
	if a := q.active(id); a != nil {
		a.pausedAt, a.yieldsWithin = now, yieldsWithin
	}
}

// ExpectRelease records that a running request was asked to give up its slot and is expected to do so by a time. After that
// time, which passes if it keeps the slot, the usual estimate applies again.
func (q *Queue) ExpectRelease(id uint64, by time.Time) {
	if a := q.active(id); a != nil {
		a.releaseBy = by
	}
}

// Resume records that a paused request proceeds. The pause does not count as part of its service time.
func (q *Queue) Resume(now time.Time, id uint64) {
	if a := q.active(id); a != nil && a.yieldsWithin > 0 {
		a.since, a.yieldsWithin = a.since.Add(now.Sub(a.pausedAt)), 0
	}
}

// slotHeap is a min-heap of the times, from now on, after which slots become free.
type slotHeap []time.Duration

// next returns the time after which the first slot becomes free.
func (h slotHeap) next() time.Duration { return h[0] }

// occupy has the first free slot become free at a later time.
func (h slotHeap) occupy(until time.Duration) {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(h) {
			break
		}
		if child+1 < len(h) && h[child+1] < h[child] {
			child++
		}
		if h[child] >= until {
			break
		}
		h[i] = h[child]
		i = child
	}
	h[i] = until
}

// slotTimes returns the times after which the slots become free. A sorted slice is a min-heap. The result is valid until
// the next call.
func (q *Queue) slotTimes(now time.Time) slotHeap {
	times := q.scratch[:0]
	for i := range q.running {
		times = append(times, q.remaining(now, &q.running[i]))
	}
	for len(times) < q.slots {
		times = append(times, 0)
	}
	if len(times) == 0 {
		// Without a slot, nothing starts; the estimate is that of a single busy slot.
		times = append(times, durationOf(q.typicalSeconds()))
	}
	q.scratch = times
	slices.Sort(times)
	// After a reduction of the slots, the first requests to end free none.
	return slotHeap(times[len(times)-max(q.slots, 1):])
}

// remaining estimates how much longer a request holds its slot. One that is older than expected is expected to take as
// long again as it is overdue: the longer it has been overdue, the less its kind's usual time says about it.
func (q *Queue) remaining(now time.Time, a *active) time.Duration {
	if a.yieldsWithin > 0 {
		return a.yieldsWithin
	}
	if now.Before(a.releaseBy) {
		return a.releaseBy.Sub(now)
	}
	left := q.slotTime(&a.Request) - now.Sub(a.since)
	return max(left, -left)
}

// slotTime returns how long the request is expected to hold a slot.
func (q *Queue) slotTime(r *Request) time.Duration {
	if r.SlotTime > 0 {
		return r.SlotTime
	}
	return q.serviceTime(r)
}

// eachStart estimates by list scheduling when the waiting requests start, which take the slots in the order of the
// queue, and returns when one more request could start. It calls visit with each of them and the time until it starts;
// one for which visit returns false takes no slot.
func (q *Queue) eachStart(now time.Time, visit func(w *waiting, start time.Duration) bool) time.Duration {
	slots := q.slotTimes(now)
	start := max(slots.next(), q.pace)
	o := q.order()
	for w := o.next(); w != nil; w = o.next() {
		if !visit(w, start) {
			o.skip()
			continue
		}
		slots.occupy(start + q.slotTime(&w.Request))
		start = max(slots.next(), start+q.pace)
	}
	return start
}

// order is the order in which the waiting requests start.
type order struct {
	nested, others []waiting
	turn           turn
	before         turn
}

func (q *Queue) order() order {
	return order{nested: q.nested.requests, others: q.others.requests, turn: q.turn}
}

// next returns the next request to start, nil after the last.
func (o *order) next() *waiting {
	o.before = o.turn
	list := &o.others
	if o.turn.isNested(len(o.nested), len(o.others)) {
		list = &o.nested
	}
	if len(*list) == 0 {
		return nil
	}
	o.turn = o.turn.after(list == &o.nested, len(o.others))
	w := &(*list)[0]
	*list = (*list)[1:]
	return w
}

// skip takes back that the last request of next has started.
func (o *order) skip() { o.turn = o.before }

// maxNestedStarts is how many nested calls start in a row while other requests wait: at least one start in four is
// of a request that is not nested.
const maxNestedStarts = 3

// turn decides whose turn it is, that of the nested calls or that of the others. Its value is the number of nested calls
// that have started in a row while others waited.
type turn int

// isNested reports whether the next request to start is a nested call, by the numbers of those that wait.
func (t turn) isNested(nested, others int) bool {
	return nested > 0 && (others == 0 || t < maxNestedStarts)
}

// after returns the turn after a start, while a number of requests waited that were not nested.
func (t turn) after(nested bool, others int) turn {
	if !nested || others == 0 {
		return 0
	}
	return t + 1
}

// canFinishInTime reports whether a request that starts after a time can finish before latestAnswer.
func (q *Queue) canFinishInTime(now time.Time, start time.Duration, r *Request) bool {
	return q.slack(now, start, r) > 0
}

// slack is how much later than estimated the request may start.
func (q *Queue) slack(now time.Time, start time.Duration, r *Request) time.Duration {
	return q.latestAnswer(r).Sub(now) - start - q.serviceTime(r)
}

// minCheckInterval is the shortest time between two checks of the queue in which nothing has ended.
const minCheckInterval = 5 * time.Millisecond

// NextCheck returns when the owner has to call Expire if no request ends until then; false if no request waits.
//
// While nothing ends, an estimated start moves at most twice as fast as the time, when all slots are overdue, so no
// waiting request runs out of time before half its slack is over.
func (q *Queue) NextCheck(now time.Time) (time.Time, bool) {
	if q.Waiting() == 0 {
		return time.Time{}, false
	}
	least := time.Duration(1<<63 - 1)
	q.eachStart(now, func(w *waiting, start time.Duration) bool {
		least = min(least, q.slack(now, start, &w.Request))
		return true
	})
	return now.Add(max(least/2, minCheckInterval)), true
}
