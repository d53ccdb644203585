package node

import (
	"context"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/announce"
	"github.com/lynxplank/lynxplank/egress"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/ingress"
	"github.com/lynxplank/lynxplank/kernel"
	"github.com/lynxplank/lynxplank/metrics"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/pipeline"
	"github.com/lynxplank/lynxplank/settings"
)

// grace is the time that a planned stop may take.
type grace struct {
	// sure is how long after a signal the node surely lives, most how long it goes on with work at the most.
	sure, most time.Duration

	mu    sync.Mutex
	began time.Time
	timer *time.Timer
}

func newGrace(cfg settings.Stop) *grace {
	return &grace{sure: cfg.Grace.Std() - cfg.Margin.Std(), most: cfg.Grace.Std() + cfg.Overrun.Std()}
}

// begin counts the time from now on and returns a context that ends with the most of it.
func (g *grace) begin() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.began = time.Now()
	g.timer = time.AfterFunc(g.most, cancel)
	return ctx, cancel
}

// renew counts the most anew and returns how long ago the stop began; false if it has not.
//
// Whoever sends the signal waits for the whole grace after it. A stop that went by the first signal alone would cut requests for which there
// is time.
func (g *grace) renew() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer == nil {
		return 0, false
	}
	g.timer.Reset(g.most)
	return time.Since(g.began), true
}

// until returns the end of the time that is sure. It counts from the first signal, as the node may be killed by that one.
func (g *grace) until() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.began.Add(g.sure)
}

// Stop is the planned stop: the node makes each caller's next answer the connection's last and goes on with everything for the
// notice, in which callers and peers find their way elsewhere; then it tells its peers, takes nothing new for the endpoint beside
// it, refuses what no endpoint has and stops once the rest has ended. It fails when something did not end within grace and overrun.
//
// Invariant: within that time the node ends nothing that an endpoint works on. When its time is really over only whoever stops it knows, and
// kills it then; a node that ends work by a clock of its own may be too early.
//
// The endpoint lives on without its node. When its door was shut from the first moment on, a roll through a third of a fleet took
// 4 of 10 sound endpoints out of use for two seconds.
func (n *Node) Stop() error {
	start := time.Now()
	events.NodeStopping.Log(n.log).Send()
	n.stopping.Store(true)
	ctx, cancel := n.grace.begin()
	defer cancel()
	callers, err := kernel.Lookup[*pipeline.Server](n.kernel, Callers)
	if err != nil {
		return err
	}
	g, err := kernel.Lookup[*ingress.Ingress](n.kernel, Ingress)
	if err != nil {
		return err
	}
	g.StopDispatchBefore(n.grace.until())
	callers.Drain()
	if err := n.withdrawWithEndpoint(); err != nil {
		return err
	}
	n.awaitNotice(ctx, start)
	if err := n.announceStop(); err != nil {
		return err
	}
	if err := n.awaitCallers(ctx, callers, g); err != nil {
		return err
	}
	if err := n.kernel.Stop(ctx); err != nil {
		events.StopCut.Log(n.log).Err(err).Send()
		return err
	}
	events.NodeStopped.Log(n.log).Dur("after", time.Since(start)).Send()
	return nil
}

// StopAgain grants a planned stop that has begun the whole grace once more; what has ended stays so.
func (n *Node) RestartGrace() {
	if after, begun := n.grace.renew(); begun {
		events.StopRepeated.Log(n.log).Dur("after", after).Send()
	}
}

// withdrawWithEndpoint takes the host's line out of the table if the endpoint beside it has left for good, and the host with it.
func (n *Node) withdrawWithEndpoint() error {
	if n.announced == nil || n.announced.Count() == 0 || n.announced.HasActive() {
		return nil
	}
	a, err := kernel.Lookup[*announce.Announcer](n.kernel, Announcer)
	if err == nil {
		a.Withdraw()
	}
	return err
}

// announceStop tells the peers that the node takes nothing new for its endpoint, and takes nothing.
func (n *Node) announceStop() error {
	links, err := kernel.Lookup[*peer.Manager](n.kernel, Links)
	if err != nil {
		return err
	}
	e, err := kernel.Lookup[*egress.Egress](n.kernel, Egress)
	if err != nil {
		return err
	}
	links.AnnounceDraining()
	e.Close()
	return nil
}

// stopLook is the time between two looks at whether callers still have requests here.
const stopLook = 20 * time.Millisecond

// awaitNotice serves on until the notice is over: callers learn only after some seconds that the node is going, and their
// connections may carry new requests until then.
func (n *Node) awaitNotice(ctx context.Context, start time.Time) {
	notice := time.NewTimer(n.cfg.Stop.Notice.Std() - time.Since(start))
	defer notice.Stop()
	select {
	case <-ctx.Done():
	case <-notice.C:
	}
}

// lastWords is the time before the end of what is sure in which callers are told what cannot be learned any more.
const lastWords = 100 * time.Millisecond

// awaitCallers refuses new requests, so that what was taken has the rest of the time to end in; callers may have nowhere else to
// go and never stop sending.
func (n *Node) awaitCallers(ctx context.Context, callers *pipeline.Server, g *ingress.Ingress) error {
	callers.Refuse()
	lost := time.AfterFunc(time.Until(n.grace.until().Add(-lastWords)), g.AbandonRecoverable)
	defer lost.Stop()
	for told := false; ctx.Err() == nil && callers.InFlight() > 0; time.Sleep(stopLook) {
		if told || time.Now().Before(n.grace.until()) {
			continue
		}
		told = true
		if err := n.tellOutlasting(callers, g); err != nil {
			return err
		}
	}
	return nil
}

// stageBehind is a request that has not begun because another one on its connection has no answer yet.
const stageBehind = "behind"

// tellOutlasting logs and counts the callers' requests that are still under way.
func (n *Node) tellOutlasting(callers *pipeline.Server, g *ingress.Ingress) error {
	m, err := kernel.Lookup[*metrics.Metrics](n.kernel, Metrics)
	if err != nil {
		return err
	}
	for _, r := range g.InFlight() {
		m.StopOutlasted(string(r.Stage), 1)
		events.RequestOutlasts.Log(n.log).Str("request", r.ID).Str("stage", string(r.Stage)).Str("endpoint", r.Endpoint).
			Dur("after", r.Age).Send()
	}
	if behind := callers.Unstarted(); behind > 0 {
		m.StopOutlasted(stageBehind, int64(behind))
		events.RequestOutlasts.Log(n.log).Str("stage", stageBehind).Int("count", behind).Send()
	}
	return nil
}
