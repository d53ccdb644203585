package ingress

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// Stage is how far a request has come.
type Stage string

// The stages.
const (
	// StageWaiting is a request that no endpoint has: one is chosen or asked for a slot, or another send may follow.
	StageWaiting Stage = "waiting"
	// StageRunning is a request that an endpoint may be working on.
	StageRunning Stage = "running"
	// StageAnswering is a request whose answer has begun to go to its caller.
	StageAnswering Stage = "answering"
)

// Request is one that is under way at this node.
type Request struct {
	// ID is the caller's or the node's own.
	ID string
	// Stage is how far it has come, Endpoint the one that had it last, "" for none.
	Stage    Stage
	Endpoint string
	// After is how long ago it came.
	Age time.Duration
}

// progress is how far one request has come, for whoever stops the node.
//
// Invariant: once it is closed, no endpoint gets the request.
type progress struct {
	mu sync.Mutex
	// running counts the sends that endpoints may be working on.
	running  int
	begun    bool
	endpoint string
	closed   bool
	// waits are what of the request waits and may end early: by its send, nil for the choice of an endpoint.
	waits map[*answer]context.CancelFunc
	// lost are the sends whose answers can be asked for again: those under a key, and those whose links broke.
	lost map[*answer]context.CancelFunc
}

// wait returns a context for a part of the request that ends with its close, until an endpoint gets it; done has to be called.
func (p *progress) wait(ctx context.Context, send *answer) (waiting context.Context, done func()) {
	waiting, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		cancel()
	}
	hold(&p.waits, send, cancel)
	return waiting, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		cancel()
		delete(p.waits, send)
	}
}

// ask returns a context for a send whose answer can be asked for again; done has to be called.
func (p *progress) ask(ctx context.Context, send *answer) (asking context.Context, done func()) {
	asking, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	hold(&p.lost, send, cancel)
	return asking, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		cancel()
		delete(p.lost, send)
	}
}

func hold(m *map[*answer]context.CancelFunc, send *answer, cancel context.CancelFunc) {
	if *m == nil {
		*m = make(map[*answer]context.CancelFunc)
	}
	(*m)[send] = cancel
}

// handOver notes that an endpoint is about to get a send, and tells whether it may.
func (p *progress) handOver(send *answer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	delete(p.waits, send)
	p.running++
	p.endpoint = send.endpoint
	return true
}

// returned notes that a send which was handed over has ended.
func (p *progress) returned() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

// begin notes that an answer begins to go to the caller.
func (p *progress) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun = true
}

// close keeps the request from endpoints from now on; what of it waits ends.
func (p *progress) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, cancel := range p.waits {
		cancel()
	}
}

func (p *progress) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// giveUpLost ends the waiting for answers that callers can ask for again, or whose links broke, unless one has begun to go to the caller.
func (p *progress) giveUpLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.begun {
		return
	}
	for _, cancel := range p.lost {
		cancel()
	}
}

// stage returns how far the request has come and the endpoint that had it last.
func (p *progress) stage() (Stage, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.begun:
		return StageAnswering, p.endpoint
	case p.running > 0:
		return StageRunning, p.endpoint
	}
	return StageWaiting, p.endpoint
}

// leastWork is the least time that a hand-over leaves for the work and its answer before the node has to end.
const leastWork = 100 * time.Millisecond

// underWay holds the requests that are under way.
type underWay struct {
	mu  sync.Mutex
	all map[*exchange]struct{}
	// until is when the node may end, the zero time while it is not stopping.
	until time.Time
}

func (u *underWay) add(x *exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.all == nil {
		u.all = make(map[*exchange]struct{})
	}
	u.all[x] = struct{}{}
	if !u.until.IsZero() {
		x.closeFor(u.until)
	}
}

func (u *underWay) remove(x *exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.all, x)
	if x.closing != nil {
		x.closing.Stop()
	}
}

// closeFor keeps the request from endpoints once ordinary work could no longer end before the node may.
func (x *exchange) closeFor(end time.Time) {
	work := x.g.routes.ordinary(x.call.route.Key, x.aim())
	left := time.Until(end) - max(work, leastWork)
	if left <= 0 {
		x.progress.close()
		return
	}
	x.closing = time.AfterFunc(left, x.progress.close)
}

// HandOverUntil has each request that no endpoint has refused as not run while that can still be told, given when the node may end at the
// earliest. An endpoint that got it later would mostly see it cut, and another node can still serve it.
func (g *Ingress) StopDispatchBefore(end time.Time) {
	g.underWay.mu.Lock()
	defer g.underWay.mu.Unlock()
	g.underWay.until = end
	for x := range g.underWay.all {
		x.closeFor(end)
	}
}

// GiveUpLost has callers told at once that the fate of their requests is unknown where no answer has come so far and the end of the node ends no
// work: under a key, and where a link broke after the hand-over.
func (g *Ingress) AbandonRecoverable() {
	g.underWay.mu.Lock()
	defer g.underWay.mu.Unlock()
	for x := range g.underWay.all {
		x.progress.giveUpLost()
	}
}

// UnderWay returns the requests that are under way, the oldest first.
func (g *Ingress) InFlight() []Request {
	g.underWay.mu.Lock()
	defer g.underWay.mu.Unlock()
	out := make([]Request, 0, len(g.underWay.all))
	for x := range g.underWay.all {
		stage, endpoint := x.progress.stage()
		out = append(out, Request{ID: x.call.id, Stage: stage, Endpoint: endpoint, Age: time.Since(x.start)})
	}
	slices.SortFunc(out, func(a, b Request) int { return cmp.Compare(b.Age, a.Age) })
	return out
}
