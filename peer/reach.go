package peer

import (
	"context"
	"time"
)

// outage is what is known of a peer that cannot be reached.
type outage struct {
	since time.Time
	// askedAt is when somebody last wanted to send to the peer.
	askedAt time.Time
	// next is when it is tried again, pause the time from then to the next time.
	next  time.Time
	pause time.Duration
}

const (
	// redialFirst is how soon a peer that cannot be reached is tried again, redialMost what that doubles up to. A node that is
	// restarted is back within a second, and without trying again it was lost to every node of a large fleet that had met it
	// meanwhile.
	redialFirst = 250 * time.Millisecond
	redialMost  = 4 * time.Second
	// redialFor is how long after somebody wanted to send to it a peer is tried.
	redialFor = 2 * time.Second
)

// Unreachable returns since when a peer cannot be reached, the zero time for one that can or was not tried.
func (m *Manager) UnreachableSince(address string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.unreachable[address]; o != nil {
		return o.since
	}
	return time.Time{}
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
	now := time.Now()
	if m.unreachable[address] == nil {
		m.unreachable[address] = &outage{since: now, askedAt: now, next: now.Add(redialFirst), pause: 2 * redialFirst}
	}
	if !m.redialing {
		m.redialing = true
		time.AfterFunc(redialFirst, m.redial)
	}
}

// redial tries the peers again that somebody wants to send to and that are due, and comes back while there are any.
func (m *Manager) redial() {
	for _, address := range m.dueRedials(time.Now()) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			defer cancel()
			// The link's own events say that it is up, or why not.
			_, _ = m.Session(ctx, address)
		}()
	}
}

// dueRedials returns the peers to try now, and sees to the next time.
func (m *Manager) dueRedials(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []string
	wanted := false
	for address, o := range m.unreachable {
		if now.Sub(o.askedAt) > redialFor || m.sessions[address] != nil {
			continue
		}
		wanted = true
		if now.Before(o.next) || m.dialing[address] != nil {
			continue
		}
		o.next, o.pause = now.Add(o.pause), min(2*o.pause, redialMost)
		due = append(due, address)
	}
	m.redialing = wanted && !m.closed.Load()
	if m.redialing {
		time.AfterFunc(redialFirst, m.redial)
	}
	return due
}

// Linked tells whether there is a link to a peer, or one is being opened.
func (m *Manager) HasLink(address string) bool {
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
		return !m.missed(address)
	}
	return !s.suspect.Load() && !s.leaving.Load()
}

// Reached tells whether a link to a peer stands that is not under suspicion.
func (m *Manager) LinkHealthy(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[address]
	return s != nil && !s.suspect.Load()
}

// Keep has a link to a peer opened, and keeps one that stands open while it carries nothing; it does not wait.
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
		// The link's own events say why a peer cannot be reached.
		_, _ = m.Pin(ctx, address)
	}()
}

// missed tells whether a peer without a link cannot be reached, and has it tried again; the lock is held.
func (m *Manager) missed(address string) bool {
	o := m.unreachable[address]
	if o == nil {
		return false
	}
	o.askedAt = time.Now()
	if !m.redialing && !m.closed.Load() {
		m.redialing = true
		time.AfterFunc(redialFirst, m.redial)
	}
	return true
}
