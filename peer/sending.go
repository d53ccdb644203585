package peer

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// linkRetryAfter is the delay after which a request that found no link may be retried.
const linkRetryAfter = 500 * time.Millisecond

// ingressExchange is the ingress's side of one exchange.
type ingressExchange struct {
	ctx    context.Context //nolint:containedctx // one exchange's life
	s      *Session
	stream net.Conn
	stop   func() bool
	// startedAt is when the exchange began.
	startedAt time.Time
	// offered is set for an exchange that waits for a grant, dispatched once the request may run.
	offered    bool
	dispatched bool
	// withheld is set if the sink did not allow the dispatch.
	withheld bool
	// committed is set once the caller has received a part of the answer.
	committed bool
	// flowControl is set if the peer sends only as much of the answer as it has credit for; uncredited counts the bytes
	// that the caller has read and that were not yet reported to the peer as credit.
	flowControl bool
	uncredited  int
}

const (
	// answerWindow is how much of an answer's body may be sent before its caller reads it, in bytes: with the delay
	// between regions a caller can read 1.6 MB a second, and hundreds of callers that do not read cost a node little.
	answerWindow = 64 << 10
	// creditStep is the number of bytes read after which the peer receives new credit.
	creditStep = answerWindow / 2
)

// forwardData passes a chunk of the answer to the sink, and grants the peer credit for as much more.
func (x *ingressExchange) forwardData(sink Sink, b []byte) error {
	if err := sink.Data(b, false); err != nil {
		return err
	}
	if x.uncredited += len(b); x.flowControl && x.uncredited >= creditStep {
		credit := &peerpb.Credit{Bytes: uint32(x.uncredited)} //nolint:gosec // at most the window and a chunk
		x.uncredited = 0
		// If the credit cannot be written, the link is broken and the next read of the answer fails.
		_ = WriteFrame(x.stream, &peerpb.Frame{Kind: &peerpb.Frame_Credit{Credit: credit}})
	}
	return nil
}

// open opens a stream for an exchange. An offer must be answered within the offer timeout, at least by an Ack frame that
// says that it waits.
func (s *Session) open(ctx context.Context, offered bool) (*ingressExchange, *peerpb.End) {
	stream, err := s.openStream()
	if err != nil {
		return nil, NotRun(fault.LinkDown, linkRetryAfter)
	}
	s.begin(stream, offered)
	x := &ingressExchange{ctx: ctx, s: s, stream: stream, startedAt: time.Now(), offered: offered, dispatched: !offered}
	if offered {
		_ = stream.SetReadDeadline(time.Now().Add(s.offerTimeout()))
	}
	x.stop = context.AfterFunc(ctx, func() { _ = stream.SetReadDeadline(time.Now()) })
	return x, nil
}

// close ends the exchange on this side; for an offer whose context has ended it cancels the exchange at the egress.
func (x *ingressExchange) close() {
	x.stop()
	x.s.finish(x.stream)
	if x.ctx.Err() != nil && x.offered {
		// The caller went away or its deadline passed, so the egress need not continue. It is harmless if this frame is
		// lost.
		_ = x.stream.SetWriteDeadline(time.Now().Add(x.s.offerTimeout()))
		_ = WriteFrame(x.stream, &peerpb.Frame{Kind: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{}}})
	}
	abandon(x.stream)
}

// brokenEnd returns the end of the exchange after its stream broke.
func (x *ingressExchange) brokenEnd() *peerpb.End {
	switch {
	case x.withheld:
		return NotRun(fault.Stopping, 0)
	case !x.dispatched && x.ctx.Err() != nil:
		return NotRun(ctxCode(x.ctx), 0)
	case !x.dispatched:
		return NotRun(fault.LinkDown, linkRetryAfter)
	}
	return Unknown(lostCode(x.ctx))
}

// dispatch sends the Go frame, after which the request may run, and then the body.
func (x *ingressExchange) dispatch(d *peerpb.Dispatch, body io.Reader, sink Sink) error {
	if x.ctx.Err() != nil {
		return fault.Wrap(x.ctx.Err(), ctxCode(x.ctx), "exchange", "caller went away")
	}
	if x.withheld = !AllowsDispatch(sink); x.withheld {
		return fault.New(fault.Stopping, "exchange", "the node is stopping")
	}
	x.dispatched = true
	if err := WriteFrame(x.stream, &peerpb.Frame{Kind: &peerpb.Frame_Go{Go: goOf(d)}}); err != nil {
		return err
	}
	x.sendBody(d, body)
	return nil
}

// sendBody sends a body that is not part of the Dispatch or Go frame, concurrently with the reading of the answer.
func (x *ingressExchange) sendBody(d *peerpb.Dispatch, body io.Reader) {
	if d.GetBodyLength() == 0 {
		return
	}
	go func() {
		if err := sendBody(x.stream, body); err != nil {
			abandon(x.stream)
		}
	}()
}

// receive reads frames until the exchange ends; it calls dispatch when an offer is granted.
func (x *ingressExchange) receive(sink Sink, dispatch func() error) *peerpb.End {
	r := NewFrameReader(x.stream)
	for first := true; ; first = false {
		f, err := r.Read()
		if err != nil {
			x.s.suspectUnanswered(x)
			return x.brokenEnd()
		}
		x.observeFrame(first)
		switch k := f.GetKind().(type) {
		case *peerpb.Frame_Ack:
		case *peerpb.Frame_Grant:
			if dispatch == nil || x.dispatched {
				return Unknown(fault.Protocol)
			}
			x.flowControl = k.Grant.GetCredits()
			if dispatch() != nil {
				return x.brokenEnd()
			}
			reportDue(sink, k.Grant)
		case *peerpb.Frame_Late:
			sink.ReportOverdue()
		case *peerpb.Frame_Due:
			x.handleDue(sink, k.Due)
		case *peerpb.Frame_Head:
			err = sink.Head(k.Head, false)
		case *peerpb.Frame_Data:
			err = x.forwardData(sink, k.Data.GetBytes())
		case *peerpb.Frame_End:
			return k.End
		default:
			return Unknown(fault.Protocol)
		}
		if err != nil {
			return x.sinkFailedEnd()
		}
		x.observeSink(sink)
	}
}

// observeSink protects the exchange from interruption once the caller has received a part of the answer. An interruption
// that came just before is undone.
func (x *ingressExchange) observeSink(sink Sink) {
	if c, ok := sink.(CommittingSink); !ok || x.committed || !c.Committed() {
		return
	}
	x.committed = true
	x.s.commit(x.stream)
	x.clearReadDeadline()
}

// handleDue passes the report that an answer is due, or the request for the slot of a dispatched request, to the sink.
func (x *ingressExchange) handleDue(sink Sink, d *peerpb.Due) {
	switch {
	case !d.GetRelease():
		sink.Due(0)
	case x.dispatched:
		RequestSlot(sink)
	}
}

// reportDue passes the time within which an answer is due to the sink, if the grant contains it.
func reportDue(sink Sink, g *peerpb.Grant) {
	if due := g.GetDueMicros(); due > 0 {
		sink.Due(time.Duration(due) * time.Microsecond)
	}
}

// sinkFailedEnd returns the end of the exchange after the sink returned an error.
func (x *ingressExchange) sinkFailedEnd() *peerpb.End {
	if !x.dispatched {
		return NotRun(fault.Canceled, 0)
	}
	return Unknown(fault.Canceled)
}

// observeFrame handles a received frame as a proof that the link works; the first frame on an offer proves it in both
// directions.
func (x *ingressExchange) observeFrame(first bool) {
	if !x.offered {
		return
	}
	if first {
		x.s.recordAnsweredOffer(x.startedAt)
	}
	x.clearReadDeadline()
}

// clearReadDeadline removes the timeout for the first frame; from then on the heartbeats of the link detect its failure.
func (x *ingressExchange) clearReadDeadline() {
	_ = x.stream.SetReadDeadline(time.Time{})
	if x.ctx.Err() != nil {
		_ = x.stream.SetReadDeadline(time.Now())
	}
}

// abandon closes this side of a stream and interrupts its reader. The egress takes the end of the stream as a
// cancellation, unless the request was dispatched through an offer: its answer can still be fetched.
func abandon(stream net.Conn) {
	_ = stream.SetReadDeadline(time.Now())
	_ = stream.Close()
}

// sendBody writes a body as Data frames, the last of which is marked.
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
			return fault.Wrap(err, fault.BadRequest, "body", "cannot read the caller's body")
		}
	}
}

// ctxCode returns the fault code for an exchange whose context has ended.
func ctxCode(ctx context.Context) fault.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return fault.DeadlineExceeded
	}
	return fault.Canceled
}

// lostCode returns the fault code for an exchange whose stream broke.
func lostCode(ctx context.Context) fault.Code {
	if ctx.Err() != nil {
		return ctxCode(ctx)
	}
	return fault.LinkLost
}
