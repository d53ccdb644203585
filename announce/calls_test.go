package announce

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/follow"
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
		name           string
		incarnation    uint64
		reads, commits int64
	}{
		{"a host that has no line", 1, 0, 1},
		{"a host whose earlier life has left one", 2, 0, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			counted := &countedTable{Table: store.NewLocal(s)}
			log := zerolog.Nop()
			const firstDelay = 100 * time.Millisecond
			a := New(Config{
				Host:  table.HostInfo{ID: "h1", Hall: "hall-1", Address: "127.0.0.1:1", Incarnation: c.incarnation},
				Retry: 5 * time.Millisecond, Timeout: time.Second, FirstDelay: firstDelay,
			}, &log, counted)
			if err := a.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = a.Stop(context.Background()) })
			a.Announce(endpoints("i1"))
			waitLine(t, s, "line", func(h table.HostInfo, ok bool) bool {
				return shows("i1")(h, ok) && h.Incarnation == c.incarnation
			})
			// By then the first delay has the line looked at again.
			time.Sleep(2 * firstDelay)
			if got := counted.reads.Load(); got != c.reads {
				t.Errorf("reads: got %d, want %d", got, c.reads)
			}
			if got := counted.commits.Load(); got != c.commits {
				t.Errorf("commits: got %d, want %d", got, c.commits)
			}
			if _, ok := line(t, s); !ok {
				t.Errorf("line %s: got none, want one", follow.HostPrefix+"h1")
			}
		})
	}
}
