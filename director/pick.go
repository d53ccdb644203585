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

// PickOptions restricts the choice of an endpoint for a request.
type PickOptions struct {
	// Service is the service's key.
	Service string
	// Repeatable is set for a repeatable request, which may serve as the trial of an endpoint in the trickle phase.
	Repeatable bool
	// Exclude holds the keys of the endpoints that must not be picked, such as those that have already been tried. A
	// request that excludes any endpoint never serves as a trial.
	Exclude []string
	// Pinned restricts the choice to the endpoint with this key, which need not be a member.
	Pinned string
	// RequireFreeSlot restricts the choice to endpoints that seem to have a free slot and have not just refused such a
	// request.
	RequireFreeSlot bool
	// IsRetry is set for a retry, which uses up the endpoint's retry budget.
	IsRetry bool
	// LocalHallOnly restricts the choice to the node's own hall.
	LocalHallOnly bool
	// Regions are the regions in which the request's data may be.
	Regions region.Set
	// ShortestWait picks the endpoint with the shortest expected wait instead of drawing one at random.
	ShortestWait bool
	// LastResort leaves in suspects that have just reported no room.
	LastResort bool
}

// minColdShare is the smallest share of its usual weight that a cold endpoint has.
const minColdShare = 0.05

// Pick chooses an endpoint. It fails with Busy if some endpoint was passed over only because it has no free slot, even
// one that Exclude names; otherwise with Suspect if one was passed over because it has just reported no room; otherwise
// with OutOfRegion if the request's data is restricted to some regions, else with NoEndpoint. Done must follow a
// successful Pick.
func (d *Director) Pick(ctx context.Context, opts PickOptions) (Pick, error) {
	v, err := d.view(ctx, opts.Service)
	if err != nil {
		return Pick{}, err
	}
	now := time.Now()
	if opts.Pinned != "" && v.indexOf(opts.Pinned) < 0 {
		return d.pickNonMember(v, opts, now)
	}
	set := candidateSet{candidates: make([]balance.Candidate, 0, len(v.entries)), entryIndexes: make([]int, 0, len(v.entries))}
	for i := range v.entries {
		e := &v.entries[i]
		if opts.LocalHallOnly && e.endpoint.Value.Hall != d.cfg.Hall || !d.available(e, now) || !d.inAllowedRegion(e, opts) {
			continue
		}
		if opts.permits(e.endpoint.Key) && e.verdict.Phase == eject.Trickle && e.claimTrial(opts) {
			return v.pick(i, true), nil
		}
		d.addCandidate(&set, v, i, opts, now)
	}
	i := d.preferColocated(v, set, opts)
	if i < 0 {
		i = opts.choose(set.candidates)
	}
	if i >= 0 {
		return v.pick(set.entryIndexes[i], false), nil
	}
	if pick, ok := d.pickInRegion(v, opts, now); ok {
		return pick, nil
	}
	return Pick{}, opts.pickError(set)
}

// pickError explains why no endpoint of a set was picked.
func (opts PickOptions) pickError(set candidateSet) error {
	switch {
	case set.busy:
		return fault.New(fault.Busy, opts.Service, "no endpoint has a free slot")
	case set.fullSuspect:
		return fault.New(fault.Suspect, opts.Service, "every endpoint takes only trials and has no room for another")
	case opts.Regions.IsRestricted():
		return fault.New(fault.OutOfRegion, opts.Service, "no endpoint of a region where the data may be takes new work")
	}
	return fault.New(fault.NoEndpoint, opts.Service, "no endpoint takes new work")
}

// inAllowedRegion reports whether the request's data may be in the region of an endpoint.
func (d *Director) inAllowedRegion(e *entry, opts PickOptions) bool {
	return !opts.Regions.IsRestricted() || opts.Regions.Allows(d.cfg.RegionOf(e.endpoint.Value.Hall))
}

// pickInRegion picks at random an available non-member in a region where the request's data may be, for requests whose
// data is restricted to some regions: few members of this node, or none, may be there.
func (d *Director) pickInRegion(v *view, opts PickOptions, now time.Time) (Pick, bool) {
	if !opts.Regions.IsRestricted() || opts.LocalHallOnly {
		return Pick{}, false
	}
	var picked entry
	found := 0
	for i := range v.service.Endpoints {
		row := &v.service.Endpoints[i]
		if !opts.permits(row.Key) || v.indexOf(row.Key) >= 0 {
			continue
		}
		e := entry{endpoint: *row, phase: d.state().EndpointPhase(*row), target: v.targetOf(row.Key)}
		if !d.inAllowedRegion(&e, opts) || !d.available(&e, now) {
			continue
		}
		// Reservoir sampling: all endpoints found so far are equally likely.
		if found++; rand.IntN(found) == 0 { //nolint:gosec // load balancing, no secret
			picked = e
		}
	}
	if found == 0 {
		return Pick{}, false
	}
	return v.pickEntry(&picked, false), true
}

// candidateSet holds the endpoints that a request can be balanced over.
type candidateSet struct {
	candidates []balance.Candidate
	// entryIndexes are the candidates' indexes among the view's entries.
	entryIndexes []int
	// busy is set when some endpoint was skipped only because it has no free slot.
	busy bool
	// fullSuspect is set when some endpoint was skipped because it is a suspect without room.
	fullSuspect bool
}

// addCandidate adds an available endpoint to the candidates unless it is ejected, or records that it lacks only a free
// slot.
func (d *Director) addCandidate(set *candidateSet, v *view, i int, opts PickOptions, now time.Time) {
	e := &v.entries[i]
	if !opts.permits(e.endpoint.Key) {
		set.busy = set.busy || e.target.busy(now)
		return
	}
	if e.ejected() {
		return
	}
	c := d.candidate(v, e, now)
	if opts.skipsFull() && e.target.isFullSuspect(now) {
		set.fullSuspect = true
		return
	}
	if opts.RequireFreeSlot && c.RateWait > 0 {
		return
	}
	if opts.RequireFreeSlot && (c.Outstanding >= c.Slots || e.target.refusing(now, opts, c.OtherHall)) {
		set.busy = set.busy || c.Outstanding >= c.Slots || e.target.busy(now)
		return
	}
	set.candidates = append(set.candidates, c)
	set.entryIndexes = append(set.entryIndexes, i)
}

// permits reports whether the options leave an endpoint to choose.
func (opts PickOptions) permits(key string) bool {
	return !slices.Contains(opts.Exclude, key) && (opts.Pinned == "" || key == opts.Pinned)
}

func (opts PickOptions) choose(candidates []balance.Candidate) int {
	random := rand.New(globalSource{}) //nolint:gosec // load balancing, no secret
	if opts.ShortestWait {
		return balance.LowestCost(candidates, random)
	}
	return balance.Choose(candidates, random)
}

// ejected reports whether the detector keeps ordinary requests from the endpoint.
func (e *entry) ejected() bool {
	return e.verdict.Phase == eject.Ejected || e.verdict.Phase == eject.Trickle
}

// claimTrial reserves the endpoint's single trial for the request, if the request qualifies and no other trial is in
// flight.
func (e *entry) claimTrial(opts PickOptions) bool {
	return opts.Repeatable && len(opts.Exclude) == 0 && e.target.trialInFlight.CompareAndSwap(false, true)
}

// globalSource draws from the runtime's random number generator, which needs no lock.
type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() } //nolint:gosec // load balancing, no secret

// available reports whether an endpoint may get new requests according to the table, the host list, its own reports and
// the link to its node.
func (d *Director) available(e *entry, now time.Time) bool {
	host := e.endpoint.Value.Host
	return e.phase == table.Active && !e.drains(now) && !d.draining(host) && d.usable(host)
}

// drains reports whether the endpoint's own word keeps new requests from it. The key of an endpoint that announces itself
// names one life of it, which takes none for the rest of it.
func (e *entry) drains(now time.Time) bool {
	return e.target.draining(now) || e.endpoint.Source == table.SourceHosts && e.target.saidLeaving()
}

// candidate describes an endpoint to the load balancer.
func (d *Director) candidate(v *view, e *entry, now time.Time) balance.Candidate {
	row := e.endpoint.Value
	rtt := d.cfg.InterHallRTT
	if row.Hall == d.cfg.Hall {
		rtt = 0
	}
	latency := time.Duration(math.Float64frombits(e.target.latency.Load()))
	share := e.verdict.Share * e.target.warmupShare(now, time.Duration(v.service.Value.Warmup)) * e.target.rateShare(now, int(row.Slots), latency)
	return balance.Candidate{
		Key:         e.endpoint.Key,
		Weight:      float64(row.Weight) * float64(row.Slots) * share,
		Slots:       int(row.Slots),
		Outstanding: e.target.outstanding(now),
		Latency:     latency,
		RTT:         rtt,
		RateWait:    e.target.rateWait(now),
		OtherHall:   row.Hall != d.cfg.Hall,
		SuccessRate: math.Float64frombits(e.target.success.Load()),
		LastChoice:  e.verdict.Phase == eject.LastChoice,
		Suspect:     e.verdict.Suspect,
	}
}

func (v *view) pick(i int, trial bool) Pick { return v.pickEntry(&v.entries[i], trial) }

// pickEntry counts a request at the endpoint and returns the pick.
func (v *view) pickEntry(e *entry, trial bool) Pick {
	e.target.inFlight.Add(1)
	e.target.countSent()
	p := Pick{Endpoint: e.endpoint, Trial: trial, target: e.target, ReportAgeMillis: e.target.reportAgeMillis(time.Now())}
	p.TypicalLatency = time.Duration(math.Float64frombits(e.target.latency.Load()))
	p.ToldLeaving = e.target.saidLeaving()
	p.MaxRate, p.StatementAgeMicros = e.target.statement(time.Now())
	if v.baselines.Known {
		p.OverdueAfter = v.baselines.Late
	}
	return p
}

// indexOf returns the index of an endpoint among the members, or -1 if it is no member.
func (v *view) indexOf(key string) int {
	return slices.IndexFunc(v.entries, func(e entry) bool { return e.endpoint.Key == key })
}

// targetOf returns what this node knows of an endpoint, a member or not.
func (v *view) targetOf(key string) *target {
	if t := v.targets[key]; t != nil {
		return t
	}
	return newTarget()
}

// nonMember returns an endpoint of the service that this node does not choose by itself, such as a key's owner.
func (d *Director) nonMember(v *view, key string) (entry, bool) {
	list := v.service.Endpoints
	i, ok := slices.BinarySearchFunc(list, key, func(e table.Entry[table.Endpoint], key string) int {
		return strings.Compare(e.Key, key)
	})
	if !ok {
		return entry{}, false
	}
	e := entry{endpoint: list[i], phase: d.state().EndpointPhase(list[i]), target: v.targetOf(key)}
	e.verdict.Share = 1
	return e, true
}

// pickNonMember picks the pinned endpoint if it is no member.
func (d *Director) pickNonMember(v *view, opts PickOptions, now time.Time) (Pick, error) {
	e, ok := d.nonMember(v, opts.Pinned)
	if !ok || !opts.permits(opts.Pinned) || !d.available(&e, now) || !d.inAllowedRegion(&e, opts) {
		return Pick{}, fault.New(fault.NoEndpoint, opts.Service, "the endpoint takes no new work")
	}
	return v.pickEntry(&e, false), nil
}

// EligibleOwner reports whether the endpoint could be picked at all, and so may run a request with an idempotency key
// that it owns.
func (d *Director) EligibleOwner(ctx context.Context, service, endpoint string) bool {
	v, err := d.view(ctx, service)
	if err != nil {
		return false
	}
	now := time.Now()
	if i := v.indexOf(endpoint); i >= 0 {
		e := &v.entries[i]
		return d.available(e, now) && (e.verdict.Phase == eject.Serving || e.verdict.Phase == eject.LastChoice)
	}
	e, ok := d.nonMember(v, endpoint)
	return ok && d.available(&e, now)
}
