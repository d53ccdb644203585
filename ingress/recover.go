package ingress

import (
	"context"
	"time"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// maxRelays is how many other nodes are asked for the answer in one round.
	maxRelays = 3
	// recoverInterval is the wait between two rounds.
	recoverInterval = 50 * time.Millisecond
)

// recover asks for the answer of a request that was dispatched and whose link broke: over a new link, or through nodes
// that may still reach the endpoint's node. The endpoint's node runs nothing twice; it keeps the answer until the
// request's deadline. If the answer cannot be had by then, the outcome stays unknown.
func (x *exchange) recover(ctx context.Context, host table.HostInfo, exchange uint64, end *peerpb.End) *peerpb.End {
	if x.answer.started {
		return end
	}
	start := time.Now()
	ctx, done := x.progress.whileRecoverable(ctx, x.answer)
	defer done()
	for linkLost(end) && ctx.Err() == nil && !x.answer.started {
		if end = x.fetchOnce(ctx, host, exchange, end); !linkLost(end) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(recoverInterval):
		}
	}
	events.AnswerRecovered.Log(x.g.log).Str("request", x.call.id).Str("host", host.ID).
		Str("outcome", end.GetOutcome().String()).Str("code", end.GetCode()).Dur("after", time.Since(start)).Send()
	return end
}

// fetchOnce tries a new link and each relay once.
func (x *exchange) fetchOnce(ctx context.Context, host table.HostInfo, exchange uint64, end *peerpb.End) *peerpb.End {
	x.answer.reset()
	renewCtx, cancel := context.WithTimeout(ctx, linkTimeout)
	s, err := x.g.links.Renew(renewCtx, host.Address)
	cancel()
	if err == nil {
		if end = s.Fetch(ctx, exchange, x.answer); !linkLost(end) {
			return end
		}
	}
	for _, relay := range x.relays(host) {
		if ctx.Err() != nil || x.answer.started {
			return end
		}
		s, err := x.session(ctx, relay.Address)
		if err != nil {
			continue
		}
		x.answer.reset()
		if end = s.FetchVia(ctx, host.Address, exchange, x.answer); !linkLost(end) {
			return end
		}
	}
	return end
}

// mayRelayVia reports whether the request's data may pass through a host of a hall: one in an allowed region, or in
// this node's own region, hallRegion the caller's data came from.
func (x *exchange) mayRelayVia(hall string) bool {
	snap := x.g.snapshot()
	hallRegion := snap.RegionOf(hall)
	return x.call.regions.Allows(hallRegion) || hallRegion != "" && hallRegion == snap.RegionOf(x.g.cfg.Hall)
}

// relays returns up to maxRelays nodes that this node can reach, those of the endpoint's hall first.
func (x *exchange) relays(host table.HostInfo) []table.HostInfo {
	var sameHall, otherHalls []table.HostInfo
	for _, h := range x.g.snapshot().Hosts {
		if h.ID == host.ID || h.ID == x.g.cfg.Host || !x.mayRelayVia(h.Hall) || !x.g.links.HasLink(h.Address) || !x.g.links.Usable(h.Address) {
			continue
		}
		if h.Hall == host.Hall {
			sameHall = append(sameHall, h)
		} else {
			otherHalls = append(otherHalls, h)
		}
	}
	relays := append(sameHall, otherHalls...)
	return relays[:min(maxRelays, len(relays))]
}
