package slotsearch

import "math"

const (
	// smoothing is the weight of the newest offer in the share of accepted offers: about the last 20 offers count.
	smoothing = 0.05
	// fullSearchShare is the share of accepted offers from which a search asks as many endpoints as it may. One offer in
	// three succeeds then, so that six offers find a slot in more than nine searches of ten.
	fullSearchShare = 1.0 / 3
)

// Search holds, for one service, how often the endpoints that seemed to have a free slot had one. It answers the load
// under which nearly every endpoint is full or suspect: each further offer then costs a round trip and the processor
// time of two nodes, delays the request, and seldom finds a slot. The zero value has no offers. It is not safe for
// concurrent use; its owner must hold a lock.
type Search struct {
	// refused is the moving average of offers that were refused because the endpoint had no free slot or took only
	// trials.
	refused float64
}

// Record records whether an offer found a free slot.
func (s *Search) Record(accepted bool) {
	sample := 1.0
	if accepted {
		sample = 0
	}
	s.refused += (sample - s.refused) * smoothing
}

// Accepted returns the recent share of offers that found a free slot, 0 to 1, and 1 before the first offer.
func (s *Search) Accepted() float64 { return 1 - s.refused }

// MaxOffers returns how many of at most limit endpoints a request asks for a free slot.
//
// Invariant: it is at least 1 for a limit of at least 1, so that every request adds to what is known and a service
// whose endpoints become free is found to be so.
func (s *Search) MaxOffers(limit int) int {
	share := min(1, s.Accepted()/fullSearchShare)
	return min(limit, max(1, int(math.Ceil(share*float64(limit)))))
}
