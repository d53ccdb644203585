package quota

import (
	"math"
	"time"
)

// HolderConfig configures a Holder.
type HolderConfig struct {
	// AllotmentDuration is how long an allotment may be used, counted from the moment before it was requested.
	AllotmentDuration time.Duration
	// UnresponsiveBackoff is how long an owner that did not answer is not asked again.
	UnresponsiveBackoff time.Duration
	// MinBackoff and MaxBackoff bound how long an owner that granted nothing for a customer is not asked again for that
	// customer.
	MinBackoff, MaxBackoff time.Duration
}

// DefaultHolderConfig returns the configuration for a fleet whose nodes answer each other within a few milliseconds. An
// allotment duration of 250 ms adds a twentieth to what passes in a window of 5 s. An owner that every node of a hall
// asks five times a second for a customer beyond its limit spends about 1% of a core on it.
func DefaultHolderConfig() HolderConfig {
	return HolderConfig{
		AllotmentDuration: 250 * time.Millisecond, UnresponsiveBackoff: 250 * time.Millisecond,
		MinBackoff: 20 * time.Millisecond, MaxBackoff: 200 * time.Millisecond,
	}
}

// demandWindow is the time over which the rate of a customer's requests at this node is averaged.
const demandWindow = time.Second

// Holder keeps the allotments that owners have granted to this node, and when to ask which owner again. It does not
// lock: the caller serializes access.
//
// Invariant: a request passes only on an allotment that has not expired by the node's own monotonic clock. The
// allotment's duration counts from before it was requested, hence from before it was granted.
type Holder struct {
	cfg       HolderConfig
	customers *PerCustomer[*customerState]
	// unresponsiveUntil has, for each owner that did not answer, the time until which it is not asked again.
	unresponsiveUntil map[string]time.Time
}

// customerState is what a node holds and knows for one customer.
type customerState struct {
	// remaining is how many more requests may pass before expiresAt.
	remaining int
	expiresAt time.Time
	// demandRate is the customer's recent rate of requests at this node, in requests a second, as of demandAt.
	demandRate float64
	demandAt   time.Time
	// emptyUntil has, for each owner that granted nothing, the time until which it is not asked again for this
	// customer.
	emptyUntil map[string]time.Time
}

// NewHolder returns a Holder without allotments.
func NewHolder(cfg HolderConfig) *Holder {
	return &Holder{cfg: cfg, customers: NewPerCustomer[*customerState](nil), unresponsiveUntil: make(map[string]time.Time)}
}

func (h *Holder) customer(name string) *customerState {
	return h.customers.GetOrCreate(name, func() *customerState {
		return &customerState{emptyUntil: make(map[string]time.Time)}
	})
}

// Use lets one request pass if the node holds an allotment for the customer, and returns when that allotment expires.
func (h *Holder) Use(now time.Time, customer string) (expiresAt time.Time, ok bool) {
	c := h.customer(customer)
	if c.remaining == 0 || !now.Before(c.expiresAt) {
		c.remaining = 0
		return time.Time{}, false
	}
	c.remaining--
	return c.expiresAt, true
}

// Return takes back the use of an allotment that expires at expiresAt, for a request that reached no endpoint. It does
// nothing if that allotment has expired or the node holds one that expires at another time.
func (h *Holder) Return(now time.Time, customer string, expiresAt time.Time) {
	c := h.customer(customer)
	if !now.Before(expiresAt) || c.remaining > 0 && !c.expiresAt.Equal(expiresAt) {
		return
	}
	c.remaining++
	c.expiresAt = expiresAt
}

// RecordDemand counts a request of a customer. It returns how many requests to ask an owner for: those expected within
// one allotment duration, at least one.
func (h *Holder) RecordDemand(now time.Time, customer string) int {
	c := h.customer(customer)
	if !c.demandAt.IsZero() {
		c.demandRate *= math.Exp(-now.Sub(c.demandAt).Seconds() / demandWindow.Seconds())
	}
	c.demandRate += 1 / demandWindow.Seconds()
	c.demandAt = now
	return max(1, int(c.demandRate*h.cfg.AllotmentDuration.Seconds()))
}

// CanAsk reports whether an owner may be asked for a customer now: neither backoff for it is running.
func (h *Holder) CanAsk(now time.Time, customer, owner string) bool {
	return !now.Before(h.unresponsiveUntil[owner]) && !now.Before(h.customer(customer).emptyUntil[owner])
}

// CanAskAny reports whether any of the owners may be asked for a customer now.
func (h *Holder) CanAskAny(now time.Time, customer string, owners []string) bool {
	c := h.customer(customer)
	for _, owner := range owners {
		if !now.Before(h.unresponsiveUntil[owner]) && !now.Before(c.emptyUntil[owner]) {
			return true
		}
	}
	return false
}

// Add records an owner's answer to a request for an allotment that was sent at askedAt.
func (h *Holder) Add(askedAt, now time.Time, customer, owner string, a Allotment) {
	c := h.customer(customer)
	delete(h.unresponsiveUntil, owner)
	if a.Count == 0 {
		c.emptyUntil[owner] = now.Add(min(max(a.RetryDelay, h.cfg.MinBackoff), h.cfg.MaxBackoff))
		return
	}
	delete(c.emptyUntil, owner)
	expiresAt := askedAt.Add(h.cfg.AllotmentDuration)
	if c.remaining > 0 && c.expiresAt.Before(expiresAt) && now.Before(c.expiresAt) {
		// A new allotment must not extend an older one, so both expire with the older one.
		expiresAt = c.expiresAt
	}
	if !now.Before(c.expiresAt) {
		c.remaining = 0
	}
	c.remaining += a.Count
	c.expiresAt = expiresAt
}

// MarkUnresponsive records that an owner did not answer.
func (h *Holder) MarkUnresponsive(now time.Time, owner string) {
	h.unresponsiveUntil[owner] = now.Add(h.cfg.UnresponsiveBackoff)
}

// RetryDelay returns after how long one of the owners should have something to grant for a customer again. reached is
// false if none of them has answered recently.
func (h *Holder) RetryDelay(now time.Time, customer string, owners []string) (delay time.Duration, reached bool) {
	c := h.customer(customer)
	delay = h.cfg.MaxBackoff
	for _, owner := range owners {
		if at, ok := c.emptyUntil[owner]; ok && !now.Before(h.unresponsiveUntil[owner]) {
			reached = true
			delay = min(delay, at.Sub(now))
		}
	}
	return max(delay, h.cfg.MinBackoff), reached
}
