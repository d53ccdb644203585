package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// Session is a dialed link to one peer.
type Session struct {
	m       *Manager
	address string
	mux     *yamux.Session
	conn    net.Conn
	// suspect is set from the first doubt about the link to the next echo, leaving by the peer's own word, pinned while
	// the link stays open without a request.
	suspect  atomic.Bool
	leaving  atomic.Bool
	pinned   atomic.Bool
	inFlight atomic.Int64
	// usedAt is when the link last carried a request, in nanoseconds since 1970; roundTrip is that of the last echo, in
	// nanoseconds.
	usedAt    atomic.Int64
	roundTrip atomic.Int64
	// busyAt is when the link last began to carry a request after it had carried none, provenAt when an offer was last made on
	// it that its peer has answered, both in nanoseconds since 1970.
	busyAt   atomic.Int64
	provenAt atomic.Int64
	// urgent is set while a beat is wanted at once.
	urgent atomic.Bool
	// done is closed with the link; wake has the next heartbeat sent now.
	done      chan struct{}
	wake      chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// pending is the first beat without an echo, 0 for none; pendingAt is when it was sent.
	pending   uint64
	pendingAt time.Time
	// streams are the exchanges under way, which a link that turns suspect wakes.
	streams map[net.Conn]struct{}
}

// Limits of the first word on an offer: a few round trips, and time for a node that gets little of its processor.
const (
	leastOffer = 60 * time.Millisecond
	mostOffer  = 300 * time.Millisecond
	// offerRounds is how many round trips of the link the word may take.
	offerRounds = 8
)

// offerLimit is how long the first word on an offer may take.
func (s *Session) offerLimit() time.Duration {
	return min(max(leastOffer, offerRounds*time.Duration(s.roundTrip.Load())), mostOffer)
}

// begin notes an exchange under way; only an offer's answer can be fetched by another way when the link turns suspect. The
// heartbeat of a link that was idle is woken to watch it.
func (s *Session) begin(stream net.Conn, offered bool) {
	now := time.Now().UnixNano()
	s.usedAt.Store(now)
	if s.inFlight.Add(1) == 1 {
		s.busyAt.Store(now)
		s.wakeBeat()
	}
	if offered {
		s.mu.Lock()
		s.streams[stream] = struct{}{}
		s.mu.Unlock()
	}
}

// proved notes that the peer has answered an offer made at a time: both ways of the link carried it.
func (s *Session) proved(at time.Time) {
	s.provenAt.Store(at.UnixNano())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != 0 && s.pendingAt.Before(at) {
		s.pending = 0
	}
}

// finish notes that an exchange has ended.
func (s *Session) finish(stream net.Conn) {
	s.inFlight.Add(-1)
	s.mu.Lock()
	delete(s.streams, stream)
	s.mu.Unlock()
}

// unanswered takes an exchange whose stream says no more as evidence about the link: it gets no new work until an echo.
func (s *Session) unanswered(x *sending) {
	if x.ctx.Err() != nil || !x.offered || x.handed {
		return
	}
	s.doubt("offer without an answer")
}

// doubt puts the link under suspicion.
func (s *Session) doubt(reason string) {
	if !s.suspect.CompareAndSwap(false, true) {
		return
	}
	s.m.lost(s.address)
	events.LinkSuspect.Log(s.m.log).Str("peer", s.address).Str("reason", reason).Send()
	s.wakeStreams()
	s.nudge()
}

// wakeStreams ends the exchanges under way on a link under suspicion; their answers are fetched by another way.
func (s *Session) wakeStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream := range s.streams {
		_ = stream.SetReadDeadline(time.Now())
	}
}

// nudge has the next heartbeat sent now.
func (s *Session) nudge() {
	s.urgent.Store(true)
	s.wakeBeat()
}

// wakeBeat has the heartbeat look at the link now.
func (s *Session) wakeBeat() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Session) lastUse() time.Time { return time.Unix(0, s.usedAt.Load()) }

// close ends the link; the streams on it end with it.
func (s *Session) close() {
	s.closeOnce.Do(func() {
		close(s.done)
		closeMux(s.conn, s.mux)
		s.m.forget(s)
		events.LinkClosed.Log(s.m.log).Str("peer", s.address).Send()
	})
}

// closeMux ends a session, its connection first: between a session's end and that of its connection yamux has the readers
// of its streams look again and again without a pause.
func closeMux(c net.Conn, mux *yamux.Session) {
	_ = c.Close()
	_ = mux.Close()
}

// Pull asks the peer for every change after these revisions.
func (s *Session) Pull(ctx context.Context, from table.Revisions) ([]*peerpb.Delta, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, fault.Wrap(err, fault.LinkDown, s.address, "stream cannot be opened")
	}
	defer abandon(stream)
	defer context.AfterFunc(ctx, func() { abandon(stream) })()
	ask := &peerpb.Pull{From: revisionsToWire(from), HostChanges: true, Fatal: true, Planes: uint32(table.SourceCount)}
	if err := WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Pull{Pull: ask}}); err != nil {
		return nil, err
	}
	r := NewFrameReader(stream)
	var parts []*peerpb.Delta
	for {
		f, err := r.Read()
		if err != nil {
			return nil, fault.Wrap(err, fault.LinkLost, s.address, "changes broke off")
		}
		d := f.GetDelta()
		if d == nil {
			return nil, fault.New(fault.Protocol, s.address, "want changes")
		}
		parts = append(parts, d)
		if !d.GetMore() {
			return parts, nil
		}
	}
}

// Confirm asks the peer for the newest version of the platform's configuration; false when it cannot say.
func (s *Session) Confirm(ctx context.Context) (config uint64, known bool) {
	f, err := s.ask(ctx, &peerpb.Frame{Kind: &peerpb.Frame_Confirm{Confirm: &peerpb.Confirm{}}})
	if err != nil {
		return 0, false
	}
	return f.GetConfirmed().GetConfig(), f.GetConfirmed().GetKnown()
}

// Borrow asks the peer, as a home of a customer's limit, for some requests of it; an error when it does not answer.
func (s *Session) RequestAllotment(ctx context.Context, customer string, want int) (granted int, wait time.Duration, err error) {
	word := &peerpb.Borrow{Customer: customer, Want: uint32(want)} //nolint:gosec // a small number
	f, err := s.ask(ctx, &peerpb.Frame{Kind: &peerpb.Frame_Borrow{Borrow: word}})
	if err != nil {
		return 0, 0, err
	}
	l := f.GetLent()
	if l == nil || int(l.GetGranted()) > want {
		return 0, 0, fault.New(fault.Protocol, s.address, "want a loan of what was asked for")
	}
	return int(l.GetGranted()), time.Duration(l.GetWaitMicros()) * time.Microsecond, nil
}

// ask says one word on a stream of its own and returns the peer's.
func (s *Session) ask(ctx context.Context, word *peerpb.Frame) (*peerpb.Frame, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, fault.Wrap(err, fault.LinkDown, s.address, "stream cannot be opened")
	}
	defer abandon(stream)
	defer context.AfterFunc(ctx, func() { abandon(stream) })()
	if err := WriteFrame(stream, word); err != nil {
		return nil, err
	}
	return NewFrameReader(stream).Read()
}

// Settle tells the peer how a claimed request ended; LinkLost when that cannot be confirmed.
func (s *Session) Settle(ctx context.Context, msg *peerpb.Settle) error {
	_, err := s.ask(ctx, &peerpb.Frame{Kind: &peerpb.Frame_Settle{Settle: msg}})
	return err
}
