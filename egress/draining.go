package egress

import (
	"context"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/header"
)

// noteDraining records that the endpoint itself reported, with an answer, that it is draining.
func (e *Egress) noteDraining(l *localEndpoint, draining bool) {
	if draining && l.draining.CompareAndSwap(false, true) {
		events.EndpointLeaving.Log(e.log).Str("endpoint", l.key).Send()
	}
}

// probeDraining regularly asks the endpoints that reported a drain whether they accept requests again.
func (e *Egress) probeDraining(ctx context.Context) {
	tick := time.NewTicker(e.cfg.ProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, l := range e.drainingEndpoints() {
			if e.hasResumed(ctx, l) && l.draining.CompareAndSwap(true, false) {
				events.EndpointBack.Log(e.log).Str("endpoint", l.key).Send()
			}
		}
	}
}

func (e *Egress) drainingEndpoints() []*localEndpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*localEndpoint
	for _, l := range e.endpoints {
		if l.draining.Load() {
			out = append(out, l)
		}
	}
	return out
}

func (e *Egress) hasResumed(ctx context.Context, l *localEndpoint) bool {
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
