package table

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxplank/lynxplank/region"
)

// EvacuatedHall describes a hall whose endpoints get no new work.
type EvacuatedHall struct {
	// Hall is the name of the hall.
	Hall string
	// Since is when the evacuation began, 0 if unknown.
	Since Moment
	// By is who evacuated it: an operator's name, ByPlatform, or "" if unknown.
	By string
}

// ByPlatform is the EvacuatedHall.By of evacuations by the platform's operators.
const ByPlatform = "platform"

// Evacuated reports whether a hall is evacuated, by the product's operators or by those of the platform.
func (s *State) Evacuated(hall string) bool {
	if s.halls.Len() == 0 && s.evacuations.Len() == 0 {
		return false
	}
	h, _ := s.halls.Get(hall)
	_, platform := s.evacuations.Get(hall)
	return bool(h.Value.Evacuated) || platform
}

// EvacuatedHalls returns the evacuated halls, sorted by name. For a hall that both the product's and the platform's
// operators have evacuated it returns the platform's evacuation.
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

// RegionOf returns the region that operators have set for a hall, "" if none.
func (s *State) RegionOf(hall string) string {
	h, _ := s.halls.Get(hall)
	return h.Value.Region
}

// RegionRulesHash returns a hash of the regions of all routes and customers whose data is restricted to certain
// regions, and of all halls with a region. It changes whenever one of these changes.
func (s *State) RegionRulesHash() uint64 {
	var sum uint64
	add := func(kind Kind, key string, regions Names) {
		if regions != "" {
			// XOR, because the order in which a map is visited is not defined.
			sum ^= xxhash.Sum64String(kind.String() + "\x00" + key + "\x00" + string(regions))
		}
	}
	for it := s.routes.Iterator(); !it.Done(); {
		key, r, _ := it.Next()
		add(KindRoute, key, r.Value.Regions)
	}
	for it := s.customers.Iterator(); !it.Done(); {
		key, c, _ := it.Next()
		add(KindCustomer, key, c.Value.Regions)
	}
	for it := s.halls.Iterator(); !it.Done(); {
		key, h, _ := it.Next()
		add(KindHall, key, Names(h.Value.Region))
	}
	return sum
}

// RegionsFor returns the regions in which the data of a customer's requests to a route may be: those that both the
// route and the customer allow.
func (s *State) RegionsFor(r Route, customer string) region.Set {
	c, _ := s.Customer(customer)
	return region.Any.Intersect(r.Regions.List()).Intersect(c.Value.Regions.List())
}
