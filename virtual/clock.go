package virtual

import "time"

// clock runs events in the order of their virtual time.
type clock struct {
	now time.Time
	// events is a binary min-heap.
	events  []event
	nextSeq uint64
}

// event is a function to run at a time, in nanoseconds since 1970; seq orders events of the same time as they were
// scheduled.
type event struct {
	at  int64
	seq uint64
	run func()
}

func (e event) before(f event) bool { return e.at < f.at || e.at == f.at && e.seq < f.seq }

func newClock() *clock { return &clock{now: time.Unix(0, 0)} }

// after schedules a function to run after a delay.
func (c *clock) after(d time.Duration, run func()) {
	c.nextSeq++
	e := event{at: c.now.Add(d).UnixNano(), seq: c.nextSeq, run: run}
	c.events = append(c.events, e)
	i := len(c.events) - 1
	for parent := (i - 1) / 2; i > 0 && e.before(c.events[parent]); parent = (i - 1) / 2 {
		c.events[i] = c.events[parent]
		i = parent
	}
	c.events[i] = e
}

// next removes the first event.
func (c *clock) next() event {
	first, n := c.events[0], len(c.events)-1
	last := c.events[n]
	c.events[n] = event{}
	c.events = c.events[:n]
	i := 0
	for child := 1; child < n; child = 2*i + 1 {
		if child+1 < n && c.events[child+1].before(c.events[child]) {
			child++
		}
		if !c.events[child].before(last) {
			break
		}
		c.events[i] = c.events[child]
		i = child
	}
	if n > 0 {
		c.events[i] = last
	}
	return first
}

// runUntil runs the events up to and including a time.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && c.events[0].at <= end.UnixNano() {
		e := c.next()
		c.now = time.Unix(0, e.at)
		e.run()
	}
	c.now = end
}
