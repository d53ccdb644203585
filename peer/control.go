package peer

import (
	"net"
	"time"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// The heartbeats of one session. The dialer sends a beat every interval; the acceptor answers each one, and speaks up
// by itself when its revision or its wish to leave changes. The dialer takes a link for cut when no beat has echoed
// one of its last few: the way there or the way back may be the one that is cut.

func beatFrame(b *peerpb.Beat) *peerpb.Frame {
	return &peerpb.Frame{Kind: &peerpb.Frame_Beat{Beat: b}}
}

// serveControl is the acceptor's side.
func (m *Manager) serveControl(stream net.Conn, r FrameReader, hello *peerpb.Hello) {
	news := m.subscribe(hello.GetHall())
	defer m.unsubscribe(news)
	heard := make(chan uint64, 1)
	go func() {
		defer close(heard)
		for {
			_ = stream.SetReadDeadline(time.Now().Add(m.cfg.acceptorLimit()))
			f, err := r.Read()
			if err != nil {
				return
			}
			m.heardBeat(hello.GetNode(), f.GetBeat())
			heard <- f.GetBeat().GetSequence()
		}
	}()
	defer func() { _ = stream.SetReadDeadline(time.Now()); drain(heard) }()
	var echo uint64
	for {
		select {
		case seq, ok := <-heard:
			if !ok {
				return
			}
			echo = seq
		case <-news:
		}
		beat := m.beat()
		beat.Echo = echo
		if err := WriteFrame(stream, beatFrame(beat)); err != nil {
			return
		}
	}
}

// acceptorPatience is after how many times the limit of an echo a link is closed on which nothing is heard.
const acceptorPatience = 10

// drain empties a channel, so that whoever fills it comes to its end.
func drain(c <-chan uint64) {
	go func() {
		for range c {
			continue
		}
	}()
}

// control is the dialer's side; it ends with the session.
func (s *Session) control(stream net.Conn) {
	defer s.close()
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
		s.sent(seq)
		if err := WriteFrame(stream, beatFrame(beat)); err != nil {
			return
		}
		if !s.awaitBeat(time.Now(), tick) {
			return
		}
	}
}

// awaitBeat waits until the next beat after the one sent at a time is due; false when the link is done with.
func (s *Session) awaitBeat(sent time.Time, tick *time.Timer) bool {
	for {
		wait := s.untilBeat(sent, time.Now())
		if wait <= 0 {
			return true
		}
		tick.Reset(wait)
		select {
		case <-s.done:
			return false
		case <-s.wake:
		case <-tick.C:
		}
		if !s.judge(time.Now()) {
			return false
		}
	}
}

// untilBeat is the time from now to the next beat. A link on which no request is under way beats slowly: an offer finds out at
// once whether it is cut, and what its peer has to tell comes without being asked. On one that carries requests an answered
// offer says what an echo would, so it beats only when none has been answered for a while.
func (s *Session) untilBeat(sent, now time.Time) time.Duration {
	idle := sent.Add(s.restFactor() * s.m.cfg.Heartbeat).Sub(now)
	switch {
	case s.urgent.Swap(false):
		return 0
	case s.suspect.Load():
		return sent.Add(s.m.cfg.Heartbeat).Sub(now)
	case s.inFlight.Load() == 0:
		return idle
	}
	last := max(sent.UnixNano(), s.busyAt.Load(), s.provenAt.Load())
	return min(idle, time.Unix(0, last).Add(s.m.cfg.Heartbeat).Sub(now))
}

// idleFactor is how many times the usual interval lies between the beats of an idle link that is kept for what its peer has to
// tell, restFactor the same for one that only carries requests: those find out for themselves, and a node of a large fleet has
// dozens, each beat of which wakes both ends.
const (
	idleFactor = 8
	restFactor = 2 * idleFactor
)

// restFactor is the factor of this link.
func (s *Session) restFactor() time.Duration {
	if s.pinned.Load() {
		return idleFactor
	}
	return restFactor
}

// acceptorLimit is how long the acceptor of a link hears nothing before it closes it: long enough for a frozen peer to come back
// to its link, and for some beats of an idle one to be late.
func (c Config) acceptorLimit() time.Duration {
	return max(acceptorPatience*c.EchoTimeout, 2*restFactor*c.Heartbeat)
}

func (s *Session) listen(r FrameReader) {
	defer s.close()
	for {
		f, err := r.Read()
		if err != nil {
			return
		}
		beat := f.GetBeat()
		if beat == nil {
			return
		}
		s.echoed(beat.GetEcho())
		s.leaving.Store(beat.GetLeaving())
		s.m.heardBeat(s.address, beat)
	}
}

// sent notes when a beat was sent, as long as an earlier one is not waiting for its echo.
func (s *Session) sent(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == 0 {
		s.pending = seq
		s.pendingAt = time.Now()
	}
}

func (s *Session) echoed(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == 0 || seq < s.pending {
		return
	}
	s.m.heard(s.address)
	s.roundTrip.Store(int64(time.Since(s.pendingAt)))
	s.pending = 0
	if s.suspect.CompareAndSwap(true, false) {
		events.LinkUp.Log(s.m.log).Str("peer", s.address).Send()
	}
}

// judge suspects a link without an echo and returns false when it should be closed.
func (s *Session) judge(now time.Time) bool {
	s.mu.Lock()
	waiting := time.Duration(0)
	if s.pending != 0 {
		waiting = now.Sub(s.pendingAt)
	}
	s.mu.Unlock()
	if waiting > s.m.cfg.EchoTimeout {
		s.doubt("no echo for " + waiting.String())
	}
	if waiting > acceptorPatience*s.m.cfg.EchoTimeout {
		return false
	}
	if s.inFlight.Load() > 0 {
		return true
	}
	return !s.leaving.Load() && (s.pinned.Load() || now.Sub(s.lastUse()) < s.m.cfg.IdleTimeout)
}
