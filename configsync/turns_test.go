package configsync

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/standin/store"
)

// TestReadersTakeTurns checks that whenever the readers of a hall begin to read, one of them ends a read, and begins another on a
// new connection, within each period divided by their number.
func TestReadersTakeTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const period = 3 * time.Second
		readers := rapid.IntRange(1, 5).Draw(t, "readers")
		step := period / time.Duration(readers)
		looks := make(map[time.Duration]bool)
		for i := range readers {
			at := time.Duration(rapid.Int64Range(0, int64(period)).Draw(t, "begin"))
			for at < 4*period {
				wait := turnWait(at, period, i, readers)
				if wait <= 0 || wait > period+step/minTurn {
					t.Fatalf("wait of reader %d at %v: got %v, want it in (0, %v]", i, at, wait, period+step/minTurn)
				}
				at += wait
				looks[at] = true
			}
		}
		// By then each reader has begun its first read at a turn of its own.
		for from := 2 * period; from < 3*period; from += step / 10 {
			found := false
			for at := range looks {
				found = found || at > from && at <= from+step
			}
			if !found {
				t.Fatalf("looks at the store: got none within %v after %v, want one", step, from)
			}
		}
	})
}

// lingeringPlatform counts the reads that have not ended; each ends shortly after its context.
type lingeringPlatform struct {
	Platform
	reads atomic.Int64
}

func (p *lingeringPlatform) Feed(ctx context.Context, name string, after uint64, wait time.Duration) (platform.Records, error) {
	p.reads.Add(1)
	defer p.reads.Add(-1)
	<-ctx.Done()
	time.Sleep(20 * time.Millisecond)
	return p.Platform.Feed(ctx, name, after, wait)
}

// TestStopWaitsForReads guards against reads of the store that go on after the follower has stopped.
func TestStopWaitsForReads(t *testing.T) {
	s := store.New()
	configure(t, s, "1", "a")
	p := &lingeringPlatform{Platform: store.NewLocal(s)}
	log := zerolog.Nop()
	links := peer.NewManager(peer.Config{Node: "h1", Hall: "hall-1", Heartbeat: time.Second, EchoTimeout: time.Second}, &log)
	f := New(Config{
		Host: "h1", Hall: "hall-1", RetryInterval: 5 * time.Millisecond, LongPollTimeout: 20 * time.Millisecond, Readers: 1, ConfigReaders: 1,
		Timeout: time.Second, WithConfig: true,
	}, &log, p, links)
	if err := f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); p.reads.Load() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("reads in flight: got %d, want 2 or more", p.reads.Load())
		}
	}
	_ = f.Stop(context.Background())
	if got, want := p.reads.Load(), int64(0); got != want {
		t.Errorf("reads in flight after the stop: got %d, want %d", got, want)
	}
}
