package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestPeerIsTriedAgain checks that a peer which could not be reached is usable again soon after it is back, without a request
// that has to find out, and that one which nobody wants is left alone.
func TestPeerIsTriedAgain(t *testing.T) {
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
		t.Fatal("link to a peer that is not there: got one, want none")
	}
	if got, want := m.Usable(address), false; got != want {
		t.Errorf("usable while it is not there: got %v, want %v", got, want)
	}
	log := zerolog.Nop()
	back := NewManager(Config{
		Node: "back", Listen: address, Heartbeat: 10 * time.Millisecond, EchoTimeout: 100 * time.Millisecond,
		IdleTimeout: time.Minute, MaxConns: 10,
	}, &log)
	back.Handle(echo{})
	if err := back.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = back.Stop(context.Background()) })
	for end := time.Now().Add(10 * time.Second); !m.Usable(address); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("got a peer that stays unusable, want it tried again")
		}
	}
}

// TestNobodysPeerIsLeftAlone checks that a peer which cannot be reached is tried less and less often, and no more once nobody
// wants to send to it.
func TestNobodysPeerIsLeftAlone(t *testing.T) {
	log := zerolog.Nop()
	m := NewManager(Config{Node: "n"}, &log)
	start := time.Unix(1000, 0)
	m.unreachable["p"] = &outage{since: start, askedAt: start, next: start.Add(redialFirst), pause: 2 * redialFirst}
	m.closed.Store(true)
	tries := 0
	for at := start; at.Before(start.Add(20 * time.Second)); at = at.Add(redialFirst) {
		if at.Before(start.Add(10 * time.Second)) {
			m.unreachable["p"].askedAt = at
		}
		tries += len(m.dueRedials(at))
	}
	// After 0.25, 0.75, 1.75, 3.75, 7.75 and 11.75 s.
	if got, want := tries, 6; got != want {
		t.Errorf("tries in 20 s, of which it is wanted for 10: got %d, want %d", got, want)
	}
}
