package ingress

const (
	// minIdle is how many requests must have arrived while the local endpoint was idle for a route to count as used by
	// callers, and minIdleDivisor their minimum share of all requests, as one in so many: a call may outlive the work
	// that made it.
	minIdle        = 2
	minIdleDivisor = 50
	// minCalls is how many requests must have arrived, all while the local endpoint had work, for a route to count as
	// used by that endpoint's calls only.
	minCalls = 4
)

// origin says who sends the requests of a route to this node.
type origin uint8

const (
	// unknownOrigin is a route with too few requests to decide; they are treated as callers'.
	unknownOrigin origin = iota
	// fromCallers is a route that callers use.
	fromCallers
	// fromEndpoint is a route that apparently only the endpoint beside this node uses, for calls that its work makes.
	fromEndpoint
)

// arrivals counts a route's requests at this node, and those that arrived while the endpoint beside it was idle: that
// endpoint makes calls only while it has work.
type arrivals struct {
	all, idle int
}

// with returns the counts with one more request.
func (a arrivals) with(idle bool) arrivals {
	a.all++
	if idle {
		a.idle++
	}
	return a
}

// origin returns who uses the route. Where a call's id does not identify the work that made it, nothing else
// distinguishes it from a caller's request.
func (a arrivals) origin() origin {
	switch {
	case a.idle >= minIdle && a.idle*minIdleDivisor >= a.all:
		return fromCallers
	case a.idle == 0 && a.all >= minCalls:
		return fromEndpoint
	}
	return unknownOrigin
}
