package ingress

import (
	"context"
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
	// patientShare is the most of the time to spare before its aim that a request waits for a slot in its own hall.
	patientShare = 0.8
	// patientSize is the size, request and answer together, in bytes, at which a request waits half of that: below it, the
	// way to another hall costs little more than the asking for a slot there, about 1 KB.
	patientSize = 1000
	// usualShare is the share of ordinary work that the time kept for the work itself suffices for.
	usualShare = 0.8
	// half is the share of work that takes less than its usual time.
	half = 0.5
	// hallPause is the wait between two rounds over the hall's endpoints: a busy hall frees a slot about as often.
	hallPause = 20 * time.Millisecond
)

// routes remembers the times and sizes of the work that this node has sent, by route.
type routes struct {
	mu    sync.Mutex
	times *latency.Kinds
	sizes *simplelru.LRU[string, float64]
	seen  *simplelru.LRU[string, arrivals]
}

// arrivals counts a route's requests at this node, and those that came while the endpoint beside it had no work. Its own
// work's calls come only while it has some.
type arrivals struct {
	all, idle int
}

func newRoutes() *routes {
	sizes, err := simplelru.NewLRU[string, float64](mostRoutes, nil)
	if err != nil {
		// It fails for a size below one only.
		panic(err)
	}
	seen, err := simplelru.NewLRU[string, arrivals](mostRoutes, nil)
	if err != nil {
		panic(err)
	}
	return &routes{times: latency.NewKinds(), sizes: sizes, seen: seen}
}

const (
	// leastIdle is how many of a route's requests must have come while the endpoint had no work for the route to be callers'
	// and not its calls', and leastIdleShare the share of them, as one in so many: a call may outlive the work that made it.
	leastIdle      = 2
	leastIdleShare = 50
	// leastCalls is how many requests must have come, none of them without such work, for a route to be its calls'.
	leastCalls = 4
)

// source says who uses a route.
type source uint8

const (
	// unknownSource is a route of which too little was seen; its first few requests are taken as callers'.
	unknownSource source = iota
	// fromCallers is a route that callers use.
	fromCallers
	// fromWork is a route on which only the work of the endpoint beside this node seems to make calls.
	fromWork
)

// source counts a request and tells who uses its route. Nothing else tells a caller's request from a call of the
// endpoint beside this node, and the fleet's retries are a share of callers' requests only.
func (r *routes) source(route string, idle bool) source {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, _ := r.seen.Get(route)
	n.all++
	if idle {
		n.idle++
	}
	r.seen.Add(route, n)
	switch {
	case n.idle >= leastIdle && n.idle*leastIdleShare >= n.all:
		return fromCallers
	case n.idle == 0 && n.all >= leastCalls:
		return fromWork
	}
	return unknownSource
}

// note takes the time and the size of one served request.
func (r *routes) note(route string, work time.Duration, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times.Note(route, work)
	usual, ok := r.sizes.Get(route)
	if !ok {
		usual = float64(bytes)
	}
	r.sizes.Add(route, usual+(float64(bytes)-usual)*sizeMemory)
}

// aimPart is the part of its aim that work takes as long as nothing better is known, as one in so many.
const aimPart = 3

// usual returns the usual time of a route's work, a part of its aim while that is not known.
func (r *routes) usual(route string, aim time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if aim == 0 {
		return r.times.Of(route, 0).Quantile(half)
	}
	return r.times.Of(route, aim/aimPart).Quantile(half)
}

// patience returns how long a request with so much time left to its aim waits for a slot in its own hall, so that its
// bytes need not go to another: longer the more bytes it moves, and never so long that its work could not be in time.
func (r *routes) patience(route string, left time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	model := r.times.Of(route, 0)
	size, ok := r.sizes.Peek(route)
	if !ok || !model.Known() {
		return 0
	}
	spare := left - model.Quantile(usualShare)
	return max(0, time.Duration(patientShare*size/(size+patientSize)*float64(spare)))
}

// waitForHall waits a moment for a slot in the own hall, and tells whether the hall is to be asked again.
func (x *exchange) waitForHall(ctx context.Context) bool {
	if x.hallUntil.IsZero() {
		x.hallUntil = time.Now().Add(x.g.routes.patience(x.call.route.Key, x.aimLeft()))
	}
	if !time.Now().Add(hallPause).Before(x.hallUntil) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(hallPause):
	}
	return true
}
