package peer

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// Sink takes an endpoint's answer as it arrives; an error of the sink ends the exchange.
type Sink interface {
	// Late tells that the endpoint has taken long already.
	Late()
	// Head takes the status and headers, once; soon tells that the body or the end follows without a wait.
	Head(h *peerpb.Head, soon bool) error
	// Data takes a piece of the body, valid during the call only; last tells that the end follows without a wait.
	Data(b []byte, last bool) error
}

// Permitter is a Sink whose owner must agree once more, at the moment of the hand-over, before the request runs.
type Permitter interface {
	Sink
	// Waiting tells that the request has arrived and waits for a slot.
	Waiting()
	// Permit offers the slot and returns whether the request may run now.
	Permit(ctx context.Context, load *peerpb.Load) bool
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
	first := d
	if x.offered {
		first = offerOf(d)
	}
	if err := WriteFrame(x.stream, &peerpb.Frame{Kind: &peerpb.Frame_Dispatch{Dispatch: first}}); err != nil {
		return x.broken()
	}
	if x.handed {
		x.sendBody(d, body)
	}
	return x.receive(sink, func() error { return x.handOver(d, body) })
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
	}
}

// goOf is the rest of it.
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

const linkRetryAfter = 500 * time.Millisecond

// sending is the ingress's side of one exchange.
type sending struct {
	ctx    context.Context //nolint:containedctx // one exchange's life
	s      *Session
	stream net.Conn
	stop   func() bool
	// offered is set for an exchange that waits for a grant, handed once the request may run.
	offered bool
	handed  bool
}

// open opens a stream; an offer must be answered soon, if only by a word that it waits.
func (s *Session) open(ctx context.Context, offered bool) (*sending, *peerpb.End) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, NotRun(fault.LinkDown, linkRetryAfter)
	}
	s.begin(stream, offered)
	x := &sending{ctx: ctx, s: s, stream: stream, offered: offered, handed: !offered}
	if offered {
		_ = stream.SetReadDeadline(time.Now().Add(s.offerLimit()))
	}
	x.stop = context.AfterFunc(ctx, func() { _ = stream.SetReadDeadline(time.Now()) })
	return x, nil
}

func (x *sending) close() {
	x.stop()
	x.s.finish(x.stream)
	if x.ctx.Err() != nil && x.offered {
		// The caller went away, or its time ran out: the egress need not go on. That this may not arrive harms nothing.
		_ = x.stream.SetWriteDeadline(time.Now().Add(x.s.offerLimit()))
		_ = WriteFrame(x.stream, &peerpb.Frame{Kind: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{}}})
	}
	abandon(x.stream)
}

// broken is how the exchange ends when the stream says no more.
func (x *sending) broken() *peerpb.End {
	switch {
	case !x.handed && x.ctx.Err() != nil:
		return NotRun(ctxCode(x.ctx), 0)
	case !x.handed:
		return NotRun(fault.LinkDown, linkRetryAfter)
	}
	return Unknown(lostCode(x.ctx))
}

// handOver gives the word that the request may run.
func (x *sending) handOver(d *peerpb.Dispatch, body io.Reader) error {
	if x.ctx.Err() != nil {
		return fault.Wrap(x.ctx.Err(), ctxCode(x.ctx), "exchange", "caller went away")
	}
	x.handed = true
	if err := WriteFrame(x.stream, &peerpb.Frame{Kind: &peerpb.Frame_Go{Go: goOf(d)}}); err != nil {
		return err
	}
	x.sendBody(d, body)
	return nil
}

func (x *sending) sendBody(d *peerpb.Dispatch, body io.Reader) {
	if d.GetBodyLength() == 0 {
		return
	}
	go func() {
		if err := sendBody(x.stream, body); err != nil {
			abandon(x.stream)
		}
	}()
}

// receive reads frames until the exchange ends.
func (x *sending) receive(sink Sink, handOver func() error) *peerpb.End {
	r := NewFrameReader(x.stream)
	for {
		f, err := r.Read()
		if err != nil {
			x.s.unanswered(x)
			return x.broken()
		}
		if x.offered {
			x.patient()
		}
		switch k := f.GetKind().(type) {
		case *peerpb.Frame_Ack:
		case *peerpb.Frame_Grant:
			if handOver == nil || x.handed {
				return Unknown(fault.Protocol)
			}
			err = handOver()
		case *peerpb.Frame_Late:
			sink.Late()
		case *peerpb.Frame_Head:
			err = sink.Head(k.Head, false)
		case *peerpb.Frame_Data:
			err = sink.Data(k.Data.GetBytes(), false)
		case *peerpb.Frame_End:
			return k.End
		default:
			return Unknown(fault.Protocol)
		}
		if err != nil {
			return x.stopped()
		}
	}
}

// stopped is how the exchange ends when this side cannot go on with it.
func (x *sending) stopped() *peerpb.End {
	if !x.handed {
		return NotRun(fault.Canceled, 0)
	}
	return Unknown(fault.Canceled)
}

// patient takes the limit of the first frame away; the link's heartbeat judges from here on.
func (x *sending) patient() {
	_ = x.stream.SetReadDeadline(time.Time{})
	if x.ctx.Err() != nil {
		_ = x.stream.SetReadDeadline(time.Now())
	}
}

// abandon closes our side, which the egress takes as a cancellation, and wakes our reader.
func abandon(stream net.Conn) {
	_ = stream.SetReadDeadline(time.Now())
	_ = stream.Close()
}

func sendBody(w io.Writer, body io.Reader) error {
	buf := make([]byte, DataChunk)
	for {
		n, err := body.Read(buf)
		last := err == io.EOF
		if n > 0 || last {
			f := &peerpb.Frame{Kind: &peerpb.Frame_Data{Data: &peerpb.Data{Bytes: buf[:n], Last: last}}}
			if werr := WriteFrame(w, f); werr != nil {
				return werr
			}
		}
		if last {
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.BadRequest, "body", "caller's body broke off")
		}
	}
}

func ctxCode(ctx context.Context) fault.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return fault.DeadlineExceeded
	}
	return fault.Canceled
}

func lostCode(ctx context.Context) fault.Code {
	if ctx.Err() != nil {
		return ctxCode(ctx)
	}
	return fault.LinkLost
}
