package table

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxplank/lynxplank/region"
)

// EvacuatedHall is a hall whose endpoints get no new work.
type EvacuatedHall struct {
	// Hall is its name.
	Hall string
	// Since is when that began, 0 if nobody said.
	Since Moment
	// By is who said so: an operator's name, ByPlatform, or "" if nobody said.
	By string
}

// ByPlatform stands for the operators of the platform.
const ByPlatform = "platform"

// Evacuated tells whether a hall's endpoints get no new work, by the word of our operators or of the platform's.
func (s *State) Evacuated(hall string) bool {
	if s.halls.Len() == 0 && s.evacuations.Len() == 0 {
		return false
	}
	h, _ := s.halls.Get(hall)
	_, platform := s.evacuations.Get(hall)
	return bool(h.Value.Evacuated) || platform
}

// EvacuatedHalls returns the halls whose endpoints get no new work, by name; of two that said so the platform goes first.
func (s *State) EvacuatedHalls() []EvacuatedHall {
	found := make(map[string]EvacuatedHall)
	for it := s.halls.Iterator(); !it.Done(); {
		if hall, h, _ := it.Next(); h.Value.Evacuated {
			found[hall] = EvacuatedHall{Hall: hall, Since: h.Value.Since, By: h.Value.By}
		}
	}
	for it := s.evacuations.Iterator(); !it.Done(); {
		hall, e, _ := it.Next()
		found[hall] = EvacuatedHall{Hall: hall, Since: e.Value.At, By: ByPlatform}
	}
	out := make([]EvacuatedHall, 0, len(found))
	for _, hall := range slices.Sorted(maps.Keys(found)) {
		out = append(out, found[hall])
	}
	return out
}

// RegionOf returns the region that operators name for a hall, "" if they name none.
func (s *State) RegionOf(hall string) string {
	h, _ := s.halls.Get(hall)
	return h.Value.Region
}

// RegionBounds is a fingerprint of all routes and customers whose data may be in some regions alone, with these: it differs where one of
// them does.
func (s *State) RegionRulesHash() uint64 {
	var sum uint64
	note := func(kind Kind, key string, regions Names) {
		if regions != "" {
			// The order in which a map is gone through says nothing.
			sum ^= xxhash.Sum64String(kind.String() + "\x00" + key + "\x00" + string(regions))
		}
	}
	for it := s.routes.Iterator(); !it.Done(); {
		key, r, _ := it.Next()
		note(KindRoute, key, r.Value.Regions)
	}
	for it := s.customers.Iterator(); !it.Done(); {
		key, c, _ := it.Next()
		note(KindCustomer, key, c.Value.Regions)
	}
	for it := s.halls.Iterator(); !it.Done(); {
		key, h, _ := it.Next()
		note(KindHall, key, Names(h.Value.Region))
	}
	return sum
}

// RegionsFor returns the regions in which the data of a customer's requests of a route may be; both bind.
func (s *State) RegionsFor(r Route, customer string) region.Set {
	c, _ := s.Customer(customer)
	return region.Any.Intersect(r.Regions.List()).Intersect(c.Value.Regions.List())
}
