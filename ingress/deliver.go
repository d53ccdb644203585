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

// deliver sends a dispatch to the egress beside the endpoint. If another endpoint has taken that endpoint's place, the
// dispatch is sent on to the new one: a restarted endpoint is known to its own node at once, but to all others only
// through the platform's store. After a power loss of a fleet of hundreds, that is the case for most requests of the
// first seconds.
func (x *exchange) deliver(
	ctx context.Context, e table.Entry[table.Endpoint], d *peerpb.Dispatch, sink *answer,
) *peerpb.End {
	sink.endpoint = e.Key
	defer sink.sendEnded()
	end := x.deliverTo(ctx, e, d, sink)
	if next := x.redirect(d, end); next != nil {
		return x.deliverTo(ctx, e, next, sink)
	}
	return end
}

// redirect returns the dispatch for the endpoint that a refusal names in place of the requested one, nil if it names
// none. Requests under a key are not redirected: they stay with the key's owner.
func (x *exchange) redirect(d *peerpb.Dispatch, end *peerpb.End) *peerpb.Dispatch {
	if end.GetStands() == "" || end.GetStands() == d.GetEndpoint() || d.GetClaim() != nil ||
		end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
		return nil
	}
	next, _ := proto.Clone(d).(*peerpb.Dispatch)
	next.Endpoint = end.GetStands()
	next.Exchange = x.g.cfg.Incarnation + x.g.exchangeCount.Add(1)
	return next
}

// deliverTo sends a dispatch to the egress of an endpoint's host and registers the send with the request's progress, so
// that a planned stop can cancel it before it is dispatched.
func (x *exchange) deliverTo(
	ctx context.Context, e table.Entry[table.Endpoint], d *peerpb.Dispatch, sink *answer,
) *peerpb.End {
	sink.sendEnded()
	ctx, done := x.progress.untilDispatch(ctx, sink)
	defer done()
	if d.GetClaim() != nil {
		// A request under a key goes on at its endpoint without the caller, who can ask for the answer by the key.
		recoverable, doneRecovering := x.progress.whileRecoverable(ctx, sink)
		defer doneRecovering()
		ctx = recoverable
	}
	return x.asStopping(x.exchangeWith(ctx, e, d, sink))
}

// asStopping changes the end of a send that was abandoned because this node stops, so that the caller retries at
// another node at once.
func (x *exchange) asStopping(end *peerpb.End) *peerpb.End {
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

// exchangeWith sends a Dispatch to the egress of an endpoint's host, by a function call on this host and over a link
// otherwise. If the link breaks, it asks for the answer again.
func (x *exchange) exchangeWith(ctx context.Context, e table.Entry[table.Endpoint], d *peerpb.Dispatch, sink *answer) *peerpb.End {
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
	if linkLost(end) && d.GetExchange() != 0 && !x.call.repeatable {
		return x.recover(ctx, host, d.GetExchange(), end)
	}
	return end
}

// linkTimeout is how long a request waits for a link that is not up: a few round trips between regions. The link goes
// on being opened after that; without this limit, a host without power would delay the request by a whole connection
// timeout.
const linkTimeout = 100 * time.Millisecond

// session returns a link to a node, or an error if there is none within linkTimeout.
func (x *exchange) session(ctx context.Context, address string) (*peer.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	return x.g.links.Session(ctx, address)
}
