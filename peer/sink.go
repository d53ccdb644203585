package peer

import (
	"net"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// streamSink passes an answer to the ingress. What is known to be followed by more without a wait is held, so that a
// short answer goes out in one write.
type streamSink struct {
	stream net.Conn
	pooled *[]byte
	mu     sync.Mutex
	held   []byte
}

func newStreamSink(stream net.Conn) *streamSink {
	p, _ := buffers.Get().(*[]byte)
	return &streamSink{stream: stream, pooled: p, held: (*p)[:0]}
}

// put adds a frame and writes everything unless more follows soon.
func (s *streamSink) put(f *peerpb.Frame, soon bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pooled == nil {
		return fault.New(fault.LinkLost, "frame", "exchange has ended")
	}
	b, err := appendFrame(s.held, f)
	if err != nil {
		return err
	}
	s.held = b
	if soon {
		return nil
	}
	s.held = b[:0]
	return writeAll(s.stream, b)
}

// Late implements Sink.
func (s *streamSink) ReportOverdue() {
	_ = s.put(&peerpb.Frame{Kind: &peerpb.Frame_Late{Late: &peerpb.Late{}}}, false)
}

// Due implements Sink; what is due later went with the grant.
func (s *streamSink) Due(in time.Duration) {
	if in == 0 {
		_ = s.put(&peerpb.Frame{Kind: &peerpb.Frame_Due{Due: &peerpb.Due{}}}, false)
	}
}

// Head implements Sink.
func (s *streamSink) Head(h *peerpb.Head, soon bool) error {
	return s.put(&peerpb.Frame{Kind: &peerpb.Frame_Head{Head: h}}, soon)
}

// Data implements Sink.
func (s *streamSink) Data(b []byte, last bool) error {
	for len(b) > 0 {
		n := min(len(b), DataChunk)
		soon := last && n == len(b)
		if err := s.put(&peerpb.Frame{Kind: &peerpb.Frame_Data{Data: &peerpb.Data{Bytes: b[:n]}}}, soon); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// end closes the exchange.
//
// Invariant: nothing is written or held after it. A late timer may still call the sink, and its buffer belongs to
// another exchange by then.
func (s *streamSink) end(e *peerpb.End) {
	_ = s.put(&peerpb.Frame{Kind: &peerpb.Frame_End{End: e}}, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	keep(s.pooled, s.held)
	buffers.Put(s.pooled)
	s.pooled, s.held = nil, nil
}
