package director

import (
	"math"
	"time"

	"github.com/lynxplank/lynxplank/eject"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/table"
)

// view is what traffic reads of one service; immutable but for its targets.
type view struct {
	revision uint64
	service  table.ServiceView
	// entries are the endpoints that this node sends to.
	entries []entry
	marks   eject.Baselines
}

type entry struct {
	endpoint table.Entry[table.Endpoint]
	phase    table.Phase
	verdict  eject.Verdict
	target   *target
}

// refresh brings the detector to the table in force and publishes the view.
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
	d.rejoin(now, rt, sv)
	rt.noteHalls(now, s, sv)
	members := d.membersOf(now, rt, s, sv)
	list := make([]eject.Endpoint, 0, len(members))
	for _, i := range members {
		e := sv.Endpoints[i]
		usable := s.EndpointPhase(e) == table.Active && !d.leaving(e.Value.Host)
		list = append(list, eject.Endpoint{
			Key: e.Key, Capacity: float64(e.Value.Weight) * float64(e.Value.Slots), Usable: usable,
		})
	}
	rt.detector.SetEndpoints(now, list)
	rt.refreshedAt = now
	d.publish(rt.key, d.viewOf(rt, s, sv, members))
}

// rejoin works out anew which endpoints this node sends to, if these or the hall's hosts are others than before.
func (d *Director) rejoin(now time.Time, rt *runtime, sv table.ServiceView) {
	choosers := d.cfg.HallHosts()
	if rt.membership.fits(sv.Endpoints, choosers) {
		return
	}
	rt.membership = newMembership(d.cfg.Host, d.cfg.Hall, choosers, sv.Endpoints)
	known := make(map[string]bool, len(sv.Endpoints))
	joins := len(rt.targets) > 0
	for _, e := range sv.Endpoints {
		known[e.Key] = true
		if rt.targets[e.Key] != nil {
			continue
		}
		rt.targets[e.Key] = newTarget()
		if joins {
			rt.targets[e.Key].coldFor(now, time.Duration(sv.Value.Warmup))
		}
	}
	for key := range rt.targets {
		if !known[key] {
			delete(rt.targets, key)
			delete(rt.phases, key)
		}
	}
}

// noteHalls takes it that the endpoints of a hall that is taken back have turned cold, until they say otherwise.
func (rt *runtime) noteHalls(now time.Time, s *table.State, sv table.ServiceView) {
	for _, e := range sv.Endpoints {
		hall := e.Value.Hall
		if rt.evacuated[hall] && !s.Evacuated(hall) {
			rt.targets[e.Key].coldFor(now, time.Duration(sv.Value.Warmup))
		}
	}
	clear(rt.evacuated)
	for _, h := range s.EvacuatedHalls() {
		rt.evacuated[h.Hall] = true
	}
}

// membersOf returns the places of the endpoints that this node sends to now.
func (d *Director) membersOf(now time.Time, rt *runtime, s *table.State, sv table.ServiceView) []int {
	rt.need = max(rt.need*workMemory, needOf(rt, sv))
	return rt.membership.members(int(math.Ceil(rt.need)), func(i int) bool {
		e := &sv.Endpoints[i]
		in := entry{endpoint: *e, phase: s.EndpointPhase(*e), verdict: rt.detector.Verdict(e.Key), target: rt.targets[e.Key]}
		return !in.out() && d.open(&in, now)
	})
}

// needOf is how many endpoints it takes for this node's own requests to fill workShare of their slots.
func needOf(rt *runtime, sv table.ServiceView) float64 {
	inFlight, slots := 0.0, 0.0
	for _, i := range rt.membership.near[:rt.membership.nearCount] {
		e := &sv.Endpoints[i]
		inFlight += float64(rt.targets[e.Key].inFlight.Load())
		slots += float64(e.Value.Slots)
	}
	if slots == 0 {
		return 0
	}
	return inFlight / workShare * float64(rt.membership.nearCount) / slots
}

func (d *Director) viewOf(rt *runtime, s *table.State, sv table.ServiceView, members []int) *view {
	v := &view{revision: s.Revision(), service: sv, marks: rt.detector.Baselines(), entries: make([]entry, 0, len(members))}
	rt.unsettled = false
	for _, i := range members {
		e := sv.Endpoints[i]
		verdict := rt.detector.Verdict(e.Key)
		d.notePhase(rt, e.Key, verdict)
		rt.unsettled = rt.unsettled || verdict.Phase != eject.Serving
		v.entries = append(v.entries, entry{
			endpoint: e, phase: s.EndpointPhase(e), verdict: verdict, target: rt.targets[e.Key],
		})
	}
	d.restless = d.restless || rt.unsettled
	return v
}

func (d *Director) notePhase(rt *runtime, key string, v eject.Verdict) {
	if rt.phases[key] == v.Phase {
		return
	}
	events.PhaseChanged.Log(d.log).Str("service", rt.key).Str("endpoint", key).
		Str("from", rt.phases[key].String()).Str("to", v.Phase.String()).
		Str("test", v.Test).Float64("score", v.Score).Float64("threshold", v.Threshold).Send()
	rt.phases[key] = v.Phase
}
