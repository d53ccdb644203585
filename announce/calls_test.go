package announce

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"

	"github.com/rs/zerolog"
)

// countingTable counts the reads and commits that reach the store.
type countingTable struct {
	changes.Table
	reads, commits atomic.Int64
}

func (c *countingTable) Get(ctx context.Context, keys ...string) ([]platform.Record, error) {
	c.reads.Add(1)
	return c.Table.Get(ctx, keys...)
}

func (c *countingTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	c.commits.Add(1)
	return c.Table.Commit(ctx, txn)
}

// TestStoreCallsAtStart counts the store calls of a node's start. A fleet that starts makes them once per node, and
// each write of an announcement wakes every reader.
func TestStoreCallsAtStart(t *testing.T) {
	s := store.New()
	for _, c := range []struct {
		name     string
		observed bool
		endpoint string
		commits  int64
	}{
		{"a host without an announcement", false, "i1", 1},
		{"a restart with the same endpoint", true, "i1", 0},
		{"a restart with another endpoint", true, "i2", 1},
		{"a restart that has not seen its announcement", false, "i3", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			counted := &countingTable{Table: store.NewLocal(s)}
			log := zerolog.Nop()
			const firstDelay = 100 * time.Millisecond
			a := New(Config{
				Host:          table.HostInfo{ID: "h1", Hall: "hall-1", Address: "127.0.0.1:1", Incarnation: rand.Uint64()},
				RetryInterval: 5 * time.Millisecond, Timeout: time.Second, FirstDelay: firstDelay,
			}, &log, counted)
			snap := &configsync.Snapshot{State: table.NewState(), HostsRead: c.observed, Ready: true}
			if c.observed {
				snap.StoredAnnouncement, _ = storedAnnouncement(t, s)
			}
			a.Observe(snap)
			if err := a.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = a.Stop(context.Background()) })
			a.Announce(endpoints(c.endpoint), table.PastIncarnations{})
			waitForAnnouncement(t, s, "announcement", hasEndpoint(c.endpoint))
			// The first delay ends within this time; the announcer then checks its announcement again.
			time.Sleep(2 * firstDelay)
			if got := counted.reads.Load(); got != 0 {
				t.Errorf("reads: got %d, want 0", got)
			}
			if got := counted.commits.Load(); got != c.commits {
				t.Errorf("commits: got %d, want %d", got, c.commits)
			}
		})
	}
}

// TestAnnouncementOfPreviousProcessIsRestored removes the announcement that a restarted node has adopted from its
// previous process without writing. The node must notice the removal and write the announcement again.
func TestAnnouncementOfPreviousProcessIsRestored(t *testing.T) {
	s := store.New()
	previous := startAnnouncer(t, s, 1)
	previous.Announce(endpoints("i1"), table.PastIncarnations{})
	h := waitForAnnouncement(t, s, "previous process", hasEndpoint("i1"))
	_ = previous.Stop(context.Background())
	log := zerolog.Nop()
	restarted := New(Config{
		Host:          table.HostInfo{ID: "h1", Hall: "hall-1", Address: "127.0.0.1:1", Incarnation: 2},
		RetryInterval: 5 * time.Millisecond, Timeout: time.Second,
	}, &log, store.NewLocal(s))
	restarted.Observe(&configsync.Snapshot{State: table.NewState(), StoredAnnouncement: h, HostsRead: true, Ready: true})
	if err := restarted.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = restarted.Stop(context.Background()) })
	restarted.Announce(endpoints("i1"), table.PastIncarnations{})
	if _, err := store.NewLocal(s).Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: configsync.HostPrefix + "h1", Delete: true}}}); err != nil {
		t.Fatal(err)
	}
	state := table.NewState().WithEndpoints(h.Version+1, nil)
	restarted.Observe(&configsync.Snapshot{State: state, HostsRead: true, Ready: true})
	waitForAnnouncement(t, s, "written again", hasEndpoint("i1"))
}
