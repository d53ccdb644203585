package peer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
)

// TestStopWaitsForSlowPeers guards against answers that are lost in transit because a node that ends closes its links before a peer
// with little processor time has read them: the peer closes its link once it has, here after a second. A peer that never does holds
// the stop up for a few heartbeats.
func TestStopWaitsForSlowPeers(t *testing.T) {
	const heartbeat = 500 * time.Millisecond
	for _, c := range []struct{ closes, want time.Duration }{
		{time.Second, time.Second}, {time.Hour, drainBeats * heartbeat},
	} {
		synctest.Test(t, func(t *testing.T) {
			log := zerolog.Nop()
			m := NewManager(Config{Heartbeat: heartbeat}, &log)
			ours, theirs := net.Pipe()
			defer func() { _ = theirs.Close() }()
			mux, err := yamux.Server(ours, m.cfg.mux())
			if err != nil {
				t.Fatal(err)
			}
			m.accepted[mux] = ours
			closes := time.AfterFunc(c.closes, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				delete(m.accepted, mux)
				_ = mux.Close()
			})
			defer closes.Stop()
			begin := time.Now()
			if err := m.Stop(context.Background()); err != nil {
				t.Fatal(err)
			}
			if got := time.Since(begin).Round(10 * time.Millisecond); got != c.want {
				t.Errorf("a peer that closes its link after %v: stopped after %v, want %v", c.closes, got, c.want)
			}
			_ = mux.Close()
		})
	}
}
