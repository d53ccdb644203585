package peer

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// recorder is a stream that keeps what is written.
type recorder struct {
	net.Conn
	writes int
	bytes  bytes.Buffer
}

func (r *recorder) Write(b []byte) (int, error) {
	r.writes++
	return r.bytes.Write(b)
}

func (r *recorder) SetReadDeadline(time.Time) error { return nil }

// TestShortAnswerIsOneWrite checks that a whole short answer goes out in one write, and in order.
func TestShortAnswerIsOneWrite(t *testing.T) {
	r := &recorder{}
	s := newStreamSink(r)
	_ = s.Head(&peerpb.Head{Status: 200}, true)
	_ = s.Data([]byte("hello"), true)
	s.end(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Complete: true})
	if got, want := r.writes, 1; got != want {
		t.Errorf("writes: got %d, want %d", got, want)
	}
	in := NewFrameReader(&r.bytes)
	var kinds []string
	for {
		f, err := in.Read()
		if err != nil {
			break
		}
		switch {
		case f.GetHead() != nil:
			kinds = append(kinds, "head")
		case f.GetData() != nil:
			kinds = append(kinds, string(f.GetData().GetBytes()))
		case f.GetEnd() != nil:
			kinds = append(kinds, "end")
		}
	}
	if got, want := len(kinds), 3; got != want || kinds[0] != "head" || kinds[1] != "hello" || kinds[2] != "end" {
		t.Errorf("frames: got %v, want head, hello, end", kinds)
	}
}

// TestSlowAnswerIsNotHeld checks that what is followed by a wait goes out at once.
func TestSlowAnswerIsNotHeld(t *testing.T) {
	r := &recorder{}
	s := newStreamSink(r)
	_ = s.Head(&peerpb.Head{Status: 200}, false)
	_ = s.Data([]byte("piece"), false)
	if got, want := r.writes, 2; got != want {
		t.Errorf("writes before the end: got %d, want %d", got, want)
	}
}

// TestNothingAfterTheEnd checks that a timer that fires after the end reaches neither the stream nor the buffer, which
// belongs to another exchange by then.
func TestNothingAfterTheEnd(t *testing.T) {
	r := &recorder{}
	s := newStreamSink(r)
	s.end(&peerpb.End{})
	before := r.bytes.Len()
	s.ReportOverdue()
	err := s.Head(&peerpb.Head{Status: 500}, false)
	if got, want := fault.CodeOf(err), fault.LinkLost; got != want {
		t.Errorf("head after the end: got %q, want %q", got, want)
	}
	if got, want := r.bytes.Len(), before; got != want {
		t.Errorf("bytes: got %d, want %d", got, want)
	}
}
