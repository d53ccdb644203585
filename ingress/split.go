package ingress

import (
	"math/rand/v2"
	"sync"

	"github.com/lynxplank/lynxplank/table"
)

const (
	// maxSplits bounds the routes whose shares are tracked.
	maxSplits = 10000
	// maxInitialSteps is about one round of weights in percent.
	maxInitialSteps = 100
)

// splits divides the requests of each split route among its services. Each node counts on its own: of any number of
// requests at a node, each service gets its share to within one or two, so the shares of the whole fleet hold without
// coordination.
type splits struct {
	mu      sync.Mutex
	byRoute map[string]*shares
}

// shares holds, for each part of a split, how far it is behind its share.
type shares struct {
	parts  []table.Part
	credit []float64
}

func newSplits() *splits { return &splits{byRoute: make(map[string]*shares)} }

// choose returns the service for a route's next request, by smooth weighted round-robin.
func (s *splits) choose(route string, parts []table.Part) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	sh := s.byRoute[route]
	if sh == nil || !sameParts(sh.parts, parts) {
		if len(s.byRoute) >= maxSplits {
			clear(s.byRoute)
		}
		sh = newShares(parts)
		s.byRoute[route] = sh
	}
	return sh.next()
}

func sameParts(a, b []table.Part) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// newShares starts at a random position of the round: otherwise nodes that start together would send their first
// requests to the same service.
func newShares(parts []table.Part) *shares {
	sh := &shares{parts: parts, credit: make([]float64, len(parts))}
	for range rand.IntN(maxInitialSteps) { //nolint:gosec // spreads the nodes, no secret
		sh.next()
	}
	return sh
}

func (sh *shares) next() string {
	total, best := 0.0, 0
	for i, p := range sh.parts {
		sh.credit[i] += p.Weight
		total += p.Weight
		if sh.credit[i] > sh.credit[best] {
			best = i
		}
	}
	sh.credit[best] -= total
	return sh.parts[best].Service
}
