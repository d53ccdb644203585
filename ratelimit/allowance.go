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

// Policy says how customers are kept to their limits.
type Policy string

// The policies.
const (
	// Lent has the homes of a limit lend it to the nodes that need it.
	Lent Policy = "lent"
	// Even gives each node an equal part.
	Even Policy = "even"
)

// Config is the limits' section of the settings.
type Config struct {
	// Host is this node's host, Hall its hall.
	Host, Hall string
	// Policy says how limits are kept.
	Policy Policy
	// Settle is the time in which a change of the hosts is known everywhere.
	Settle time.Duration
	// Window is the time over which limits are counted, Spare how many requests of each customer the whole fleet may pass in one by
	// nodes that reach no home.
	Window   time.Duration
	Fallback int
}

// patience is how long a home's answer is waited for: several round trips between regions (20 ms one way) are too long for requests
// wanted within 100 ms, and another home is asked instead.
const patience = 40 * time.Millisecond

// spread is by how much of itself the time to come back varies, so that those who are refused do not come together.
const spread = 0.5

// Links are the links to peers.
type Links interface {
	// Session returns the link to a peer.
	Session(ctx context.Context, address string) (*peer.Session, error)
	// Usable tells whether a peer can be reached as far as is known.
	Usable(address string) bool
}

// Allowance is safe for concurrent use.
type Limiter struct {
	cfg      Config
	log      *zerolog.Logger
	snapshot func() *configsync.Snapshot
	links    Links
	metrics  *metrics.Metrics
	// now counts the time in which the host is suspended: a loan ends at its home meanwhile, which lends it again. By
	// a steady clock 69 requests pass by loans that have ended in 250 drawn fleets whose hosts are suspended, by this one none.
	now clock.Clock

	mu       sync.Mutex
	hosts    []table.HostInfo
	place    *quota.Place
	home     *quota.Home
	borrower *quota.Borrower
	spare    *quota.Spare
	used     *quota.PerCustomer[*Usage]
}

// Option changes an allowance under construction.
type Option func(*Limiter)

// WithClock replaces the clock.
func WithClock(c clock.Clock) Option { return func(a *Limiter) { a.now = c } }

// New returns the allowance of a node that starts.
func New(
	cfg Config, log *zerolog.Logger, snapshot func() *configsync.Snapshot, links Links, m *metrics.Metrics, opts ...Option,
) *Limiter {
	a := &Limiter{
		cfg: cfg, log: log, snapshot: snapshot, links: links, metrics: m, now: clock.Boot, borrower: quota.NewBorrower(quota.DefaultTerms()),
		spare: quota.NewSpare(cfg.Window), used: quota.NewPerCustomer[*Usage](nil),
	}
	for _, opt := range opts {
		opt(a)
	}
	a.home = quota.NewHome(a.now(), cfg.Settle)
	return a
}

// Observe takes a new snapshot in force. Before the node is ready its list shows little more than itself: with that it would take
// itself for the home of all customers, and then wait for the list to settle with which it has started.
func (a *Limiter) Observe(snap *configsync.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if !snap.Ready || len(snap.Hosts) == 0 || sameList(a.hosts, snap.Hosts) {
		return
	}
	a.hosts = snap.Hosts
	next := placeOf(snap.Hosts)
	last := a.place
	a.place = next
	if last != nil && !last.Same(next) {
		a.home.Changed(now, a.isHome)
	}
}

// sameList tells whether two lists are one and the same.
func sameList(a, b []table.HostInfo) bool { return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0] }

func placeOf(hosts []table.HostInfo) *quota.Place {
	list := make([]quota.Host, 0, len(hosts))
	for _, h := range hosts {
		if !h.Leaving {
			list = append(list, quota.Host{ID: h.ID, Hall: h.Hall})
		}
	}
	return quota.NewPlace(list)
}

// isHome tells whether this node is a home of a customer; the lock is held.
func (a *Limiter) isHome(customer string) bool {
	return slices.ContainsFunc(a.homes(customer), a.own)
}

func (a *Limiter) own(h quota.Host) bool { return h.ID == a.cfg.Host }

// homes are the homes of a customer, those of the own hall first, none while the hosts are not known; the lock is held.
func (a *Limiter) homes(customer string) []quota.Host {
	if a.place == nil {
		return nil
	}
	if a.cfg.Policy == Even {
		return []quota.Host{{ID: a.cfg.Host, Hall: a.cfg.Hall}}
	}
	homes := a.place.Homes(customer)
	slices.SortStableFunc(homes, func(x, y quota.Host) int { return a.distance(x) - a.distance(y) })
	return homes
}

func (a *Limiter) distance(h quota.Host) int {
	switch {
	case a.own(h):
		return 0
	case h.Hall == a.cfg.Hall:
		return 1
	}
	return 2
}

// limitOf is what a customer may send; false where it has no limit.
func limitOf(s *table.State, customer string) (quota.Limit, bool) {
	row, ok := s.Customer(customer)
	if !ok || row.Value.Limit == 0 {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: float64(row.Value.Limit), Burst: row.Value.BurstSize()}, true
}

// Lend answers a peer: it lends from this node's part of a customer's limit.
func (a *Limiter) Grant(customer string, want int) quota.Allotment {
	limit, ok := limitOf(a.snapshot().State, customer)
	if !ok {
		return quota.Allotment{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	loan := a.lend(a.now(), customer, limit, want)
	a.use(customer).Granted += uint64(loan.Count) //nolint:gosec // not negative
	return loan
}

// lend lends where this node is a home; the lock is held.
func (a *Limiter) lend(now time.Time, customer string, limit quota.Limit, want int) quota.Allotment {
	if !a.isHome(customer) {
		return quota.Allotment{}
	}
	parts := len(a.homes(customer))
	if a.cfg.Policy == Even {
		parts = max(1, a.place.Hosts())
	}
	return a.home.Lend(now, customer, limit.Part(parts), want)
}

// Pass is one request that may pass; it stands until the request has reached an endpoint or is given back.
type Permit struct {
	a        *Limiter
	customer string
	until    time.Time
}

// Return gives the pass back: the request has reached no endpoint.
func (p Permit) Return() {
	if p.a == nil || p.until.IsZero() {
		return
	}
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	p.a.borrower.Return(p.a.now(), p.customer, p.until)
	p.a.use(p.customer).Unused++
}

// Take lets one request of a customer pass, else returns when one should.
func (a *Limiter) Take(ctx context.Context, customer string) (Permit, time.Duration, bool) {
	limit, ok := limitOf(a.snapshot().State, customer)
	if !ok {
		return Permit{}, 0, true
	}
	a.mu.Lock()
	want := a.borrower.Arrived(a.now(), customer)
	homes := a.homes(customer)
	pass, ok := a.take(customer)
	a.mu.Unlock()
	for i := 0; !ok && i < len(homes); i++ {
		pass, ok = a.borrow(ctx, homes[i], customer, limit, want)
	}
	wait := time.Duration(0)
	if !ok {
		pass, wait, ok = a.lastResort(customer, homes)
	}
	a.count(customer, ok)
	return pass, wait, ok
}

// take uses what is held; the lock is held.
func (a *Limiter) take(customer string) (Permit, bool) {
	until, ok := a.borrower.Use(a.now(), customer)
	return Permit{a: a, customer: customer, until: until}, ok
}

// borrow asks one home and uses what it lends.
func (a *Limiter) borrow(ctx context.Context, home quota.Host, customer string, limit quota.Limit, want int) (Permit, bool) {
	asked := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.borrower.May(asked, customer, home.ID) {
		return Permit{}, false
	}
	if a.own(home) {
		a.borrower.Lent(asked, asked, customer, home.ID, a.lend(asked, customer, limit, want))
		return a.take(customer)
	}
	a.mu.Unlock()
	loan, ok := a.ask(ctx, home.ID, customer, want)
	a.mu.Lock()
	if !ok {
		a.borrower.Silent(a.now(), home.ID)
		return Permit{}, false
	}
	a.borrower.Lent(asked, a.now(), customer, home.ID, loan)
	return a.take(customer)
}

// ask asks a peer; false when it does not answer in time.
func (a *Limiter) ask(ctx context.Context, home, customer string, want int) (quota.Allotment, bool) {
	host, ok := a.snapshot().ByID[home]
	if !ok || !a.links.Usable(host.Address) {
		return quota.Allotment{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	s, err := a.links.Session(ctx, host.Address)
	if err != nil {
		return quota.Allotment{}, false
	}
	granted, wait, err := s.RequestAllotment(ctx, customer, want)
	return quota.Allotment{Count: granted, RetryDelay: wait}, err == nil
}

// lastResort lets a request pass by this node's part of the spare while no home can be reached, else tells when to come back.
func (a *Limiter) lastResort(customer string, homes []quota.Host) (Permit, time.Duration, bool) {
	names := make([]string, 0, len(homes))
	for _, h := range homes {
		names = append(names, h.ID)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	wait, reached := a.borrower.Wait(now, customer, names)
	if !reached && a.place != nil && a.spare.Use(now, customer, a.place.Share(a.cfg.Host, customer, a.cfg.Fallback)) {
		return Permit{}, 0, true
	}
	return Permit{}, time.Duration(float64(wait) * (1 + spread*rand.Float64())), false //nolint:gosec // spreads callers, no secret
}
