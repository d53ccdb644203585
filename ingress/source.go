package ingress

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

// arrivals counts a route's requests at this node, and those that came while the endpoint beside it had no work. Its own
// work's calls come only while it has some.
type arrivals struct {
	all, idle int
}

// with counts one more request.
func (a arrivals) with(idle bool) arrivals {
	a.all++
	if idle {
		a.idle++
	}
	return a
}

// source tells who uses the route: where the work that makes a call is not known by the call's id, nothing else tells it from
// a caller's request.
func (a arrivals) source() source {
	switch {
	case a.idle >= leastIdle && a.idle*leastIdleShare >= a.all:
		return fromCallers
	case a.idle == 0 && a.all >= leastCalls:
		return fromWork
	}
	return unknownSource
}
