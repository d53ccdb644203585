package quota

import "time"

// Allotment is an owner's answer to a request for an allotment: requests of one customer that the holder may let pass.
type Allotment struct {
	// Count is how many requests are granted, 0 for none.
	Count int
	// RetryDelay is after how long to ask again, if none are granted.
	RetryDelay time.Duration
}

// Owner grants allotments from this node's shares of the limits that it is an owner of. It does not lock: the caller
// serializes access. A node that owns one share per node of every limit, and asks only itself, needs to exchange no
// messages: that is the policy of even shares.
//
// A new owner's buckets start empty, so that it need not know what the previous owner has granted. After a restart they
// begin to fill at once, because what was granted before was granted by this same node. After a change of the hosts
// they begin once the change has settled, because the previous owner, another node, grants until it has learned of the
// change.
type Owner struct {
	settleDuration time.Duration
	buckets        *PerCustomer[*Bucket]
	// newBucketsFrom is when the buckets of customers that have none yet begin to fill.
	newBucketsFrom time.Time
	// reassigning is set while buckets are dropped because their customers have other owners now.
	reassigning bool
	// latest is the time of the latest call.
	latest time.Time
}

// NewOwner returns the Owner of a node that starts. settleDuration is the time within which every node learns of a
// change of the hosts.
func NewOwner(now time.Time, settleDuration time.Duration) *Owner {
	o := &Owner{settleDuration: settleDuration, newBucketsFrom: now}
	o.buckets = NewPerCustomer(o.onEvicted)
	return o
}

// onEvicted makes new buckets start empty now if the evicted one was not full: otherwise its customer could come back
// and be granted again what it has used already.
func (o *Owner) onEvicted(_ string, b *Bucket) {
	if !o.reassigning && !b.isFull(o.latest) && o.latest.After(o.newBucketsFrom) {
		o.newBucketsFrom = o.latest
	}
}

// HostsChanged records a new list of hosts, by which this node is an owner for the customers for which isOwner returns
// true.
func (o *Owner) HostsChanged(now time.Time, isOwner func(customer string) bool) {
	o.latest = now
	o.newBucketsFrom = now.Add(o.settleDuration)
	o.reassigning = true
	o.buckets.Retain(isOwner)
	o.reassigning = false
}

// Grant grants up to want requests from share, this node's share of a customer's limit.
func (o *Owner) Grant(now time.Time, customer string, share Limit, want int) Allotment {
	o.latest = now
	b := o.buckets.GetOrCreate(customer, func() *Bucket { return NewBucket(o.newBucketsFrom, share) })
	b.SetLimit(now, share)
	if granted := b.Take(now, want); granted > 0 {
		return Allotment{Count: granted}
	}
	return Allotment{RetryDelay: b.RetryDelay(now)}
}

// Customers returns the customers that were granted or refused requests recently.
func (o *Owner) Customers() []string { return o.buckets.Customers() }
