package egress

import (
	"context"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
	"github.com/lynxplank/lynxplank/upstream"
)

// noteDraining records that the endpoint itself reported that it is draining.
func (e *Egress) noteDraining(l *localEndpoint) {
	if l.draining.CompareAndSwap(false, true) {
		l.goneSinceDraining.Store(false)
		events.EndpointLeaving.Log(e.log).Str("endpoint", l.key).Send()
	}
}

// noteLeaving applies what an answer states of the endpoint's stop.
func (e *Egress) noteLeaving(l *localEndpoint, a contract.Answer) {
	if !a.FromEndpoint() {
		return
	}
	l.answered.Store(true)
	if a.Leaving {
		e.noteDraining(l)
	}
}

// adoptLeaving applies what the endpoint said to the sender of a request before this process heard anything of it, and
// returns the refusal if the endpoint is leaving.
func (e *Egress) adoptLeaving(l *localEndpoint, d *peerpb.Dispatch) *peerpb.End {
	if d.GetToldLeaving() && !l.answered.Load() {
		e.noteDraining(l)
	}
	return e.refuseDraining(l)
}

// refuseDraining returns the refusal of a request to an endpoint that has reported a drain, nil for another one. Its load
// report tells the sender, so that a later process of this node learns it from the sender.
func (e *Egress) refuseDraining(l *localEndpoint) *peerpb.End {
	if !l.draining.Load() {
		return nil
	}
	end := peer.NotRun(fault.Draining, drainRetryAfter)
	end.Load = l.loadReport(0, e.cfg.Incarnation)
	return end
}

// goneCheckInterval is the time between two looks whether an endpoint that reported a drain is gone.
const goneCheckInterval = 250 * time.Millisecond

// probeDraining regularly looks whether an endpoint that reported a drain has been replaced.
//
// Invariant: an endpoint that reported a drain stays drained for its life. A good probe alone takes nothing back, since the
// endpoint may be about to stop all the same: it must have refused connections before, so that another process answers
// now. An endpoint that announces itself has a new key in its next life and is not probed.
func (e *Egress) probeDraining(ctx context.Context) {
	tick := time.NewTicker(min(e.cfg.ProbeInterval, goneCheckInterval))
	defer tick.Stop()
	var probedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		probe := time.Since(probedAt) >= e.cfg.ProbeInterval
		if probe {
			probedAt = time.Now()
		}
		for _, l := range e.drainingEndpoints() {
			if !l.goneSinceDraining.Load() {
				l.goneSinceDraining.Store(e.isGone(ctx, l))
			} else if probe && e.probeSucceeds(ctx, l) {
				l.mu.Lock()
				l.startNewLife()
				l.mu.Unlock()
				events.EndpointBack.Log(e.log).Str("endpoint", l.key).Send()
			}
		}
	}
}

// isGone reports whether the endpoint's address refuses connections.
func (e *Egress) isGone(ctx context.Context, l *localEndpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, goneCheckInterval)
	defer cancel()
	return upstream.Refuses(ctx, *l.address.Load())
}

// drainingEndpoints returns the endpoints that reported a drain and whose keys a later process may have too.
func (e *Egress) drainingEndpoints() []*localEndpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*localEndpoint
	for _, l := range e.endpoints {
		if l.draining.Load() && !e.announcesItself(l.key) {
			out = append(out, l)
		}
	}
	return out
}

// announcesItself reports whether an endpoint beside this node announces itself, so that its key names one life of it.
func (e *Egress) announcesItself(key string) bool {
	if e.announced == nil {
		return false
	}
	row, ok := e.state().Endpoint(key)
	return !ok || row.Source == table.SourceHosts
}

// probeSucceeds reports whether a probe of the endpoint is good and doesn't say that the endpoint drains.
func (e *Egress) probeSucceeds(ctx context.Context, l *localEndpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ProbeInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+*l.address.Load()+e.cfg.ProbePath, nil)
	if err != nil {
		return false
	}
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusInternalServerError && resp.Header.Get(header.Leaving) == ""
}
