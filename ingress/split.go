package ingress

import (
	"math/rand/v2"
	"sync"

	"github.com/lynxplank/lynxplank/table"
)

// mostSplits bounds the routes whose shares are remembered.
const (
	mostSplits = 10000
	// mostSteps is about one round of weights in per cent.
	mostSteps = 100
)

// splits shares each split route's requests among its services. Each node counts for itself: of any number of its
// requests, a service gets its share to within one or two, and so the fleet's shares hold without agreement.
type splits struct {
	mu      sync.Mutex
	byRoute map[string]*shares
}

// shares is how far each part of a split is behind its share.
type shares struct {
	parts  []table.Part
	credit []float64
}

func newSplits() *splits { return &splits{byRoute: make(map[string]*shares)} }

// choose returns the service of a route's next request (smooth weighted round-robin).
func (s *splits) choose(route string, parts []table.Part) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.byRoute[route]
	if h == nil || !sameParts(h.parts, parts) {
		if len(s.byRoute) >= mostSplits {
			clear(s.byRoute)
		}
		h = newShares(parts)
		s.byRoute[route] = h
	}
	return h.next()
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

// newShares starts at a random place of the round: nodes that all began at the same one would send their first requests
// to the same service.
func newShares(parts []table.Part) *shares {
	h := &shares{parts: parts, credit: make([]float64, len(parts))}
	for range rand.IntN(mostSteps) { //nolint:gosec // spreads the nodes, no secret
		h.next()
	}
	return h
}

func (h *shares) next() string {
	total, best := 0.0, 0
	for i, p := range h.parts {
		h.credit[i] += p.Weight
		total += p.Weight
		if h.credit[i] > h.credit[best] {
			best = i
		}
	}
	h.credit[best] -= total
	return h.parts[best].Service
}
