package peer

import (
	"context"
	"io"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// Sink receives an endpoint's answer as it arrives; an error returned by a method ends the exchange.
type Sink interface {
	// ReportOverdue reports that the endpoint has already taken unusually long.
	ReportOverdue()
	// Due reports the time from now within which an answer is due, 0 for immediately; each call replaces the earlier
	// value.
	Due(in time.Duration)
	// Head receives the status and headers, once; soon is set if the body or the end follows without a wait.
	Head(h *peerpb.Head, soon bool) error
	// Data receives a chunk of the body, which is valid during the call only; last is set if the end follows without
	// a wait.
	Data(b []byte, last bool) error
}

// Permitter is a Sink whose ingress must confirm, when a slot is free, that the request may run.
type Permitter interface {
	Sink
	// Queued reports that the request has arrived and waits for a slot.
	Queued()
	// Permit offers the slot to the ingress and returns whether the request may run now. due is the time, counted from
	// the dispatch, within which an answer is due, 0 if it is unknown or was not requested.
	Permit(ctx context.Context, load *peerpb.Load, due time.Duration) bool
}

// DispatchGate is a Sink that is asked for consent immediately before the request is dispatched to an endpoint.
type DispatchGate interface {
	Sink
	// AllowDispatch returns whether the request may be dispatched; once it has returned true an endpoint may have
	// received the request.
	AllowDispatch() bool
}

// CommittingSink is a Sink that may pass an answer on before it is complete.
type CommittingSink interface {
	Sink
	// Committed returns whether the caller has received a part of the answer. No other answer can replace it then.
	Committed() bool
}

// SlotYielder is a Sink whose ingress decides whether a dispatched request gives up its slot. Only the ingress knows whether
// it may: a request must not be cut off while its caller's node stops.
type SlotYielder interface {
	Sink
	// YieldSlot asks for the request to be canceled, because its endpoint hangs and another request needs the slot.
	YieldSlot()
}

// RequestSlot asks the ingress of a dispatched request to give up the request's slot; it does not wait. It does nothing
// for a sink that is no SlotYielder.
func RequestSlot(sink Sink) {
	if y, ok := sink.(SlotYielder); ok {
		go y.YieldSlot()
	}
}

// AllowsDispatch returns the consent of a sink that is a DispatchGate, and true for any other sink.
func AllowsDispatch(sink Sink) bool {
	gate, ok := sink.(DispatchGate)
	return !ok || gate.AllowDispatch()
}

// NotRun returns the end of an exchange whose request was provably not dispatched to the endpoint.
func NotRun(code fault.Code, retryAfter time.Duration) *peerpb.End {
	return &peerpb.End{
		Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Code: string(code),
		RetryAfterMillis: retryAfter.Milliseconds(),
	}
}

// Unknown returns the end of an exchange of which it is not known whether its request ran.
func Unknown(code fault.Code) *peerpb.End {
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Code: string(code)}
}

// Exchange sends one request to the egress of the peer and passes the answer to sink.
//
// A dispatch with an exchange number is an offer: the egress holds a slot, reports that with a Grant frame, and waits
// for this node's Go frame. Until the Go frame is written the request has provably not run, whatever happens to the
// link.
//
// Invariant: Exchange returns NOT_RUN only if the egress reported it, if not one byte of the request was written, or
// for an offer whose Go frame was not written.
func (s *Session) Exchange(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink Sink) *peerpb.End {
	if ctx.Err() != nil {
		return NotRun(ctxCode(ctx), 0)
	}
	x, end := s.open(ctx, d.GetExchange() != 0)
	if end != nil {
		return end
	}
	defer x.close()
	if x.dispatched && !d.GetClaim().GetClaimOnly() && !AllowsDispatch(sink) {
		return NotRun(fault.Stopping, 0)
	}
	first := d
	if x.offered {
		d.Credit = answerWindow
		first = offerOf(d)
	}
	if err := WriteFrame(x.stream, &peerpb.Frame{Kind: &peerpb.Frame_Dispatch{Dispatch: first}}); err != nil {
		return x.brokenEnd()
	}
	if x.dispatched {
		x.sendBody(d, body)
	}
	return x.receive(sink, func() error { return x.dispatch(d, body, sink) })
}

// offerOf returns a dispatch without the fields that only the endpoint needs: a busy fleet refuses most offers, and the
// bandwidth between halls is expensive.
func offerOf(d *peerpb.Dispatch) *peerpb.Dispatch {
	return &peerpb.Dispatch{
		RequestId: d.GetRequestId(), Endpoint: d.GetEndpoint(), Service: d.GetService(), Customer: d.GetCustomer(),
		BudgetMicros: d.GetBudgetMicros(), Repeatable: d.GetRepeatable(), Revision: d.GetRevision(),
		BodyLength: d.GetBodyLength(), LateMicros: d.GetLateMicros(), Exchange: d.GetExchange(), Wait: d.GetWait(),
		Priority: d.GetPriority(), Caller: d.GetCaller(), AimMicros: d.GetAimMicros(),
		LastResort: d.GetLastResort(), Canary: d.GetCanary(), Route: d.GetRoute(), Config: d.GetConfig(),
		LikelyOnly: d.GetLikelyOnly(), Repeat: d.GetRepeat(), TellDue: d.GetTellDue(),
		UsualMicros: d.GetUsualMicros(), OfRepeat: d.GetOfRepeat(), Keyed: d.GetKeyed(), Content: d.GetContent(), Credit: d.GetCredit(),
		MaxRate: d.MaxRate, StatementAgeMicros: d.StatementAgeMicros, ToldLeaving: d.GetToldLeaving(), Nested: d.GetNested(), UsefulMicros: d.GetUsefulMicros(),
	}
}

// goOf returns the remaining fields of a dispatch, which are sent when the request may run.
func goOf(d *peerpb.Dispatch) *peerpb.Go {
	return &peerpb.Go{
		Method: d.GetMethod(), Target: d.GetTarget(), Host: d.GetHost(), Headers: d.GetHeaders(), Body: d.GetBody(),
	}
}

// complete adds the fields of a Go frame to an offer.
func complete(d *peerpb.Dispatch, g *peerpb.Go) {
	d.Method, d.Target, d.Host, d.Headers, d.Body = g.GetMethod(), g.GetTarget(), g.GetHost(), g.GetHeaders(), g.GetBody()
}

// Fetch asks the egress of the peer for the answer of an exchange that this node offered and dispatched before the link
// broke. If the Go frame has not arrived at the egress, the request will never run there: the outcome is NOT_RUN.
func (s *Session) Fetch(ctx context.Context, exchange uint64, sink Sink) *peerpb.End {
	return s.fetch(ctx, exchange, sink, "")
}

// FetchVia fetches an answer as Fetch does, relayed by this peer, from an egress whose address this node cannot reach.
func (s *Session) FetchVia(ctx context.Context, address string, exchange uint64, sink Sink) *peerpb.End {
	return s.fetch(ctx, exchange, sink, address)
}

// fetch requests the answer of an exchange, through the peer as a relay if via is not empty.
func (s *Session) fetch(ctx context.Context, exchange uint64, sink Sink, via string) *peerpb.End {
	if ctx.Err() != nil {
		return Unknown(ctxCode(ctx))
	}
	x, end := s.open(ctx, true)
	if end != nil {
		return Unknown(fault.LinkLost)
	}
	defer x.close()
	x.dispatched = true
	if via != "" {
		if WriteFrame(x.stream, &peerpb.Frame{Kind: &peerpb.Frame_Relay{Relay: &peerpb.Relay{Address: via}}}) != nil {
			return x.brokenEnd()
		}
	}
	if WriteFrame(x.stream, &peerpb.Frame{Kind: &peerpb.Frame_Fetch{Fetch: &peerpb.Fetch{Exchange: exchange}}}) != nil {
		return x.brokenEnd()
	}
	return x.receive(sink, nil)
}
