package peer

import (
	"context"
	"io"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// Sink takes an endpoint's answer as it arrives; an error of the sink ends the exchange.
type Sink interface {
	// Late tells that the endpoint has taken long already.
	ReportOverdue()
	// Due tells in how long from now an answer is due, 0 for at once; a later word takes the place of an earlier one.
	Due(in time.Duration)
	// Head takes the status and headers, once; soon tells that the body or the end follows without a wait.
	Head(h *peerpb.Head, soon bool) error
	// Data takes a piece of the body, valid during the call only; last tells that the end follows without a wait.
	Data(b []byte, last bool) error
}

// Permitter is a Sink whose owner must agree once more, at the moment of the hand-over, before the request runs.
type Permitter interface {
	Sink
	// Waiting tells that the request has arrived and waits for a slot.
	Queued()
	// Permit offers the slot and returns whether the request may run now; due is the time from then on within which an
	// answer is due, 0 if that is not known or was not asked for.
	Permit(ctx context.Context, load *peerpb.Load, due time.Duration) bool
}

// HandOver is a Sink whose owner is asked right before the request is handed to an endpoint.
type DispatchGate interface {
	Sink
	// HandOver returns whether the request may be handed over; once it has returned true an endpoint may have it.
	AllowDispatch() bool
}

// MayHandOver asks a sink that wants to be asked.
func AllowsDispatch(sink Sink) bool {
	h, asks := sink.(DispatchGate)
	return !asks || h.AllowDispatch()
}

// NotRun returns the end of an exchange whose request was provably not handed to the endpoint.
func NotRun(code fault.Code, retryAfter time.Duration) *peerpb.End {
	return &peerpb.End{
		Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Code: string(code),
		RetryAfterMillis: retryAfter.Milliseconds(),
	}
}

// Unknown returns the end of an exchange whose fate cannot be told.
func Unknown(code fault.Code) *peerpb.End {
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Code: string(code)}
}

// Exchange sends one request to the egress at the other side and passes the answer to sink.
//
// A dispatch with an exchange number is an offer: the egress holds a slot, says so, and waits for our word. Until that
// word is written the request has provably not run, whatever becomes of the link.
//
// Invariant: it reports NOT_RUN only on the egress's word, when not one byte of the request was written, or for an
// offer whose hand-over was not written.
func (s *Session) Exchange(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink Sink) *peerpb.End {
	if ctx.Err() != nil {
		return NotRun(ctxCode(ctx), 0)
	}
	x, end := s.open(ctx, d.GetExchange() != 0)
	if end != nil {
		return end
	}
	defer x.close()
	if x.handed && !d.GetClaim().GetClaimOnly() && !AllowsDispatch(sink) {
		return NotRun(fault.Stopping, 0)
	}
	first := d
	if x.offered {
		d.Credit = answerWindow
		first = offerOf(d)
	}
	if err := WriteFrame(x.stream, &peerpb.Frame{Kind: &peerpb.Frame_Dispatch{Dispatch: first}}); err != nil {
		return x.broken()
	}
	if x.handed {
		x.sendBody(d, body)
	}
	return x.receive(sink, func() error { return x.handOver(d, body, sink) })
}

// offerOf is a dispatch without what only the endpoint needs: most offers to a busy fleet are turned away, and the links
// between halls are dear.
func offerOf(d *peerpb.Dispatch) *peerpb.Dispatch {
	return &peerpb.Dispatch{
		RequestId: d.GetRequestId(), Endpoint: d.GetEndpoint(), Service: d.GetService(), Customer: d.GetCustomer(),
		BudgetMicros: d.GetBudgetMicros(), Repeatable: d.GetRepeatable(), Revision: d.GetRevision(),
		BodyLength: d.GetBodyLength(), LateMicros: d.GetLateMicros(), Exchange: d.GetExchange(), Wait: d.GetWait(),
		Priority: d.GetPriority(), Caller: d.GetCaller(), AimMicros: d.GetAimMicros(),
		LastResort: d.GetLastResort(), Canary: d.GetCanary(), Route: d.GetRoute(), Config: d.GetConfig(),
		LikelyOnly: d.GetLikelyOnly(), Repeat: d.GetRepeat(), TellDue: d.GetTellDue(),
		UsualMicros: d.GetUsualMicros(), OfRepeat: d.GetOfRepeat(), Keyed: d.GetKeyed(), Content: d.GetContent(), Credit: d.GetCredit(),
	}
}

// goOf is the rest of a dispatch, which goes with the hand-over.
func goOf(d *peerpb.Dispatch) *peerpb.Go {
	return &peerpb.Go{
		Method: d.GetMethod(), Target: d.GetTarget(), Host: d.GetHost(), Headers: d.GetHeaders(), Body: d.GetBody(),
	}
}

// complete adds the rest to an offer.
func complete(d *peerpb.Dispatch, g *peerpb.Go) {
	d.Method, d.Target, d.Host, d.Headers, d.Body = g.GetMethod(), g.GetTarget(), g.GetHost(), g.GetHeaders(), g.GetBody()
}

// Fetch asks the egress at the other side for the answer of an exchange that this node offered and handed over, and
// whose link broke. If the hand-over never arrived, it never will have: the answer is NOT_RUN.
func (s *Session) Fetch(ctx context.Context, exchange uint64, sink Sink) *peerpb.End {
	return s.fetch(ctx, exchange, sink, "")
}

// FetchVia does the same by way of the peer at the other side, for an egress at an address that this node cannot reach.
func (s *Session) FetchVia(ctx context.Context, address string, exchange uint64, sink Sink) *peerpb.End {
	return s.fetch(ctx, exchange, sink, address)
}

func (s *Session) fetch(ctx context.Context, exchange uint64, sink Sink, via string) *peerpb.End {
	if ctx.Err() != nil {
		return Unknown(ctxCode(ctx))
	}
	x, end := s.open(ctx, true)
	if end != nil {
		return Unknown(fault.LinkLost)
	}
	defer x.close()
	x.handed = true
	if via != "" {
		if WriteFrame(x.stream, &peerpb.Frame{Kind: &peerpb.Frame_Relay{Relay: &peerpb.Relay{Address: via}}}) != nil {
			return x.broken()
		}
	}
	if WriteFrame(x.stream, &peerpb.Frame{Kind: &peerpb.Frame_Fetch{Fetch: &peerpb.Fetch{Exchange: exchange}}}) != nil {
		return x.broken()
	}
	return x.receive(sink, nil)
}
