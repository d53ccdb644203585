package egress

import (
	"math/rand/v2"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/region"
	"github.com/lynxplank/lynxplank/registry"
	"github.com/lynxplank/lynxplank/table"
)

// find returns the endpoint's runtime, or the refusal when it takes nothing new here.
//
// Invariant: a draining endpoint is refused here whatever the ingress believes.
func (e *Egress) find(d *peerpb.Dispatch) (*local, *peerpb.End) {
	if e.closing.Load() {
		return nil, peer.NotRun(fault.Draining, drainRetryAfter)
	}
	// Whoever sent it may not have heard yet.
	if e.endings.Ends(contentOf(d)) >= poison.BlockThreshold {
		return nil, peer.NotRun(fault.FatalRequest, 0)
	}
	if e.configs.stale(e.state(), d) {
		return nil, peer.NotRun(fault.Stale, shortRetryAfter)
	}
	if !e.mayBeHere(d) {
		return nil, peer.NotRun(fault.OutOfRegion, shortRetryAfter)
	}
	if r, ok := e.announcedHere(d); ok {
		if r.Draining {
			return nil, peer.NotRun(fault.Draining, drainRetryAfter)
		}
		return e.open(r.Entry, r.Draining)
	}
	if !e.here(d) {
		return nil, e.notHere(d)
	}
	row, _ := e.state().Endpoint(d.GetEndpoint())
	return e.open(row, row.Value.Phase != table.Active)
}

// regionsOf returns the regions in which a request's data may be, as far as this node knows.
func (e *Egress) regionsOf(d *peerpb.Dispatch) region.Set {
	s := e.state()
	r, _ := s.Route(d.GetRoute())
	return s.RegionsFor(r.Value, d.GetCustomer())
}

// mayBeHere tells whether a request's data may be in this node's region.
//
// Invariant: whatever its sender believes, the body of a request is asked for, and handed to an endpoint, only where its data may be.
func (e *Egress) mayBeHere(d *peerpb.Dispatch) bool {
	regions := e.regionsOf(d)
	if !regions.IsRestricted() {
		return true
	}
	where := e.region.Load()
	return where != nil && regions.Allows(*where)
}

// open returns the runtime of an endpoint beside this node unless it takes nothing new.
//
// Invariant: an endpoint of an evacuated hall is refused here whatever the ingress believes.
func (e *Egress) open(row table.Entry[table.Endpoint], closed bool) (*local, *peerpb.End) {
	s := e.state()
	if s.Evacuated(row.Value.Hall) {
		return nil, peer.NotRun(fault.Evacuated, drainRetryAfter)
	}
	if closed || s.HostPhase(e.cfg.Host) != table.Active {
		return nil, peer.NotRun(fault.Draining, drainRetryAfter)
	}
	l := e.local(row, s)
	if l.leaving.Load() {
		return nil, peer.NotRun(fault.Draining, drainRetryAfter)
	}
	return l, nil
}

// announcedHere returns the endpoint if it has announced itself to this node.
func (e *Egress) announcedHere(d *peerpb.Dispatch) (registry.Endpoint, bool) {
	if e.announced == nil {
		return registry.Endpoint{}, false
	}
	r, ok := e.announced.Endpoint(d.GetEndpoint())
	return r, ok && r.Value.Service == d.GetService()
}

// here tells whether the table has the endpoint beside this node, and of this service. An endpoint that announces
// itself and that this life of the node has not heard of is not here: whatever the store shows of it may be old.
func (e *Egress) here(d *peerpb.Dispatch) bool {
	row, ok := e.state().Endpoint(d.GetEndpoint())
	return ok && row.Source != table.SourceHosts && row.Value.Host == e.cfg.Host && row.Value.Service == d.GetService()
}

// notHere refuses a request for an endpoint that is not here, and names the one of its service that is: one that was started anew
// beside this node has another name, which the store may not know for seconds after a whole fleet has lost power.
func (e *Egress) notHere(d *peerpb.Dispatch) *peerpb.End {
	end := peer.NotRun(fault.WrongHost, shortRetryAfter)
	if e.announced != nil {
		if r, ok := e.announced.ActiveEndpoint(d.GetService()); ok {
			end.Stands = r.Key
		}
	}
	return end
}

// local returns the endpoint's runtime as the table wants it, a new one for an endpoint that had no work yet.
func (e *Egress) local(row table.Entry[table.Endpoint], s *table.State) *local {
	view, _ := s.Service(row.Value.Service)
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.locals[row.Key]
	if l == nil {
		l = newLocal(row, e.cfg, e.clock, e.pool, rand.New(rand.NewPCG(e.cfg.Incarnation, uint64(len(e.locals))))) //nolint:gosec // no secret
		if at := e.hallDoubt.Load(); at != nil {
			l.cold.MarkPossiblyCold(*at)
		}
		e.locals[row.Key] = l
	}
	l.configure(row, view, e.cfg)
	return l
}
