package ingress

import (
	"sync"

	"github.com/lynxplank/lynxplank/retry"
)

// refusals is the memory of how much a service refuses, with its lock.
type refusals struct {
	mu sync.Mutex
	retry.Refusals
}

// refusals returns the memory of a service's refusals.
func (g *Ingress) refusals(service string) *refusals {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.refused[service]
	if r == nil {
		r = new(refusals)
		g.refused[service] = r
	}
	return r
}

// decide notes whether an attempt met overload and tells whether another may follow.
func (r *refusals) decide(a retry.Attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Record(a.Overloaded)
	return r.Decide(a)
}

// refusing tells whether the service turns most of its work away.
func (r *refusals) refusing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Refusing()
}
