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

// countedTable counts the calls to the store.
type countedTable struct {
	changes.Table
	reads, commits atomic.Int64
}

func (c *countedTable) Get(ctx context.Context, keys ...string) ([]platform.Record, error) {
	c.reads.Add(1)
	return c.Table.Get(ctx, keys...)
}

func (c *countedTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	c.commits.Add(1)
	return c.Table.Commit(ctx, txn)
}

// TestCallsOfAStart counts what a start costs at the store: a fleet that starts pays it as often as it has nodes, and each
// line that is written wakes every reader.
func TestCallsOfAStart(t *testing.T) {
	s := store.New()
	for _, c := range []struct {
		name     string
		shown    bool
		endpoint string
		commits  int64
	}{
		{"a host that has no line", false, "i1", 1},
		{"a restart with the same endpoint", true, "i1", 0},
		{"a restart with another endpoint", true, "i2", 1},
		{"a restart that has not seen its line", false, "i3", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			counted := &countedTable{Table: store.NewLocal(s)}
			log := zerolog.Nop()
			const firstDelay = 100 * time.Millisecond
			a := New(Config{
				Host:          table.HostInfo{ID: "h1", Hall: "hall-1", Address: "127.0.0.1:1", Incarnation: rand.Uint64()},
				RetryInterval: 5 * time.Millisecond, Timeout: time.Second, FirstDelay: firstDelay,
			}, &log, counted)
			snap := &configsync.Snapshot{State: table.NewState(), Ready: true}
			if c.shown {
				snap.StoredAnnouncement, _ = line(t, s)
			}
			a.Observe(snap)
			if err := a.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = a.Stop(context.Background()) })
			a.Announce(endpoints(c.endpoint))
			waitLine(t, s, "line", shows(c.endpoint))
			// By then the first delay has the line looked at again.
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

// TestLineOfAnEarlierLifeIsWatched has a restarted node whose line stands as it should find it taken out: it writes it again.
func TestLineOfAnEarlierLifeIsWatched(t *testing.T) {
	s := store.New()
	first := startAnnouncer(t, s, 1)
	first.Announce(endpoints("i1"))
	h := waitLine(t, s, "first life", shows("i1"))
	_ = first.Stop(context.Background())
	log := zerolog.Nop()
	second := New(Config{
		Host:          table.HostInfo{ID: "h1", Hall: "hall-1", Address: "127.0.0.1:1", Incarnation: 2},
		RetryInterval: 5 * time.Millisecond, Timeout: time.Second,
	}, &log, store.NewLocal(s))
	second.Observe(&configsync.Snapshot{State: table.NewState(), StoredAnnouncement: h, Ready: true})
	if err := second.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = second.Stop(context.Background()) })
	second.Announce(endpoints("i1"))
	if _, err := store.NewLocal(s).Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: configsync.HostPrefix + "h1", Delete: true}}}); err != nil {
		t.Fatal(err)
	}
	state := table.NewState().WithEndpoints(h.Version+1, nil)
	second.Observe(&configsync.Snapshot{State: state, Ready: true})
	waitLine(t, s, "written again", shows("i1"))
}
