package quota

import "time"

// Loan is a home's answer to a borrower.
type Allotment struct {
	// Granted is how many requests are lent.
	Count int
	// Wait is when there should be one, where none is lent.
	RetryDelay time.Duration
}

// Home lends a node's parts of the limits of which it is a home; its owner locks it. A node that is home to all customers, each with
// the part of one node, and borrows from itself alone, needs no word with others: that is what even shares come to.
//
// A home that is new to its customers begins with nothing saved, so that what the home before it has lent need not be known: after a
// start at once, for it is the same node's earlier life that has lent; after a change of the hosts once that has settled, for another
// node goes on until it has heard of the change.
type Home struct {
	settle  time.Duration
	buckets *PerCustomer[*Bucket]
	// from is when customers that this home has not met begin to come in.
	from time.Time
	// dropping is set while customers leave the container because they have other homes now.
	dropping bool
	now      time.Time
}

// NewHome returns the home of a node that starts; settle is the time in which a change of the hosts is known everywhere.
func NewHome(now time.Time, settle time.Duration) *Home {
	h := &Home{settle: settle, from: now}
	h.buckets = NewPerCustomer(h.forgotten)
	return h
}

// forgotten takes care that a customer that had to make room does not come back with what it has used already.
func (h *Home) forgotten(_ string, b *Bucket) {
	if !h.dropping && !b.full(h.now) && h.now.After(h.from) {
		h.from = h.now
	}
}

// Changed takes a new list of hosts, by which the node is home to the customers that mine says.
func (h *Home) Changed(now time.Time, mine func(customer string) bool) {
	h.now = now
	h.from = now.Add(h.settle)
	h.dropping = true
	h.buckets.Retain(mine)
	h.dropping = false
}

// Lend lends from the node's part of a customer's limit.
func (h *Home) Lend(now time.Time, customer string, part Limit, want int) Allotment {
	h.now = now
	b := h.buckets.Of(customer, func() *Bucket { return NewBucket(h.from, part) })
	b.SetLimit(now, part)
	if granted := b.Take(now, want); granted > 0 {
		return Allotment{Count: granted}
	}
	return Allotment{RetryDelay: b.RetryDelay(now)}
}

// Customers returns the customers that were met of late.
func (h *Home) Customers() []string { return h.buckets.Customers() }
