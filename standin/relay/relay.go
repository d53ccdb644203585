package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lynxplank/lynxplank/fault"
)

// Direction is one of the two directions of a proxied link.
type Direction uint8

// The directions, seen from the side that dials.
const (
	// To is towards the address behind the proxy.
	To Direction = iota
	// From is the way back.
	From
	// Directions is the number of directions.
	Directions
)

// Proxy stands on the way to one address and can hold the bytes of one direction, as a link does that is cut one way:
// what was held arrives late when the link heals.
type Proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	cond     *sync.Cond
	held     [Directions]bool
	delay    time.Duration
	conns    []*net.TCPConn
	accepted int
	// pairs are the connections that are not silent.
	pairs []pair
	tap   func(bytes []byte)
}

// pair is one relayed connection: in is the accepted side, out the dialed one.
type pair struct {
	in, out *net.TCPConn
	silent  *atomic.Bool
	// stalled is set while the connection's bytes are held; the proxy's lock guards it.
	stalled *bool
}

// New returns a proxy on a port of loopback; Unavailable when there is none.
func New(to string) (*Proxy, error) { return NewAt("127.0.0.1:0", to) }

// NewAt returns a proxy on an IP and port; Unavailable when that is not free.
func NewAt(address, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, to, "no port for a proxy")
	}
	p := &Proxy{listener: l, to: to}
	p.cond = sync.NewCond(&p.mu)
	go p.serve()
	return p, nil
}

// Address returns the proxy's own IP and port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		c, ok := p.keep(in, out)
		if !ok {
			continue
		}
		go p.copy(To, c, c.out, c.in)
		go p.copy(From, c, c.in, c.out)
	}
}

// keep records a relayed connection; false if it is not over TCP.
func (p *Proxy) keep(in, out net.Conn) (pair, bool) {
	tcpIn, okIn := in.(*net.TCPConn)
	tcpOut, okOut := out.(*net.TCPConn)
	if !okIn || !okOut {
		return pair{}, false
	}
	c := pair{in: tcpIn, out: tcpOut, silent: new(atomic.Bool), stalled: new(bool)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, tcpIn, tcpOut)
	p.pairs = append(p.pairs, c)
	p.accepted++
	return c, true
}

func (p *Proxy) copy(direction Direction, c pair, dst, src net.Conn) {
	defer func() {
		if !c.silent.Load() {
			_, _ = dst.Close(), src.Close()
		}
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		p.wait(direction, c)
		if c.silent.Load() {
			return
		}
		p.tapped(buf[:n])
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait returns once neither the direction nor the connection is held, after the link's delay.
func (p *Proxy) wait(direction Direction, c pair) {
	p.mu.Lock()
	for p.held[direction] || *c.stalled {
		p.cond.Wait()
	}
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
}

// Accepted returns the number of connections accepted so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Tap shows f all bytes that pass, piece by piece.
func (p *Proxy) Tap(f func(bytes []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tap = f
}

func (p *Proxy) tapped(bytes []byte) {
	p.mu.Lock()
	tap := p.tap
	p.mu.Unlock()
	if tap != nil {
		tap(bytes)
	}
}

// Slow delays what comes from now on, in both directions.
func (p *Proxy) Slow(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// Hold keeps the bytes of one direction back, or lets them go.
func (p *Proxy) Hold(direction Direction, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[direction] = on
	p.cond.Broadcast()
}

// Stall holds the bytes of the connections that are open now, and acknowledges them; new connections work. Without on, all
// connections go on.
func (p *Proxy) Stall(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.pairs {
		*c.stalled = on
	}
	p.cond.Broadcast()
}

// Silence makes every open connection silent for good, as after the loss of a firewall's state: bytes that come on it are
// neither passed on nor acknowledged, and it is not ended. New connections work.
func (p *Proxy) Silence() error { return p.SilenceShare(1, func() float64 { return 0 }) }

// SilenceShare makes a share of the open connections silent, those for which draw returns less than the share.
func (p *Proxy) SilenceShare(share float64, draw func() float64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var open []pair
	for _, c := range p.pairs {
		if draw() >= share {
			open = append(open, c)
			continue
		}
		c.silent.Store(true)
		for _, side := range []*net.TCPConn{c.in, c.out} {
			if err := dropIncoming(side); err != nil {
				return fault.Wrap(err, fault.Internal, p.to, "connection cannot be silenced")
			}
		}
	}
	p.pairs = open
	return nil
}

// dropIncoming has the kernel drop all segments that arrive for a connection. A connection that has ended is left alone.
func dropIncoming(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	var failed error
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
	if err != nil {
		return nil
	}
	return failed
}

// Reset breaks every connection; what was on its way is lost.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		// With no time to linger the close is a reset.
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	p.conns = nil
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.Hold(To, false)
	p.Hold(From, false)
	p.Stall(false)
	_ = p.listener.Close()
	p.Reset()
}
