package demo

import (
	"net"
	"sync"
	"testing"
	"time"
)

// proxy stands on the way to one node's peer listener and can hold the bytes of one direction, as a link does that is
// cut one way: what was held arrives late when the link heals.
type proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	cond     *sync.Cond
	held     map[string]bool
	delay    time.Duration
	conns    []net.Conn
}

func newProxy(t *testing.T, to string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, to: to, held: make(map[string]bool)}
	p.cond = sync.NewCond(&p.mu)
	go p.serve()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) serve() {
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
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		go p.copy("to", out, in)
		go p.copy("from", in, out)
	}
}

func (p *proxy) copy(direction string, dst, src net.Conn) {
	defer func() { _, _ = dst.Close(), src.Close() }()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		p.wait(direction)
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
func (p *proxy) wait(direction string) {
	p.mu.Lock()
	for p.held[direction] {
		p.cond.Wait()
	}
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
}

// slow delays what comes from now on, in both directions.
func (p *proxy) slow(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

func (p *proxy) hold(direction string, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[direction] = on
	p.cond.Broadcast()
}

func (p *proxy) close() {
	p.hold("to", false)
	p.hold("from", false)
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}
