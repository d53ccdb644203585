package ingress

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/lynxplank/lynxplank/latency"
)

const (
	// maxRoutes bounds the routes that are tracked, at about 100 bytes each.
	maxRoutes = 512
	// sizeSmoothing is the weight of the newest request in a route's average size.
	sizeSmoothing = 0.1
	// latencyTargetDivisor is the assumed ratio of latency target to work time on a route with too few samples.
	latencyTargetDivisor = 3
	// median is the quantile of the usual work time.
	median = 0.5
)

// routeStats tracks, by route, the requests that arrive at this node and the work that it sends to endpoints.
type routeStats struct {
	mu sync.Mutex
	// times models the time of the work; sizes averages the bytes of request and answer together.
	times    *latency.Models
	sizes    *simplelru.LRU[string, float64]
	arrivals *simplelru.LRU[string, arrivals]
	// idleArrivals counts the requests of all routes that arrived while the local endpoint was idle.
	idleArrivals int
}

func newRouteStats() *routeStats {
	return &routeStats{times: latency.NewModels(), sizes: newRouteCache[float64](), arrivals: newRouteCache[arrivals]()}
}

// newRouteCache returns a map by route that is bounded by maxRoutes.
func newRouteCache[T any]() *simplelru.LRU[string, T] {
	m, err := simplelru.NewLRU[string, T](maxRoutes, nil)
	if err != nil {
		// NewLRU fails only for a size below one.
		panic(err)
	}
	return m
}

// countArrival counts a request and returns the origin of the route's requests.
func (r *routeStats) countArrival(route string, idle bool) origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts, _ := r.arrivals.Get(route)
	counts = counts.with(idle)
	if idle {
		r.idleArrivals++
	}
	r.arrivals.Add(route, counts)
	return counts.origin()
}

// hasSeenIdle reports whether enough requests have arrived while the local endpoint was idle to tell which routes only that
// endpoint uses.
func (r *routeStats) hasSeenIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.idleArrivals >= minIdle
}

// record records the work time and the size of one served request.
func (r *routeStats) record(route string, work time.Duration, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times.Observe(route, work)
	average, ok := r.sizes.Get(route)
	if !ok {
		average = float64(bytes)
	}
	r.sizes.Add(route, average+(float64(bytes)-average)*sizeSmoothing)
}

// medianTime returns the median work time of a route, or a part of the latency target while there are too few samples.
func (r *routeStats) medianTime(route string, target time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.times.For(route, target/latencyTargetDivisor).Quantile(median)
}

// typicalTime returns the time that suffices for most of a route's work, or a part of the latency target while there
// are too few samples.
func (r *routeStats) typicalTime(route string, target time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.times.For(route, target/latencyTargetDivisor).Quantile(workQuantile)
}

// hallWait returns how long a request waits for a slot in its own hall to save traffic between halls. left is the time
// until its latency target. The wait grows with the bytes that the route's requests transfer, and leaves enough time for
// the work.
func (r *routeStats) hallWait(route string, left time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	model := r.times.For(route, 0)
	size, ok := r.sizes.Peek(route)
	if !ok || !model.Known() {
		return 0
	}
	slack := left - model.Quantile(workQuantile)
	return max(0, time.Duration(maxHallWaitShare*size/(size+halfWaitSize)*float64(slack)))
}
