package configsync

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

// countingPlatform counts the waits at the feed of the product's own table.
type countingPlatform struct {
	Platform
	ownFeeds atomic.Int64
}

func (p *countingPlatform) Feed(ctx context.Context, name string, after uint64, wait time.Duration) (platform.Records, error) {
	if name == platform.TableOwn {
		p.ownFeeds.Add(1)
	}
	return p.Platform.Feed(ctx, name, after, wait)
}

// TestOnlyReadersWaitForHosts checks that a node which is none of its hall's readers leaves the product's own table to
// them once it is ready, and still reads the configuration itself.
func TestOnlyReadersWaitForHosts(t *testing.T) {
	hosts := []table.HostInfo{{ID: "h1", Hall: "hall-1"}, {ID: "h2", Hall: "hall-1"}, {ID: "h3", Hall: "hall-1"}}
	ranked := Readers(hosts, "hall-1", len(hosts))
	reader, other := ranked[0].ID, ranked[len(ranked)-1].ID
	for _, c := range []struct {
		host  string
		reads bool
	}{{reader, true}, {other, false}} {
		t.Run(fmt.Sprintf("reads=%v", c.reads), func(t *testing.T) {
			s := store.New()
			for _, h := range hosts {
				announceHost(t, s, h.ID, false)
			}
			configure(t, s, "1", "a")
			p := &countingPlatform{Platform: store.NewLocal(s)}
			log := zerolog.Nop()
			links := peer.NewManager(peer.Config{Node: c.host, Hall: "hall-1", Heartbeat: time.Second, EchoTimeout: time.Second}, &log)
			// A node that hears from no peer begins to read by itself after ten of these.
			const retry = 10 * time.Second
			f := New(Config{
				Host: c.host, Hall: "hall-1", RetryInterval: retry, LongPollTimeout: 50 * time.Millisecond, Readers: 1, ConfigReaders: 3,
				Timeout: time.Second, WithConfig: true,
			}, &log, p, links)
			if err := f.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = f.Stop(context.Background()) })
			wait(t, f, "ready", func(s *Snapshot) bool { return s.Ready && len(s.Hosts) == len(hosts) })
			// The role is looked at again within this time.
			time.Sleep(2 * keepLinksEvery)
			before := p.ownFeeds.Load()
			configure(t, s, "2", "a", "b")
			wait(t, f, "second configuration", routed("/b/", true))
			time.Sleep(4 * 50 * time.Millisecond)
			if got := p.ownFeeds.Load() > before; got != c.reads {
				t.Errorf("waits for changes of the hosts: got %v, want %v", got, c.reads)
			}
		})
	}
}

// TestStandInReads checks that a node which is no reader becomes one when the readers of its hall are out of reach.
func TestStandInReads(t *testing.T) {
	hosts := []table.HostInfo{{ID: "h1", Hall: "hall-1"}, {ID: "h2", Hall: "hall-1"}, {ID: "h3", Hall: "hall-1"}}
	ranked := Readers(hosts, "hall-1", len(hosts))
	other := ranked[len(ranked)-1].ID
	s := store.New()
	for _, h := range hosts {
		// Nobody listens there.
		announceHost(t, s, h.ID, false)
	}
	configure(t, s, "1", "a")
	p := &countingPlatform{Platform: store.NewLocal(s)}
	log := zerolog.Nop()
	links := peer.NewManager(peer.Config{Node: other, Hall: "hall-1", Heartbeat: time.Second, EchoTimeout: time.Second}, &log)
	// A node that hears from no peer reads by itself after ten retries, which is longer than this test waits.
	const retry = 2 * time.Second
	f := New(Config{
		Host: other, Hall: "hall-1", RetryInterval: retry, LongPollTimeout: 50 * time.Millisecond, Readers: 1, ConfigReaders: 1,
		Timeout: time.Second, WithConfig: true,
	}, &log, p, links)
	if err := f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Stop(context.Background()) })
	wait(t, f, "ready", func(s *Snapshot) bool { return s.Ready && len(s.Hosts) == len(hosts) })
	time.Sleep(2 * keepLinksEvery)
	configure(t, s, "2", "a", "b")
	wait(t, f, "second configuration", routed("/b/", true))
}
