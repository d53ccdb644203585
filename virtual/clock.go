package virtual

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their virtual time.
type clock struct {
	now     time.Time
	events  eventHeap
	nextSeq uint64
}

// event is a function to run at a time; seq orders events of the same time as they were scheduled.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newClock() *clock { return &clock{now: time.Unix(0, 0)} }

// after schedules a function to run after a delay.
func (c *clock) after(d time.Duration, run func()) {
	c.nextSeq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: c.nextSeq, run: run})
}

// runUntil runs the events up to and including a time.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e, _ := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
