package peer

import (
	"context"
	"time"

	"github.com/lynxplank/lynxplank/clock"
)

// outage is the state of a peer that cannot be reached.
type outage struct {
	since time.Time
	// wantedAt is when this node last wanted to send to the peer.
	wantedAt time.Time
	// retryAt is when the peer is dialed next, interval the time from then to the following attempt.
	retryAt  time.Time
	interval time.Duration
}

const (
	// initialRedialDelay is the delay before an unreachable peer is dialed again; it doubles up to maxRedialDelay. A node
	// that restarts is back within a second; without redialing, it stayed unreachable for every node of a large fleet
	// that had tried to reach it meanwhile.
	initialRedialDelay = 250 * time.Millisecond
	maxRedialDelay     = 4 * time.Second
	// redialWindow is how long an unreachable peer is dialed again after it was last wanted.
	redialWindow = 2 * time.Second
)

// UnreachableSince returns since when a peer cannot be reached, or the zero time if it can be reached or was never tried.
func (m *Manager) UnreachableSince(address string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.unreachable[address]; o != nil {
		return o.since
	}
	return time.Time{}
}

// markReachable records that a peer can be reached.
func (m *Manager) markReachable(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.unreachable, address)
}

// markUnreachable records that a peer cannot be reached, and starts the redialing.
func (m *Manager) markUnreachable(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.markUnreachableLocked(address)
}

func (m *Manager) markUnreachableLocked(address string) {
	now := time.Now()
	if m.unreachable[address] == nil {
		m.unreachable[address] = &outage{since: now, wantedAt: now, retryAt: now.Add(initialRedialDelay), interval: 2 * initialRedialDelay}
	}
	if !m.redialing {
		m.redialing = true
		time.AfterFunc(initialRedialDelay, m.redial)
	}
}

// redial dials the unreachable peers that are due, and runs again as long as any unreachable peer is wanted.
func (m *Manager) redial() {
	for _, address := range m.dueRedials(time.Now()) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			defer cancel()
			// The events of the link report the result.
			_, _ = m.Session(ctx, address)
		}()
	}
}

// dueRedials returns the peers to dial now, and schedules the next run.
func (m *Manager) dueRedials(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []string
	wanted := false
	for address, o := range m.unreachable {
		if now.Sub(o.wantedAt) > redialWindow || m.sessions[address] != nil {
			continue
		}
		wanted = true
		if now.Before(o.retryAt) || m.dialing[address] != nil {
			continue
		}
		o.retryAt, o.interval = now.Add(o.interval), min(2*o.interval, maxRedialDelay)
		due = append(due, address)
	}
	m.redialing = wanted && !m.closed.Load()
	if m.redialing {
		time.AfterFunc(initialRedialDelay, m.redial)
	}
	return due
}

// HasLink reports whether a link to a peer is open or being opened.
func (m *Manager) HasLink(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[address] != nil || m.dialing[address] != nil
}

// Usable reports whether a peer may get new requests, judged by the state of its link. An unreachable peer may not until
// a link to it is up again; a peer that was never tried may.
func (m *Manager) Usable(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[address]
	if s == nil {
		return !m.checkUnreachable(address)
	}
	return !s.suspect.Load() && !s.draining.Load()
}

// ReadsUnanswered reports whether a peer has reported that the platform does not answer its reads.
func (m *Manager) ReadsUnanswered(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[address]
	return s != nil && s.readsUnanswered.Load()
}

// LastHeard returns when a peer last proved that its link works, the zero time if there is no link or no proof.
func (m *Manager) LastHeard(address string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[address]
	if s == nil {
		return time.Time{}
	}
	last := max(s.echoAt.Load(), s.answeredAt.Load())
	if last == 0 {
		return time.Time{}
	}
	return clock.At(last)
}

// LinkHealthy reports whether a link to a peer is open and not suspect.
func (m *Manager) LinkHealthy(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[address]
	return s != nil && !s.suspect.Load()
}

// KeepOpen opens a link to a peer if there is none, and keeps it open while it is idle; it does not wait.
func (m *Manager) KeepOpen(address string) {
	m.mu.Lock()
	s := m.sessions[address]
	m.mu.Unlock()
	if s != nil {
		s.pinned.Store(true)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		// The events of the link report why a peer cannot be reached.
		_, _ = m.Pin(ctx, address)
	}()
}

// checkUnreachable reports whether a peer without a link is known to be unreachable, and if so has it dialed again. The
// caller must hold m.mu.
func (m *Manager) checkUnreachable(address string) bool {
	o := m.unreachable[address]
	if o == nil {
		return false
	}
	o.wantedAt = time.Now()
	if !m.redialing && !m.closed.Load() {
		m.redialing = true
		time.AfterFunc(initialRedialDelay, m.redial)
	}
	return true
}
