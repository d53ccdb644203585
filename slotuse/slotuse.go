package slotuse

import (
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/breaker"
)

// maxRoutes bounds the routes that are told apart in one window; the others are added up.
const maxRoutes = 8

// LateAfter returns the age from which an unanswered request of a class is late, 0 if that is not known.
type LateAfter func(class breaker.RequestClass) time.Duration

// Seconds holds slot time by state.
type Seconds struct {
	// Working is the time with a request in the usual time, or with one whose answer has begun.
	Working time.Duration
	// Late is the time with a request that is unanswered for longer than usual.
	Late time.Duration
	// Idle is the time without a request.
	Idle time.Duration
	// Grant is the time for which slots were held for dispatches that were not confirmed yet.
	Grant time.Duration
}

// RouteUse is the slot time that the requests of one route took.
type RouteUse struct {
	// Route is the route's key, "" for all those beyond the bound.
	Route string
	// Working and Late are as in Seconds.
	Working, Late time.Duration
}

// Use is what the slots of an endpoint were used for in a window of time.
type Use struct {
	// For is the length of the window, Slots the number of slots at its end.
	For   time.Duration
	Slots int
	// Closed and Open are the slot times while the breaker was closed and while it was open.
	Closed, Open Seconds
	// Waiting is the time that requests waited in the queue, added up.
	Waiting time.Duration
	// Routes are the slot times by route, in the order in which the routes were met.
	Routes []RouteUse
}

// run is one request at the endpoint; settled is the time up to which it is accounted for.
type run struct {
	id       uint64
	route    string
	class    breaker.RequestClass
	start    time.Time
	settled  time.Time
	answered bool
}

// Meter adds up the use of an endpoint's slots. It is not safe for concurrent use; its owner must hold a lock.
type Meter struct {
	use Use
	// from is the start of the window, levelsAt the time up to which the levels are accounted for.
	from, levelsAt time.Time
	// slots, busy and waiting are the levels since levelsAt; open is the breaker's state.
	slots, busy, waiting int
	open                 bool
	runs                 []run
	// used is set once a slot was taken or a request waited in the window.
	used bool
}

// New returns a meter of an endpoint that is idle, with its breaker closed.
func New(now time.Time, slots int) *Meter { return &Meter{from: now, levelsAt: now, slots: slots} }

// seconds returns the slot times of the breaker's current state.
func (m *Meter) seconds() *Seconds {
	if m.open {
		return &m.use.Open
	}
	return &m.use.Closed
}

// integrate accounts for the levels up to a time.
func (m *Meter) integrate(now time.Time) {
	elapsed := now.Sub(m.levelsAt)
	if elapsed <= 0 {
		return
	}
	m.levelsAt = now
	s := m.seconds()
	s.Idle += elapsed * time.Duration(max(0, m.slots-m.busy))
	s.Grant += elapsed * time.Duration(max(0, m.busy-len(m.runs)))
	m.use.Waiting += elapsed * time.Duration(m.waiting)
}

// SetLevels records the number of slots, of slots that are taken, and of waiting requests.
func (m *Meter) SetLevels(now time.Time, slots, busy, waiting int) {
	m.integrate(now)
	m.slots, m.busy, m.waiting = slots, busy, waiting
	m.used = m.used || busy > 0 || waiting > 0
}

// SetBreaker records whether the breaker is open.
func (m *Meter) SetBreaker(now time.Time, open bool, late LateAfter) {
	if open == m.open {
		return
	}
	m.integrate(now)
	for i := range m.runs {
		m.settle(now, &m.runs[i], late)
	}
	m.open = open
}

// Begin records that a request was dispatched, by which a slot that was held for it is in use.
func (m *Meter) Begin(now time.Time, id uint64, route string, class breaker.RequestClass) {
	m.integrate(now)
	m.runs = append(m.runs, run{id: id, route: route, class: class, start: now, settled: now})
}

// find returns the index of a run, -1 if there is none with the ID.
func (m *Meter) find(id uint64) int {
	return slices.IndexFunc(m.runs, func(r run) bool { return r.id == id })
}

// Answer records that the answer to a request has begun: from then on it is not late.
func (m *Meter) Answer(now time.Time, id uint64, late LateAfter) {
	if i := m.find(id); i >= 0 {
		m.settle(now, &m.runs[i], late)
		m.runs[i].answered = true
	}
}

// End records that a request has ended; its slot is free once SetLevels says so.
func (m *Meter) End(now time.Time, id uint64, late LateAfter) {
	i := m.find(id)
	if i < 0 {
		return
	}
	m.integrate(now)
	m.settle(now, &m.runs[i], late)
	m.runs = slices.Delete(m.runs, i, i+1)
}

// settle accounts for a run up to a time.
func (m *Meter) settle(now time.Time, r *run, late LateAfter) {
	elapsed := now.Sub(r.settled)
	if elapsed <= 0 {
		return
	}
	overdue := time.Duration(0)
	if !r.answered {
		if after := late(r.class); after > 0 {
			overdue = min(elapsed, max(0, now.Sub(r.start)-after))
		}
	}
	r.settled = now
	s, route := m.seconds(), m.route(r.route)
	s.Working += elapsed - overdue
	s.Late += overdue
	route.Working += elapsed - overdue
	route.Late += overdue
}

// route returns the entry of a route, or that of the routes beyond the bound.
func (m *Meter) route(key string) *RouteUse {
	for i := range m.use.Routes {
		if r := &m.use.Routes[i]; r.Route == key {
			return r
		}
	}
	if len(m.use.Routes) >= maxRoutes && key != "" {
		return m.route("")
	}
	m.use.Routes = append(m.use.Routes, RouteUse{Route: key})
	return &m.use.Routes[len(m.use.Routes)-1]
}

// Take returns the use since the last Take and begins a new window; ok is false if the endpoint was idle all the time.
func (m *Meter) Take(now time.Time, late LateAfter) (use Use, ok bool) {
	m.integrate(now)
	for i := range m.runs {
		m.settle(now, &m.runs[i], late)
	}
	use, ok = m.use, m.used
	use.For, use.Slots = now.Sub(m.from), m.slots
	m.use, m.from, m.used = Use{}, now, m.busy > 0 || m.waiting > 0
	return use, ok
}
