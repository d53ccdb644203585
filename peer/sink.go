package peer

import (
	"net"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// streamSink sends an answer to the ingress. A frame that is followed by another one without a wait is buffered, so that
// a short answer is sent in one write.
type streamSink struct {
	stream   net.Conn
	pooled   *[]byte
	mu       sync.Mutex
	buffered []byte
}

// newStreamSink returns a sink that writes to stream, with a buffer from the pool.
func newStreamSink(stream net.Conn) *streamSink {
	p, _ := buffers.Get().(*[]byte)
	return &streamSink{stream: stream, pooled: p, buffered: (*p)[:0]}
}

// put appends a frame to the buffer and writes the buffer unless another frame follows soon.
func (s *streamSink) put(f *peerpb.Frame, soon bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pooled == nil {
		return fault.New(fault.LinkLost, "frame", "exchange has ended")
	}
	b, err := appendFrame(s.buffered, f)
	if err != nil {
		return err
	}
	s.buffered = b
	if soon {
		return nil
	}
	s.buffered = b[:0]
	return writeAll(s.stream, b)
}

// ReportOverdue implements Sink.
func (s *streamSink) ReportOverdue() {
	_ = s.put(&peerpb.Frame{Kind: &peerpb.Frame_Late{Late: &peerpb.Late{}}}, false)
}

// Due implements Sink. Only a due time of 0 is sent: a later one was sent with the grant.
func (s *streamSink) Due(in time.Duration) {
	if in == 0 {
		_ = s.put(&peerpb.Frame{Kind: &peerpb.Frame_Due{Due: &peerpb.Due{}}}, false)
	}
}

// YieldSlot implements SlotYielder.
func (s *streamSink) YieldSlot() {
	_ = s.put(&peerpb.Frame{Kind: &peerpb.Frame_Due{Due: &peerpb.Due{Release: true}}}, false)
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

// end sends the end of the exchange and returns the buffer to the pool.
//
// Invariant: nothing is written or buffered after it. A timer that fires late may still call the sink, when the buffer
// already belongs to another exchange.
func (s *streamSink) end(e *peerpb.End) {
	_ = s.put(&peerpb.Frame{Kind: &peerpb.Frame_End{End: e}}, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	recycle(s.pooled, s.buffered)
	buffers.Put(s.pooled)
	s.pooled, s.buffered = nil, nil
}
