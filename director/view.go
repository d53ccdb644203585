package director

import (
	"maps"
	"math"
	"time"

	"github.com/lynxplank/lynxplank/eject"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/table"
)

// view is what request goroutines read about one service; it is immutable except for its targets.
type view struct {
	revision uint64
	service  table.ServiceView
	// entries are the members: the endpoints that this node sends requests to.
	entries []entry
	// targets are those of all endpoints of the service, by key.
	targets   map[string]*target
	baselines eject.Baselines
}

// entry is one endpoint of a view.
type entry struct {
	endpoint table.Entry[table.Endpoint]
	phase    table.Phase
	verdict  eject.Verdict
	target   *target
}

// refresh updates the detector from the active table and publishes a new view.
func (d *Director) refresh(now time.Time, rt *runtime) {
	s := d.state()
	sv, ok := s.Service(rt.key)
	if !ok {
		delete(d.services, rt.key)
		d.publish(rt.key, nil)
		return
	}
	if rt.revision != s.Revisions() {
		cfg := d.cfg.Ejection.With(float64(sv.Value.FalseEjections), float64(sv.Value.Floor))
		rt.detector.SetConfig(now, cfg)
		rt.revision = s.Revisions()
	}
	d.updateMembership(now, rt, sv)
	rt.markRestoredHallsCold(now, s, sv)
	members := d.selectMembers(now, rt, s, sv)
	list := make([]eject.Endpoint, 0, len(members))
	for _, i := range members {
		e := sv.Endpoints[i]
		usable := s.EndpointPhase(e) == table.Active && !d.draining(e.Value.Host)
		list = append(list, eject.Endpoint{
			Key: e.Key, Capacity: float64(e.Value.Weight) * float64(e.Value.Slots), Usable: usable,
		})
	}
	rt.detector.SetEndpoints(now, list)
	rt.refreshedAt = now
	d.publish(rt.key, d.buildView(rt, s, sv, members))
}

// updateMembership recomputes the members if the service's endpoints or the hall's hosts have changed, and adds and
// removes targets to match the endpoints. An endpoint that is added to a service that is already tracked starts cold.
func (d *Director) updateMembership(now time.Time, rt *runtime, sv table.ServiceView) {
	nodes := d.cfg.HallHosts()
	if rt.membership.upToDate(sv.Endpoints, nodes) {
		return
	}
	rt.membership = newMembership(d.cfg.Host, d.cfg.Hall, nodes, sv.Endpoints)
	listed := make(map[string]bool, len(sv.Endpoints))
	startsCold := len(rt.targets) > 0
	// Published views share the map.
	rt.targets = maps.Clone(rt.targets)
	for _, e := range sv.Endpoints {
		listed[e.Key] = true
		if rt.targets[e.Key] != nil {
			continue
		}
		rt.targets[e.Key] = newTarget()
		if startsCold {
			rt.targets[e.Key].markCold(now, time.Duration(sv.Value.Warmup))
		}
	}
	for key := range rt.targets {
		if !listed[key] {
			delete(rt.targets, key)
			delete(rt.phases, key)
		}
	}
}

// markRestoredHallsCold marks the endpoints of a hall as cold when its evacuation ends: they have had no work and may
// have lost their warmth. An endpoint's own report replaces the mark.
func (rt *runtime) markRestoredHallsCold(now time.Time, s *table.State, sv table.ServiceView) {
	for _, e := range sv.Endpoints {
		hall := e.Value.Hall
		if rt.evacuated[hall] && !s.Evacuated(hall) {
			rt.targets[e.Key].markCold(now, time.Duration(sv.Value.Warmup))
		}
	}
	clear(rt.evacuated)
	for _, h := range s.EvacuatedHalls() {
		rt.evacuated[h.Hall] = true
	}
}

// selectMembers returns the indexes of the endpoints that this node sends requests to now.
func (d *Director) selectMembers(now time.Time, rt *runtime, s *table.State, sv table.ServiceView) []int {
	rt.requiredMembers = max(rt.requiredMembers*requiredDecay, requiredMembers(rt, sv))
	return rt.membership.members(int(math.Ceil(rt.requiredMembers)), func(i int) bool {
		e := &sv.Endpoints[i]
		candidate := entry{endpoint: *e, phase: s.EndpointPhase(*e), verdict: rt.detector.Verdict(e.Key), target: rt.targets[e.Key]}
		return !candidate.ejected() && d.available(&candidate, now)
	})
}

// requiredMembers returns how many endpoints it takes so that this node's own requests fill maxMemberLoad of their
// slots.
func requiredMembers(rt *runtime, sv table.ServiceView) float64 {
	inFlight, slots := 0.0, 0.0
	for _, i := range rt.membership.local[:rt.membership.localCount] {
		e := &sv.Endpoints[i]
		inFlight += float64(rt.targets[e.Key].inFlight.Load())
		slots += float64(e.Value.Slots)
	}
	if slots == 0 {
		return 0
	}
	return inFlight / maxMemberLoad * float64(rt.membership.localCount) / slots
}

// buildView returns the view of the members and logs their changes of phase.
func (d *Director) buildView(rt *runtime, s *table.State, sv table.ServiceView, members []int) *view {
	v := &view{revision: s.Revision(), service: sv, baselines: rt.detector.Baselines(), targets: rt.targets, entries: make([]entry, 0, len(members))}
	rt.unsettled = false
	for _, i := range members {
		e := sv.Endpoints[i]
		verdict := rt.detector.Verdict(e.Key)
		d.logPhaseChange(rt, e.Key, verdict)
		rt.unsettled = rt.unsettled || verdict.Phase != eject.Serving
		v.entries = append(v.entries, entry{
			endpoint: e, phase: s.EndpointPhase(e), verdict: verdict, target: rt.targets[e.Key],
		})
	}
	d.unsettled = d.unsettled || rt.unsettled
	return v
}

func (d *Director) logPhaseChange(rt *runtime, key string, v eject.Verdict) {
	if rt.phases[key] == v.Phase {
		return
	}
	events.PhaseChanged.Log(d.log).Str("service", rt.key).Str("endpoint", key).
		Str("from", rt.phases[key].String()).Str("to", v.Phase.String()).
		Str("test", v.Test).Float64("score", v.Score).Float64("threshold", v.Threshold).Send()
	rt.phases[key] = v.Phase
}
