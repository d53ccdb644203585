package ingress

import (
	"sync"
)

// lateNotifier records whether the current send is overdue. Reports come from a timer or a link at any time and apply
// to the send that is current then.
type lateNotifier struct {
	mu     sync.Mutex
	notify func()
	late   bool
}

// begin starts a send; notify is called when it is overdue.
func (n *lateNotifier) begin(notify func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notify, n.late = notify, false
}

// end ends the send and returns whether it was overdue. Later reports are dropped.
func (n *lateNotifier) end() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notify = nil
	return n.late
}

// note reports that the current send is overdue. It does nothing between sends.
func (n *lateNotifier) note() {
	n.mu.Lock()
	notify := n.notify
	n.late = n.late || notify != nil
	n.mu.Unlock()
	if notify != nil {
		notify()
	}
}
