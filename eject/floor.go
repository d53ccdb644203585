package eject

import (
	"cmp"
	"slices"
	"time"
)

// enforceFloor ejects what is over the threshold, worst first, as far as the floor allows, and takes endpoints back
// when drains or a raised floor have left too little.
//
// Invariant: after every call the capacity of the usable endpoints that are neither ejected nor on trial is at least
// the floor's share of the whole service's capacity, or no endpoint is ejected or on trial.
func (s *Detector) enforceFloor(now time.Time) {
	total, inUse := s.capacities()
	floor := s.cfg.Floor * total
	for _, e := range s.sorted(func(e *endpoint) bool { return e.phase == LastChoice && e.Usable }) {
		if inUse-e.Capacity < floor {
			continue
		}
		inUse -= e.Capacity
		s.eject(now, e)
	}
	out := s.sorted(func(e *endpoint) bool { return out(e.phase) && e.Usable })
	for _, e := range slices.Backward(out) {
		if inUse >= floor {
			return
		}
		inUse += e.Capacity
		e.phase = LastChoice
		e.share = 1
		e.since = now
	}
}

func out(p Phase) bool { return p == Ejected || p == Trickle }

// capacities returns the capacity of all the endpoints and of those that take work. A draining endpoint counts in
// the first only, so that drains and ejections together never go below the floor by an ejection.
func (s *Detector) capacities() (total, inUse float64) {
	for _, e := range s.endpoints {
		total += e.Capacity
		if e.Usable && !out(e.phase) {
			inUse += e.Capacity
		}
	}
	return total, inUse
}

// sorted returns the chosen endpoints, highest score first.
func (s *Detector) sorted(choose func(*endpoint) bool) []*endpoint {
	var list []*endpoint
	for _, e := range s.endpoints {
		if choose(e) {
			list = append(list, e)
		}
	}
	if len(list) < 2 {
		return list
	}
	slices.SortStableFunc(list, func(a, b *endpoint) int {
		scoreA, _ := a.tests.worst()
		scoreB, _ := b.tests.worst()
		return cmp.Compare(scoreB, scoreA)
	})
	return list
}
