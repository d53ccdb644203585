package ingress

import (
	"sync"

	"github.com/lynxplank/lynxplank/retry"
)

// refusals tracks the share of refusals of one service, with its lock.
type refusals struct {
	mu sync.Mutex
	retry.Refusals
}

// refusals returns the tracker of a service's refusals.
func (g *Ingress) refusals(service string) *refusals {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.refusalsByService[service]
	if r == nil {
		r = new(refusals)
		g.refusalsByService[service] = r
	}
	return r
}

// decide records whether an attempt met overload and reports whether another may follow.
func (r *refusals) decide(a retry.Attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Record(a.Overloaded)
	return r.Decide(a)
}

// noteOverload records that an attempt met overload.
func (r *refusals) noteOverload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Record(true)
}

// refusing reports whether the service refuses most of its work.
func (r *refusals) refusing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Refusing()
}
