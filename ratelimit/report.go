package ratelimit

import (
	"cmp"
	"slices"
)

// Use is what came of a customer's requests at one node since it started.
type Usage struct {
	// Customer is the customer's name.
	Customer string `json:"customer"`
	// Limit and Burst are its limit for the whole fleet, in requests a second and at once.
	Limit float64 `json:"limit"`
	Burst float64 `json:"burst"`
	// Passed counts the sends that passed here, Refused the requests that were refused as beyond the limit.
	Passed  uint64 `json:"passed"`
	Refused uint64 `json:"refused"`
	// Lent counts what this node has lent to others, Unused what passed and reached no endpoint.
	Granted uint64 `json:"lent"`
	Unused  uint64 `json:"unused"`
	// Home is set where this node is a home of the customer's limit.
	IsOwner bool `json:"home"`
}

// With returns the counts with those of another node added.
func (u Usage) Plus(o Usage) Usage {
	u.Passed += o.Passed
	u.Refused += o.Refused
	u.Granted += o.Granted
	u.Unused += o.Unused
	u.IsOwner = u.IsOwner || o.IsOwner
	return u
}

// use is the customer's counts; the lock is held.
func (a *Limiter) use(customer string) *Usage {
	return a.used.Of(customer, func() *Usage { return &Usage{Customer: customer} })
}

// count counts one request.
func (a *Limiter) count(customer string, passed bool) {
	a.metrics.Limited(customer, passed)
	a.mu.Lock()
	defer a.mu.Unlock()
	u := a.use(customer)
	if passed {
		u.Passed++
	} else {
		u.Refused++
	}
}

// Report returns the customers with a limit that were met of late, those that were refused most first.
func (a *Limiter) Report() []Usage {
	state := a.snapshot().State
	a.mu.Lock()
	defer a.mu.Unlock()
	customers := a.used.Customers()
	out := make([]Usage, 0, len(customers))
	for _, customer := range customers {
		u := *a.use(customer)
		limit, _ := limitOf(state, customer)
		u.Limit, u.Burst, u.IsOwner = limit.Rate, limit.Burst, a.isHome(customer)
		out = append(out, u)
	}
	slices.SortFunc(out, func(x, y Usage) int {
		return cmp.Or(cmp.Compare(y.Refused, x.Refused), cmp.Compare(x.Customer, y.Customer))
	})
	return out
}
