package node

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
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
	"github.com/lynxplank/lynxplank/shutdown"
)

// grace tracks how long a planned stop may take.
type grace struct {
	// maxTime is how long the node finishes work at the most, unless it is killed earlier.
	maxTime time.Duration

	mu    sync.Mutex
	timer *time.Timer
}

func newGrace(cfg settings.Stop) *grace {
	return &grace{maxTime: cfg.Grace.Std() + cfg.Overrun.Std()}
}

// newSchedule returns the schedule of a node's planned stop. It counts from the first stop signal, as the node may be killed when
// the grace of that signal is over.
func newSchedule(cfg settings.Stop, s shutdown.Signals, opts ...shutdown.Option) *shutdown.Schedule {
	return shutdown.NewSchedule(shutdown.NewPlan(cfg.Grace.Std(), cfg.Margin.Std(), cfg.Notice.Std()), s, opts...)
}

// applyStop applies the bounds of the planned stop that have passed, or that may pass in another pause of the process.
func (n *Node) applyStop(callers *pipeline.Server, g *ingress.Ingress) {
	g.ApplyStop()
	if n.schedule.Settled() {
		callers.ReleaseBlocked()
	}
}

// begin returns a context that is canceled after maxTime.
func (g *grace) begin() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(g.maxTime, cancel)
	return ctx, cancel
}

// renew lets maxTime count from now; it returns false if the stop has not begun.
//
// The sender of a repeated stop signal waits for the whole grace period again. A stop that counted from the first signal
// alone would cut off requests that still have time.
func (g *grace) renew() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer == nil {
		return false
	}
	g.timer.Reset(g.maxTime)
	return true
}

// Stop runs the planned stop. The node closes each caller's connection with its next answer and serves as before for the
// notice period, in which callers and peers move to other nodes. Then it informs its peers, takes no new requests for the
// endpoint beside it, refuses requests that no endpoint has received, and stops once the remaining requests have ended. It
// fails if a request or a component did not end within grace and overrun.
//
// Invariant: within grace and overrun the node cuts off no request that an endpoint is working on, but for those that hold up
// answers which are ready, at the end of the grace. Only the process manager knows when the time is really over, and kills the
// node then; a node that cut requests off by its own clock could be too early.
//
// The endpoint outlives its node, so it stays in use during the notice. When the node refused requests for the endpoint from
// the start of the stop, a rolling restart of a third of a fleet took 4 of 10 healthy endpoints out of use for two seconds.
func (n *Node) Stop() error {
	start := time.Now()
	plan := n.schedule.Begin()
	ctx, cancel := n.grace.begin()
	defer cancel()
	events.NodeStopping.Log(n.log).Dur("signal_age", start.Sub(plan.SignaledAt())).Dur("received_ago", start.Sub(plan.ReceivedAt())).
		Time("notice_end", plan.NoticeEnd()).Send()
	callers, err := kernel.Lookup[*pipeline.Server](n.kernel, Callers)
	if err != nil {
		return err
	}
	g, err := kernel.Lookup[*ingress.Ingress](n.kernel, Ingress)
	if err != nil {
		return err
	}
	g.StopDispatchBefore(plan.GuaranteedEnd())
	callers.Drain()
	if err := n.withdrawWithEndpoint(); err != nil {
		return err
	}
	n.awaitNotice(ctx, plan)
	if err := n.announceStop(); err != nil {
		return err
	}
	if err := n.awaitCallers(ctx, plan, callers, g); err != nil {
		return err
	}
	if err := n.kernel.Stop(ctx); err != nil {
		events.StopCut.Log(n.log).Err(err).Send()
		return err
	}
	events.NodeStopped.Log(n.log).Dur("after", time.Since(start)).Int64("late_requests", callers.LateRequests()).Send()
	return nil
}

// RestartGrace handles a repeated stop signal: a planned stop that has begun gets the whole grace and overrun again. It
// resumes nothing that has already ended.
func (n *Node) RestartGrace() {
	if plan, begun := n.schedule.Plan(); begun && n.grace.renew() {
		events.StopRepeated.Log(n.log).Dur("after", time.Since(plan.SignaledAt())).Send()
	}
}

// withdrawWithEndpoint removes the host's announcement from the table if the endpoint beside the node announced itself, is no
// longer active and has ended: then the host is being removed together with the endpoint.
//
// Invariant: the announcement of a draining endpoint that may still run stays, because a later run of the node knows from it
// alone that the endpoint drains. If the host is removed nevertheless, another node removes the announcement.
func (n *Node) withdrawWithEndpoint() error {
	if n.announced == nil || n.announced.HasActive() {
		return nil
	}
	addresses := n.announced.Addresses()
	if len(addresses) == 0 || slices.ContainsFunc(addresses, mayListen) {
		return nil
	}
	a, err := kernel.Lookup[*announce.Announcer](n.kernel, Announcer)
	if err == nil {
		a.Withdraw()
	}
	return err
}

// listenCheckTimeout bounds how long a stop waits for a connection to the endpoint on its own host.
const listenCheckTimeout = 100 * time.Millisecond

// mayListen reports whether a process may be listening at an address on this host: it does unless it refuses a connection.
func mayListen(address string) bool {
	c, err := net.DialTimeout("tcp", address, listenCheckTimeout)
	if err == nil {
		_ = c.Close()
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}

// announceStop informs the peers that the node takes no new requests for its endpoint, and refuses such requests from now on.
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

// stopPollInterval is the time between two checks whether callers' requests are still in flight.
const stopPollInterval = 20 * time.Millisecond

// awaitNotice waits until the notice period is over, while the node keeps serving: callers learn only after some seconds that
// the node is stopping, and may send new requests on their connections until then.
func (n *Node) awaitNotice(ctx context.Context, plan shutdown.Plan) {
	notice := time.NewTimer(time.Until(plan.NoticeEnd()))
	defer notice.Stop()
	select {
	case <-ctx.Done():
	case <-notice.C:
	}
}

// awaitCallers refuses new requests and waits until the accepted ones have ended. It refuses because callers without another
// node to use might never stop sending, and accepted requests need the remaining time. Shortly before the node may be killed,
// every answer is given that does not depend on an endpoint at work.
func (n *Node) awaitCallers(ctx context.Context, plan shutdown.Plan, callers *pipeline.Server, g *ingress.Ingress) error {
	callers.Refuse()
	settle := time.AfterFunc(time.Until(plan.SettleAt()), func() {
		g.Settle()
		callers.ReleaseBlocked()
	})
	defer settle.Stop()
	for reported := false; ctx.Err() == nil && callers.InFlight() > 0; time.Sleep(stopPollInterval) {
		if n.pauses.Recent() > 0 {
			n.applyStop(callers, g)
		}
		if reported || time.Now().Before(plan.GuaranteedEnd()) {
			continue
		}
		reported = true
		if err := n.reportOutlasting(plan, callers, g); err != nil {
			return err
		}
	}
	return nil
}

const (
	// stageBehind is the stage of a request that has not begun because an earlier request on its connection has no answer yet.
	stageBehind = "behind"
	// stageAnswered is the stage of a request whose answer waits for that of an earlier request on its connection.
	stageAnswered = "answered"
)

// reportOutlasting logs and counts the callers' requests that are still in flight at the guaranteed end.
func (n *Node) reportOutlasting(plan shutdown.Plan, callers *pipeline.Server, g *ingress.Ingress) error {
	m, err := kernel.Lookup[*metrics.Metrics](n.kernel, Metrics)
	if err != nil {
		return err
	}
	answered := make(map[string]bool)
	for _, id := range callers.Blocked() {
		answered[id] = true
		m.StopOutlasted(stageAnswered, 1)
		events.RequestOutlasts.Log(n.log).Str("request", id).Str("stage", stageAnswered).Send()
	}
	for _, r := range g.InFlight() {
		if answered[r.ID] {
			continue
		}
		m.StopOutlasted(string(r.Stage), 1)
		events.RequestOutlasts.Log(n.log).Str("request", r.ID).Str("stage", string(r.Stage)).Str("endpoint", r.Endpoint).
			Dur("after", r.Age).Dur("read_after_signal", r.ReadAt.Sub(plan.SignaledAt())).Send()
	}
	if behind := callers.Unstarted(); behind > 0 {
		m.StopOutlasted(stageBehind, int64(behind))
		events.RequestOutlasts.Log(n.log).Str("stage", stageBehind).Int("count", behind).Send()
	}
	return nil
}
