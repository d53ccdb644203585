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

// find returns the endpoint's runtime, or the refusal if the request may not run there.
//
// Invariant: a draining endpoint is refused here whatever the ingress's view of it is.
func (e *Egress) find(d *peerpb.Dispatch) (*localEndpoint, *peerpb.End) {
	if e.isClosed() {
		return nil, peer.NotRun(fault.Draining, drainRetryAfter)
	}
	// The sender may not know yet that the request is blocked.
	if e.crashes.Ends(fingerprintOf(d)) >= poison.BlockThreshold {
		return nil, peer.NotRun(fault.FatalRequest, 0)
	}
	if e.seenRevisions.stale(e.state(), d) {
		return nil, peer.NotRun(fault.Stale, shortRetryAfter)
	}
	if !e.dataAllowedHere(d) {
		return nil, peer.NotRun(fault.OutOfRegion, shortRetryAfter)
	}
	if r, ok := e.announcedEndpoint(d); ok {
		if r.Draining {
			return nil, peer.NotRun(fault.Draining, drainRetryAfter)
		}
		return e.checkOpen(r.Entry, r.Draining)
	}
	if !e.isLocal(d) {
		return nil, e.wrongHost(d)
	}
	row, _ := e.state().Endpoint(d.GetEndpoint())
	return e.checkOpen(row, row.Value.Phase != table.Active)
}

// allowedRegions returns the regions in which a request's data may be, by this node's configuration.
func (e *Egress) allowedRegions(d *peerpb.Dispatch) region.Set {
	s := e.state()
	r, _ := s.Route(d.GetRoute())
	return s.RegionsFor(r.Value, d.GetCustomer())
}

// dataAllowedHere reports whether a request's data may be in this node's region.
//
// Invariant: whatever the sender's view is, the body of a request is read, and dispatched to an endpoint, only where
// its data may be.
func (e *Egress) dataAllowedHere(d *peerpb.Dispatch) bool {
	regions := e.allowedRegions(d)
	if !regions.IsRestricted() {
		return true
	}
	hallRegion := e.region.Load()
	return hallRegion != nil && regions.Allows(*hallRegion)
}

// checkOpen returns the runtime of an endpoint beside this node, or the refusal if it accepts no new requests.
//
// Invariant: an endpoint of an evacuated hall is refused here whatever the ingress's view of it is.
func (e *Egress) checkOpen(row table.Entry[table.Endpoint], draining bool) (*localEndpoint, *peerpb.End) {
	s := e.state()
	if s.Evacuated(row.Value.Hall) {
		return nil, peer.NotRun(fault.Evacuated, drainRetryAfter)
	}
	if draining || s.HostPhase(e.cfg.Host) != table.Active {
		return nil, peer.NotRun(fault.Draining, drainRetryAfter)
	}
	l := e.localEndpoint(row, s)
	if end := e.refuseDraining(l); end != nil {
		return nil, end
	}
	return l, nil
}

// announcedEndpoint returns the request's endpoint if it has announced itself to this node.
func (e *Egress) announcedEndpoint(d *peerpb.Dispatch) (registry.Endpoint, bool) {
	if e.announced == nil {
		return registry.Endpoint{}, false
	}
	r, ok := e.announced.Endpoint(d.GetEndpoint())
	return r, ok && r.Value.Service == d.GetService()
}

// isLocal reports whether the table places the endpoint beside this node and in the request's service. An endpoint
// that announces itself does not count: until it has announced itself to this process, its row in the store may be
// outdated.
func (e *Egress) isLocal(d *peerpb.Dispatch) bool {
	row, ok := e.state().Endpoint(d.GetEndpoint())
	return ok && row.Source != table.SourceHosts && row.Value.Host == e.cfg.Host && row.Value.Service == d.GetService()
}

// wrongHost returns the refusal for an endpoint that is not beside this node, and names the endpoint of its service
// that is. A restarted endpoint has a new name, which the store may not show for seconds after a whole fleet has lost
// power.
func (e *Egress) wrongHost(d *peerpb.Dispatch) *peerpb.End {
	end := peer.NotRun(fault.WrongHost, shortRetryAfter)
	if e.announced != nil {
		if r, ok := e.announced.ActiveEndpoint(d.GetService()); ok {
			end.Stands = r.Key
		}
	}
	return end
}

// localEndpoint returns the endpoint's runtime, configured from the table; it creates it on first use.
func (e *Egress) localEndpoint(row table.Entry[table.Endpoint], s *table.State) *localEndpoint {
	view, _ := s.Service(row.Value.Service)
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.endpoints[row.Key]
	if l == nil {
		l = newLocalEndpoint(row, e.cfg, e.clock, e.pool, e.life, rand.New(rand.NewPCG(e.cfg.Incarnation, uint64(len(e.endpoints))))) //nolint:gosec // no secret
		if at := e.hallEvacuatedAt.Load(); at != nil {
			l.coldLimiter.MarkPossiblyCold(*at)
		}
		e.endpoints[row.Key] = l
	}
	l.configure(row, view, e.cfg)
	return l
}
