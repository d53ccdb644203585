package egress

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/peer"
)

const (
	// maxStoredAnswer is the size of the largest answer that is stored for an ingress whose link breaks, in bytes.
	maxStoredAnswer = 1 << 20
	// maxStoredBytes bounds all stored answers of a node. At 30 requests a second, 5 s of answers of 30 KB each are
	// about 4.5 MB.
	maxStoredBytes = 8 << 20
	// storedAfterDeadline is how long an answer stays stored after its request's deadline.
	storedAfterDeadline = time.Second
)

// dispatchState is the progress of an offered request towards its dispatch.
type dispatchState uint8

const (
	// offered waits for the ingress's confirmation.
	offered dispatchState = iota
	// dispatched may be running or have run.
	dispatched
	// voided was fetched, or given up, before the confirmation arrived, and never runs.
	voided
)

// storedAnswer is one offered request and, once it has ended, its answer.
type storedAnswer struct {
	state     dispatchState
	expiresAt time.Time
	done      chan struct{}
	head      *peerpb.Head
	body      []byte
	end       *peerpb.End
	tooBig    bool
	// bytes is the size of head and body, which hold accounts for in the memory budget.
	bytes int
	hold  *memory.Reservation
}

// answerStore holds the requests that were offered to this node with their answers, so that an ingress whose link
// breaks can fetch an answer over another link.
type answerStore struct {
	mu    sync.Mutex
	byID  map[uint64]*storedAnswer
	bytes int
	// order lists the exchanges in the order of their offers, so that the oldest are dropped first.
	order []uint64
}

func newAnswerStore() *answerStore { return &answerStore{byID: make(map[uint64]*storedAnswer)} }

// begin records an offer.
func (a *answerStore) begin(now time.Time, id uint64, deadline time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	a.byID[id] = &storedAnswer{expiresAt: deadline.Add(storedAfterDeadline), done: make(chan struct{})}
	a.order = append(a.order, id)
}

// expire drops answers past their time, and the oldest ones while the store is over its limit; the lock must be held.
func (a *answerStore) expire(now time.Time) {
	for len(a.order) > 0 {
		id := a.order[0]
		r := a.byID[id]
		if r != nil && now.Before(r.expiresAt) && a.bytes <= maxStoredBytes {
			return
		}
		if r != nil {
			a.bytes -= r.bytes
			r.hold.Release()
			delete(a.byID, id)
		}
		a.order = a.order[1:]
	}
}

// dispatch records the ingress's confirmation of an offer; it returns false if the offer was voided in the meantime.
//
// Invariant: of dispatch and void, only the first call for an offer has an effect, so that what a fetch has reported
// stays true.
func (a *answerStore) dispatch(id uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.byID[id]
	if r == nil || r.state != offered {
		return false
	}
	r.state = dispatched
	return true
}

// void cancels an offer that was not dispatched yet.
func (a *answerStore) void(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.byID[id]; r != nil && r.state == offered {
		r.state = voided
	}
}

// finish stores the answer together with a copy of its end: the caller that returns the original may still change it.
func (a *answerStore) finish(id uint64, s *storingSink, end *peerpb.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.byID[id]
	if r == nil || r.end != nil {
		s.hold.Release()
		return
	}
	endCopy, _ := proto.Clone(end).(*peerpb.End)
	r.head, r.body, r.end, r.tooBig, r.hold, r.bytes = s.head, s.body, endCopy, s.tooBig, s.hold, s.headBytes+len(s.body)
	a.bytes += r.bytes
	close(r.done)
}

// fetch returns the stored answer of a request that was dispatched, or nil and an end if there is none to wait for.
func (a *answerStore) fetch(id uint64) (*storedAnswer, *peerpb.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.byID[id]
	if r == nil {
		return nil, peer.Unknown(fault.LinkLost)
	}
	if r.state == offered {
		r.state = voided
	}
	if r.state == voided {
		return nil, peer.NotRun(fault.OfferLapsed, 0)
	}
	return r, nil
}

// Fetch implements peer.Handler.
func (e *Egress) Fetch(ctx context.Context, exchange uint64, sink peer.Sink) *peerpb.End {
	r, end := e.answers.fetch(exchange)
	if end != nil {
		return end
	}
	select {
	case <-r.done:
	case <-ctx.Done():
		return peer.Unknown(fault.DeadlineExceeded)
	}
	if r.tooBig {
		return peer.Unknown(fault.LinkLost)
	}
	if r.head != nil {
		if sink.Head(r.head, true) != nil || sink.Data(r.body, true) != nil {
			return peer.Unknown(fault.LinkLost)
		}
	}
	return r.end
}

// storingSink stores the answer that it passes on. When the link breaks, the endpoint's work goes on.
type storingSink struct {
	peer.Sink
	hold       *memory.Reservation
	head       *peerpb.Head
	headBytes  int
	body       []byte
	tooBig     bool
	callerLost bool
}

// drop gives up storing the answer.
func (s *storingSink) drop() {
	s.tooBig, s.head, s.headBytes, s.body = true, nil, 0, nil
	s.hold.Release()
}

// ReportOverdue implements peer.Sink.
func (s *storingSink) ReportOverdue() { s.Sink.ReportOverdue() }

// YieldSlot implements peer.SlotYielder.
func (s *storingSink) YieldSlot() { peer.RequestSlot(s.Sink) }

// Due implements peer.Sink.
func (s *storingSink) Due(in time.Duration) { s.Sink.Due(in) }

// Head implements peer.Sink.
func (s *storingSink) Head(h *peerpb.Head, soon bool) error {
	if s.head, s.headBytes = h, header.Size(h.GetHeaders()); !s.hold.Grow(s.headBytes) {
		s.drop()
	}
	s.callerLost = s.Sink.Head(h, soon) != nil
	return nil
}

// Data implements peer.Sink.
func (s *storingSink) Data(b []byte, last bool) error {
	if !s.tooBig && (s.headBytes+len(s.body)+len(b) > maxStoredAnswer || !s.hold.Grow(len(b))) {
		s.drop()
	}
	if !s.tooBig {
		s.body = append(s.body, b...)
	}
	if !s.callerLost {
		s.callerLost = s.Sink.Data(b, last) != nil
	}
	if s.callerLost && s.tooBig {
		return fault.New(fault.LinkLost, "answer", "link to the ingress is lost, and the answer is too large to be stored for another one")
	}
	return nil
}
