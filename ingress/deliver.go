package ingress

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// deliver brings a dispatch to the egress beside the endpoint, or to the endpoint that stands there in its place: one that was
// started anew is known to its node at once, and to everybody else only by way of the store. When a fleet of hundreds has lost
// power, that is most of what is asked in the first seconds.
func (x *exchange) deliver(
	ctx context.Context, e table.Entry[table.Endpoint], d *peerpb.Dispatch, sink *answer,
) *peerpb.End {
	sink.endpoint = e.Key
	defer sink.returned()
	end := x.deliverTo(ctx, e, d, sink)
	if next := x.inPlace(d, end); next != nil {
		return x.deliverTo(ctx, e, next, sink)
	}
	return end
}

// inPlace returns the dispatch for the endpoint that a refusal names in place of the one that was asked for; nil if it names none.
// What runs under a key stays with the key's home.
func (x *exchange) inPlace(d *peerpb.Dispatch, end *peerpb.End) *peerpb.Dispatch {
	if end.GetStands() == "" || end.GetStands() == d.GetEndpoint() || d.GetClaim() != nil ||
		end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
		return nil
	}
	next, _ := proto.Clone(d).(*peerpb.Dispatch)
	next.Endpoint = end.GetStands()
	next.Exchange = x.g.cfg.Incarnation + x.g.sent.Add(1)
	return next
}

// deliverTo brings a dispatch to the egress of an endpoint's host: a function call here, a link elsewhere.
func (x *exchange) deliverTo(
	ctx context.Context, e table.Entry[table.Endpoint], d *peerpb.Dispatch, sink *answer,
) *peerpb.End {
	sink.returned()
	ctx, done := x.progress.wait(ctx, sink)
	defer done()
	if d.GetClaim() != nil {
		// What an endpoint has under a key runs on without its caller, who can ask for its answer by the key.
		asking, unasked := x.progress.ask(ctx, sink)
		defer unasked()
		ctx = asking
	}
	return x.stopped(x.bring(ctx, e, d, sink))
}

// stopped tells of a send that was given up because the node stops that another node takes it at once.
func (x *exchange) stopped(end *peerpb.End) *peerpb.End {
	code := fault.Code(end.GetCode())
	if code != fault.Stopping && (code != fault.Canceled || !x.progress.isClosed()) {
		return end
	}
	if end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN {
		return peer.NotRun(fault.Stopping, elsewhereRetryAfter)
	}
	end.Code = string(fault.Stopping)
	return end
}

// bring hands a dispatch to the egress of an endpoint's host, and asks again for an answer whose link broke.
func (x *exchange) bring(ctx context.Context, e table.Entry[table.Endpoint], d *peerpb.Dispatch, sink *answer) *peerpb.End {
	if e.Value.Host == x.g.cfg.Host {
		return x.g.local.Serve(ctx, d, x.body.reader(), sink)
	}
	host, ok := x.g.snapshot().ByID[e.Value.Host]
	if !ok {
		return peer.NotRun(fault.LinkDown, 0)
	}
	s, err := x.session(ctx, host.Address)
	if err != nil {
		return peer.NotRun(fault.LinkDown, 0)
	}
	end := s.Exchange(ctx, d, x.body.reader(), sink)
	if lost(end) && d.GetExchange() != 0 && !x.call.repeatable {
		return x.recover(ctx, host, d.GetExchange(), end)
	}
	return end
}

// linkLimit is how long a request waits for a link that is not up: a few round trips between regions. The link is opened
// all the same; a host without power would hold the request for the whole time of a connection.
const linkLimit = 100 * time.Millisecond

// session returns a link to a node, an error when none stands within linkLimit.
func (x *exchange) session(ctx context.Context, address string) (*peer.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, linkLimit)
	defer cancel()
	return x.g.links.Session(ctx, address)
}
