package ingress

import (
	"sync"
)

// lateWatch notes whether the send under way is overdue. The word comes from a timer or from a link, at any moment, and
// counts for the send that is under way then.
type lateWatch struct {
	mu   sync.Mutex
	tell func()
	late bool
}

// begin starts a send, of which tell is called when it is overdue.
func (w *lateWatch) begin(tell func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tell, w.late = tell, false
}

// end ends a send and returns whether it was overdue; what is told later is dropped.
func (w *lateWatch) end() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tell = nil
	return w.late
}

// note tells that the send under way is overdue; without one it does nothing.
func (w *lateWatch) note() {
	w.mu.Lock()
	tell := w.tell
	w.late = w.late || tell != nil
	w.mu.Unlock()
	if tell != nil {
		tell()
	}
}
