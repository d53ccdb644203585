package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/liveness"
	"github.com/lynxplank/lynxplank/table"
)

// Session is a dialed link to one peer.
type Session struct {
	m       *Manager
	address string
	mux     *yamux.Session
	conn    net.Conn
	// openedAt is when the link was opened.
	openedAt time.Time
	// replacedAt is when the link took the place of a silent one, zero if it did not; guarded by m.mu.
	replacedAt time.Time
	// suspect is set from the first sign that the link is cut until the next echo, draining while the peer reports that it
	// drains, and pinned if the link stays open while it is idle.
	suspect  atomic.Bool
	draining atomic.Bool
	pinned   atomic.Bool
	// readsUnanswered is set while the peer reports that the platform does not answer its reads.
	readsUnanswered atomic.Bool
	// watched is the factor by which the heartbeat interval grows while the link is idle, if it is monitored more closely
	// than other idle links, else 0.
	watched atomic.Int32
	// verifying is set from when the link is to be verified until its next echo.
	verifying atomic.Bool
	// released is set once the link begins no exchange any more, superseded once another link to the peer is in use.
	released   atomic.Bool
	superseded atomic.Bool
	inFlight   atomic.Int64
	// usedAt is when the last exchange on the link began, in nanoseconds since 1970; roundTrip is the time from the last
	// heartbeat to its echo, in nanoseconds.
	usedAt    atomic.Int64
	roundTrip atomic.Int64
	// busyAt is when an exchange last began on the idle link, answeredAt when the latest offer that the peer has answered
	// was made, both in nanoseconds since 1970.
	busyAt     atomic.Int64
	answeredAt atomic.Int64
	// echoAt is when the last echo arrived, in nanoseconds since 1970.
	echoAt atomic.Int64
	// urgent is set if a heartbeat is to be sent at once.
	urgent atomic.Bool
	// done is closed with the link; wake makes the control stream recompute the time of the next heartbeat.
	done      chan struct{}
	wake      chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// pending is the sequence number of the first heartbeat without an echo, 0 for none; pendingAt is when it was sent.
	pending   uint64
	pendingAt time.Time
	// path tells since when the link is suspect and when a new one is opened beside it.
	path liveness.Path
	// streams are the streams of the exchanges of whose answers no caller has received a part, with whether they are
	// offers. committed counts the other exchanges.
	streams   map[net.Conn]bool
	committed int
}

// Bounds of the timeout for the first frame on an offer: a few round trips, and time for a node that is short of CPU.
const (
	minOfferTimeout = 60 * time.Millisecond
	maxOfferTimeout = 300 * time.Millisecond
	// offerRoundTrips is the number of round trips of the link that the first frame may take.
	offerRoundTrips = 8
)

// offerTimeout is how long the first frame on an offer may take.
func (s *Session) offerTimeout() time.Duration {
	return min(max(minOfferTimeout, offerRoundTrips*time.Duration(s.roundTrip.Load())), maxOfferTimeout)
}

// begin records the start of an exchange. If the link was idle, the heartbeat is woken to monitor it.
func (s *Session) begin(stream net.Conn, offered bool) {
	now := clock.Nanos(time.Now())
	s.usedAt.Store(now)
	if s.inFlight.Add(1) == 1 {
		s.busyAt.Store(now)
		s.wakeBeat()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[stream] = offered
}

// commit records that a caller has received a part of the exchange's answer: the answer can come over no other link.
func (s *Session) commit(stream net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, stream)
	s.committed++
}

// recordAnsweredOffer records that the peer has answered an offer made at the given time: the link works in both
// directions. That clears a heartbeat without an echo that was sent before the offer.
func (s *Session) recordAnsweredOffer(at time.Time) {
	s.answeredAt.Store(clock.Nanos(at))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending != 0 && s.pendingAt.Before(at) {
		s.pending = 0
	}
}

// finish records the end of an exchange.
func (s *Session) finish(stream net.Conn) {
	s.inFlight.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.streams[stream]; ok {
		delete(s.streams, stream)
		return
	}
	s.committed--
}

// suspectUnanswered marks the link as suspect if an offer was not answered before its stream failed: the link gets no new
// requests until the next echo. An exchange whose context has ended or whose request was dispatched does not count.
func (s *Session) suspectUnanswered(x *ingressExchange) {
	if x.ctx.Err() != nil || !x.offered || x.dispatched {
		return
	}
	s.markSuspect("offer not answered")
}

// markSuspect marks the link as suspect and has a heartbeat sent at once.
func (s *Session) markSuspect(reason string) {
	if !s.suspect.CompareAndSwap(false, true) {
		return
	}
	s.recordSuspicion(time.Now())
	if !s.superseded.Load() {
		s.m.markUnreachable(s.address)
	}
	events.LinkSuspect.Log(s.m.log).Str("peer", s.address).Str("reason", reason).Send()
	s.interruptOffers()
	s.beatNow()
	if s.m.verifyLinks(time.Now()) || s.watched.Load() > 0 {
		s.m.onSilence()
	}
}

// interruptOffers ends the offers in flight on a suspect link; the answers of dispatched requests are fetched over another
// link.
//
// Invariant: no answer of which a caller has received a part is interrupted because of a belief about the link. It ends with
// the link, the endpoint or its request's time.
func (s *Session) interruptOffers() {
	s.interrupt(func(offered bool) bool { return offered })
}

// interrupt ends the reading of the exchanges that are not committed and for which which returns true.
func (s *Session) interrupt(which func(offered bool) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream, offered := range s.streams {
		if which(offered) {
			_ = stream.SetReadDeadline(time.Now())
		}
	}
}

// beatNow has the next heartbeat sent at once.
func (s *Session) beatNow() {
	s.urgent.Store(true)
	s.wakeBeat()
}

// wakeBeat makes the control stream check the link and recompute the time of the next heartbeat now.
func (s *Session) wakeBeat() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Session) lastUse() time.Time { return clock.At(s.usedAt.Load()) }

// close closes the link and all streams on it.
func (s *Session) close() {
	s.closeOnce.Do(func() {
		close(s.done)
		closeMux(s.conn, s.mux)
		s.m.removeSession(s)
		events.LinkClosed.Log(s.m.log).Str("peer", s.address).Send()
	})
}

// release ends a link that seems to be of no use any more: it gets no new requests, its exchanges end, and it is closed once
// those answers have ended of which callers have received a part. The peer may only have been suspended.
func (s *Session) release() {
	s.released.Store(true)
	s.m.removeSession(s)
	s.interrupt(func(bool) bool { return true })
	defer s.close()
	tick := time.NewTicker(s.m.cfg.Heartbeat)
	defer tick.Stop()
	for s.hasCommitted() {
		select {
		case <-s.done:
			return
		case <-s.mux.CloseChan():
			return
		case <-tick.C:
		}
	}
}

// hasCommitted reports whether callers have received parts of answers that have not ended.
func (s *Session) hasCommitted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.committed > 0
}

// closeMux closes a yamux session, its connection first: while a session is closed and its connection is not, yamux lets
// the readers of the session's streams spin.
func closeMux(c net.Conn, mux *yamux.Session) {
	_ = c.Close()
	_ = mux.Close()
}

// openStream opens a stream, unless the link was released.
func (s *Session) openStream() (net.Conn, error) {
	if s.released.Load() {
		return nil, fault.New(fault.LinkDown, s.address, "the link is being closed")
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, fault.Wrap(err, fault.LinkDown, s.address, "cannot open a stream")
	}
	return stream, nil
}

// Pull asks the peer for all changes after the given revisions.
func (s *Session) Pull(ctx context.Context, from table.Revisions) ([]*peerpb.Delta, error) {
	stream, err := s.openStream()
	if err != nil {
		return nil, err
	}
	defer abandon(stream)
	defer context.AfterFunc(ctx, func() { abandon(stream) })()
	ask := &peerpb.Pull{From: revisionsToWire(from), HostChanges: true, Fatal: true, Planes: uint32(table.SourceCount)}
	if err := WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Pull{Pull: ask}}); err != nil {
		return nil, err
	}
	_ = stream.SetReadDeadline(time.Now().Add(s.m.cfg.pullTimeout()))
	r := NewFrameReader(stream)
	var parts []*peerpb.Delta
	for {
		f, err := r.Read()
		if err != nil {
			if parts == nil && ctx.Err() == nil && isTransport(err) {
				s.markSuspect("pull not answered")
			}
			return nil, fault.Wrap(err, fault.LinkLost, s.address, "link broke while changes were read")
		}
		_ = stream.SetReadDeadline(time.Time{})
		d := f.GetDelta()
		if d == nil {
			return nil, fault.New(fault.Protocol, s.address, "peer did not answer the pull with changes")
		}
		parts = append(parts, d)
		if !d.GetMore() {
			return parts, nil
		}
	}
}

// pullTimeout is how long the first frame of the answer to a pull may take: half of the echo timeout, so that there is time for
// another pull over a new link.
func (c Config) pullTimeout() time.Duration { return c.EchoTimeout / 2 }

// Confirm asks the peer for the newest version of the platform's configuration; it returns false if the peer does not
// know it or does not answer.
func (s *Session) Confirm(ctx context.Context) (config uint64, known bool) {
	f, err := s.call(ctx, &peerpb.Frame{Kind: &peerpb.Frame_Confirm{Confirm: &peerpb.Confirm{}}})
	if err != nil {
		return 0, false
	}
	return f.GetConfirmed().GetConfig(), f.GetConfirmed().GetKnown()
}

// RequestAllotment asks the peer, an owner of a customer's rate limit, for up to want requests of the limit. If it grants
// none, wait is the delay after which there should be one.
func (s *Session) RequestAllotment(ctx context.Context, customer string, want int) (granted int, wait time.Duration, err error) {
	msg := &peerpb.Borrow{Customer: customer, Want: uint32(want)} //nolint:gosec // a small number
	f, err := s.call(ctx, &peerpb.Frame{Kind: &peerpb.Frame_Borrow{Borrow: msg}})
	if err != nil {
		return 0, 0, err
	}
	l := f.GetLent()
	if l == nil || int(l.GetGranted()) > want {
		return 0, 0, fault.New(fault.Protocol, s.address, "peer did not answer with an allotment, or granted more than requested")
	}
	return int(l.GetGranted()), time.Duration(l.GetWaitMicros()) * time.Microsecond, nil
}

// call sends one frame on a new stream and returns the frame with which the peer answers.
func (s *Session) call(ctx context.Context, request *peerpb.Frame) (*peerpb.Frame, error) {
	stream, err := s.openStream()
	if err != nil {
		return nil, err
	}
	defer abandon(stream)
	defer context.AfterFunc(ctx, func() { abandon(stream) })()
	if err := WriteFrame(stream, request); err != nil {
		return nil, err
	}
	return NewFrameReader(stream).Read()
}

// Settle reports to the peer how a claimed request ended. An error means that the peer may not have received the report.
func (s *Session) Settle(ctx context.Context, msg *peerpb.Settle) error {
	_, err := s.call(ctx, &peerpb.Frame{Kind: &peerpb.Frame_Settle{Settle: msg}})
	return err
}
