package configsync

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/httpclient"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/standin/relay"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

// applyLimit is the time after its acknowledgement within which a configuration must be in force.
const applyLimit = 2 * time.Second

// relayedHall is a hall whose nodes reach each other and the store only through relays.
type relayedHall struct {
	store     *store.Store
	followers []*Follower
	relays    []*relay.Proxy
}

func (h *relayedHall) relayTo(t *testing.T, address string) string {
	t.Helper()
	p, err := relay.New(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	h.relays = append(h.relays, p)
	return p.Address()
}

// silence makes all open connections of the hall silent.
func (h *relayedHall) silence(t *testing.T) {
	t.Helper()
	for _, p := range h.relays {
		if err := p.Silence(); err != nil {
			t.Fatal(err)
		}
	}
}

// startRelayedHall starts nodes with the settings of the users' platform; readers of them read the store.
func startRelayedHall(t *testing.T, nodes, readers int) *relayedHall {
	t.Helper()
	httpclient.Tune()
	h := &relayedHall{store: store.New()}
	storeAddress := freeAddress(t)
	server := store.NewServer(h.store, netip.MustParseAddrPort(storeAddress))
	if err := server.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Stop(context.Background()) })
	configure(t, h.store, "1", "v1")
	for i := range nodes {
		h.startNode(t, fmt.Sprintf("h%d", i+1), h.relayTo(t, storeAddress), readers)
	}
	for _, f := range h.followers {
		wait(t, f, "ready", func(s *Snapshot) bool { return s.Ready && len(s.Hosts) == nodes })
	}
	return h
}

func (h *relayedHall) startNode(t *testing.T, id, storeAddress string, readers int) {
	t.Helper()
	log := zerolog.Nop()
	listen := freeAddress(t)
	var f *Follower
	links := peer.NewManager(peer.Config{
		Node: id, Hall: "hall-1", Listen: listen, Heartbeat: 500 * time.Millisecond, EchoTimeout: 800 * time.Millisecond,
		IdleTimeout: 10 * time.Minute, MaxConns: 100,
	}, &log, peer.WithRevisionHook(func(name string, r table.Revisions) { f.Hint(name, r) }))
	f = New(Config{
		Host: id, Hall: "hall-1", RetryInterval: 250 * time.Millisecond, MaxRetryInterval: time.Second, LongPollTimeout: 3 * time.Second,
		Readers: readers, ConfigReaders: readers, Timeout: time.Second, WithConfig: true,
	}, &log, platform.NewClient(storeAddress, platform.WithTimeout(time.Second)), links)
	links.Handle(hallPeer{f: f})
	if err := links.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = links.Stop(context.Background()) })
	announce(t, h.store, table.HostInfo{ID: id, Hall: "hall-1", Address: h.relayTo(t, listen)})
	if err := f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Stop(context.Background()) })
	h.followers = append(h.followers, f)
}

// awaitRoles waits until only the readers read the store.
func (h *relayedHall) awaitRoles(t *testing.T, readers int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		reading := 0
		for _, f := range h.followers {
			if product, config := f.Reads(); product || config {
				reading++
			}
		}
		if reading == readers {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("nodes that read the store: got %d, want %d", reading, readers)
		}
	}
}

// TestConfigurationAfterSilence guards against a configuration that is in force late because the connections of all nodes,
// to the store and to each other, went silent without a reset at the moment of the change.
func TestConfigurationAfterSilence(t *testing.T) {
	const nodes, readers, rounds = 6, 3, 3
	h := startRelayedHall(t, nodes, readers)
	h.awaitRoles(t, readers)
	for round := range rounds {
		// The phase of the reads and of the heartbeats differs in each round.
		time.Sleep(time.Duration(1000+370*round) * time.Millisecond)
		h.silence(t)
		version := strconv.Itoa(round + 2)
		configure(t, h.store, version, "v"+version)
		acked := time.Now()
		inForce := make(map[string]time.Duration)
		for len(inForce) < nodes && time.Since(acked) < 5*applyLimit {
			for _, f := range h.followers {
				if _, ok := inForce[f.cfg.Host]; !ok && routed("/v"+version+"/", true)(f.Snapshot()) {
					inForce[f.cfg.Host] = time.Since(acked)
				}
			}
			time.Sleep(time.Millisecond)
		}
		for _, f := range h.followers {
			if got, ok := inForce[f.cfg.Host]; !ok || got > applyLimit {
				t.Errorf("round %d, version %s on %s: got it in force after %v (%v), want at most %v", round, version, f.cfg.Host, got, ok, applyLimit)
			}
		}
	}
}
