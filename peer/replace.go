package peer

import (
	"math/rand/v2"
	"time"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/liveness"
)

// The replacement of links. A connection may go silent for good without a reset while new ones work, so a suspect link is
// raced by a new one. The first echo on the new link proves that the peer lives, which a kernel that accepts the connection
// of a frozen process does not; from then on it is the link to the peer, and the old one keeps what has begun on it.

const (
	// maxOpenings bounds the links that are being opened beside suspect ones at the same time.
	maxOpenings = 32
	// minSilent is the number of silent links from which the others are verified: one peer may have failed by itself.
	minSilent = 2
)

// bounds returns the times after which the link changes its state.
func (s *Session) bounds() liveness.Bounds { return s.m.bounds(s.offerTimeout()) }

// bounds returns the times after which a link changes its state, given how long an offer on it may stay unanswered.
func (m *Manager) bounds(offerTimeout time.Duration) liveness.Bounds {
	timeout := m.cfg.EchoTimeout
	return liveness.Bounds{
		Answer: timeout, Race: offerTimeout, Retry: timeout, MaxRetry: max(timeout, maxRedialDelay), Close: closeFactor * timeout,
	}
}

// jitter returns a random number from 0 to 1.
func jitter() float64 { return rand.Float64() } //nolint:gosec // spreads the openings of links, no secret

// recordSuspicion records since when the link is suspect.
func (s *Session) recordSuspicion(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.path = s.path.WithSuspicion(s.bounds(), at, jitter())
}

// startSuspect makes a new link suspect until its first echo.
func (s *Session) startSuspect() {
	s.suspect.Store(true)
	s.recordSuspicion(time.Now())
}

// asked returns when the oldest heartbeat without an echo was sent, zero for none. The caller must hold s.mu.
func (s *Session) asked() time.Time {
	if s.pending == 0 {
		return time.Time{}
	}
	return s.pendingAt
}

// state returns the state of the link and how long a heartbeat has waited for its echo.
func (s *Session) state(now time.Time) (state liveness.State, waiting time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := s.asked()
	if !asked.IsZero() {
		waiting = now.Sub(asked)
	}
	return s.path.State(s.bounds(), asked, now), waiting
}

// timeToNextCheck returns the time until the state of the link may change. An idle link that is neither suspect nor watched nor
// being verified is checked with its next heartbeat only: a check of its own for each would wake a node for each of its links.
func (s *Session) timeToNextCheck(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.path.Next(s.bounds(), s.asked())
	closely := s.suspect.Load() || s.watched.Load() > 0 || s.verifying.Load() || s.inFlight.Load() > 0
	if next.IsZero() || !closely {
		return s.idleFactor() * s.m.cfg.Heartbeat
	}
	return max(next.Sub(now), time.Millisecond)
}

// openBeside has a new link opened beside this suspect one.
func (s *Session) openBeside(now time.Time) {
	b := s.bounds()
	wait := s.m.openBeside(s, b, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait > 0 {
		s.path = s.path.WithPostponement(now, wait, jitter())
		return
	}
	s.path = s.path.WithOpening(b, now, jitter())
}

// openBeside begins to open a link beside a suspect one and returns 0, or returns after which time to try again: another link is
// responsible for the peer, a candidate may still be answered, or too many links are being opened. A peer that is short of
// processor time answers late, and would answer none of the candidates if each took the place of the one before.
func (m *Manager) openBeside(s *Session, b liveness.Bounds, now time.Time) (wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.sessions[s.address]
	if current == nil {
		current = m.candidates[s.address]
	}
	switch {
	case current != s || m.closed.Load() || m.candidates[s.address].isYounger(b.MaxRetry, now):
		return b.Retry
	case len(m.dialing) >= maxOpenings:
		return b.Race
	}
	m.dialLocked(s.address)
	return 0
}

// isYounger reports whether the link, if there is one, was opened less than a time ago.
func (s *Session) isYounger(age time.Duration, now time.Time) bool {
	return s != nil && now.Sub(s.openedAt) < age
}

// addLocked adds a new link: as the link to its peer, or as a candidate if there is one already. It returns the candidate
// that it takes the place of, nil for none. The caller must hold m.mu.
func (m *Manager) addLocked(s *Session) (unproven *Session) {
	if m.sessions[s.address] == nil && m.candidates[s.address] == nil {
		m.sessions[s.address] = s
		return nil
	}
	s.startSuspect()
	unproven = m.candidates[s.address]
	m.candidates[s.address] = s
	return unproven
}

// promote makes a candidate the link to its peer after its first echo; if the link that it was opened beside has recovered, the
// candidate is not needed.
func (m *Manager) promote(s *Session) {
	m.mu.Lock()
	if m.candidates[s.address] != s {
		m.mu.Unlock()
		return
	}
	delete(m.candidates, s.address)
	old := m.sessions[s.address]
	surplus := old
	if old != nil && !old.suspect.Load() {
		surplus = s
	} else {
		m.sessions[s.address] = s
		if old != nil {
			s.replacedAt = time.Now()
			s.pinned.Store(old.pinned.Load())
			s.watched.Store(old.watched.Load())
		}
	}
	m.mu.Unlock()
	if surplus == nil {
		return
	}
	if surplus == old {
		events.LinkReplaced.Log(m.log).Str("peer", s.address).Send()
	}
	surplus.supersede()
}

// supersede leaves a link to what has begun on it: it gets nothing new and is closed when that has ended.
//
// Invariant: no answer of which a caller has received a part is cut because another link to the peer works.
func (s *Session) supersede() {
	s.superseded.Store(true)
	s.released.Store(true)
	s.wakeBeat()
}

// verifyLinks has a heartbeat sent at once on every link if several are silent: what they share may have failed, and an idle
// link would notice that seconds later. It does so at most once in the echo timeout, and reports whether it did.
func (m *Manager) verifyLinks(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.verifiedAt) < m.cfg.EchoTimeout {
		return false
	}
	silent := 0
	for _, s := range m.sessions {
		if s.isSilent(now) {
			silent++
		}
	}
	if silent < minSilent {
		return false
	}
	m.verifiedAt = now
	for _, s := range m.sessions {
		if !s.suspect.Load() {
			s.verifying.Store(true)
			s.beatNow()
		}
	}
	return true
}

// isSilent reports whether the link is suspect or has lately taken the place of a silent one: links that fail together are
// noticed one after the other, and the first may be replaced by then. The caller must hold s.m.mu.
func (s *Session) isSilent(now time.Time) bool {
	return s.suspect.Load() || now.Sub(s.replacedAt) < s.m.cfg.maxIdleInterval()
}

// maxIdleInterval is the longest time between two heartbeats on a link. After it every link has been verified anyway.
func (c Config) maxIdleInterval() time.Duration { return unpinnedIdleFactor * c.Heartbeat }

// Watch monitors the links to some peers closely while they are idle, and no others: a heartbeat is sent every heartbeat interval
// times factor, which is positive and less than that of other idle links.
func (m *Manager) Watch(addresses []string, factor int) {
	watched := make(map[string]int32, len(addresses))
	for _, a := range addresses {
		watched[a] = int32(min(max(1, factor), pinnedIdleFactor))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, s := range m.sessions {
		if s.watched.Swap(watched[address]) != watched[address] {
			s.wakeBeat()
		}
	}
}
