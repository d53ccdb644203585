package ingress

import (
	"sync"

	"github.com/lynxplank/lynxplank/retry"
)

// budget is a service's retry budget with its lock.
type budget struct {
	mu sync.Mutex
	*retry.Budget
}

// budget returns a service's retry budget, with this node's present part of the fleet's slack.
func (g *Ingress) budget(service string) *budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	burst := g.cfg.Retries.Burst(len(g.snapshot().Hosts))
	b := g.budgets[service]
	if b == nil {
		b = &budget{Budget: retry.NewBudget(burst)}
		g.budgets[service] = b
	}
	b.share(burst)
	return b
}

// share follows the number of hosts, among which the fleet's slack is shared out.
func (b *budget) share(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.SetBurst(burst)
}

// request counts one request's first send and earns its share of a retry.
func (b *budget) request(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Request(share)
}

// left tells whether a request that fails now could be sent again.
func (b *budget) left() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Left()
}

// tokens returns the retries that are left.
func (b *budget) tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Tokens()
}

// decide notes whether an attempt met overload and tells whether another may follow, which it then takes from the budget.
func (b *budget) decide(a retry.Attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Answer(a.Overloaded)
	return b.Decide(a)
}
