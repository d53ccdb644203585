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

// longAnswer is an egress that answers with so many bytes, in pieces, and counts those that it could send.
type longAnswer struct {
	offers
	bytes int
	sent  atomic.Int64
	ended chan error
}

const pieceBytes = 32 << 10

func (a *longAnswer) Serve(ctx context.Context, _ *peerpb.Dispatch, _ io.Reader, sink Sink) *peerpb.End {
	if !sink.(Permitter).Permit(ctx, &peerpb.Load{}, 0) { //nolint:forcetypeassert // each is offered
		return NotRun(fault.OfferLapsed, 0)
	}
	err := sink.Head(&peerpb.Head{Status: 200}, false)
	for left := a.bytes; left > 0 && err == nil; left -= pieceBytes {
		if err = sink.Data(make([]byte, min(left, pieceBytes)), left <= pieceBytes); err == nil {
			a.sent.Add(int64(min(left, pieceBytes)))
		}
	}
	a.ended <- err
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Complete: err == nil}
}

// slowSink is a caller that reads a piece for each word on next, and all once that is closed, and leaves when gone is.
type slowSink struct {
	recordingSink
	next, gone chan struct{}
	read       atomic.Int64
}

func (s *slowSink) Data(b []byte, _ bool) error {
	select {
	case <-s.next:
	case <-s.gone:
		return fault.New(fault.Canceled, "caller", "has left")
	}
	s.read.Add(int64(len(b)))
	return nil
}

// TestSlowCallerHoldsAnswerBack checks that of an answer no more than its window is on its way to a caller that does not read, that reading
// lets more come, and that all of it comes in the end.
func TestSlowCallerHoldsAnswerBack(t *testing.T) {
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
		// One piece is in the caller's hands, and not read.
		eventually(t, func() bool { return a.sent.Load() >= sink.read.Load()+answerWindow-pieceBytes })
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

// TestCallerThatLeavesFreesAnswer checks that an answer which waits for its caller ends when that leaves.
func TestCallerThatLeavesFreesAnswer(t *testing.T) {
	a := &longAnswer{bytes: 8 * answerWindow, ended: make(chan error, 1)}
	_, address := startHandler(t, a)
	m, _ := startOffers(t, &offers{})
	s := session(t, m, address)
	sink := &slowSink{next: make(chan struct{}), gone: make(chan struct{})}
	done := make(chan *peerpb.End, 1)
	go func() {
		done <- s.Exchange(t.Context(), &peerpb.Dispatch{RequestId: "q", BudgetMicros: 60e6, Exchange: 7}, nil, sink)
	}()
	eventually(t, func() bool { return a.sent.Load() >= answerWindow-pieceBytes })
	close(sink.gone)
	if err := <-a.ended; err == nil {
		t.Error("answer: got all sent, want it ended")
	}
	<-done
}

// settle waits until something holds.
func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("got nothing for 10 s, want progress")
		}
	}
}
