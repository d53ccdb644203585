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
// Invariant: it reports NOT_RUN only on the egress's word or when not one byte of the request was written.
func (s *Session) Exchange(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink Sink) *peerpb.End {
	if ctx.Err() != nil {
		return NotRun(ctxCode(ctx), 0)
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return NotRun(fault.LinkDown, linkRetryAfter)
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.used()
	stop := context.AfterFunc(ctx, func() { abandon(stream) })
	defer stop()
	defer abandon(stream)
	if err := WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Dispatch{Dispatch: d}}); err != nil {
		return Unknown(lostCode(ctx))
	}
	if d.GetBodyLength() != 0 {
		go func() {
			if err := sendBody(stream, body); err != nil {
				abandon(stream)
			}
		}()
	}
	return receive(ctx, NewFrameReader(stream), sink)
}

const linkRetryAfter = 500 * time.Millisecond

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

func receive(ctx context.Context, r FrameReader, sink Sink) *peerpb.End {
	for {
		f, err := r.Read()
		if err != nil {
			return Unknown(lostCode(ctx))
		}
		switch k := f.GetKind().(type) {
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
			return Unknown(fault.Canceled)
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
