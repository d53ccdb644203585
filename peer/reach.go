package peer

import "time"

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
