package egress

import (
	"slices"
	"time"
)

// stallPart is the part of an endpoint's slots, as one in so many, that callers who do not read may hold while nobody else wants one; who
// comes next finds the others free.
const stallPart = 4

// stall is a run that holds a slot only because its caller does not read; wanted is told once when another request wants the slot.
type stall struct {
	id     uint64
	wanted chan struct{}
}

// alive notes that a part of the answer to some work has come.
func (l *local) alive(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch.Progress(time.Now(), id)
}

// holdUp notes that the endpoint waits for the caller of some work, until over: that time says nothing of it.
func (l *local) holdUp(id uint64) (wanted <-chan struct{}, over func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch.Pause(time.Now(), id)
	s := stall{id: id, wanted: make(chan struct{}, 1)}
	l.stalls = append(l.stalls, s)
	if l.queue.Waiting() > 0 || len(l.stalls) > max(1, l.slots/stallPart) {
		l.press()
	}
	return s.wanted, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.stalls = slices.DeleteFunc(l.stalls, func(o stall) bool { return o.id == id })
		l.watch.Resume(time.Now(), id)
	}
}

// press asks the run that has waited longest for its caller to give its slot to a request that has found none; the lock is held.
func (l *local) press() {
	if len(l.stalls) == 0 {
		return
	}
	l.stalls[0].wanted <- struct{}{}
	l.stalls = l.stalls[1:]
}
