package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
)

// Session returns the link to a peer and dials it if there is none; concurrent callers share one dial. While the link is
// suspect and a new one was opened beside it, it returns the new one.
func (m *Manager) Session(ctx context.Context, address string) (*Session, error) {
	m.mu.Lock()
	s := m.sessions[address]
	if s == nil || s.suspect.Load() {
		if c := m.candidates[address]; c != nil {
			s = c
		}
	}
	if s != nil {
		m.mu.Unlock()
		return s, nil
	}
	d := m.dialLocked(address)
	m.mu.Unlock()
	return d.wait(ctx, address)
}

// dialLocked returns the dial in progress to a peer, or begins one. The caller must hold m.mu.
func (m *Manager) dialLocked(address string) *dial {
	d := m.dialing[address]
	if d == nil {
		d = &dial{done: make(chan struct{})}
		m.dialing[address] = d
		go m.dial(address, d)
	}
	return d
}

// wait returns the link once it is open.
func (d *dial) wait(ctx context.Context, address string) (*Session, error) {
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.LinkDown, address, "link was not established in time")
	}
}

// Renew returns a link to a peer that is not known to be suspect: beside a suspect one it opens a new one.
func (m *Manager) Renew(ctx context.Context, address string) (*Session, error) {
	m.mu.Lock()
	s := m.sessions[address]
	if s == nil || !s.suspect.Load() || m.candidates[address] != nil {
		m.mu.Unlock()
		return m.Session(ctx, address)
	}
	d := m.dialLocked(address)
	m.mu.Unlock()
	return d.wait(ctx, address)
}

// Pin returns the link to a peer and keeps it open while it is idle.
func (m *Manager) Pin(ctx context.Context, address string) (*Session, error) {
	s, err := m.Session(ctx, address)
	if err == nil {
		s.pinned.Store(true)
	}
	return s, err
}

// dial opens a link, passes the result to the callers that wait for it, and runs the control stream until the link
// ends.
func (m *Manager) dial(address string, d *dial) {
	s, err := m.connect(address)
	m.mu.Lock()
	delete(m.dialing, address)
	var unproven *Session
	switch {
	case err != nil:
		// Callers that wait for the dial must find the peer unreachable once it has failed.
		m.markUnreachableLocked(address)
	case !m.closed.Load():
		unproven = m.addLocked(s)
	}
	m.mu.Unlock()
	d.session, d.err = s, err
	close(d.done)
	if unproven != nil {
		unproven.supersede()
	}
	if err != nil {
		return
	}
	events.LinkUp.Log(m.log).Str("peer", address).Send()
	stream, err := s.mux.OpenStream()
	if err != nil {
		s.close()
		return
	}
	s.runControl(stream)
}

// connect dials a peer and opens a session on the connection.
func (m *Manager) connect(address string) (*Session, error) {
	c, err := m.dialConn(address)
	if err != nil {
		return nil, fault.Wrap(err, fault.LinkDown, address, "cannot connect to the peer")
	}
	mux, err := yamux.Client(newCoalescingConn(countingConn{c, &m.bytes}), m.cfg.mux())
	if err != nil {
		_ = c.Close()
		return nil, fault.Wrap(err, fault.LinkDown, address, "cannot open the yamux session")
	}
	s := &Session{
		m: m, address: address, mux: mux, conn: c, openedAt: time.Now(),
		done: make(chan struct{}), wake: make(chan struct{}, 1), streams: make(map[net.Conn]bool),
	}
	s.usedAt.Store(clock.Nanos(time.Now()))
	// The kernel of a frozen peer still accepts connections: if the last link was suspect when it ended, the new one
	// starts out suspect, until its first echo.
	m.mu.Lock()
	if m.suspects[address] {
		s.startSuspect()
	}
	delete(m.suspects, address)
	m.mu.Unlock()
	return s, nil
}

// dialConn opens a connection to a peer, over TLS if configured.
func (m *Manager) dialConn(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := m.transport.Dial(ctx, address)
	if err != nil || m.cfg.TLS == nil {
		return c, err
	}
	config := m.cfg.TLS.Clone()
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	t := tls.Client(c, config)
	if err := t.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	// With TLS 1.3 the rejection of the client certificate shows only on the first read; the control stream, which
	// opens next, runs into it.
	_ = t.SetDeadline(time.Time{})
	return t, nil
}

// removeSession removes a link that has ended. If the link was suspect, the next link to the peer starts out suspect.
func (m *Manager) removeSession(s *Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.suspect.Load() && !s.superseded.Load() {
		m.suspects[s.address] = true
	}
	if m.sessions[s.address] == s {
		delete(m.sessions, s.address)
	}
	if m.candidates[s.address] == s {
		delete(m.candidates, s.address)
	}
}
