package peer

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/standin/relay"
)

// startTimed starts a node with the heartbeats of the users' platform.
func startTimed(t *testing.T, h Handler) (*Manager, string) {
	t.Helper()
	log := zerolog.New(io.Discard)
	m := NewManager(Config{
		Node: "n", Listen: "127.0.0.1:0", Heartbeat: 500 * time.Millisecond, EchoTimeout: 800 * time.Millisecond,
		IdleTimeout: time.Minute, MaxConns: 100,
	}, &log)
	m.Handle(h)
	if err := m.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Stop(context.Background()) })
	return m, m.listener.Addr().String()
}

// relayTo returns a relay to an address.
func relayTo(t *testing.T, address string) *relay.Proxy {
	t.Helper()
	p, err := relay.New(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// offerOnce offers a request to a peer and reports whether it ran.
func offerOnce(t *testing.T, m *Manager, address string) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s, err := m.Session(ctx, address)
	if err != nil {
		return false
	}
	d := &peerpb.Dispatch{RequestId: "q", BudgetMicros: 1e6, Exchange: 7}
	return s.Exchange(ctx, d, nil, &recordingSink{}).GetOutcome() == peerpb.Outcome_OUTCOME_RAN
}

// TestSilentLinkIsReplaced guards against a peer that gets no work for seconds because the link to it went silent without a
// reset, although a new link works.
func TestSilentLinkIsReplaced(t *testing.T) {
	const limit = 2 * time.Second
	h := halves{release: make(chan struct{})}
	close(h.release)
	_, address := startTimed(t, h)
	m, _ := startTimed(t, echoHandler{})
	p := relayTo(t, address)
	if !offerOnce(t, m, p.Address()) {
		t.Fatal("offer before the silence: got it not run, want it run")
	}
	for round := range 2 {
		if err := p.Silence(); err != nil {
			t.Fatal(err)
		}
		silent := time.Now()
		for !m.Usable(p.Address()) || !offerOnce(t, m, p.Address()) {
			if time.Since(silent) > 5*limit {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if got := time.Since(silent); got > limit {
			t.Errorf("silence %d: got the peer at work again after %v, want at most %v", round, got, limit)
		}
	}
}
