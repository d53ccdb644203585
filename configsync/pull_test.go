package configsync

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// The finding: two configurations within 50 ms after a silence of the store, and 2.6 s after the second was accepted two nodes
// still went by the first. A peer's word of the second came while its word of the first still waited to be followed, and was
// dropped; once the first was in force, nothing was wanted any more, and a link without requests says again what it shows
// every four seconds only. A pull that failed was forgotten in the same way.

// peerOf returns a follower that is not started and knows one peer, which takes no connection, at a version of the
// configuration.
func peerOf(t *testing.T, version uint64) *Follower {
	t.Helper()
	log := zerolog.Nop()
	links := peer.NewManager(peer.Config{Node: "h1", Hall: "hall-1", Heartbeat: time.Second, EchoTimeout: time.Second}, &log)
	f := New(Config{Host: "h1", Hall: "hall-1", Timeout: time.Second, WithConfig: true}, &log, nil, links)
	holds(t, f, version)
	return f
}

// holds puts a version of the configuration in force.
func holds(t *testing.T, f *Follower, version uint64) {
	t.Helper()
	state, err := f.State().With(table.Delta{Source: table.SourceConfig, Full: true, To: version})
	if err != nil {
		t.Fatal(err)
	}
	f.current.Store(&Snapshot{State: state, Hosts: []table.HostInfo{{ID: "h2", Hall: "hall-1", Address: "127.0.0.1:1"}}})
}

// shows has the peer show a version.
func shows(t *testing.T, f *Follower, version uint64) {
	t.Helper()
	var r table.Revisions
	r[table.SourceConfig] = version
	hint{peer: "h2", revisions: r}.apply(t.Context(), f)
}

// TestLaterWordOfAPeerIsKept checks that what a peer shows while an earlier word of it still waits is followed too.
func TestLaterWordOfAPeerIsKept(t *testing.T) {
	f := peerOf(t, 2)
	f.pulling = true
	shows(t, f, 5)
	shows(t, f, 8)
	holds(t, f, 5)
	f.pulling = false
	f.pullNext(t.Context())
	if got, want := f.pulling, true; got != want {
		t.Errorf("at 5, shown 8: asks for it: got %v, want %v", got, want)
	}
}

// TestFailedPullIsAskedAgain checks that what a peer has shown is asked for again when the answer did not bring it, a few
// times, and no longer once it is in force.
func TestFailedPullIsAskedAgain(t *testing.T) {
	f := peerOf(t, 5)
	shows(t, f, 8)
	for try := 1; try < mostPulls; try++ {
		(<-f.messages).apply(t.Context(), f)
		if got, want := len(f.wanted), 1; got != want {
			t.Fatalf("after failed pull %d: wanted of peers: got %d, want %d", try, got, want)
		}
		for f.pullNext(t.Context()); !f.pulling; f.pullNext(t.Context()) {
			time.Sleep(time.Millisecond)
		}
	}
	(<-f.messages).apply(t.Context(), f)
	if got, want := len(f.wanted), 0; got != want {
		t.Errorf("after %d failed pulls: wanted of peers: got %d, want %d", mostPulls, got, want)
	}
	shows(t, f, 8)
	holds(t, f, 8)
	(<-f.messages).apply(t.Context(), f)
	if got, want := len(f.wanted), 0; got != want {
		t.Errorf("in force: wanted of peers: got %d, want %d", got, want)
	}
}
