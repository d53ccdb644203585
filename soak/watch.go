package soak

import (
	"context"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/demo"
)

// watchEvery is the time between two looks at the nodes.
const watchEvery = 50 * time.Millisecond

// watch looks at the revisions in force while a run is under way: within one life of a node they must never go down.
type watch struct {
	fleet  *demo.Fleet
	breaks func(format string, args ...any)
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// lives counts the processes of each node that have ended.
	lives []int
}

func newWatch(fleet *demo.Fleet, breaks func(format string, args ...any)) *watch {
	return &watch{fleet: fleet, breaks: breaks, lives: make([]int, len(fleet.Members))}
}

// ended notes that a node's process is gone.
func (w *watch) ended(on int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives[on]++
}

// life returns the number of a node's present process.
func (w *watch) life(on int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lives[on]
}

// begin looks at every node until end.
func (w *watch) begin() {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	for i, m := range w.fleet.Members {
		w.wg.Go(func() { w.follow(ctx, i, m) })
	}
}

func (w *watch) end() {
	w.cancel()
	w.wg.Wait()
}

// follow looks at one node; what it said while it was ended or begun anew counts for neither life.
func (w *watch) follow(ctx context.Context, on int, m *demo.Member) {
	life, highest := 0, uint64(0)
	for ctx.Err() == nil {
		before := w.life(on)
		status, err := m.Status()
		if now := w.life(on); err == nil && now == before {
			if now != life {
				life, highest = now, 0
			}
			if status.Revision < highest {
				w.breaks("revision: node %s went from %d back to %d", m.Host, highest, status.Revision)
			}
			highest = max(highest, status.Revision)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchEvery):
		}
	}
}
