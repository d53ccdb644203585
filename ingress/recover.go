package ingress

import (
	"context"
	"time"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// mostRelays is how many other nodes are asked for the answer in one round.
	mostRelays = 3
	// recoverPause is the wait between two rounds.
	recoverPause = 50 * time.Millisecond
)

// recover asks for the answer of a request that was handed over and whose link broke: by a new link, else by way of
// nodes that may still reach the endpoint's. The endpoint's node runs nothing twice; it keeps the answer until the
// request's deadline. What cannot be learned until then stays unknown.
func (x *exchange) recover(ctx context.Context, host table.HostInfo, exchange uint64, end *peerpb.End) *peerpb.End {
	if x.answer.started {
		return end
	}
	start := time.Now()
	ctx, done := x.progress.ask(ctx, x.answer)
	defer done()
	for lost(end) && ctx.Err() == nil && !x.answer.started {
		if end = x.fetchOnce(ctx, host, exchange, end); !lost(end) {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(recoverPause):
		}
	}
	events.AnswerRecovered.Log(x.g.log).Str("request", x.call.id).Str("host", host.ID).
		Str("outcome", end.GetOutcome().String()).Str("code", end.GetCode()).Dur("after", time.Since(start)).Send()
	return end
}

// fetchOnce tries each way once.
func (x *exchange) fetchOnce(ctx context.Context, host table.HostInfo, exchange uint64, end *peerpb.End) *peerpb.End {
	x.answer.reset()
	renew, cancel := context.WithTimeout(ctx, linkLimit)
	s, err := x.g.links.Renew(renew, host.Address)
	cancel()
	if err == nil {
		if end = s.Fetch(ctx, exchange, x.answer); !lost(end) {
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
		if end = s.FetchVia(ctx, host.Address, exchange, x.answer); !lost(end) {
			return end
		}
	}
	return end
}

// mayPass tells whether the request's data may pass through a host of a hall: in a region where it may be, or in this one, from where its
// caller came.
func (x *exchange) mayPass(hall string) bool {
	snap := x.g.snapshot()
	where := snap.RegionOf(hall)
	return x.call.regions.Allows(where) || where != "" && where == snap.RegionOf(x.g.cfg.Hall)
}

// relays returns some nodes that this one reaches, those of the endpoint's hall first.
func (x *exchange) relays(host table.HostInfo) []table.HostInfo {
	var near, far []table.HostInfo
	for _, h := range x.g.snapshot().Hosts {
		if h.ID == host.ID || h.ID == x.g.cfg.Host || !x.mayPass(h.Hall) || !x.g.links.Linked(h.Address) || !x.g.links.Usable(h.Address) {
			continue
		}
		if h.Hall == host.Hall {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	all := append(near, far...)
	return all[:min(mostRelays, len(all))]
}
