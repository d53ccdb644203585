package egress

import (
	"context"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/header"
)

// noteLeaving believes an endpoint's own word that it is leaving.
func (e *Egress) noteLeaving(l *local, leaving bool) {
	if leaving && l.leaving.CompareAndSwap(false, true) {
		events.EndpointLeaving.Log(e.log).Str("endpoint", l.key).Send()
	}
}

// watchLeaving asks the endpoints that said they are leaving whether they still are.
func (e *Egress) watchLeaving(ctx context.Context) {
	tick := time.NewTicker(e.cfg.ProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, l := range e.leavers() {
			if e.back(ctx, l) && l.leaving.CompareAndSwap(true, false) {
				events.EndpointBack.Log(e.log).Str("endpoint", l.key).Send()
			}
		}
	}
}

func (e *Egress) leavers() []*local {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*local
	for _, l := range e.locals {
		if l.leaving.Load() {
			out = append(out, l)
		}
	}
	return out
}

func (e *Egress) back(ctx context.Context, l *local) bool {
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
