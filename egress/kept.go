package egress

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/peer"
)

const (
	// keptAnswer is the largest answer that is kept for an ingress whose link breaks, in bytes.
	keptAnswer = 1 << 20
	// keptBytes bounds all kept answers of a node: at 30 requests a second, 5 s of them and 30 KB each, about 4.5 MB.
	keptBytes = 8 << 20
	// keptAfter is how much longer than its deadline a record is kept.
	keptAfter = time.Second
)

// handOverState is how far the hand-over of an offered request has come.
type handOverState uint8

const (
	// offered waits for the ingress's word.
	offered handOverState = iota
	// handed may run, or has.
	handed
	// voided was asked for before that word came, and never runs.
	voided
)

// record is one offered request and, once it has ended, its answer.
type record struct {
	state  handOverState
	until  time.Time
	done   chan struct{}
	head   *peerpb.Head
	body   []byte
	end    *peerpb.End
	tooBig bool
	// hold is what the body holds of the budget.
	hold *memory.Reservation
}

// records holds the requests that were offered to this node, so that an ingress whose link breaks can ask for the
// answer by another way.
type records struct {
	mu    sync.Mutex
	byID  map[uint64]*record
	bytes int
	// order is the records by their beginning, for the oldest to go first.
	order []uint64
}

func newRecords() *records { return &records{byID: make(map[uint64]*record)} }

// begin notes an offer.
func (k *records) begin(now time.Time, id uint64, deadline time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(now)
	k.byID[id] = &record{until: deadline.Add(keptAfter), done: make(chan struct{})}
	k.order = append(k.order, id)
}

// expire forgets what nobody will ask for any more; the lock is held.
func (k *records) expire(now time.Time) {
	for len(k.order) > 0 {
		id := k.order[0]
		r := k.byID[id]
		if r != nil && now.Before(r.until) && k.bytes <= keptBytes {
			return
		}
		if r != nil {
			k.bytes -= len(r.body)
			r.hold.Release()
			delete(k.byID, id)
		}
		k.order = k.order[1:]
	}
}

// hand takes the ingress's word; false when the offer was voided meanwhile.
//
// Invariant: of hand and void only the first for an offer has an effect, so that what a fetch was told is true for good.
func (k *records) hand(id uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.byID[id]
	if r == nil || r.state != offered {
		return false
	}
	r.state = handed
	return true
}

// void ends an offer whose hand-over has not come.
func (k *records) void(id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r := k.byID[id]; r != nil && r.state == offered {
		r.state = voided
	}
}

// finish keeps the answer, with an end of its own: whoever returns the other one may still change it.
func (k *records) finish(id uint64, s *recordingSink, end *peerpb.End) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.byID[id]
	if r == nil || r.end != nil {
		s.hold.Release()
		return
	}
	own, _ := proto.Clone(end).(*peerpb.End)
	r.head, r.body, r.end, r.tooBig, r.hold = s.head, s.body, own, s.tooBig, s.hold
	k.bytes += len(r.body)
	close(r.done)
}

// fetch returns the record of a request that was handed over, nil with an end if there is none to wait for.
func (k *records) fetch(id uint64) (*record, *peerpb.End) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.byID[id]
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
	r, end := e.records.fetch(exchange)
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

// recordingSink keeps what it passes on. A link that breaks does not break off the endpoint's work.
type recordingSink struct {
	peer.Sink
	hold   *memory.Reservation
	head   *peerpb.Head
	body   []byte
	tooBig bool
	broken bool
}

// Late implements peer.Sink.
func (s *recordingSink) ReportOverdue() { s.Sink.ReportOverdue() }

// Due implements peer.Sink.
func (s *recordingSink) Due(in time.Duration) { s.Sink.Due(in) }

// Head implements peer.Sink.
func (s *recordingSink) Head(h *peerpb.Head, soon bool) error {
	s.head = h
	s.broken = s.Sink.Head(h, soon) != nil
	return nil
}

// Data implements peer.Sink.
func (s *recordingSink) Data(b []byte, last bool) error {
	if !s.tooBig && (len(s.body)+len(b) > keptAnswer || !s.hold.Grow(len(b))) {
		s.tooBig, s.body = true, nil
		s.hold.Release()
	}
	if !s.tooBig {
		s.body = append(s.body, b...)
	}
	if !s.broken {
		s.broken = s.Sink.Data(b, last) != nil
	}
	if s.broken && s.tooBig {
		return fault.New(fault.LinkLost, "answer", "too large to be kept for another link")
	}
	return nil
}
