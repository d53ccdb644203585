package ingress

import (
	"sync"
	"time"
)

// dueWatch tells once when the answer to a send is due and missing. The words come from a link or a timer, at any moment.
type dueWatch struct {
	mu    sync.Mutex
	timer *time.Timer
	ended bool
	due   chan struct{}
}

func newDueWatch() *dueWatch { return &dueWatch{due: make(chan struct{}, 1)} }

// in sets when the answer is due from now on; 0 is now. A later word takes the place of an earlier one.
func (w *dueWatch) in(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.stop()
	if d <= 0 {
		w.tell()
		return
	}
	w.timer = time.AfterFunc(d, w.tell)
}

// tell puts the word where it is waited for; a second one says nothing new.
func (w *dueWatch) tell() {
	select {
	case w.due <- struct{}{}:
	default:
	}
}

// stop stops the timer; the lock is held.
func (w *dueWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// end ends the watch: nothing is told any more.
func (w *dueWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.stop()
}
