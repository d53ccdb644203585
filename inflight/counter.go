package inflight

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lynxplank/lynxplank/fault"
)

// pollInterval is how often Wait checks the count.
const pollInterval = 2 * time.Millisecond

// Counter counts in-flight requests or tasks. Unlike a sync.WaitGroup it may be incremented while Wait runs.
type Counter struct {
	n atomic.Int64
}

// Add counts one more.
func (c *Counter) Add() { c.n.Add(1) }

// Done counts one less.
func (c *Counter) Done() { c.n.Add(-1) }

// Load returns the count.
func (c *Counter) Load() int64 { return c.n.Load() }

// Go runs f in a goroutine that is counted until f returns.
func (c *Counter) Go(f func()) {
	c.Add()
	go func() {
		defer c.Done()
		f()
	}()
}

// Wait returns once the count is 0, or DeadlineExceeded when ctx ends first; where names what is counted, for the
// error.
func (c *Counter) Wait(ctx context.Context, where string) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for c.Load() > 0 {
		select {
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, where, "still in flight when the wait ended")
		case <-tick.C:
		}
	}
	return nil
}
