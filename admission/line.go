package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// waiting is a queued request with its start tag: the virtual time at which it may start.
type waiting struct {
	Request
	startTag float64
}

// line is the waiting requests of one class, nested or not, and the shares of its customers (start-time fair queueing).
// The classes keep their shares apart: one virtual time for both would let nested calls of a customer move the requests
// of others that are not nested back.
type line struct {
	// requests is sorted by priority, then by start tag.
	requests []waiting
	// virtualTime is the start tag of the last request taken from the line; finishTags holds, for each customer, the
	// virtual time at which its last request finishes.
	virtualTime float64
	finishTags  map[string]float64
}

// startTag is the virtual time at which the customer's next request may start.
func (l *line) startTag(r Request) float64 { return max(l.virtualTime, l.finishTags[r.Customer]) }

// charge counts a request against its customer's share.
func (l *line) charge(r Request) { l.finishTags[r.Customer] = l.startTag(r) + 1/r.Weight }

// insert adds a request in its place and charges its customer.
func (l *line) insert(r Request) {
	w := waiting{Request: r, startTag: l.startTag(r)}
	at, _ := slices.BinarySearchFunc(l.requests, w, func(a, b waiting) int {
		if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
			return c
		}
		if a.startTag <= b.startTag {
			return -1
		}
		return 1
	})
	l.requests = slices.Insert(l.requests, at, w)
	l.charge(r)
}

// index returns the index of a waiting request, -1 if it isn't waiting.
func (l *line) index(id uint64) int {
	return slices.IndexFunc(l.requests, func(w waiting) bool { return w.ID == id })
}

// take removes a request that starts.
func (l *line) take(i int) waiting {
	w := l.requests[i]
	l.requests = slices.Delete(l.requests, i, i+1)
	l.virtualTime = max(l.virtualTime, w.startTag)
	return w
}

// remove takes a request that will not run out of the line and refunds what its customer was charged.
func (l *line) remove(i int) waiting {
	w := l.requests[i]
	l.requests = slices.Delete(l.requests, i, i+1)
	l.finishTags[w.Customer] -= 1 / w.Weight
	if l.finishTags[w.Customer] <= l.virtualTime {
		delete(l.finishTags, w.Customer)
	}
	return w
}

// forgetIdle drops the finish tags of customers without a share in the present; idle is set while nothing runs.
func (l *line) forgetIdle(idle bool) {
	if len(l.requests) > 0 {
		return
	}
	if idle {
		clear(l.finishTags)
		return
	}
	// While nothing waits, no start moves the virtual time. Without this step the tags of customers that send one request
	// each, such as nested calls without a customer's key, stayed until the endpoint was idle.
	if len(l.finishTags) > 0 {
		lowest := math.Inf(1)
		for _, f := range l.finishTags {
			lowest = min(lowest, f)
		}
		l.virtualTime = max(l.virtualTime, lowest)
	}
	for c, f := range l.finishTags {
		if f <= l.virtualTime {
			delete(l.finishTags, c)
		}
	}
}

// evictionIndex returns the index of the waiting request to evict for r, which is in the line already, false if there is
// none. It picks the last request in the line if that has a lower priority than r. Otherwise it picks, among requests of
// r's priority, the newest one of the customer that holds most of the line relative to its weight, provided that is more
// than r's customer holds.
func (l *line) evictionIndex(r Request) (int, bool) {
	if last := len(l.requests) - 1; last >= 0 && l.requests[last].Priority > r.Priority {
		return last, true
	}
	held := make(map[string]float64)
	for _, w := range l.requests {
		held[w.Customer] += 1 / w.Weight
	}
	ownHeld := held[r.Customer]
	index, maxHeld := -1, ownHeld
	for i, w := range l.requests {
		if h := held[w.Customer]; w.Customer != r.Customer && w.Priority == r.Priority && h >= maxHeld && h > ownHeld {
			index, maxHeld = i, h
		}
	}
	return index, index >= 0
}

// nextIndex returns the index of the request to run next: the first whose answer can still come by its target time, or
// index 0 if there is none. Under overload, first come first served would answer every request late; this way late
// requests only get slots that no other request needs.
func (l *line) nextIndex(now time.Time, service func(*Request) time.Duration) int {
	for i := range l.requests {
		w := &l.requests[i]
		if w.TargetTime.IsZero() || w.Nested || now.Add(service(&w.Request)).Before(w.TargetTime) {
			return i
		}
	}
	return 0
}
