package peer

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// longAnswer is an egress that answers with the given number of bytes, in chunks, and counts the bytes sent. It reports
// the error that ended the answer on ended.
type longAnswer struct {
	offers
	bytes int
	sent  atomic.Int64
	ended chan error
}

const chunkBytes = 32 << 10

func (a *longAnswer) Serve(ctx context.Context, _ *peerpb.Dispatch, _ io.Reader, sink Sink) *peerpb.End {
	if !sink.(Permitter).Permit(ctx, &peerpb.Load{}, 0) { //nolint:forcetypeassert // every dispatch here is an offer
		return NotRun(fault.OfferLapsed, 0)
	}
	err := sink.Head(&peerpb.Head{Status: 200}, false)
	for left := a.bytes; left > 0 && err == nil; left -= chunkBytes {
		if err = sink.Data(make([]byte, min(left, chunkBytes)), left <= chunkBytes); err == nil {
			a.sent.Add(int64(min(left, chunkBytes)))
		}
	}
	a.ended <- err
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Complete: err == nil}
}

// slowSink is a caller that reads one chunk for each value on next, reads everything once next is closed, and goes away
// when gone is closed.
type slowSink struct {
	recordingSink
	next, gone chan struct{}
	read       atomic.Int64
}

func (s *slowSink) Data(b []byte, _ bool) error {
	select {
	case <-s.next:
	case <-s.gone:
		return fault.New(fault.Canceled, "caller", "caller went away")
	}
	s.read.Add(int64(len(b)))
	return nil
}

// TestSlowCallerLimitsAnswerInTransit checks that at most one window of an answer is sent to a caller that does not
// read, that each read allows more to be sent, and that the whole answer arrives in the end.
func TestSlowCallerLimitsAnswerInTransit(t *testing.T) {
	const size = 8*answerWindow + 5
	a := &longAnswer{bytes: size, ended: make(chan error, 1)}
	_, address := startHandler(t, a)
	m, _ := startOffers(t, &offers{})
	s := session(t, m, address)
	sink := &slowSink{next: make(chan struct{})}
	done := make(chan *peerpb.End, 1)
	go func() {
		done <- s.Exchange(t.Context(), &peerpb.Dispatch{RequestId: "q", BudgetMicros: 60e6, Exchange: 7}, nil, sink)
	}()
	for range 6 {
		// One chunk has been passed to the caller, which has not read it yet.
		eventually(t, func() bool { return a.sent.Load() >= sink.read.Load()+answerWindow-chunkBytes })
		if sent, read := a.sent.Load(), sink.read.Load(); sent > read+answerWindow {
			t.Fatalf("sent: got %d with %d read, want at most %d more", sent, read, answerWindow)
		}
		sink.next <- struct{}{}
	}
	close(sink.next)
	if end := <-done; !end.GetComplete() || sink.read.Load() != size {
		t.Errorf("answer: got %v with %d bytes, want all %d", end, sink.read.Load(), size)
	}
}

// TestCanceledCallerEndsAnswer checks that an answer which waits for credit ends when its caller goes away.
func TestCanceledCallerEndsAnswer(t *testing.T) {
	a := &longAnswer{bytes: 8 * answerWindow, ended: make(chan error, 1)}
	_, address := startHandler(t, a)
	m, _ := startOffers(t, &offers{})
	s := session(t, m, address)
	sink := &slowSink{next: make(chan struct{}), gone: make(chan struct{})}
	done := make(chan *peerpb.End, 1)
	go func() {
		done <- s.Exchange(t.Context(), &peerpb.Dispatch{RequestId: "q", BudgetMicros: 60e6, Exchange: 7}, nil, sink)
	}()
	eventually(t, func() bool { return a.sent.Load() >= answerWindow-chunkBytes })
	close(sink.gone)
	if err := <-a.ended; err == nil {
		t.Error("answer: got all of it sent, want an error")
	}
	<-done
}

// eventually waits until the condition holds, for at most 10 s.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition does not hold after 10 s")
		}
	}
}
