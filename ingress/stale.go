package ingress

import (
	"context"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// staleTimeout is how long a request waits for the newer configuration that an endpoint's node already has: about
	// the time that a change takes to spread from node to node.
	staleTimeout = 300 * time.Millisecond
	// stalePollInterval is the time between two looks at the active configuration meanwhile.
	stalePollInterval = 5 * time.Millisecond
)

// refreshConfig updates a request that was refused because its configuration was outdated (Stale) to the active one,
// and waits for a newer one first. It returns false if none arrives, or if the newer one no longer routes the request
// to this service. Other ends return true.
func (x *exchange) refreshConfig(ctx context.Context, end *peerpb.End) bool {
	if fault.Code(end.GetCode()) != fault.Stale {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, staleTimeout)
	defer cancel()
	for !x.newerConfigActive() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(stalePollInterval):
		}
	}
	if !x.adoptConfig() {
		if _, _, failure := x.call.findCustomer(x.g.snapshot().State); failure != nil {
			end.Code = string(fault.UnknownToken)
		}
		return false
	}
	// The endpoint refused the configuration, not the request, so it may be tried again.
	x.tried = x.tried[:len(x.tried)-1]
	return true
}

// adoptConfig updates the request to the active configuration. It returns false if that no longer routes the request to
// its service, or no longer has the caller's key.
func (x *exchange) adoptConfig() bool {
	snap := x.g.snapshot()
	row, ok := matchCall(snap.State, &x.call)
	if !ok || row.Key != x.call.route.Key || !routesTo(row.Value, x.call.service.Key) {
		return false
	}
	// If the key was removed or belongs to another customer now, the call stays unchanged: its running sends were sent
	// under the old customer.
	customer, hasKey, failure := x.call.findCustomer(snap.State)
	if failure != nil || customer != x.call.customer || hasKey != x.call.hasCustomerKey {
		return false
	}
	x.call.regions = snap.State.RegionsFor(row.Value, customer)
	revisions := snap.State.Revisions()
	x.call.config, x.call.revision = revisions[table.SourceConfig], revisions[table.SourceRows]
	return true
}

// newerConfigActive reports whether the active configuration is newer than the request's.
func (x *exchange) newerConfigActive() bool {
	revisions := x.g.snapshot().State.Revisions()
	return revisions[table.SourceConfig] > x.call.config || revisions[table.SourceRows] > x.call.revision
}

// routesTo reports whether a route sends requests to a service.
func routesTo(r table.Route, service string) bool {
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
