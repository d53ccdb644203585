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

// TestReplacedLinkKeepsBegunAnswers guards against answers that are cut in the middle because another link to the peer took the
// place of the one on which they come.
func TestReplacedLinkKeepsBegunAnswers(t *testing.T) {
	h := halves{release: make(chan struct{})}
	m, address := startManager(t, nil)
	m.Handle(h)
	p := relayTo(t, address)
	caller, _ := startManager(t, nil)
	s := session(t, caller, p.Address())
	answer := beginAnswer(t, s)
	p.Stall(true)
	for end := time.Now().Add(5 * time.Second); session(t, caller, p.Address()) == s || !caller.Usable(p.Address()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("stalled link: got it in use after 5 s, want it replaced")
		}
	}
	p.Stall(false)
	close(h.release)
	outcome, body := answer()
	checkWhole(t, outcome, body)
	select {
	case <-s.done:
	case <-time.After(5 * time.Second):
		t.Error("replaced link: got it open after its last answer, want it closed")
	}
}

// TestFrozenPeerIsNotTakenForWell guards against a peer that counts as well because its kernel accepts a connection, and against
// a storm of connections to it.
func TestFrozenPeerIsNotTakenForWell(t *testing.T) {
	_, address := startManager(t, nil)
	p := relayTo(t, address)
	caller, _ := startManager(t, nil)
	session(t, caller, p.Address())
	p.Hold(relay.To, true)
	p.Hold(relay.From, true)
	frozen := time.Now()
	time.Sleep(2 * caller.cfg.EchoTimeout)
	const frozenFor = 900 * time.Millisecond
	for time.Since(frozen) < frozenFor {
		if caller.Usable(p.Address()) {
			t.Fatalf("frozen peer after %v: got it usable, want it not", time.Since(frozen))
		}
		time.Sleep(time.Millisecond)
	}
	if got, limit := p.Accepted(), 6; got > limit {
		t.Errorf("connections to the frozen peer in %v: got %d, want at most %d", frozenFor, got, limit)
	}
	p.Hold(relay.To, false)
	p.Hold(relay.From, false)
	for end := time.Now().Add(2 * time.Second); !caller.Usable(p.Address()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("peer that goes on: got it unusable after 2 s, want it usable")
		}
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if dialed, _ := caller.Links(); dialed == 1 && !caller.hasCandidate(p.Address()) {
			return
		}
		if time.Now().After(end) {
			t.Fatal("links to the peer: got more than one after 5 s, want one")
		}
	}
}

// TestLongFrozenPeerIsNotStormed guards against a new connection every few round trips to a peer that stays frozen for longer than
// it takes to close a link to it: once that one is closed, each new link must leave its peer as much time.
func TestLongFrozenPeerIsNotStormed(t *testing.T) {
	_, address := startManager(t, nil)
	p := relayTo(t, address)
	caller, _ := startManager(t, nil)
	session(t, caller, p.Address())
	p.Hold(relay.To, true)
	p.Hold(relay.From, true)
	const frozenFor = 3 * time.Second
	time.Sleep(frozenFor)
	if got, limit := p.Accepted(), 8; got > limit {
		t.Errorf("connections to the frozen peer in %v: got %d, want at most %d", frozenFor, got, limit)
	}
}

// TestSlowPeerAnswersItsCandidate guards against candidates that take each other's place before a peer which needs longer than the
// echo timeout for an answer has given one.
func TestSlowPeerAnswersItsCandidate(t *testing.T) {
	_, address := startManager(t, nil)
	p := relayTo(t, address)
	caller, _ := startManager(t, nil)
	session(t, caller, p.Address())
	if err := p.Silence(); err != nil {
		t.Fatal(err)
	}
	// One round trip takes four echo timeouts.
	p.Slow(2 * caller.cfg.EchoTimeout)
	for start := time.Now(); !caller.hasEchoed(p.Address()); time.Sleep(time.Millisecond) {
		if time.Since(start) > 2*time.Second {
			t.Fatal("slow peer: got no echo on a candidate within 2 s, want one")
		}
	}
	if got, limit := p.Accepted(), 3; got > limit {
		t.Errorf("connections to the slow peer: got %d, want at most %d", got, limit)
	}
}

// hasEchoed reports whether the link to a peer is one that was opened beside another and has carried an echo.
func (m *Manager) hasEchoed(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[address]
	return s != nil && s.echoAt.Load() > 0 && m.candidates[address] == nil && s.roundTrip.Load() > int64(m.cfg.EchoTimeout)
}

// hasCandidate reports whether a link beside the one to a peer is open.
func (m *Manager) hasCandidate(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.candidates[address] != nil || m.dialing[address] != nil
}

// pinRelayed starts n peers behind relays and opens a link to each, which stays open while it is idle.
func pinRelayed(t *testing.T, m *Manager, n int) []*relay.Proxy {
	t.Helper()
	h := halves{release: make(chan struct{})}
	close(h.release)
	var relays []*relay.Proxy
	for range n {
		_, address := startTimed(t, h)
		p := relayTo(t, address)
		relays = append(relays, p)
		if _, err := m.Pin(t.Context(), p.Address()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	return relays
}

// silenceAll makes all connections through the relays silent.
func silenceAll(t *testing.T, relays []*relay.Proxy) {
	t.Helper()
	for _, p := range relays {
		if err := p.Silence(); err != nil {
			t.Fatal(err)
		}
	}
}

// awaitReplaced waits until the links through the relays are replaced, at most 2 s from the given time.
func awaitReplaced(t *testing.T, m *Manager, relays []*relay.Proxy, silent time.Time) {
	t.Helper()
	for _, p := range relays {
		for p.Accepted() < 2 || !m.Usable(p.Address()) {
			if time.Since(silent) > 2*time.Second {
				t.Fatal("idle link: got it in use 2 s after it went silent, want it replaced")
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// TestIdleLinksAreVerified guards against idle links whose silence shows only with the next request: two suspect links have all
// others verified at once.
func TestIdleLinksAreVerified(t *testing.T) {
	m, _ := startTimed(t, echoHandler{})
	relays := pinRelayed(t, m, 6)
	silenceAll(t, relays)
	silent := time.Now()
	offerOnce(t, m, relays[0].Address())
	offerOnce(t, m, relays[1].Address())
	awaitReplaced(t, m, relays, silent)
}

// TestIdleLinksAreVerifiedAfterReplacement guards against idle links that stay silent because the first of two silent links is
// replaced before the second one is suspect.
func TestIdleLinksAreVerifiedAfterReplacement(t *testing.T) {
	m, _ := startTimed(t, echoHandler{})
	relays := pinRelayed(t, m, 6)
	silenceAll(t, relays)
	for _, p := range relays[:2] {
		silent := time.Now()
		offerOnce(t, m, p.Address())
		awaitReplaced(t, m, []*relay.Proxy{p}, silent)
	}
	awaitReplaced(t, m, relays, time.Now())
}

// TestReplacementIsForgotten guards against heartbeats on all links because of silences that have nothing to do with each other.
func TestReplacementIsForgotten(t *testing.T) {
	m, _ := startTimed(t, echoHandler{})
	relays := pinRelayed(t, m, 1)
	address := relays[0].Address()
	silenceAll(t, relays)
	silent := time.Now()
	offerOnce(t, m, address)
	awaitReplaced(t, m, relays, silent)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sessions[address]
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {m.cfg.maxIdleInterval() - 1, true}, {m.cfg.maxIdleInterval(), false}} {
		if got := s.isSilent(s.replacedAt.Add(c.after)); got != c.want {
			t.Errorf("link %v after its replacement: got silent %v, want %v", c.after, got, c.want)
		}
	}
}
