package quota

import (
	"math"
	"time"
)

// Terms are what a borrower goes by.
type Terms struct {
	// Term is how long a loan may be used, from before it was asked for.
	Term time.Duration
	// Away is how long a home that did not answer is not asked again.
	Away time.Duration
	// LeastPause and MostPause bound how long a home that had nothing for a customer is not asked for it again.
	LeastPause, MostPause time.Duration
}

// DefaultTerms returns the terms of a fleet whose nodes answer each other within some milliseconds. A term of 250 ms adds a
// twentieth to what passes in a window of 5 s; a home asked five times a second for a customer that is beyond its limit, by each of
// a hall's nodes, spends about 1% of a core.
func DefaultTerms() Terms {
	return Terms{
		Term: 250 * time.Millisecond, Away: 250 * time.Millisecond,
		LeastPause: 20 * time.Millisecond, MostPause: 200 * time.Millisecond,
	}
}

// demandMemory is the time over which a customer's requests at one node are averaged.
const demandMemory = time.Second

// Borrower holds what homes have lent to a node; its owner locks it.
//
// Invariant: a request passes only on a loan, and within the term of the loan by the node's own steady clock, begun before the loan
// was asked for and so before it was lent.
type Borrower struct {
	terms    Terms
	holdings *PerCustomer[*holding]
	// away is until when homes that did not answer are not asked.
	away map[string]time.Time
}

// holding is what is held for one customer.
type holding struct {
	held  int
	until time.Time
	// demand is the customer's recent rate at this node, as it was at seen.
	demand float64
	seen   time.Time
	// empty is until when homes have nothing for the customer.
	empty map[string]time.Time
}

// NewBorrower returns a borrower that holds nothing.
func NewBorrower(t Terms) *Borrower {
	return &Borrower{terms: t, holdings: NewPerCustomer[*holding](nil), away: make(map[string]time.Time)}
}

func (b *Borrower) holding(customer string) *holding {
	return b.holdings.Of(customer, func() *holding { return &holding{empty: make(map[string]time.Time)} })
}

// Use lets one request pass on a loan that is held, and returns when that ends.
func (b *Borrower) Use(now time.Time, customer string) (until time.Time, ok bool) {
	p := b.holding(customer)
	if p.held == 0 || !now.Before(p.until) {
		p.held = 0
		return time.Time{}, false
	}
	p.held--
	return p.until, true
}

// Return gives back what was used, of a loan that ends at a time, for a request that reached no endpoint.
func (b *Borrower) Return(now time.Time, customer string, until time.Time) {
	p := b.holding(customer)
	if !now.Before(until) || p.held > 0 && !p.until.Equal(until) {
		return
	}
	p.held++
	p.until = until
}

// Arrived counts a request of a customer and returns how many to ask for: what should come within a term.
func (b *Borrower) Arrived(now time.Time, customer string) int {
	p := b.holding(customer)
	if !p.seen.IsZero() {
		p.demand *= math.Exp(-now.Sub(p.seen).Seconds() / demandMemory.Seconds())
	}
	p.demand += 1 / demandMemory.Seconds()
	p.seen = now
	return max(1, int(p.demand*b.terms.Term.Seconds()))
}

// May tells whether a home is to be asked for a customer now.
func (b *Borrower) May(now time.Time, customer, home string) bool {
	return !now.Before(b.away[home]) && !now.Before(b.holding(customer).empty[home])
}

// Lent takes a home's answer to a question that was asked at a time.
func (b *Borrower) Lent(asked, now time.Time, customer, home string, l Allotment) {
	p := b.holding(customer)
	delete(b.away, home)
	if l.Count == 0 {
		p.empty[home] = now.Add(min(max(l.RetryDelay, b.terms.LeastPause), b.terms.MostPause))
		return
	}
	delete(p.empty, home)
	until := asked.Add(b.terms.Term)
	if p.held > 0 && p.until.Before(until) && now.Before(p.until) {
		// What was lent earlier must not gain by what comes later: all goes by the earlier end.
		until = p.until
	}
	if !now.Before(p.until) {
		p.held = 0
	}
	p.held += l.Count
	p.until = until
}

// Silent notes a home that did not answer.
func (b *Borrower) Silent(now time.Time, home string) { b.away[home] = now.Add(b.terms.Away) }

// Wait returns when a home should have something for a customer again; reached is false when none of its homes has answered of late.
func (b *Borrower) Wait(now time.Time, customer string, homes []string) (wait time.Duration, reached bool) {
	p := b.holding(customer)
	wait = b.terms.MostPause
	for _, home := range homes {
		if at, ok := p.empty[home]; ok && !now.Before(b.away[home]) {
			reached = true
			wait = min(wait, at.Sub(now))
		}
	}
	return max(wait, b.terms.LeastPause), reached
}
