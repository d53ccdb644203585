package demo

import (
	"net"
	"sync"
	"time"

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
	directions
)

// Proxy stands on the way to one address and can hold the bytes of one direction, as a link does that is cut one way:
// what was held arrives late when the link heals.
type Proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	cond     *sync.Cond
	held     [directions]bool
	delay    time.Duration
	conns    []*net.TCPConn
	tap      func(bytes []byte)
}

// NewProxy returns a proxy on a port of loopback; Unavailable when there is none.
func NewProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
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
		p.keep(in, out)
		go p.copy(To, out, in)
		go p.copy(From, in, out)
	}
}

func (p *Proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			p.conns = append(p.conns, tcp)
		}
	}
}

func (p *Proxy) copy(direction Direction, dst, src net.Conn) {
	defer func() { _, _ = dst.Close(), src.Close() }()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		p.wait(direction)
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

// wait returns once the direction is not held, after the link's delay.
func (p *Proxy) wait(direction Direction) {
	p.mu.Lock()
	for p.held[direction] {
		p.cond.Wait()
	}
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
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
	_ = p.listener.Close()
	p.Reset()
}
