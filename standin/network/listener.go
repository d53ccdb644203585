package network

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// Listener accepts connections at one address.
type Listener struct {
	n       *Network
	address netip.AddrPort
	window  int

	mu       sync.Mutex
	changed  *sync.Cond
	queue    []*Conn
	closed   bool
	deadline time.Time
}

func newListener(n *Network, address netip.AddrPort) *Listener {
	l := &Listener{n: n, address: address, window: defaultWindow}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// SetWindow sets how many bytes of each direction of the connections that are opened from now on may be under way or unread
// before a writer waits.
func (l *Listener) SetWindow(bytes int) {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	l.window = bytes
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		switch {
		case len(l.queue) > 0:
			c := l.queue[0]
			l.queue = l.queue[1:]
			return c, nil
		case l.closed:
			return nil, net.ErrClosed
		case !l.deadline.IsZero() && !time.Now().Before(l.deadline):
			return nil, os.ErrDeadlineExceeded
		}
		l.changed.Wait()
	}
}

// SetDeadline bounds Accept; a connection that waits in the queue is accepted all the same.
func (l *Listener) SetDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline = t
	if !t.IsZero() {
		time.AfterFunc(time.Until(t), l.changed.Broadcast)
	}
	return nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.n.remove(l)
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

func (l *Listener) deliver(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, c)
	l.changed.Broadcast()
}

func (l *Listener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, c := range l.queue {
		go func() { _ = c.Close() }()
	}
	l.queue = nil
	l.changed.Broadcast()
}
