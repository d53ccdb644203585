package ratelimit

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/metrics"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/quota"
	"github.com/lynxplank/lynxplank/table"
)

// Policy is how a customer's limit is divided between nodes.
type Policy string

// The policies. The strings are their names in the settings.
const (
	// PolicyAllotments lets the owners of a limit grant allotments to the nodes that need them.
	PolicyAllotments Policy = "lent"
	// PolicyEvenShares gives each node an equal share.
	PolicyEvenShares Policy = "even"
)

// Config configures a Limiter.
type Config struct {
	// Host is this node's host, Hall its hall.
	Host, Hall string
	// Policy is how limits are divided between nodes.
	Policy Policy
	// Settle is the time within which every node learns of a change of the hosts.
	Settle time.Duration
	// Window is the time over which limits are counted. Fallback is how many requests of each customer nodes that reach
	// no owner may pass in a window, over the whole fleet.
	Window   time.Duration
	Fallback int
}

// ownerTimeout is how long a node waits for an owner's answer before it asks another owner. Several round trips between
// regions (20 ms one way) would take too long for requests that must be answered within 100 ms.
const ownerTimeout = 40 * time.Millisecond

// retryJitter is the maximum random fraction of itself that is added to a retry delay, so that refused callers do not
// all retry at once.
const retryJitter = 0.5

// Links gives access to the links to peers.
type Links interface {
	// Session returns the link to a peer.
	Session(ctx context.Context, address string) (*peer.Session, error)
	// Usable reports whether a peer can be reached, as far as this node knows.
	Usable(address string) bool
}

// Limiter decides whether requests of customers with a limit may pass at this node. It is safe for concurrent use.
type Limiter struct {
	cfg      Config
	log      *zerolog.Logger
	snapshot func() *configsync.Snapshot
	links    Links
	metrics  *metrics.Metrics
	// now is a clock that also counts the time for which the host is suspended: an allotment expires meanwhile, and its
	// owner grants the same requests again. With a clock that stops during suspension, 69 requests passed on expired
	// allotments in 250 random fleets whose hosts were suspended; with this one, none.
	now clock.Clock

	mu        sync.Mutex
	hosts     []table.HostInfo
	placement *quota.Placement
	owner     *quota.Owner
	holder    *quota.Holder
	fallback  *quota.Fallback
	usages    *quota.PerCustomer[*Usage]
	// ownersOf caches the owners of customers by placement.
	ownersOf *quota.PerCustomer[*ownerList]
}

// ownerList holds the owners of a customer's limit.
type ownerList struct {
	// names are the IDs of the owners' hosts, the nearest first.
	names []string
	// isOwner is set if this node is one of them.
	isOwner bool
	// fallbackShare is this node's share of the fallback allotment, unknownShare until it is needed: it takes a pass over
	// all hosts.
	fallbackShare int
}

// unknownShare stands for a fallback share that has not been computed.
const unknownShare = -1

// Option configures a Limiter in New.
type Option func(*Limiter)

// WithClock replaces the clock.
func WithClock(c clock.Clock) Option { return func(l *Limiter) { l.now = c } }

// New returns the limiter of a node that starts.
func New(
	cfg Config, log *zerolog.Logger, snapshot func() *configsync.Snapshot, links Links, m *metrics.Metrics, opts ...Option,
) *Limiter {
	l := &Limiter{
		cfg: cfg, log: log, snapshot: snapshot, links: links, metrics: m, now: clock.Boot, holder: quota.NewHolder(quota.DefaultHolderConfig()),
		usages:   quota.NewPerCustomer[*Usage](nil),
		ownersOf: quota.NewPerCustomer[*ownerList](nil),
	}
	for _, opt := range opts {
		opt(l)
	}
	l.owner = quota.NewOwner(l.now(), cfg.Settle)
	l.fallback = quota.NewFallback(l.now(), cfg.Window)
	return l
}

// Observe records a snapshot that became active. It ignores snapshots from before the node is ready: their list of
// hosts has little more than the node itself, which would take itself for the owner of all customers, and then wait for
// the first full list to settle as if it were a change.
func (l *Limiter) Observe(snap *configsync.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if !snap.Ready || len(snap.Hosts) == 0 || sameList(l.hosts, snap.Hosts) {
		return
	}
	l.hosts = snap.Hosts
	next := placementOf(snap.Hosts)
	last := l.placement
	l.placement = next
	l.ownersOf = quota.NewPerCustomer[*ownerList](nil)
	if last != nil && !last.SameOwners(next) {
		l.owner.HostsChanged(now, l.isOwner)
	}
}

// sameList reports whether two lists are the same slice, without a comparison of their elements.
func sameList(a, b []table.HostInfo) bool { return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0] }

func placementOf(hosts []table.HostInfo) *quota.Placement {
	list := make([]quota.Host, 0, len(hosts))
	for _, h := range hosts {
		if !h.Leaving {
			list = append(list, quota.Host{ID: h.ID, Hall: h.Hall})
		}
	}
	return quota.NewPlacement(list)
}

// isOwner reports whether this node is an owner of a customer's limit. The caller holds l.mu.
func (l *Limiter) isOwner(customer string) bool { return l.owners(customer).isOwner }

func (l *Limiter) isSelf(h quota.Host) bool { return h.ID == l.cfg.Host }

// noOwners are the owners of every customer while the hosts are not known.
var noOwners = &ownerList{}

// owners returns the owners of a customer's limit, and none while the hosts are not known. The caller holds l.mu.
func (l *Limiter) owners(customer string) *ownerList {
	if l.placement == nil {
		return noOwners
	}
	return l.ownersOf.GetOrCreate(customer, func() *ownerList { return l.findOwners(customer) })
}

// findOwners computes the owners of a customer's limit, which takes some 10 us in a large fleet. The caller holds l.mu.
func (l *Limiter) findOwners(customer string) *ownerList {
	hosts := []quota.Host{{ID: l.cfg.Host, Hall: l.cfg.Hall}}
	if l.cfg.Policy != PolicyEvenShares {
		hosts = l.placement.Owners(customer)
		slices.SortStableFunc(hosts, func(x, y quota.Host) int { return l.distance(x) - l.distance(y) })
	}
	list := &ownerList{names: make([]string, 0, len(hosts)), isOwner: slices.ContainsFunc(hosts, l.isSelf), fallbackShare: unknownShare}
	for _, h := range hosts {
		list.names = append(list.names, h.ID)
	}
	return list
}

// distance ranks owners by proximity: 0 for this node, 1 for others in its hall, 2 for other halls.
func (l *Limiter) distance(h quota.Host) int {
	switch {
	case l.isSelf(h):
		return 0
	case h.Hall == l.cfg.Hall:
		return 1
	}
	return 2
}

// limitOf returns a customer's limit, false if it has none.
func limitOf(s *table.State, customer string) (quota.Limit, bool) {
	row, ok := s.Customer(customer)
	if !ok || row.Value.Limit == 0 {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: float64(row.Value.Limit), Burst: row.Value.BurstSize()}, true
}

// Grant answers a peer that asks for an allotment of up to want requests: it grants from this node's share of the
// customer's limit.
func (l *Limiter) Grant(customer string, want int) quota.Allotment {
	limit, ok := limitOf(l.snapshot().State, customer)
	if !ok {
		return quota.Allotment{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	allotment := l.grant(l.now(), customer, limit, want)
	l.usage(customer).Granted += uint64(allotment.Count) //nolint:gosec // not negative
	return allotment
}

// grant grants from this node's share of a limit, and nothing if this node is no owner of it. The caller holds l.mu.
func (l *Limiter) grant(now time.Time, customer string, limit quota.Limit, want int) quota.Allotment {
	if !l.isOwner(customer) {
		return quota.Allotment{}
	}
	shares := len(l.owners(customer).names)
	if l.cfg.Policy == PolicyEvenShares {
		shares = max(1, l.placement.HostCount())
	}
	return l.owner.Grant(now, customer, limit.Share(shares), want)
}

// Permit lets one request pass. Return takes it back if the request then reaches no endpoint.
type Permit struct {
	limiter   *Limiter
	customer  string
	expiresAt time.Time
}

// Return takes the permit back because the request has reached no endpoint.
func (p Permit) Return() {
	if p.limiter == nil || p.expiresAt.IsZero() {
		return
	}
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.limiter.holder.Return(p.limiter.now(), p.customer, p.expiresAt)
	p.limiter.usage(p.customer).Unused++
}

// Take returns a permit for one request of a customer. If there is none, it returns false and after how long to retry.
func (l *Limiter) Take(ctx context.Context, customer string) (Permit, time.Duration, bool) {
	limit, ok := limitOf(l.snapshot().State, customer)
	if !ok {
		return Permit{}, 0, true
	}
	permit, wait, ok := l.take(ctx, customer, limit)
	l.countRequest(customer, ok)
	return permit, wait, ok
}

// take decides about one request. While every owner has recently granted nothing or not answered, it asks none and needs
// the lock only once.
func (l *Limiter) take(ctx context.Context, customer string, limit quota.Limit) (Permit, time.Duration, bool) {
	l.mu.Lock()
	now := l.now()
	want := l.holder.RecordDemand(now, customer)
	owners := l.owners(customer)
	permit, ok := l.useHeld(now, customer)
	if ok || !l.holder.CanAskAny(now, customer, owners.names) {
		defer l.mu.Unlock()
		if ok {
			return permit, 0, true
		}
		return l.useFallback(now, customer, owners)
	}
	l.mu.Unlock()
	for i := 0; !ok && i < len(owners.names); i++ {
		permit, ok = l.requestFrom(ctx, owners.names[i], customer, limit, want)
	}
	if ok {
		return permit, 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.useFallback(l.now(), customer, owners)
}

// useHeld uses an allotment that this node holds. The caller holds l.mu.
func (l *Limiter) useHeld(now time.Time, customer string) (Permit, bool) {
	expiresAt, ok := l.holder.Use(now, customer)
	return Permit{limiter: l, customer: customer, expiresAt: expiresAt}, ok
}

// requestFrom requests an allotment from one owner and uses it for one request.
func (l *Limiter) requestFrom(ctx context.Context, owner, customer string, limit quota.Limit, want int) (Permit, bool) {
	asked := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holder.CanAsk(asked, customer, owner) {
		return Permit{}, false
	}
	if owner == l.cfg.Host {
		l.holder.Add(asked, asked, customer, owner, l.grant(asked, customer, limit, want))
		return l.useHeld(l.now(), customer)
	}
	l.mu.Unlock()
	allotment, ok := l.askPeer(ctx, owner, customer, want)
	l.mu.Lock()
	if !ok {
		l.holder.MarkUnresponsive(l.now(), owner)
		return Permit{}, false
	}
	now := l.now()
	l.holder.Add(asked, now, customer, owner, allotment)
	return l.useHeld(now, customer)
}

// askPeer requests an allotment from another node; it returns false if that node cannot be reached or does not answer
// in time.
func (l *Limiter) askPeer(ctx context.Context, owner, customer string, want int) (quota.Allotment, bool) {
	host, ok := l.snapshot().ByID[owner]
	if !ok || !l.links.Usable(host.Address) {
		return quota.Allotment{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	s, err := l.links.Session(ctx, host.Address)
	if err != nil {
		return quota.Allotment{}, false
	}
	granted, wait, err := s.RequestAllotment(ctx, customer, want)
	return quota.Allotment{Count: granted, RetryDelay: wait}, err == nil
}

// useFallback uses this node's share of the fallback allotment if no owner can be reached. Otherwise it returns after
// how long to retry. The caller holds l.mu.
func (l *Limiter) useFallback(now time.Time, customer string, owners *ownerList) (Permit, time.Duration, bool) {
	wait, reached := l.holder.RetryDelay(now, customer, owners.names)
	if !reached && l.placement != nil && l.fallback.Use(now, customer, l.fallbackShare(customer)) {
		return Permit{}, 0, true
	}
	return Permit{}, time.Duration(float64(wait) * (1 + retryJitter*rand.Float64())), false //nolint:gosec // spreads callers, no secret
}

// fallbackShare returns this node's share of the fallback allotment of a customer. The caller holds l.mu.
func (l *Limiter) fallbackShare(customer string) int {
	o := l.owners(customer)
	if o.fallbackShare == unknownShare {
		o.fallbackShare = l.placement.Share(l.cfg.Host, customer, l.cfg.Fallback)
	}
	return o.fallbackShare
}
