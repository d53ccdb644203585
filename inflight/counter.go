package inflight

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

const lookEvery = 2 * time.Millisecond

// Counter counts work under way; unlike a sync.WaitGroup it may be added to while somebody waits.
type Counter struct {
	n atomic.Int64
}

// Add counts one more piece of work.
func (c *Counter) Add() { c.n.Add(1) }

// Done counts one piece of work less.
func (c *Counter) Done() { c.n.Add(-1) }

// Load returns the work under way.
func (c *Counter) Load() int64 { return c.n.Load() }

// Go runs f as one piece of work in a goroutine of its own.
func (c *Counter) Go(f func()) {
	c.Add()
	go func() {
		defer c.Done()
		f()
	}()
}

// Wait returns once no work is under way, DeadlineExceeded when ctx ends first; where names the work.
func (c *Counter) Wait(ctx context.Context, where string) error {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for c.Load() > 0 {
		select {
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, where, "work under way was cut")
		case <-tick.C:
		}
	}
	return nil
}
