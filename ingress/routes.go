package ingress

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/lynxplank/lynxplank/latency"
)

const (
	// mostRoutes bounds the routes whose work is remembered, about 100 bytes each.
	mostRoutes = 512
	// sizeMemory is the weight of the newest request in a route's usual size.
	sizeMemory = 0.1
	// aimPart is the part of its aim that work takes as long as nothing better is known, as one in so many.
	aimPart = 3
	// half is the share of work that takes less than its usual time.
	half = 0.5
)

// routes remembers what this node has seen of the work that it sends, by route.
type routes struct {
	mu sync.Mutex
	// times are the times of the work, sizes the bytes of request and answer together.
	times *latency.Models
	sizes *simplelru.LRU[string, float64]
	seen  *simplelru.LRU[string, arrivals]
}

func newRoutes() *routes {
	return &routes{times: latency.NewModels(), sizes: newMemory[float64](), seen: newMemory[arrivals]()}
}

// newMemory returns a bounded map by route.
func newMemory[T any]() *simplelru.LRU[string, T] {
	m, err := simplelru.NewLRU[string, T](mostRoutes, nil)
	if err != nil {
		// It fails for a size below one only.
		panic(err)
	}
	return m
}

// source counts a request and tells who uses its route.
func (r *routes) source(route string, idle bool) source {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen, _ := r.seen.Get(route)
	seen = seen.with(idle)
	r.seen.Add(route, seen)
	return seen.source()
}

// note takes the time and the size of one served request.
func (r *routes) note(route string, work time.Duration, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times.Observe(route, work)
	usual, ok := r.sizes.Get(route)
	if !ok {
		usual = float64(bytes)
	}
	r.sizes.Add(route, usual+(float64(bytes)-usual)*sizeMemory)
}

// usual returns the usual time of a route's work, a part of its aim while that is not known.
func (r *routes) usual(route string, aim time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.times.For(route, aim/aimPart).Quantile(half)
}

// ordinary returns the time that suffices for most of a route's work, a part of its aim while that is not known.
func (r *routes) ordinary(route string, aim time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.times.For(route, aim/aimPart).Quantile(usualShare)
}

// patience returns how long a request with so much time left to its aim waits for a slot in its own hall, so that its
// bytes need not go to another: longer the more bytes it moves, and never so long that its work could not be in time.
func (r *routes) patience(route string, left time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	model := r.times.For(route, 0)
	size, ok := r.sizes.Peek(route)
	if !ok || !model.Known() {
		return 0
	}
	spare := left - model.Quantile(usualShare)
	return max(0, time.Duration(patientShare*size/(size+patientSize)*float64(spare)))
}
