package ingress

import (
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/slotsearch"
)

// search tracks how often the endpoints of one service that seemed to have a free slot had one, with its lock.
type search struct {
	mu sync.Mutex
	slotsearch.Search
	// bounded is set when that share limits the offers of a request.
	bounded bool
}

// search returns the tracker of a service's offers.
func (g *Ingress) search(service string) *search {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.searches[service]
	if s == nil {
		s = &search{bounded: g.cfg.EarlyRefusal}
		g.searches[service] = s
	}
	return s
}

// maxOffers returns how many of at most limit endpoints a request asks for a free slot.
func (s *search) maxOffers(limit int) int {
	if !s.bounded {
		return limit
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.MaxOffers(limit)
}

// maxHedgeInterval bounds the wait between two rounds of offers for a hedge.
const maxHedgeInterval = 4 * hedgeRetryInterval

// hedgeInterval returns the wait between two rounds of offers for a hedge: longer where a round asks fewer endpoints,
// since that many are rarely free.
func (s *search) hedgeInterval() time.Duration {
	return min(maxHedgeInterval, hedgeRetryInterval*maxHedgeOffers/time.Duration(s.maxOffers(maxHedgeOffers)))
}

// record records the result of an offer that did not wait: accepted when it was dispatched, otherwise by the code of its
// refusal. Codes that say nothing of free slots are not counted.
func (s *search) record(accepted bool, code fault.Code) {
	if !accepted && code != fault.Busy && code != fault.Suspect {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Record(accepted)
}
