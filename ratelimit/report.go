package ratelimit

import (
	"cmp"
	"slices"
)

// Usage counts a customer's requests at one node since the node started. In JSON, Granted is called "lent" and IsOwner
// "home".
type Usage struct {
	// Customer is the customer's name.
	Customer string `json:"customer"`
	// Limit and Burst are its limit for the whole fleet, in requests a second and at once.
	Limit float64 `json:"limit"`
	Burst float64 `json:"burst"`
	// Passed counts the sends to endpoints that passed here, Refused the requests that were refused because they
	// exceeded the limit.
	Passed  uint64 `json:"passed"`
	Refused uint64 `json:"refused"`
	// Granted counts the requests that this node has granted to other nodes, Unused the permits that were returned.
	Granted uint64 `json:"lent"`
	Unused  uint64 `json:"unused"`
	// IsOwner is set if this node is an owner of the customer's limit.
	IsOwner bool `json:"home"`
}

// Plus returns the sum of the counts of two nodes.
func (u Usage) Plus(o Usage) Usage {
	u.Passed += o.Passed
	u.Refused += o.Refused
	u.Granted += o.Granted
	u.Unused += o.Unused
	u.IsOwner = u.IsOwner || o.IsOwner
	return u
}

// usage returns a customer's counts. The caller holds l.mu.
func (l *Limiter) usage(customer string) *Usage {
	return l.usages.GetOrCreate(customer, func() *Usage { return &Usage{Customer: customer} })
}

// countRequest counts one request as passed or refused.
func (l *Limiter) countRequest(customer string, passed bool) {
	l.metrics.Limited(customer, passed)
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(customer)
	if passed {
		u.Passed++
	} else {
		u.Refused++
	}
}

// Report returns the usage of the customers with a limit that sent requests recently, those with the most refused
// requests first.
func (l *Limiter) Report() []Usage {
	state := l.snapshot().State
	l.mu.Lock()
	defer l.mu.Unlock()
	customers := l.usages.Customers()
	out := make([]Usage, 0, len(customers))
	for _, customer := range customers {
		u := *l.usage(customer)
		limit, _ := limitOf(state, customer)
		u.Limit, u.Burst, u.IsOwner = limit.Rate, limit.Burst, l.isOwner(customer)
		out = append(out, u)
	}
	slices.SortFunc(out, func(x, y Usage) int {
		return cmp.Or(cmp.Compare(y.Refused, x.Refused), cmp.Compare(x.Customer, y.Customer))
	})
	return out
}
