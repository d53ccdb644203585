package ingress

import (
	"context"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// staleWait is how long a request waits for the configuration by which an endpoint's node has refused it: about what
	// a change takes from node to node.
	staleWait = 300 * time.Millisecond
	// staleLook is the time between two looks at the configuration in force meanwhile.
	staleLook = 5 * time.Millisecond
)

// current brings a request that was refused as going by an older configuration to the one in force here by now; false
// when that no longer sends it to this service, or does not come.
func (x *exchange) current(ctx context.Context, end *peerpb.End) bool {
	if fault.Code(end.GetCode()) != fault.Stale {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, staleWait)
	defer cancel()
	for !x.behind() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(staleLook):
		}
	}
	if !x.adopt() {
		if _, _, bad := x.call.holder(x.g.snapshot().State); bad != nil {
			end.Code = string(fault.UnknownToken)
		}
		return false
	}
	// The endpoint refused the configuration, not the request.
	x.tried = x.tried[:len(x.tried)-1]
	return true
}

// adopt brings the request to the configuration in force here now; false when that no longer sends it to its
// service, or no longer holds its key.
func (x *exchange) adopt() bool {
	snap := x.g.snapshot()
	next, ok := matchCall(snap.State, &x.call)
	if !ok || next.Key != x.call.route.Key || !sends(next.Value, x.call.service.Key) {
		return false
	}
	// The call stays as it was where its key is gone or another's: what is still under way was sent under the name that it had.
	customer, keyed, bad := x.call.holder(snap.State)
	if bad != nil || customer != x.call.customer || keyed != x.call.keyed {
		return false
	}
	x.call.regions = snap.State.RegionsFor(next.Value, customer)
	held := snap.State.Revisions()
	x.call.config, x.call.revision = held[table.SourceConfig], held[table.SourceRows]
	return true
}

// behind tells whether a newer configuration is in force here than the one that the request goes by.
func (x *exchange) behind() bool {
	held := x.g.snapshot().State.Revisions()
	return held[table.SourceConfig] > x.call.config || held[table.SourceRows] > x.call.revision
}

// sends tells whether a route sends requests to a service.
func sends(r table.Route, service string) bool {
	if r.Service == service && len(r.Split.Parts()) == 0 {
		return true
	}
	for _, p := range r.Split.Parts() {
		if p.Service == service && p.Weight > 0 {
			return true
		}
	}
	return false
}
