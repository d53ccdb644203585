package eject

import (
	"cmp"
	"slices"
	"time"
)

// enforceFloor ejects the endpoints over the threshold, highest score first, as far as the floor allows. It takes
// endpoints back when drains or a raised floor have left too little capacity in use.
//
// Invariant: after every call the capacity of the usable endpoints that are neither ejected nor in the trickle phase is
// at least the floor's share of the service's capacity, or no endpoint is ejected or in the trickle phase.
func (d *Detector) enforceFloor(now time.Time) {
	total, inUse := d.capacities()
	floor := d.cfg.Floor * total
	for _, e := range d.byScore(func(e *endpoint) bool { return e.phase == LastChoice && e.Usable }) {
		if inUse-e.Capacity < floor {
			continue
		}
		inUse -= e.Capacity
		d.eject(now, e)
	}
	returnable := d.byScore(func(e *endpoint) bool { return ejected(e.phase) && e.Usable })
	for _, e := range slices.Backward(returnable) {
		if inUse >= floor {
			return
		}
		inUse += e.Capacity
		e.phase = LastChoice
		e.share = 1
		e.since = now
	}
}

// ejected reports whether endpoints of a phase get no ordinary requests.
func ejected(p Phase) bool { return p == Ejected || p == Trickle }

// capacities returns the capacity of all endpoints and of those in use. A draining endpoint counts only for the first,
// so that drains and ejections together never fall below the floor because of an ejection.
func (d *Detector) capacities() (total, inUse float64) {
	for _, e := range d.endpoints {
		total += e.Capacity
		if e.Usable && !ejected(e.phase) {
			inUse += e.Capacity
		}
	}
	return total, inUse
}

// byScore returns the endpoints that match, highest score first.
func (d *Detector) byScore(match func(*endpoint) bool) []*endpoint {
	var list []*endpoint
	for _, e := range d.endpoints {
		if match(e) {
			list = append(list, e)
		}
	}
	if len(list) < 2 {
		return list
	}
	slices.SortStableFunc(list, func(a, b *endpoint) int {
		scoreA, _ := a.tests.highest()
		scoreB, _ := b.tests.highest()
		return cmp.Compare(scoreB, scoreA)
	})
	return list
}
