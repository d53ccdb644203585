package egress

import (
	"slices"
	"time"
)

// stalledSlotsDivisor limits how many of an endpoint's slots callers who do not read may hold while no other request
// wants one: the slots divided by it. New requests then find the other slots free.
const stalledSlotsDivisor = 4

// stall is a run that holds a slot only because its caller does not read. wanted receives once, when another request
// wants the slot.
type stall struct {
	id     uint64
	wanted chan struct{}
}

// noteProgress records that a part of a request's answer has arrived.
func (l *localEndpoint) noteProgress(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.monitor.Progress(time.Now(), id)
}

// noteStall records that the endpoint waits for a request's caller until over is called; that time says nothing about
// the endpoint.
func (l *localEndpoint) noteStall(id uint64) (wanted <-chan struct{}, over func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.monitor.Pause(now, id)
	l.queue.Pause(now, id, reclaimDelay+stallCheckInterval)
	s := stall{id: id, wanted: make(chan struct{}, 1)}
	l.stalls = append(l.stalls, s)
	if l.queue.Waiting() > 0 || len(l.stalls) > max(1, l.slots/stalledSlotsDivisor) {
		l.reclaimStalledSlot()
	}
	return s.wanted, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.stalls = slices.DeleteFunc(l.stalls, func(o stall) bool { return o.id == id })
		now := time.Now()
		l.monitor.Resume(now, id)
		l.queue.Resume(now, id)
	}
}

// reclaimStalledSlot asks the run that has waited longest for its caller to give its slot to a request that found
// none free; the lock must be held.
func (l *localEndpoint) reclaimStalledSlot() {
	if len(l.stalls) == 0 {
		return
	}
	l.stalls[0].wanted <- struct{}{}
	l.stalls = l.stalls[1:]
}
