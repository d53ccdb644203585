package network

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Network connects hosts, which are named by their IP addresses. It is safe for concurrent use.
type Network struct {
	delay time.Duration

	mu        sync.Mutex
	listeners map[netip.AddrPort]*Listener
	conns     map[*Conn]struct{}
	// killed are the hosts whose process has ended.
	killed map[netip.Addr]bool
	// cuts are the directions between two hosts in which packets are lost.
	cuts     map[direction]bool
	nextPort uint16
}

// direction is the way of packets from one host to another.
type direction struct{ from, to netip.Addr }

// New returns a network that delivers after a delay.
func New(delay time.Duration) *Network {
	return &Network{
		delay: delay, listeners: make(map[netip.AddrPort]*Listener), conns: make(map[*Conn]struct{}), killed: make(map[netip.Addr]bool),
		cuts: make(map[direction]bool),
	}
}

const (
	// firstPort is the first port of the dialing sides.
	firstPort = 1024
	// firstDialRetry is the time after which the first lost packet of a new connection is sent again, firstRetransmission that for
	// other packets. Both double with each try.
	firstDialRetry      = time.Second
	firstRetransmission = 200 * time.Millisecond
)

// Listen listens at an IP and port. It fails with EADDRINUSE if something does already.
func (n *Network) Listen(address string) (*Listener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[at] != nil {
		return nil, syscall.EADDRINUSE
	}
	l := newListener(n, at)
	n.listeners[at] = l
	return l, nil
}

// Dial connects a host to an address. It fails with ECONNREFUSED if nothing listens there.
func (n *Network) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	local, err := netip.ParseAddr(from)
	if err != nil {
		return nil, err
	}
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	for tries := time.Duration(1); ; tries *= 2 {
		select {
		case <-time.After(2 * n.delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if !n.isCut(local, at.Addr()) && !n.isCut(at.Addr(), local) {
			break
		}
		select {
		case <-time.After(tries * firstDialRetry):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[at]
	if l == nil || n.killed[local] {
		return nil, syscall.ECONNREFUSED
	}
	n.nextPort++
	a, b := newPair(n, l.window, netip.AddrPortFrom(local, firstPort+n.nextPort), at)
	n.conns[a], n.conns[b] = struct{}{}, struct{}{}
	l.deliver(b)
	return a, nil
}

// Kill ends the process of a host as the system does: its listeners and connections are closed.
func (n *Network) Kill(host string) {
	at := netip.MustParseAddr(host)
	n.mu.Lock()
	n.killed[at] = true
	for address, l := range n.listeners {
		if address.Addr() == at {
			delete(n.listeners, address)
			l.close()
		}
	}
	n.mu.Unlock()
	for _, c := range n.between(func(local, _ netip.Addr) bool { return local == at }) {
		_ = c.Close()
	}
}

// Reset resets the connections that are open between two hosts.
func (n *Network) Reset(a, b string) {
	for _, c := range n.between(connects(a, b)) {
		c.in.fail(syscall.ECONNRESET, time.Now())
	}
}

// Silence has the connections that are open between two hosts deliver nothing any more, without a reset.
func (n *Network) Silence(a, b string) {
	for _, c := range n.between(connects(a, b)) {
		c.in.silence()
	}
}

// SilenceAll has all connections that are open deliver nothing any more, without a reset.
func (n *Network) SilenceAll() {
	for _, c := range n.between(func(_, _ netip.Addr) bool { return true }) {
		c.in.silence()
	}
}

// Cut has all packets from one host to another be lost, also those of new connections, until Heal. A stream goes on with its next
// retransmission after that.
func (n *Network) Cut(from, to string) {
	d := direction{netip.MustParseAddr(from), netip.MustParseAddr(to)}
	n.mu.Lock()
	n.cuts[d] = true
	n.mu.Unlock()
	for _, c := range n.between(func(local, remote netip.Addr) bool { return remote == d.from && local == d.to }) {
		c.in.setCut(true)
	}
}

// Heal restores the way from one host to another.
func (n *Network) Heal(from, to string) {
	d := direction{netip.MustParseAddr(from), netip.MustParseAddr(to)}
	n.mu.Lock()
	delete(n.cuts, d)
	n.mu.Unlock()
	for _, c := range n.between(func(local, remote netip.Addr) bool { return remote == d.from && local == d.to }) {
		c.in.setCut(false)
	}
}

func (n *Network) isCut(from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[direction{from, to}]
}

func connects(a, b string) func(local, remote netip.Addr) bool {
	x, y := netip.MustParseAddr(a), netip.MustParseAddr(b)
	return func(local, remote netip.Addr) bool { return local == x && remote == y || local == y && remote == x }
}

// between returns the connections whose hosts match.
func (n *Network) between(match func(local, remote netip.Addr) bool) []*Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*Conn
	for c := range n.conns {
		if match(c.local.Addr(), c.remote.Addr()) {
			list = append(list, c)
		}
	}
	return list
}

func (n *Network) forget(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// remove removes a listener that was closed.
func (n *Network) remove(l *Listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.address] == l {
		delete(n.listeners, l.address)
	}
}
