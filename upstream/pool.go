package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lynxplank/lynxplank/dialer"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/memory"
)

// Limits of the connections to endpoints.
const (
	// connectTimeout bounds a new connection to an endpoint beside this node, which takes about a millisecond.
	connectTimeout = time.Second
	// ackTimeout bounds the time in which an endpoint beside this node acknowledges what it was sent; its kernel does so
	// within milliseconds even while the endpoint is suspended.
	ackTimeout = time.Second
	// mostIdle bounds the connections kept for one endpoint.
	mostIdle = 64
)

// Pool keeps connections to endpoints; it is safe for concurrent use.
type Pool struct {
	dial Dial
	mu   sync.Mutex
	// idle are the kept connections by the endpoint's address, the one used last at the end.
	idle map[string][]*conn
}

// Dial opens a connection to an endpoint's address, an IP and port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a Pool.
type Option func(*Pool)

// WithDial replaces the opening of TCP connections.
func WithDial(dial Dial) Option { return func(p *Pool) { p.dial = dial } }

// NewPool returns a pool without connections.
func NewPool(opts ...Option) *Pool {
	p := &Pool{dial: dialer.New(connectTimeout, ackTimeout).DialContext, idle: make(map[string][]*conn)}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Do sends a request and returns the start of its answer. It fails with EndpointUnreachable when the request was provably
// not handed over, and with EndpointCut or Canceled when it may have been.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	c, err := p.take(ctx, r)
	if err != nil {
		return nil, fault.Wrap(err, fault.EndpointUnreachable, r.Address, "endpoint takes no connection")
	}
	resp := &Response{conn: c, pool: p}
	resp.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	err = resp.send(r)
	if err == nil {
		err = resp.find(ctx, r)
	}
	if err != nil {
		resp.discard()
		if IsSilent(err) {
			p.dropIdle(r.Address)
		}
		return nil, cut(ctx, r, err)
	}
	return resp, nil
}

// IsSilent reports whether a request failed because its connection had gone silent: the endpoint may have received it, and nothing
// is known of the endpoint itself.
func IsSilent(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }

// cut says how a request ended whose connection broke off after the request may have been handed over.
func cut(ctx context.Context, r Request, err error) error {
	if ctx.Err() == context.Canceled {
		return fault.Wrap(err, fault.Canceled, r.Address, "request was broken off")
	}
	if ctx.Err() != nil {
		return fault.Wrap(err, fault.DeadlineExceeded, r.Address, "endpoint did not answer in time")
	}
	return fault.Wrap(err, fault.EndpointCut, r.Address, "endpoint broke off")
}

// take returns a kept connection that is still good, else a new one.
func (p *Pool) take(ctx context.Context, r Request) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(r.Address)
		if c == nil {
			break
		}
		idle := now.Sub(c.idleSince)
		if idle < c.idleLimit && (r.Fresh == 0 || idle < r.Fresh) && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := p.dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	memory.LimitSocketBuffers(raw)
	return newConn(raw, r.Address), nil
}

// pop takes out the kept connection that was used last, nil if there is none.
func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for another request.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= mostIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// dropIdle closes the kept connections to an address: what silenced one of them has probably silenced all.
func (p *Pool) dropIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// CloseIdle closes the connections that carry nothing.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
}

// Refuses tells whether an endpoint's address refuses a new connection, as it does once the endpoint has ended; false while that cannot
// be said.
func Refuses(ctx context.Context, address string) bool {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
