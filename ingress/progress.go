package ingress

import (
	"cmp"
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
	After time.Duration
}

// progress is how far one request has come, for whoever stops the node.
type progress struct {
	mu sync.Mutex
	// running counts the sends that endpoints may be working on.
	running  int
	begun    bool
	endpoint string
}

// handOver notes that an endpoint is about to get the request, and tells whether it may.
func (p *progress) handOver(endpoint string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	p.endpoint = endpoint
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

// underWay holds the requests that are under way.
type underWay struct {
	mu  sync.Mutex
	all map[*exchange]struct{}
}

func (u *underWay) add(x *exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.all == nil {
		u.all = make(map[*exchange]struct{})
	}
	u.all[x] = struct{}{}
}

func (u *underWay) remove(x *exchange) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.all, x)
}

// UnderWay returns the requests that are under way, the oldest first.
func (g *Ingress) UnderWay() []Request {
	g.underWay.mu.Lock()
	defer g.underWay.mu.Unlock()
	out := make([]Request, 0, len(g.underWay.all))
	for x := range g.underWay.all {
		stage, endpoint := x.progress.stage()
		out = append(out, Request{ID: x.call.id, Stage: stage, Endpoint: endpoint, After: time.Since(x.start)})
	}
	slices.SortFunc(out, func(a, b Request) int { return cmp.Compare(b.After, a.After) })
	return out
}
