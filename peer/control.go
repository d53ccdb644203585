package peer

import (
	"net"
	"time"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/liveness"
)

// The heartbeats of one session. The dialer sends a heartbeat every interval; the acceptor answers each one with an echo
// of its sequence number, and sends a heartbeat of its own accord when its revisions change or it begins to drain. The
// dialer suspects the link when the echo of a heartbeat takes longer than EchoTimeout: either direction may be cut.

func beatFrame(b *peerpb.Beat) *peerpb.Frame {
	return &peerpb.Frame{Kind: &peerpb.Frame_Beat{Beat: b}}
}

// serveControl runs the acceptor's side of a control stream until the stream ends.
func (m *Manager) serveControl(stream net.Conn, r FrameReader, hello *peerpb.Hello) {
	changed := m.subscribe(subscriber{node: hello.GetNode(), hall: hello.GetHall()})
	defer m.unsubscribe(changed)
	received := make(chan uint64, 1)
	go func() {
		defer close(received)
		for {
			_ = stream.SetReadDeadline(time.Now().Add(m.cfg.acceptorReadTimeout()))
			f, err := r.Read()
			if err != nil {
				return
			}
			m.handleBeat(hello.GetNode(), f.GetBeat())
			received <- f.GetBeat().GetSequence()
		}
	}()
	defer func() { _ = stream.SetReadDeadline(time.Now()); discardAll(received) }()
	var echo uint64
	earlier := m.earlierLife(hello)
	for {
		select {
		case seq, ok := <-received:
			if !ok {
				return
			}
			echo = seq
		case <-changed:
		}
		beat := m.beat()
		beat.Echo, beat.EarlierLife = echo, earlier
		earlier = nil
		if err := WriteFrame(stream, beatFrame(beat)); err != nil {
			return
		}
	}
}

// closeFactor is the number of echo timeouts without a sign of life after which a link is closed.
const closeFactor = 10

// discardAll reads and drops all values of a channel, so that its sender does not block and can finish.
func discardAll(c <-chan uint64) {
	go func() {
		for range c {
			continue
		}
	}()
}

// runControl runs the dialer's side of the control stream and releases the session when it returns.
func (s *Session) runControl(stream net.Conn) {
	defer s.release()
	hello := &peerpb.Hello{Node: s.m.cfg.Node, Hall: s.m.cfg.Hall, Incarnation: s.m.cfg.Incarnation}
	if err := WriteFrame(stream, &peerpb.Frame{Kind: &peerpb.Frame_Hello{Hello: hello}}); err != nil {
		return
	}
	go s.listen(NewFrameReader(stream))
	tick := time.NewTimer(s.m.cfg.Heartbeat)
	defer tick.Stop()
	for seq := uint64(1); ; seq++ {
		beat := s.m.beat()
		beat.Sequence = seq
		s.recordBeat(seq)
		if err := WriteFrame(stream, beatFrame(beat)); err != nil {
			return
		}
		if !s.awaitBeat(time.Now(), tick) {
			return
		}
	}
}

// awaitBeat waits until the heartbeat after the one sent at the given time is due. It returns false when the session
// has ended or should be closed.
func (s *Session) awaitBeat(sent time.Time, tick *time.Timer) bool {
	for {
		wait := s.timeToNextBeat(sent, time.Now())
		if wait <= 0 {
			return true
		}
		tick.Reset(min(wait, s.timeToNextCheck(time.Now())))
		select {
		case <-s.done:
			return false
		case <-s.wake:
		case <-tick.C:
		}
		if !s.checkLink(time.Now()) {
			return false
		}
	}
}

// timeToNextBeat returns the time from now to the next heartbeat; the previous one was sent at the given time. A link
// without in-flight requests sends heartbeats slowly: the next offer detects at once whether the link is cut, and the
// peer reports changes unasked. On a link with in-flight requests an answered offer proves as much as an echo, so a
// heartbeat is sent only when no offer has been answered for a while.
func (s *Session) timeToNextBeat(sent, now time.Time) time.Duration {
	idle := sent.Add(s.idleFactor() * s.m.cfg.Heartbeat).Sub(now)
	switch {
	case s.urgent.Swap(false):
		return 0
	case s.suspect.Load():
		return sent.Add(s.m.cfg.Heartbeat).Sub(now)
	case s.inFlight.Load() == 0:
		return idle
	}
	last := max(clock.Nanos(sent), s.busyAt.Load(), s.answeredAt.Load())
	return min(idle, clock.At(last).Add(s.m.cfg.Heartbeat).Sub(now))
}

// pinnedIdleFactor multiplies the heartbeat interval on an idle link that is kept open for the peer's reports,
// unpinnedIdleFactor on an idle link that only carries requests. The latter is larger because requests detect a cut
// link themselves, and a node of a large fleet has dozens of such links, where each heartbeat wakes both ends.
const (
	pinnedIdleFactor   = 8
	unpinnedIdleFactor = 2 * pinnedIdleFactor
)

// idleFactor returns the factor by which the heartbeat interval grows while this link is idle.
func (s *Session) idleFactor() time.Duration {
	if factor := s.watched.Load(); factor > 0 {
		return time.Duration(factor)
	}
	if s.pinned.Load() {
		return pinnedIdleFactor
	}
	return unpinnedIdleFactor
}

// acceptorReadTimeout is how long the acceptor waits for a heartbeat before it closes the link: long enough for a frozen
// peer to resume on the same link, and for several heartbeats of an idle link to be delayed.
func (c Config) acceptorReadTimeout() time.Duration {
	return max(closeFactor*c.EchoTimeout, 2*c.maxIdleInterval())
}

// listen reads the heartbeats of the acceptor until the control stream ends, then releases the session.
func (s *Session) listen(r FrameReader) {
	defer s.release()
	for {
		f, err := r.Read()
		if err != nil {
			return
		}
		beat := f.GetBeat()
		if beat == nil {
			return
		}
		if earlier := beat.GetEarlierLife(); earlier != nil {
			s.m.onEarlierLife(time.Duration(earlier.GetHeardMicros()) * time.Microsecond)
		}
		s.recordEcho(beat.GetEcho())
		s.draining.Store(beat.GetLeaving())
		s.readsUnanswered.Store(beat.GetReadsUnanswered())
		s.m.handleBeat(s.address, beat)
	}
}

// recordBeat records when a heartbeat was sent, unless an earlier one still waits for its echo.
func (s *Session) recordBeat(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == 0 {
		s.pending = seq
		s.pendingAt = time.Now()
	}
}

// recordEcho handles the echo of a heartbeat: it measures the round trip and ends a suspicion. An echo older than the
// pending heartbeat is ignored.
func (s *Session) recordEcho(seq uint64) {
	if !s.acceptEcho(seq) {
		return
	}
	s.m.markReachable(s.address)
	if s.suspect.CompareAndSwap(true, false) {
		events.LinkUp.Log(s.m.log).Str("peer", s.address).Send()
	}
	s.m.promote(s)
}

// acceptEcho records the echo of a heartbeat; false if it is older than the pending one.
func (s *Session) acceptEcho(seq uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == 0 || seq < s.pending {
		return false
	}
	now := time.Now()
	s.echoAt.Store(clock.Nanos(now))
	s.roundTrip.Store(int64(now.Sub(s.pendingAt)))
	s.pending = 0
	s.path = s.path.WithAnswer()
	s.verifying.Store(false)
	return true
}

// checkLink marks the link as suspect if an echo is overdue, and has a new one opened beside it once it is suspect for long
// enough. It returns false if the link should be closed: if no echo arrived for closeFactor times the echo timeout, or if it
// carries no request and is superseded, its peer drains, or it is not pinned and was idle for the idle timeout.
func (s *Session) checkLink(now time.Time) bool {
	state, waiting := s.state(now)
	if waiting > s.m.cfg.EchoTimeout {
		s.markSuspect("no echo for " + waiting.String())
	}
	switch state {
	case liveness.Dead:
		return false
	case liveness.Replace:
		s.openBeside(now)
	default:
	}
	if s.inFlight.Load() > 0 {
		return true
	}
	if s.superseded.Load() || s.draining.Load() {
		return false
	}
	return s.pinned.Load() || now.Sub(s.lastUse()) < s.m.cfg.IdleTimeout
}
