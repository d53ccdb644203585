package peer

import (
	"context"
	"time"
)

// Unreachable returns since when a peer cannot be reached, the zero time for one that can or was not tried.
func (m *Manager) Unreachable(address string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable[address]
}

// heard notes that a peer can be reached, lost that it cannot.
func (m *Manager) heard(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.unreachable, address)
}

func (m *Manager) lost(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unreachable[address].IsZero() {
		m.unreachable[address] = time.Now()
	}
}

// Linked tells whether there is a link to a peer, or one is being opened.
func (m *Manager) Linked(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[address] != nil || m.dialing[address] != nil
}

// Usable tells whether a peer may get new work as far as links show: one that cannot be reached may not until a link to it
// is up again, one that was never tried may.
func (m *Manager) Usable(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[address]
	if s == nil {
		return m.unreachable[address].IsZero()
	}
	return !s.suspect.Load() && !s.leaving.Load()
}

// Reached tells whether a link to a peer stands that is not under suspicion.
func (m *Manager) Reached(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[address]
	return s != nil && !s.suspect.Load()
}

// Keep has a link to a peer opened, and keeps one that stands open while it carries nothing; it does not wait.
func (m *Manager) Keep(address string) {
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
		// The link's own events say why a peer cannot be reached.
		_, _ = m.Pin(ctx, address)
	}()
}
