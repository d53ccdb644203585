package director

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lynxplank/lynxplank/balance"
	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// minLastResortChance is the chance below which no non-repeatable request goes to a suspect as a last resort.
const minLastResortChance = 0.6

// SuspectOptions restricts the choice of a suspect for a request that found no free slot.
type SuspectOptions struct {
	PickOptions
	// Declined holds the keys of the endpoints that have declined the request. They are not chosen, but the request
	// could wait in their queues.
	Declined []string
	// TimeLeft is the time within which the answer is wanted.
	TimeLeft time.Duration
}

// suspectReport is what the node of an endpoint whose breaker is open reported of it; sent counts the requests that this
// node has sent there since.
type suspectReport struct {
	chance float64
	room   int
	at     time.Time
	sent   atomic.Int64
}

// newSuspectReport returns the suspect's part of a load report, nil if it has none or an impossible one; badField names
// the field that makes it impossible.
func newSuspectReport(now time.Time, load *peerpb.Load, slots int) (report *suspectReport, badField string) {
	chance := load.GetSuccessChance()
	switch {
	case !load.GetTrial() || load.SuccessChance == nil:
		return nil, ""
	case !(chance >= 0 && chance <= 1):
		return nil, "success_chance"
	case int64(load.GetTrialRoom()) > int64(slots):
		return nil, "trial_room"
	}
	return &suspectReport{chance: chance, room: int(load.GetTrialRoom()), at: now}, ""
}

// applySuspectReport records the suspect's part of the load report of an exchange, and logs an impossible one.
func (d *Director) applySuspectReport(now time.Time, r Report) {
	if !d.cfg.SuspectRoom || r.Load == nil {
		return
	}
	report, badField := newSuspectReport(now, r.Load, int(r.Pick.Endpoint.Value.Slots))
	r.Pick.target.suspect.Store(report)
	if badField != "" {
		events.BadLoadReport.Log(d.log).Str("endpoint", r.Pick.Endpoint.Key).Str("field", badField).
			Float64("success_chance", r.Load.GetSuccessChance()).Uint32("trial_room", r.Load.GetTrialRoom()).Send()
	}
}

// asSuspect returns the endpoint as the load balancer sees a suspect, false without a report.
func (t *target) asSuspect(now time.Time) (balance.Suspect, bool) {
	r := t.suspect.Load()
	if r == nil {
		return balance.Suspect{}, false
	}
	return balance.Suspect{Chance: r.chance, Room: r.room - int(r.sent.Load()), Age: now.Sub(r.at)}, true
}

// countSent counts a request that goes to the endpoint against the room that it reported.
func (t *target) countSent() {
	if r := t.suspect.Load(); r != nil {
		r.sent.Add(1)
	}
}

// isFullSuspect reports whether the endpoint is a suspect that has just reported no room.
func (t *target) isFullSuspect(now time.Time) bool {
	s, ok := t.asSuspect(now)
	return ok && s.Full()
}

// skipsFull reports whether the options leave out suspects without room: a pinned request has no other endpoint, and a
// last resort needs no room.
func (opts PickOptions) skipsFull() bool { return opts.Pinned == "" && !opts.LastResort }

// PickSuspect chooses the suspect that most likely answers among those that have room for the request. It returns false
// if there is none, or if the request could wait in the queue of another endpoint and still be answered within
// opts.TimeLeft. Done must follow a successful PickSuspect.
func (d *Director) PickSuspect(ctx context.Context, opts SuspectOptions) (Pick, bool) {
	v, err := d.view(ctx, opts.Service)
	if err != nil {
		return Pick{}, false
	}
	set := d.suspectsOf(v, opts.PickOptions, time.Now())
	if balance.CanWait(set.others, opts.TimeLeft) {
		return Pick{}, false
	}
	minChance := 0.0
	if !opts.Repeatable {
		minChance = breaker.MinNonRepeatableChance
	}
	for i, index := range set.entryIndexes {
		if slices.Contains(opts.Declined, v.entries[index].endpoint.Key) {
			set.suspects[i].Room = 0
		}
	}
	i := balance.LikeliestWithRoom(set.suspects, minChance, rand.New(globalSource{})) //nolint:gosec // load balancing, no secret
	if i < 0 {
		return Pick{}, false
	}
	return v.pick(set.entryIndexes[i], false), true
}

// PickLastResort chooses the suspect that most likely answers, with room or without, for a request that no other
// endpoint takes; repeatable is set if the request may run more than once. Without a recent report of any suspect it
// chooses as Pick does. Done must follow a successful PickLastResort.
func (d *Director) PickLastResort(ctx context.Context, opts PickOptions, repeatable bool) (Pick, error) {
	opts.LastResort = true
	v, err := d.view(ctx, opts.Service)
	if err != nil || !d.cfg.SuspectRoom {
		return d.Pick(ctx, opts)
	}
	minChance := minLastResortChance
	if repeatable {
		minChance = 0
	}
	set := d.suspectsOf(v, opts, time.Now())
	if i := balance.Likeliest(set.suspects, minChance, rand.New(globalSource{})); i >= 0 { //nolint:gosec // load balancing, no secret
		return v.pick(set.entryIndexes[i], false), nil
	}
	for i, s := range set.suspects {
		if s.Known() {
			// Its chance is too low for a non-repeatable request.
			opts.Exclude = append(slices.Clone(opts.Exclude), v.entries[set.entryIndexes[i]].endpoint.Key)
		}
	}
	pick, err := d.Pick(ctx, opts)
	if err != nil && len(set.suspects) > 0 {
		return Pick{}, fault.New(fault.Suspect, opts.Service, "no endpoint is likely enough to answer")
	}
	return pick, err
}

// MayHaveFreeSuspect reports whether some suspect that the options leave may have a free slot: by its recent report, or,
// if there is none, because it has declined the request as one of the endpoints declined.
func (d *Director) MayHaveFreeSuspect(ctx context.Context, opts PickOptions, declined []string) bool {
	v, err := d.view(ctx, opts.Service)
	if err != nil {
		return false
	}
	set := d.suspectsOf(v, opts, time.Now())
	reported := make([]string, 0, len(set.suspects))
	for i, s := range set.suspects {
		if !s.Busy {
			return true
		}
		reported = append(reported, v.entries[set.entryIndexes[i]].endpoint.Key)
	}
	return slices.ContainsFunc(declined, func(key string) bool { return !slices.Contains(reported, key) })
}

// suspectSet holds the available endpoints of a service, divided into suspects with a recent report and others.
type suspectSet struct {
	suspects []balance.Suspect
	// entryIndexes are the suspects' indexes among the view's entries.
	entryIndexes []int
	others       []balance.Candidate
}

// suspectsOf returns the suspects and the other endpoints that the options leave to choose. A suspect without a recent
// report is neither: nothing is known of it.
func (d *Director) suspectsOf(v *view, opts PickOptions, now time.Time) suspectSet {
	n := len(v.entries)
	set := suspectSet{suspects: make([]balance.Suspect, 0, n), entryIndexes: make([]int, 0, n), others: make([]balance.Candidate, 0, n)}
	for i := range v.entries {
		e := &v.entries[i]
		if !opts.permits(e.endpoint.Key) || e.ejected() || !d.available(e, now) || !d.inAllowedRegion(e, opts) {
			continue
		}
		s, reported := e.target.asSuspect(now)
		switch {
		case reported && s.Known():
			s.Busy = e.target.outstanding(now) >= int(e.endpoint.Value.Slots)
			set.suspects = append(set.suspects, s)
			set.entryIndexes = append(set.entryIndexes, i)
		case e.target.trialOnlyAt.Load() == 0:
			set.others = append(set.others, d.candidate(v, e, now))
		}
	}
	return set
}
