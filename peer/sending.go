package peer

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// linkRetryAfter is when a request that found no link may come back.
const linkRetryAfter = 500 * time.Millisecond

// sending is the ingress's side of one exchange.
type sending struct {
	ctx    context.Context //nolint:containedctx // one exchange's life
	s      *Session
	stream net.Conn
	stop   func() bool
	// at is when the exchange began.
	at time.Time
	// offered is set for an exchange that waits for a grant, handed once the request may run.
	offered bool
	handed  bool
	// withheld is set when the sink did not let the request be handed over.
	withheld bool
	// credits is set where the peer waits to be told what the caller has read; read counts the bytes of which it was not told yet.
	credits bool
	read    int
}

const (
	// answerWindow is how much of an answer's body may be on its way unread, in bytes: with the delay between regions it lets a caller read
	// 1.6 MB a second, and hundreds of callers that do not read cost a node little.
	answerWindow = 64 << 10
	// creditStep is how much is read before the peer is told.
	creditStep = answerWindow / 2
)

// passOn hands a piece of the answer to the caller, and lets the peer send as much more.
func (x *sending) passOn(sink Sink, b []byte) error {
	if err := sink.Data(b, false); err != nil {
		return err
	}
	if x.read += len(b); x.credits && x.read >= creditStep {
		credit := &peerpb.Credit{Bytes: uint32(x.read)} //nolint:gosec // at most the window and a piece
		x.read = 0
		// Where the word cannot be written the answer breaks off by itself.
		_ = WriteFrame(x.stream, &peerpb.Frame{Kind: &peerpb.Frame_Credit{Credit: credit}})
	}
	return nil
}

// open opens a stream; an offer must be answered soon, if only by a word that it waits.
func (s *Session) open(ctx context.Context, offered bool) (*sending, *peerpb.End) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, NotRun(fault.LinkDown, linkRetryAfter)
	}
	s.begin(stream, offered)
	x := &sending{ctx: ctx, s: s, stream: stream, at: time.Now(), offered: offered, handed: !offered}
	if offered {
		_ = stream.SetReadDeadline(time.Now().Add(s.offerLimit()))
	}
	x.stop = context.AfterFunc(ctx, func() { _ = stream.SetReadDeadline(time.Now()) })
	return x, nil
}

// close ends the exchange on this side; a caller that gave up is told to the egress.
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
	case x.withheld:
		return NotRun(fault.Stopping, 0)
	case !x.handed && x.ctx.Err() != nil:
		return NotRun(ctxCode(x.ctx), 0)
	case !x.handed:
		return NotRun(fault.LinkDown, linkRetryAfter)
	}
	return Unknown(lostCode(x.ctx))
}

// handOver gives the word that the request may run.
func (x *sending) handOver(d *peerpb.Dispatch, body io.Reader, sink Sink) error {
	if x.ctx.Err() != nil {
		return fault.Wrap(x.ctx.Err(), ctxCode(x.ctx), "exchange", "caller went away")
	}
	if x.withheld = !AllowsDispatch(sink); x.withheld {
		return fault.New(fault.Stopping, "exchange", "the node is stopping")
	}
	x.handed = true
	if err := WriteFrame(x.stream, &peerpb.Frame{Kind: &peerpb.Frame_Go{Go: goOf(d)}}); err != nil {
		return err
	}
	x.sendBody(d, body)
	return nil
}

// sendBody sends a body that did not go with the hand-over, beside the reading of the answer.
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
	for first := true; ; first = false {
		f, err := r.Read()
		if err != nil {
			x.s.unanswered(x)
			return x.broken()
		}
		x.heard(first)
		switch k := f.GetKind().(type) {
		case *peerpb.Frame_Ack:
		case *peerpb.Frame_Grant:
			if handOver == nil || x.handed {
				return Unknown(fault.Protocol)
			}
			x.credits = k.Grant.GetCredits()
			if handOver() != nil {
				return x.broken()
			}
			tellDue(sink, k.Grant)
		case *peerpb.Frame_Late:
			sink.ReportOverdue()
		case *peerpb.Frame_Due:
			sink.Due(0)
		case *peerpb.Frame_Head:
			err = sink.Head(k.Head, false)
		case *peerpb.Frame_Data:
			err = x.passOn(sink, k.Data.GetBytes())
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

// tellDue passes on when an answer is due, if the grant says so.
func tellDue(sink Sink, g *peerpb.Grant) {
	if due := g.GetDueMicros(); due > 0 {
		sink.Due(time.Duration(due) * time.Microsecond)
	}
}

// stopped is how the exchange ends when this side cannot go on with it.
func (x *sending) stopped() *peerpb.End {
	if !x.handed {
		return NotRun(fault.Canceled, 0)
	}
	return Unknown(fault.Canceled)
}

// heard takes a frame as evidence about the link, the first one of an offer in both directions.
func (x *sending) heard(first bool) {
	if !x.offered {
		return
	}
	if first {
		x.s.proved(x.at)
	}
	x.patient()
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

// ctxCode says why an exchange ended whose context has ended.
func ctxCode(ctx context.Context) fault.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return fault.DeadlineExceeded
	}
	return fault.Canceled
}

// lostCode says why an exchange ended whose stream says no more.
func lostCode(ctx context.Context) fault.Code {
	if ctx.Err() != nil {
		return ctxCode(ctx)
	}
	return fault.LinkLost
}
