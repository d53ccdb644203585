package admission

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// TestTagsOfSingleRequestsAreForgotten guards against a queue whose state grows with every customer that sends one request,
// such as a nested call without a customer's key, as long as the endpoint is never idle.
func TestTagsOfSingleRequestsAreForgotten(t *testing.T) {
	for _, nested := range []bool{false, true} {
		q := NewQueue(2, 10, rand.New(rand.NewPCG(1, 1)))
		now := time.Unix(0, 0)
		for i := range uint64(1000) {
			now = now.Add(time.Millisecond)
			q.Offer(now, Request{ID: i, Customer: "request " + strconv.FormatUint(i, 10), Deadline: now.Add(time.Second), Nested: nested})
			if i > 0 {
				q.Done(now, i-1, time.Millisecond)
			}
		}
		if got, limit := len(q.nested.finishTags)+len(q.others.finishTags), 10; got > limit {
			t.Errorf("customers remembered, nested %v: got %d, want at most %d", nested, got, limit)
		}
	}
}

// TestDeclinedReleaseIsForgotten guards against requests that wait for a slot which was asked for and is not given up:
// after the time in which it was expected, the usual estimate refuses them at once.
func TestDeclinedReleaseIsForgotten(t *testing.T) {
	q := NewQueue(1, 10, rand.New(rand.NewPCG(1, 1)))
	start := time.Unix(0, 0)
	q.Offer(start, Request{ID: 1, Deadline: start.Add(time.Minute), SlotTime: 100 * time.Millisecond})
	now := start.Add(10 * time.Second)
	q.ExpectRelease(1, now.Add(40*time.Millisecond))
	offer := func(id uint64) Action {
		d, _ := q.Offer(now, Request{ID: id, Deadline: now.Add(time.Second), ServiceTime: 10 * time.Millisecond, SlotTime: 10 * time.Millisecond})
		return d.Action
	}
	if got, want := offer(2), Wait; got != want {
		t.Errorf("while the slot is expected: got %v, want %v", got, want)
	}
	q.Cancel(2)
	now = now.Add(100 * time.Millisecond)
	if got, want := offer(3), Refuse; got != want {
		t.Errorf("after the slot was not given up: got %v, want %v", got, want)
	}
}
