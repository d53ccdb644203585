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
		if m.inbound.Add(1) > int64(m.cfg.MaxConns) {
			m.inbound.Add(-1)
			events.PeerRefused.Log(m.log).Str("peer", c.RemoteAddr().String()).Str("reason", "too many peers").Send()
			_ = c.Close()
			continue
		}
		go m.serveConn(counted{c, &m.bytes})
	}
}

// serveConn serves the streams of one link that a peer has opened.
func (m *Manager) serveConn(c net.Conn) {
	defer m.inbound.Add(-1)
	defer func() { _ = c.Close() }()
	if err := handshake(c); err != nil {
		events.PeerRefused.Log(m.log).Str("peer", c.RemoteAddr().String()).Err(err).Send()
		return
	}
	mux, err := yamux.Server(newJoined(c), m.cfg.mux())
	if err != nil {
		return
	}
	m.track(mux, c)
	defer m.track(mux, nil)
	defer closeMux(c, mux)
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		go m.serveStream(stream, c.RemoteAddr().String())
	}
}

func handshake(c net.Conn) error {
	if inner, ok := c.(counted); ok {
		c = inner.Conn
	}
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := t.HandshakeContext(ctx); err != nil {
		return fault.Wrap(err, fault.Unauthorized, c.RemoteAddr().String(), "peer shows no valid certificate")
	}
	return nil
}

// track notes a link that a peer has opened, or with a nil connection that it has ended.
func (m *Manager) track(mux *yamux.Session, c net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c != nil {
		m.accepted[mux] = c
		return
	}
	delete(m.accepted, mux)
}
