package node

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/egress"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/ingress"
	"github.com/lynxplank/lynxplank/kernel"
	"github.com/lynxplank/lynxplank/metrics"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/pipeline"
	"github.com/lynxplank/lynxplank/settings"
	"github.com/lynxplank/lynxplank/signals"
	"github.com/lynxplank/lynxplank/standin/network"
	"github.com/lynxplank/lynxplank/table"
	"github.com/lynxplank/lynxplank/upstream"
)

const (
	// stopGrace is when a node is killed after its stop signal; no request that is sent in its later half may be cut by that.
	stopGrace = 6 * time.Second
	// stopSettled is the part of the grace before which the node ends no work by itself.
	stopSettled = stopGrace * 5 / 6
	// linkDelay is the delay of the network.
	linkDelay = 500 * time.Microsecond
	// stopAttempts is how often a route's requests may be dispatched.
	stopAttempts = 3
	// shortNoticeDelay is how long after it was sent a node that runs notices a stop signal at the most, longNoticeDelay one that
	// gets little processor time or is busy with something else.
	shortNoticeDelay, longNoticeDelay = 250 * time.Millisecond, 4 * time.Second
	// signalsBlockedBefore is how long before a stop signal the path of signals is blocked at the most.
	signalsBlockedBefore = 300 * time.Millisecond
	// callersNode is the index of the node that takes the callers' requests, steadyNode of one that is not stopped.
	callersNode, steadyNode = 0, 2
)

// stoppedNode is a node of a drawn stop, on the in-memory network.
type stoppedNode struct {
	*Node
	host    string
	signals time.Time
	killed  bool
	idle    atomic.Int64
	path    *signalPath
	// receiver takes the signals off the path until endSignals is called.
	receiver   *signals.Receiver
	endSignals context.CancelFunc
}

// signalPath is the way of signals to a node. It keeps their order, and lets none through while the node gets no processor time
// for them.
type signalPath struct {
	c chan os.Signal

	mu      sync.Mutex
	blocked time.Time
}

func newSignalPath() *signalPath { return &signalPath{c: make(chan os.Signal, 100)} }

// block lets no signal through until a time.
func (p *signalPath) block(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = until
}

// send has a signal arrive once the path is free.
func (p *signalPath) send(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := time.Until(p.blocked)
	if wait <= 0 {
		p.c <- s
		return nil
	}
	// What waits arrives at one instant: by its number, as the kernel and the runtime do it.
	number, _ := s.(syscall.Signal)
	time.AfterFunc(wait+time.Duration(number), func() { p.c <- s })
	return nil
}

// stopNetwork is the transport of one node.
type stopNetwork struct {
	n    *network.Network
	host string
}

// Dial implements peer.Transport.
func (s stopNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return s.n.Dial(ctx, s.host, address)
}

// Listen implements peer.Transport. The links' window is never full: yamux holds locks while it writes, which virtual time
// would wait for.
func (s stopNetwork) Listen(_ context.Context, address string) (net.Listener, error) {
	l, err := s.n.Listen(address)
	if err != nil {
		return nil, err
	}
	l.SetWindow(math.MaxInt)
	return l, nil
}

// stopHandler serves the peers of a node that has no follower.
type stopHandler struct{ *egress.Egress }

// HandlePoisonReport implements peer.Handler.
func (stopHandler) HandlePoisonReport(*peerpb.Ended) *peerpb.Ended { return nil }

// GrantAllotment implements peer.Handler.
func (stopHandler) GrantAllotment(string, int) (granted int, wait time.Duration) { return 0, 0 }

// Confirm implements peer.Handler.
func (stopHandler) Confirm(context.Context) (config uint64, known bool) { return 0, false }

// Deltas implements peer.Handler.
func (stopHandler) Deltas(table.Revisions, bool) []*peerpb.Delta { return nil }

// drawnStop is a fleet of three nodes, one of which takes requests while it and perhaps another one are stopped.
type drawnStop struct {
	net   *network.Network
	start time.Time
	log   zerolog.Logger
	nodes []*stoppedNode

	mu       sync.Mutex
	random   *rand.Rand
	notes    []string
	requests map[string]*drawnRequest
	// ended is set once no caller sends any more.
	ended atomic.Bool
	// stopAt is when the callers' node is sent its stop signal, maxNoticeDelay how late a node notices one at the most.
	stopAt         time.Time
	maxNoticeDelay time.Duration
}

func (d *drawnStop) draw(low, high time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return low + time.Duration(d.random.Int64N(int64(high-low)))
}

func (d *drawnStop) chance(p float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < p
}

func (d *drawnStop) notef(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notes = append(d.notes, fmt.Sprintf("%7.3f ", time.Since(d.start).Seconds())+fmt.Sprintf(format, args...))
}

// hostOf returns the IP of a node's host.
func hostOf(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

// stopSnapshot returns the table of the fleet: one service with an endpoint beside each node.
func stopSnapshot(t testing.TB, nodes int) *configsync.Snapshot {
	t.Helper()
	snap := &configsync.Snapshot{ByID: make(map[string]table.HostInfo), Ready: true}
	row := func(kind table.Kind, key string, cells ...string) table.Row {
		r, err := table.NewRow(kind, key, cells)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	rows := []table.Row{
		row(table.KindService, "desk"),
		row(table.KindRoute, "all", "desk.example", "/", "desk", "", "", fmt.Sprint(stopAttempts), "", "3s"),
	}
	for i := range nodes {
		name := fmt.Sprintf("h%d", i)
		rows = append(rows, row(table.KindEndpoint, fmt.Sprintf("e%d", i), "desk", name, "hall-1", hostOf(i)+":9000", "8"))
		info := table.HostInfo{ID: name, Hall: "hall-1", Address: hostOf(i) + ":7000"}
		snap.Hosts, snap.ByID[name] = append(snap.Hosts, info), info
		snap.HallHosts = append(snap.HallHosts, name)
	}
	state, err := table.NewState().With(table.Delta{Full: true, To: 1, Rows: rows})
	if err != nil {
		t.Fatal(err)
	}
	snap.State = state
	return snap
}

// startNode starts a node with the parts that have a hand in a planned stop.
func (d *drawnStop) startNode(t testing.TB, i int, snap *configsync.Snapshot) *stoppedNode {
	t.Helper()
	name, host := fmt.Sprintf("h%d", i), hostOf(i)
	log := d.log.With().Str("node", name).Logger()
	transport := stopNetwork{d.net, host}
	cfg := settings.DefaultDaemon()
	cfg.Stop = settings.Stop{
		Grace: settings.Duration(stopGrace), Margin: settings.Duration(600 * time.Millisecond),
		Overrun: settings.Duration(time.Second), Notice: settings.Duration(2800 * time.Millisecond),
	}
	n := &Node{cfg: cfg, lastRead: cfg, log: &log, kernel: kernel.New(), grace: newGrace(cfg.Stop)}
	s := &stoppedNode{Node: n, host: host, path: newSignalPath()}
	s.receiver = signals.NewReceiverOf(s.path.c, func() error { return s.path.send(syscall.SIGWINCH) })
	ctx, endSignals := context.WithCancel(context.Background())
	s.endSignals = endSignals
	go s.receiver.Run(ctx)
	n.schedule = newSchedule(cfg.Stop, s.receiver)
	s.idle.Store(int64(time.Minute))
	n.pauses = clock.NewPauseMonitor(time.Now, func(clock.Pause) {})
	m, err := metrics.New()
	if err != nil {
		t.Fatal(err)
	}
	state := func() *table.State { return snap.State }
	snapshot := func() *configsync.Snapshot { return snap }
	incarnation := uint64(i+1) << 40
	links := peer.NewManager(peer.Config{
		Node: name, Hall: "hall-1", Incarnation: incarnation, Listen: host + ":7000", Heartbeat: 100 * time.Millisecond,
		EchoTimeout: 300 * time.Millisecond, IdleTimeout: time.Minute, MaxConns: 100,
	}, &log, peer.WithTransport(transport))
	pool := upstream.NewPool(upstream.WithDial(func(ctx context.Context, _, address string) (net.Conn, error) {
		return transport.Dial(ctx, address)
	}))
	e := egress.New(egress.Config{
		Host: name, Hall: "hall-1", Incarnation: incarnation, ProbePath: "/", ProbeInterval: time.Second, KeyWindow: time.Minute,
		ConvergenceTime: time.Second, KeyBytes: 1 << 20, NestedFirst: true, ReclaimSlots: true,
	}, &log, state, egress.WithEndpointPool(pool), egress.WithClock(time.Now), egress.WithStop(n.schedule))
	links.Handle(stopHandler{e})
	view := hostView{self: name, snapshot: snapshot, links: links}
	dir := director.New(director.Config{Host: name, Hall: "hall-1", HallHosts: func() []string { return snap.HallHosts }}, &log, state,
		view.draining, view.usable)
	g := ingress.New(ingress.Config{Host: name, Hall: "hall-1", Incarnation: incarnation, NestedFirst: true}, &log, snapshot, dir, links, e, m,
		ingress.WithClock(time.Now), ingress.WithStop(n.schedule))
	callers := pipeline.New(Callers, host+":80", func() pipeline.Limits {
		return pipeline.Limits{
			HeaderBytes: 4 << 10, BodyBytes: 4 << 10, Conns: 1000, HeaderTimeout: time.Second, IdleTimeout: time.Duration(s.idle.Load()),
		}
	}, g, ingress.RefuseUnread(contract.Native{}))
	callers.StopBy(n.schedule)
	callers.ListenWith(func(_ context.Context, address string) (pipeline.Listener, error) { return d.net.Listen(address) })
	for _, c := range []struct {
		name      string
		component any
	}{
		{Pauses, n.pauses}, {Metrics, m}, {Links, links}, {Director, dir}, {Egress, e}, {Ingress, g}, {Callers, callers},
	} {
		n.kernel.Register(c.name, c.component)
	}
	if err := n.kernel.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s
}

// stop sends a stop signal, which the node receives and then handles a little later, and kills the node when its grace is over.
// The signals' path is blocked from a little before the signal on.
func (d *drawnStop) stop(n *stoppedNode, received, handled time.Duration) {
	n.path.block(time.Now().Add(signalsBlockedBefore + received))
	time.Sleep(d.draw(0, signalsBlockedBefore))
	n.path.block(time.Now().Add(received))
	d.mu.Lock()
	n.signals = time.Now()
	d.mu.Unlock()
	d.notef("%s: stop signal, received after %v, handled %v later", n.host, received, handled)
	_ = n.path.send(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-n.receiver.Stops()
		time.Sleep(handled)
		_ = n.Stop()
	}()
	select {
	case <-ended:
		d.notef("%s: ended by itself", n.host)
	case <-time.After(stopGrace):
		d.notef("%s: killed", n.host)
	}
	d.mu.Lock()
	n.killed = true
	d.mu.Unlock()
	d.net.Kill(n.host)
	<-ended
}

// disturb draws what happens beside the stops: links that are reset or go silent, a shorter idle timeout, a reload of the
// settings, a repeated stop signal.
func (d *drawnStop) disturb(n *stoppedNode) {
	for range 3 {
		time.Sleep(d.draw(0, 4*time.Second))
		other := d.nodes[1+int(d.draw(0, 2))]
		d.disturbOnce(n, other, int(d.draw(0, 8)))
	}
}

// disturbOnce has one thing happen between or at two nodes, or nothing.
func (d *drawnStop) disturbOnce(n, other *stoppedNode, kind int) {
	switch kind {
	case 0:
		d.notef("links between %s and %s reset", n.host, other.host)
		d.net.Reset(n.host, other.host)
	case 1:
		d.notef("links between %s and %s silent", n.host, other.host)
		d.net.Silence(n.host, other.host)
	case 2:
		n.idle.Store(int64(10 * time.Millisecond))
		d.notef("%s: shorter idle timeout", n.host)
	case 3:
		cfg := n.cfg
		cfg.Log.Level = "warn"
		n.Reload(cfg, nil)
		d.notef("%s: settings reloaded", n.host)
	case 4:
		n.RestartGrace()
		d.notef("%s: stop signal repeated", n.host)
	}
}

// run plays one drawn stop and returns the promises that were broken.
func (d *drawnStop) run(t *testing.T) []string {
	t.Helper()
	const nodes, callers, idleCallers = 3, 24, 12
	snap := stopSnapshot(t, nodes)
	var endpoints []io.Closer
	for i := range nodes {
		endpoints = append(endpoints, d.startEndpoint(t, i))
		d.nodes = append(d.nodes, d.startNode(t, i, snap))
	}
	var sending, disturbing sync.WaitGroup
	n := d.nodes[callersNode]
	at, other := d.draw(6*time.Second, 8*time.Second), d.draw(0, 12*time.Second)
	d.stopAt = time.Now().Add(at)
	for range callers {
		sending.Go(func() { d.call(n) })
	}
	for range idleCallers {
		sending.Go(func() { d.callAfterIdle(n) })
	}
	var stops sync.WaitGroup
	stops.Go(func() {
		time.Sleep(at)
		d.stop(n, d.draw(0, d.maxNoticeDelay), d.draw(0, d.maxNoticeDelay/4))
	})
	if d.chance(0.7) {
		stops.Go(func() {
			time.Sleep(other)
			d.stop(d.nodes[1], d.draw(0, d.maxNoticeDelay), d.draw(0, d.maxNoticeDelay/4))
		})
	}
	disturbing.Go(func() {
		time.Sleep(at - time.Second)
		d.disturb(n)
	})
	stops.Wait()
	d.ended.Store(true)
	sending.Wait()
	disturbing.Wait()
	broken := d.judge(n)
	for i, node := range d.nodes {
		d.net.Kill(node.host)
		_ = endpoints[i].Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, node := range d.nodes {
		_ = node.kernel.Stop(ctx)
		node.endSignals()
	}
	// What runs on timers ends with its next one.
	time.Sleep(time.Minute)
	return broken
}

// TestDrawnStops guards against answers that are lost around planned stops: the callers' node is stopped, and the node of an
// endpoint before, meanwhile or after, beside callers that send ahead, read slowly or come back on an idle connection, links that
// are reset or go silent, endpoints that hang or fail, and changes of the limits and settings. In the later cases the nodes notice
// their signals late, which guards against requests that are taken in the later half of the grace and cut by the kill.
//
// All cases run in one bubble: yamux keeps timers for its next sessions.
func TestDrawnStops(t *testing.T) {
	const cases = 45
	// The race detector's runtime may end the process when timers of a bubble run on several processors at once.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		for _, maxNoticeDelay := range []time.Duration{shortNoticeDelay, longNoticeDelay} {
			for seed := range uint64(cases) {
				d := &drawnStop{
					net: network.New(linkDelay), start: time.Now(), random: rand.New(rand.NewPCG(seed, 0)), requests: make(map[string]*drawnRequest),
					log: zerolog.Nop(), maxNoticeDelay: maxNoticeDelay,
				}
				if broken := d.run(t); len(broken) > 0 {
					t.Errorf("notice up to %v late, seed %d: got %d broken promises, want none:\n%s\n%s", maxNoticeDelay, seed, len(broken),
						strings.Join(broken, "\n"), strings.Join(d.notes, "\n"))
				}
			}
		}
	})
}
