package configsync

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// These tests guard against hints that are lost. Two configurations were written within 50 ms after a period without
// changes, and 2.6 s after the second was accepted two nodes still used the first. A peer's hint of the second had
// arrived while its hint of the first was still pending, and was dropped. Once the first was active, no pull was
// pending any more, and an idle link repeats its hint only every four seconds. A failed pull was lost in the same way.

// followerWithPeer returns a follower that is not started, has this version of the configuration active, and knows one
// peer, which accepts no connections.
func followerWithPeer(t *testing.T, version uint64) *Follower {
	t.Helper()
	log := zerolog.Nop()
	links := peer.NewManager(peer.Config{Node: "h1", Hall: "hall-1", Heartbeat: time.Second, EchoTimeout: time.Second}, &log)
	f := New(Config{Host: "h1", Hall: "hall-1", Timeout: time.Second, WithConfig: true}, &log, nil, links)
	activateVersion(t, f, version)
	return f
}

// activateVersion makes a version of the configuration the active one.
func activateVersion(t *testing.T, f *Follower, version uint64) {
	t.Helper()
	state, err := f.State().With(table.Delta{Source: table.SourceConfig, Full: true, To: version})
	if err != nil {
		t.Fatal(err)
	}
	f.current.Store(&Snapshot{State: state, Hosts: []table.HostInfo{{ID: "h2", Hall: "hall-1", Address: "127.0.0.1:1"}}})
}

// hintVersion has the peer hint at a version of the configuration.
func hintVersion(t *testing.T, f *Follower, version uint64) {
	t.Helper()
	var r table.Revisions
	r[table.SourceConfig] = version
	hint{peer: "h2", revisions: r}.apply(t.Context(), f)
}

// TestLaterHintIsKept checks that a hint is followed which arrives while an earlier one of the same peer is pending.
func TestLaterHintIsKept(t *testing.T) {
	f := followerWithPeer(t, 2)
	const address = "127.0.0.1:1"
	f.pulls[address] = time.Now()
	hintVersion(t, f, 5)
	hintVersion(t, f, 8)
	activateVersion(t, f, 5)
	delete(f.pulls, address)
	f.pullNext(t.Context())
	if _, got := f.pulls[address]; !got {
		t.Error("at 5, hint of 8: got no pull, want one")
	}
}

// TestFailedPullIsRetried checks that a pull which did not deliver the revisions of the hint is repeated, up to
// maxPulls times in all, and not any more once the revisions are active.
func TestFailedPullIsRetried(t *testing.T) {
	f := followerWithPeer(t, 5)
	hintVersion(t, f, 8)
	for try := 1; try < maxPulls; try++ {
		(<-f.messages).apply(t.Context(), f)
		if got, want := len(f.wanted), 1; got != want {
			t.Fatalf("after failed pull %d: pending pulls: got %d, want %d", try, got, want)
		}
		for f.pullNext(t.Context()); len(f.pulls) == 0; f.pullNext(t.Context()) {
			time.Sleep(time.Millisecond)
		}
	}
	(<-f.messages).apply(t.Context(), f)
	if got, want := len(f.wanted), 0; got != want {
		t.Errorf("after %d failed pulls: pending pulls: got %d, want %d", maxPulls, got, want)
	}
	hintVersion(t, f, 8)
	activateVersion(t, f, 8)
	(<-f.messages).apply(t.Context(), f)
	if got, want := len(f.wanted), 0; got != want {
		t.Errorf("active: pending pulls: got %d, want %d", got, want)
	}
}

// TestSilentPullHoldsUpNoOther guards against changes that come late because a pull over a silent link holds up all others.
func TestSilentPullHoldsUpNoOther(t *testing.T) {
	f := followerWithPeer(t, 2)
	snap := *f.Snapshot()
	snap.Hosts = append(snap.Hosts, table.HostInfo{ID: "h3", Hall: "hall-1", Address: "127.0.0.1:2"})
	f.current.Store(&snap)
	f.pulls["127.0.0.1:1"] = time.Now()
	var r table.Revisions
	r[table.SourceConfig] = 3
	hint{peer: "h3", revisions: r}.apply(t.Context(), f)
	if _, got := f.pulls["127.0.0.1:2"]; got {
		t.Error("pull beside one that has just begun: got one, want none")
	}
	f.pulls["127.0.0.1:1"] = time.Now().Add(-pullHedgeDelay)
	f.pullNext(t.Context())
	if _, got := f.pulls["127.0.0.1:2"]; !got {
		t.Error("pull beside one without an answer: got none, want one")
	}
}
