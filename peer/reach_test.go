package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestUnreachablePeerIsRedialed checks that an unreachable peer becomes usable again soon after it is back, without a
// request that has to try it first.
func TestUnreachablePeerIsRedialed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	m, _ := startManager(t, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if _, err := m.Session(ctx, address); err == nil {
		t.Fatal("link to a peer that is not running: got one, want an error")
	}
	if got, want := m.Usable(address), false; got != want {
		t.Errorf("usable while it is not running: got %v, want %v", got, want)
	}
	log := zerolog.Nop()
	back := NewManager(Config{
		Node: "back", Listen: address, Heartbeat: 10 * time.Millisecond, EchoTimeout: 100 * time.Millisecond,
		IdleTimeout: time.Minute, MaxConns: 10,
	}, &log)
	back.Handle(echoHandler{})
	if err := back.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = back.Stop(context.Background()) })
	for end := time.Now().Add(10 * time.Second); !m.Usable(address); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("peer is still unusable after 10 s, want it redialed")
		}
	}
}

// TestUnwantedPeerIsNotRedialed checks that an unreachable peer is dialed with growing delays, and not at all once this
// node has not wanted to send to it for redialWindow.
func TestUnwantedPeerIsNotRedialed(t *testing.T) {
	log := zerolog.Nop()
	m := NewManager(Config{Node: "n"}, &log)
	start := time.Unix(1000, 0)
	m.unreachable["p"] = &outage{since: start, wantedAt: start, retryAt: start.Add(initialRedialDelay), interval: 2 * initialRedialDelay}
	m.closed.Store(true)
	attempts := 0
	for at := start; at.Before(start.Add(20 * time.Second)); at = at.Add(initialRedialDelay) {
		if at.Before(start.Add(10 * time.Second)) {
			m.unreachable["p"].wantedAt = at
		}
		attempts += len(m.dueRedials(at))
	}
	// Due after 0.25, 0.75, 1.75, 3.75, 7.75 and 11.75 s.
	if got, want := attempts, 6; got != want {
		t.Errorf("dial attempts in 20 s, of which the peer is wanted for 10: got %d, want %d", got, want)
	}
}
