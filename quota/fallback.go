package quota

import "time"

// Fallback is the fallback allotment: what a node may let pass of a customer while it reaches none of the customer's
// owners. The fleet-wide fallback is divided among the hosts, so that all nodes together pass no more than it in a
// window, whichever of them are cut off from each other. It does not lock: the caller serializes access.
type Fallback struct {
	window time.Duration
	// opensAt is the end of the first window.
	opensAt time.Time
	// passed has the times at which requests of each customer passed within the window.
	passed *PerCustomer[*[]time.Time]
}

// NewFallback returns the fallback allotment of a node that starts.
//
// Invariant: it counts as used up in the first window, because an earlier run of the node may have used it.
func NewFallback(now time.Time, window time.Duration) *Fallback {
	return &Fallback{window: window, opensAt: now.Add(window), passed: NewPerCustomer[*[]time.Time](nil)}
}

// Use lets one request of a customer pass if the node has passed fewer than share in the window that ends now.
func (f *Fallback) Use(now time.Time, customer string, share int) bool {
	if now.Before(f.opensAt) {
		return false
	}
	passed := f.passed.GetOrCreate(customer, func() *[]time.Time { return new([]time.Time) })
	for len(*passed) > 0 && !now.Before((*passed)[0].Add(f.window)) {
		*passed = (*passed)[1:]
	}
	if len(*passed) >= share {
		return false
	}
	*passed = append(*passed, now)
	return true
}
