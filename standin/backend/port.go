package backend

import (
	"context"
	"net/netip"
	"time"

	"github.com/lynxplank/lynxplank/serve"
)

// Port is the stand-in's listener: once the endpoint has ended it breaks every connection and takes none until the next life.
type Port struct {
	b       *Backend
	address netip.AddrPort
	// server is the listener of the present life; run alone uses it between Start and Stop.
	server *serve.Server
	stop   context.CancelFunc
	done   chan error
}

// NewPort returns the stand-in's listener.
func NewPort(b *Backend, address netip.AddrPort) *Port {
	return &Port{b: b, address: address, done: make(chan error, 1)}
}

// Start begins the first life, Unavailable when the address cannot be had.
func (p *Port) Start(ctx context.Context) error {
	if err := p.listen(ctx); err != nil {
		return err
	}
	ctx, p.stop = context.WithCancel(context.Background())
	go func() { p.done <- p.run(ctx) }()
	return nil
}

// Stop takes nothing new and waits for the requests in flight as long as ctx allows.
func (p *Port) Stop(ctx context.Context) error {
	p.stop()
	if err := <-p.done; err != nil {
		return err
	}
	return p.server.Stop(ctx)
}

func (p *Port) listen(ctx context.Context) error {
	p.server = serve.New("endpoint-standin", p.address, serve.WithHandler(p.b))
	return p.server.Start(ctx)
}

// run ends lives and begins new ones until the stand-in stops.
func (p *Port) run(ctx context.Context) error {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case down := <-p.b.ends:
			// Nothing in flight is waited for: that it is cut is what an end means.
			_ = p.server.Stop(ended)
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(down):
			}
		}
		select {
		case <-p.b.ends:
			// It came of the same life.
		default:
		}
		if err := p.listen(ctx); err != nil {
			return err
		}
	}
}

// endLife has the listener end; of several ends at once one counts.
func (b *Backend) endLife(down time.Duration) {
	select {
	case b.ends <- down:
	default:
	}
}
