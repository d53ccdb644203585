package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
)

// accept accepts connections from peers until the manager is closed, at most MaxConns at once.
func (m *Manager) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			if m.closed.Load() {
				return
			}
			time.Sleep(m.cfg.Heartbeat)
			continue
		}
		if m.inboundConns.Add(1) > int64(m.cfg.MaxConns) {
			m.inboundConns.Add(-1)
			events.PeerRefused.Log(m.log).Str("peer", c.RemoteAddr().String()).Str("reason", "too many peers").Send()
			_ = c.Close()
			continue
		}
		go m.serveConn(countingConn{c, &m.bytes})
	}
}

// serveConn serves the streams of one link that a peer opened, until the link ends.
func (m *Manager) serveConn(c net.Conn) {
	defer m.inboundConns.Add(-1)
	defer func() { _ = c.Close() }()
	if err := handshake(c); err != nil {
		events.PeerRefused.Log(m.log).Str("peer", c.RemoteAddr().String()).Err(err).Send()
		return
	}
	mux, err := yamux.Server(newCoalescingConn(c), m.cfg.mux())
	if err != nil {
		return
	}
	m.trackAccepted(mux, c)
	defer m.trackAccepted(mux, nil)
	defer closeMux(c, mux)
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		go m.serveStream(stream, c.RemoteAddr().String())
	}
}

// handshake completes the TLS handshake of an accepted connection; without TLS it does nothing.
func handshake(c net.Conn) error {
	if inner, ok := c.(countingConn); ok {
		c = inner.Conn
	}
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := t.HandshakeContext(ctx); err != nil {
		return fault.Wrap(err, fault.Unauthorized, c.RemoteAddr().String(), "TLS handshake failed: no valid peer certificate")
	}
	return nil
}

// trackAccepted records a link that a peer opened, or, with a nil connection, removes a link that has ended.
func (m *Manager) trackAccepted(mux *yamux.Session, c net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c != nil {
		m.accepted[mux] = c
		return
	}
	delete(m.accepted, mux)
}
