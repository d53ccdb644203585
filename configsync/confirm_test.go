package configsync

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

// confirms counts the questions whether a configuration is the newest.
type confirms struct {
	Platform
	asked atomic.Int64
}

func (c *confirms) Feed(ctx context.Context, name string, after uint64, wait time.Duration) (platform.Records, error) {
	if name == platform.TableOperators && wait == 0 {
		c.asked.Add(1)
	}
	return c.Platform.Feed(ctx, name, after, wait)
}

// answering is what a node of the hall answers its peers.
type answering struct {
	peer.Handler
	f *Follower
}

func (a answering) Deltas(from table.Revisions, changesOnly bool) []*peerpb.Delta {
	return Deltas(a.f.Snapshot(), from, changesOnly)
}

func (a answering) Confirm(ctx context.Context) (uint64, bool) {
	known := a.f.ConfirmForPeer(ctx)
	return a.f.State().Revisions()[table.SourceConfig], known
}

// hallOfTwo starts a reader and another node of its hall at one store.
func hallOfTwo(t *testing.T, s *store.Store) (reader, other *Follower, p *confirms) {
	t.Helper()
	hosts := []table.HostInfo{{ID: "h1", Hall: "hall-1", Address: freeAddress(t)}, {ID: "h2", Hall: "hall-1", Address: freeAddress(t)}}
	for _, h := range hosts {
		announceAt(t, s, h)
	}
	p = &confirms{Platform: store.NewLocal(s)}
	byID := make(map[string]*Follower)
	for _, h := range hosts {
		log := zerolog.Nop()
		var f *Follower
		links := peer.NewManager(peer.Config{
			Node: h.ID, Hall: "hall-1", Listen: h.Address, Heartbeat: 50 * time.Millisecond, EchoTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxConns: 10,
		}, &log, peer.WithRevisionHook(func(name string, r table.Revisions) { f.Hint(name, r) }))
		f = New(Config{
			Host: h.ID, Hall: "hall-1", RetryInterval: 10 * time.Second, LongPollTimeout: 200 * time.Millisecond, Readers: 1, ConfigReaders: 1,
			Timeout: time.Second, WithConfig: true,
		}, &log, p, links)
		links.Handle(answering{f: f})
		if err := links.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = links.Stop(context.Background()) })
		if err := f.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = f.Stop(context.Background()) })
		byID[h.ID] = f
	}
	first := Readers(hosts, "hall-1", 1)[0].ID
	other = byID[hosts[0].ID]
	if first == hosts[0].ID {
		other = byID[hosts[1].ID]
	}
	return byID[first], other, p
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// TestHallAsksOnce checks that a node which does not read the configuration itself has it confirmed by its hall's reader, whose
// one question answers for a moment, and that what a new configuration has added is in force once it is confirmed.
func TestHallAsksOnce(t *testing.T) {
	s := store.New()
	configure(t, s, "7", "a")
	_, other, p := hallOfTwo(t, s)
	wait(t, other, "leaves the reading to the reader", func(snap *Snapshot) bool {
		own, config := other.Reads()
		return !own && !config && routed("/a/", true)(snap)
	})
	// The first questions may meet a link that is not up yet, and go to the platform then.
	for end := time.Now().Add(10 * time.Second); !other.confirmByReader(t.Context()); {
		if time.Now().After(end) {
			t.Fatal("got no word of the reader, want one")
		}
	}
	before := p.asked.Load()
	for range 20 {
		if got, want := other.Confirm(t.Context()), true; got != want {
			t.Errorf("confirmed: got %v, want %v", got, want)
		}
	}
	if got, most := p.asked.Load()-before, int64(10); got > most {
		t.Errorf("questions to the platform for 20 confirmations: got %d, want at most %d", got, most)
	}
	configure(t, s, "8", "b")
	time.Sleep(confirmFresh)
	if got, want := other.Confirm(t.Context()), true; got != want {
		t.Errorf("confirmed: got %v, want %v", got, want)
	}
	if got, want := routed("/b/", true)(other.Snapshot()), true; got != want {
		t.Errorf("newer route in force: got %v, want %v", got, want)
	}
	s.SetFaults(store.Faults{Down: true})
	time.Sleep(confirmFresh)
	if got, want := other.Confirm(t.Context()), false; got != want {
		t.Errorf("confirmed without the store: got %v, want %v", got, want)
	}
}
