package director

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/balance"
	"github.com/lynxplank/lynxplank/eject"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/region"
	"github.com/lynxplank/lynxplank/table"
)

// Wish is what a request asks of its endpoint.
type PickOptions struct {
	// Service is the service's key.
	Service string
	// Repeatable requests may try an endpoint that is on trial.
	Repeatable bool
	// Tried are the endpoints that were tried before.
	Exclude []string
	// Only restricts the choice to one endpoint.
	Pinned string
	// Free restricts the choice to endpoints that seem to have a free slot and to take such requests.
	RequireFreeSlot bool
	// Again is set for a further send of a request, which takes from the endpoint's retries.
	IsRetry bool
	// Near restricts the choice to the own hall.
	LocalHallOnly bool
	// Regions are those in which the request's data may be.
	Regions region.Set
	// Least asks for the endpoint with the shortest wait instead of a draw.
	ShortestWait bool
}

const leastShare = 0.05

// Pick chooses an endpoint, NoEndpoint when none can be tried, Busy when all that the wish allows but for its Tried are
// without a free slot. Done must follow.
func (d *Director) Pick(ctx context.Context, w PickOptions) (Pick, error) {
	v, err := d.view(ctx, w.Service)
	if err != nil {
		return Pick{}, err
	}
	now := time.Now()
	if w.Pinned != "" && v.find(w.Pinned) < 0 {
		return d.pickOutside(v, w, now)
	}
	f := field{candidates: make([]balance.Candidate, 0, len(v.entries)), from: make([]int, 0, len(v.entries))}
	for i := range v.entries {
		e := &v.entries[i]
		if w.LocalHallOnly && e.endpoint.Value.Hall != d.cfg.Hall || !d.open(e, now) || !d.allowed(e, w) {
			continue
		}
		if w.allows(e.endpoint.Key) && e.verdict.Phase == eject.Trickle && e.trickles(w) {
			return v.pick(i, true), nil
		}
		d.consider(&f, v, i, w, now)
	}
	i := d.ownFirst(v, f, w)
	if i < 0 {
		i = w.choose(f.candidates)
	}
	if i >= 0 {
		return v.pick(f.from[i], false), nil
	}
	if pick, ok := d.pickAllowed(v, w, now); ok {
		return pick, nil
	}
	return Pick{}, w.refusal(f.busy)
}

// refusal is why no endpoint was chosen, some of them being without a free slot alone.
func (w PickOptions) refusal(busy bool) error {
	switch {
	case busy:
		return fault.New(fault.Busy, w.Service, "no endpoint has a free slot")
	case w.Regions.IsRestricted():
		return fault.New(fault.OutOfRegion, w.Service, "no endpoint of a region where the data may be takes new work")
	}
	return fault.New(fault.NoEndpoint, w.Service, "no endpoint takes new work")
}

// allowed tells whether the request's data may be where an endpoint stands.
func (d *Director) allowed(e *entry, w PickOptions) bool {
	return !w.Regions.IsRestricted() || w.Regions.Allows(d.cfg.RegionOf(e.endpoint.Value.Hall))
}

// pickAllowed picks any open endpoint in a region where the request's data may be, if it may not be in all, among those that this node does
// not send to otherwise: few of its members, or none, may stand there.
func (d *Director) pickAllowed(v *view, w PickOptions, now time.Time) (Pick, bool) {
	if !w.Regions.IsRestricted() || w.LocalHallOnly {
		return Pick{}, false
	}
	var picked entry
	found := 0
	for i := range v.service.Endpoints {
		row := &v.service.Endpoints[i]
		if !w.allows(row.Key) || v.find(row.Key) >= 0 {
			continue
		}
		e := entry{endpoint: *row, phase: d.state().EndpointPhase(*row), target: newTarget()}
		if !d.allowed(&e, w) || !d.open(&e, now) {
			continue
		}
		// Each of those found so far stays with the same chance.
		if found++; rand.IntN(found) == 0 { //nolint:gosec // a draw, no secret
			picked = e
		}
	}
	if found == 0 {
		return Pick{}, false
	}
	return v.pickEntry(&picked, false), true
}

// field is what a choice is made from.
type field struct {
	candidates []balance.Candidate
	// from are the candidates' places among the view's entries.
	from []int
	// busy is set when some endpoint is left out for want of a free slot alone.
	busy bool
}

// consider adds an open endpoint to the field, or notes that it has no free slot.
func (d *Director) consider(f *field, v *view, i int, w PickOptions, now time.Time) {
	e := &v.entries[i]
	if !w.allows(e.endpoint.Key) {
		f.busy = f.busy || e.target.busy(now)
		return
	}
	if e.out() {
		return
	}
	c := d.candidate(v, e, now)
	if w.RequireFreeSlot && (c.Outstanding >= c.Slots || e.target.declining(now, w, c.OtherHall)) {
		f.busy = f.busy || c.Outstanding >= c.Slots || e.target.busy(now)
		return
	}
	f.candidates = append(f.candidates, c)
	f.from = append(f.from, i)
}

// allows tells whether the wish leaves an endpoint to choose.
func (w PickOptions) allows(key string) bool {
	return !slices.Contains(w.Exclude, key) && (w.Pinned == "" || key == w.Pinned)
}

func (w PickOptions) choose(candidates []balance.Candidate) int {
	random := rand.New(globalSource{}) //nolint:gosec // a draw, no secret
	if w.ShortestWait {
		return balance.LowestCost(candidates, random)
	}
	return balance.Choose(candidates, random)
}

// out tells whether the detector keeps ordinary work from the endpoint.
func (e *entry) out() bool {
	return e.verdict.Phase == eject.Ejected || e.verdict.Phase == eject.Trickle
}

// trickles takes the endpoint's one trial at a time, if the request may be it.
func (e *entry) trickles(w PickOptions) bool {
	return w.Repeatable && len(w.Exclude) == 0 && e.target.trickling.CompareAndSwap(false, true)
}

// globalSource draws from the runtime's random numbers, which need no lock.
type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() } //nolint:gosec // a draw, no secret

// open tells whether an endpoint may get new work as far as the table, the host list, its own word and the link say.
func (d *Director) open(e *entry, now time.Time) bool {
	host := e.endpoint.Value.Host
	return e.phase == table.Active && !e.target.leaving(now) && !d.leaving(host) && d.usable(host)
}

func (d *Director) candidate(v *view, e *entry, now time.Time) balance.Candidate {
	row := e.endpoint.Value
	distance := d.cfg.InterHallRTT
	if row.Hall == d.cfg.Hall {
		distance = 0
	}
	return balance.Candidate{
		Key:         e.endpoint.Key,
		Weight:      float64(row.Weight) * float64(row.Slots) * e.verdict.Share * e.target.warmth(now, time.Duration(v.service.Value.Warmup)),
		Slots:       int(row.Slots),
		Outstanding: e.target.outstanding(now),
		Latency:     time.Duration(math.Float64frombits(e.target.latency.Load())),
		RTT:         distance,
		OtherHall:   row.Hall != d.cfg.Hall,
		SuccessRate: math.Float64frombits(e.target.success.Load()),
		LastChoice:  e.verdict.Phase == eject.LastChoice,
		Suspect:     e.verdict.Suspect,
	}
}

func (v *view) pick(i int, trial bool) Pick { return v.pickEntry(&v.entries[i], trial) }

func (v *view) pickEntry(e *entry, trial bool) Pick {
	e.target.inFlight.Add(1)
	p := Pick{Endpoint: e.endpoint, Trial: trial, target: e.target, ReportAgeMillis: e.target.idle(time.Now())}
	p.TypicalLatency = time.Duration(math.Float64frombits(e.target.latency.Load()))
	if v.marks.Known {
		p.OverdueAfter = v.marks.Late
	}
	return p
}

// find returns the place of an endpoint among those that this node sends to, -1 if it is none of them.
func (v *view) find(key string) int {
	return slices.IndexFunc(v.entries, func(e entry) bool { return e.endpoint.Key == key })
}

// outside returns an endpoint of the service that this node does not send to of its own choice, such as a key's home.
func (d *Director) outside(v *view, key string) (entry, bool) {
	list := v.service.Endpoints
	i, ok := slices.BinarySearchFunc(list, key, func(e table.Entry[table.Endpoint], key string) int {
		return strings.Compare(e.Key, key)
	})
	if !ok {
		return entry{}, false
	}
	e := entry{endpoint: list[i], phase: d.state().EndpointPhase(list[i]), target: newTarget()}
	e.verdict.Share = 1
	return e, true
}

// pickOutside picks the one endpoint that is asked for and that this node does not send to of its own choice.
func (d *Director) pickOutside(v *view, w PickOptions, now time.Time) (Pick, error) {
	e, ok := d.outside(v, w.Pinned)
	if !ok || !w.allows(w.Pinned) || !d.open(&e, now) || !d.allowed(&e, w) {
		return Pick{}, fault.New(fault.NoEndpoint, w.Service, "the endpoint takes no new work")
	}
	return v.pickEntry(&e, false), nil
}

// Homely tells whether the endpoint would be chosen at all, and so may run a keyed request at its home.
func (d *Director) EligibleOwner(ctx context.Context, service, endpoint string) bool {
	v, err := d.view(ctx, service)
	if err != nil {
		return false
	}
	now := time.Now()
	if i := v.find(endpoint); i >= 0 {
		e := &v.entries[i]
		return d.open(e, now) && (e.verdict.Phase == eject.Serving || e.verdict.Phase == eject.LastChoice)
	}
	e, ok := d.outside(v, endpoint)
	return ok && d.open(&e, now)
}
