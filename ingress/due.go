package ingress

import (
	"sync"
	"time"
)

// dueTimer signals that the answer to a send is due but has not arrived. It may be set and signaled at any time, by
// messages from a link or by its timer.
type dueTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	ended bool
	due   chan struct{}
}

func newDueTimer() *dueTimer { return &dueTimer{due: make(chan struct{}, 1)} }

// set makes the answer due after d, at once if d is 0. It replaces an earlier due time.
func (t *dueTimer) set(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.stop()
	if d <= 0 {
		t.signal()
		return
	}
	t.timer = time.AfterFunc(d, t.signal)
}

// signal sends to due without blocking; a signal that was not read yet suffices.
func (t *dueTimer) signal() {
	select {
	case t.due <- struct{}{}:
	default:
	}
}

// stop stops the timer. The caller holds the lock.
func (t *dueTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// end stops the timer for good: nothing is signaled any more.
func (t *dueTimer) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.stop()
}
