package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/table"
)

// exchange is one caller's request on its way through one or more sends.
type exchange struct {
	g      *Ingress
	call   call
	body   *requestBody
	answer *answer
	budget *budget
	tried  []string
	sends  int
	// ran and unknown are set once a send may have run or did.
	ran     bool
	unknown bool
}

func (x *exchange) run(ctx context.Context) *peerpb.End {
	if x.call.keyed() {
		return x.runKeyed(ctx)
	}
	return x.runAnywhere(ctx)
}

// runAnywhere sends the request to chosen endpoints until an answer stands or no further send is allowed.
func (x *exchange) runAnywhere(ctx context.Context) *peerpb.End {
	var last *peerpb.End
	for {
		pick, err := x.g.director.Pick(ctx, x.wish())
		if err != nil {
			if last != nil {
				return x.truth(last)
			}
			return x.truth(peer.NotRun(fault.CodeOf(err), 0))
		}
		// Only now that another endpoint is there, what the last one answered is given up.
		x.answer.reset()
		end := x.send(ctx, pick, nil)
		if !x.again(ctx, pick, end) {
			return x.truth(end)
		}
		last = end
	}
}

func (x *exchange) wish() director.Wish {
	return director.Wish{Service: x.call.service.Key, Repeatable: x.call.repeatable, Tried: x.tried}
}

// send makes one send and reports what it showed of the endpoint.
func (x *exchange) send(ctx context.Context, pick director.Pick, claim *peerpb.Claim) *peerpb.End {
	x.sends++
	late := false
	x.answer.onLate = func() {
		late = true
		x.g.director.Late(x.call.service.Key, pick)
	}
	end := x.deliver(ctx, pick.Endpoint, x.dispatch(ctx, pick, claim))
	x.note(end)
	x.g.director.Done(director.Report{
		Service: x.call.service.Key, Pick: pick, WasLate: late, Load: end.GetLoad(),
		Worked: worked(end), Failed: x.failed(end),
	})
	return end
}

func (x *exchange) note(end *peerpb.End) {
	x.ran = x.ran || end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN
	x.unknown = x.unknown || end.GetOutcome() == peerpb.Outcome_OUTCOME_UNKNOWN
}

func (x *exchange) dispatch(ctx context.Context, pick director.Pick, claim *peerpb.Claim) *peerpb.Dispatch {
	deadline, _ := ctx.Deadline()
	return &peerpb.Dispatch{
		RequestId: x.call.id, Endpoint: pick.Endpoint.Key, Service: x.call.service.Key, Customer: x.call.customer,
		Method: x.call.method, Target: x.call.target, Host: x.call.host, Headers: x.call.headers,
		BudgetMicros: time.Until(deadline).Microseconds(), Repeatable: x.call.repeatable, Claim: claim,
		Revision: x.call.revision, BodyLength: x.body.length, LateMicros: pick.Late.Microseconds(),
	}
}

// deliver brings a dispatch to the egress beside the endpoint: a function call here, a link elsewhere.
func (x *exchange) deliver(ctx context.Context, e table.Entry[table.Endpoint], d *peerpb.Dispatch) *peerpb.End {
	if e.Value.Host == x.g.cfg.Host {
		return x.g.local.Serve(ctx, d, x.body.reader(), x.answer)
	}
	host, ok := x.g.snapshot().ByID[e.Value.Host]
	if !ok {
		return peer.NotRun(fault.LinkDown, 0)
	}
	s, err := x.g.links.Session(ctx, host.Address)
	if err != nil {
		return peer.NotRun(fault.LinkDown, 0)
	}
	return s.Exchange(ctx, d, x.body.reader(), x.answer)
}

// worked tells whether an end is evidence about the endpoint. A lost link is evidence about the link, and a refusal
// about load; what timed out counts against the endpoint, which had the request.
func worked(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.LinkLost, fault.LinkDown, fault.Canceled, fault.Protocol:
		return false
	case fault.EndpointUnreachable, fault.DeadlineExceeded, fault.EndpointCut:
		return true
	}
	return end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN
}

func (x *exchange) failed(end *peerpb.End) bool {
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN || !end.GetComplete() {
		return true
	}
	return x.answer.head.GetStatus() >= http.StatusInternalServerError
}

// again decides on a further send.
func (x *exchange) again(ctx context.Context, pick director.Pick, end *peerpb.End) bool {
	deadline, _ := ctx.Deadline()
	code := fault.Code(end.GetCode())
	a := retry.Attempt{
		Number: x.sends, Outcome: end.GetOutcome(), Repeatable: x.call.repeatable,
		Overloaded: code == fault.Overloaded || code == fault.DeadlineTooShort || code == fault.EndpointShed,
		Misplaced:  code == fault.Draining || code == fault.WrongHost || code == fault.LinkDown,
		Failed:     x.answer.held != nil || end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN,
		Started:    x.answer.started, Replayable: x.body.replayable(),
		Left: time.Until(deadline), Typical: pick.Typical,
	}
	if ctx.Err() != nil || !x.budget.decide(a) {
		return false
	}
	x.tried = append(x.tried, pick.Endpoint.Key)
	x.g.metrics.Service(x.call.service.Key).Retries.Inc(1)
	return true
}

// truth makes the last end speak for the whole request: what an earlier send may have run is never told as not run.
func (x *exchange) truth(end *peerpb.End) *peerpb.End {
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
		return end
	}
	if x.ran || x.unknown {
		end.Outcome = peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return end
}
