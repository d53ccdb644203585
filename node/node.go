package node

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest"

	"github.com/lynxplank/lynxplank/announce"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/egress"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/ingress"
	"github.com/lynxplank/lynxplank/kernel"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/metrics"
	"github.com/lynxplank/lynxplank/operator"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/pipeline"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/quarantine"
	"github.com/lynxplank/lynxplank/ratelimit"
	"github.com/lynxplank/lynxplank/registry"
	"github.com/lynxplank/lynxplank/serve"
	"github.com/lynxplank/lynxplank/settings"
	"github.com/lynxplank/lynxplank/skipped"
	"github.com/lynxplank/lynxplank/table"
)

// The names by which a node's services find each other.
const (
	// Links is the peer.Manager.
	Links = "links"
	// Follower is the configsync.Follower.
	Follower = "follower"
	// Announcer is the announce.Announcer.
	Announcer = "announcer"
	// Restorer asks the endpoint beside a restarted node who it is.
	Restorer = "restorer"
	// Keeper is the quarantine.Keeper.
	Keeper = "keeper"
	// Reaper is the announce.Reaper.
	Reaper = "reaper"
	// Director is the director.Director.
	Director = "director"
	// Egress is the egress.Egress.
	Egress = "egress"
	// Operators is the operators' serve.Server.
	Operators = "operators"
	// Ingress is the ingress.Ingress.
	Ingress = "ingress"
	// Callers is the callers' serve.Server.
	Callers = "callers"
	// Metrics is the metrics.Metrics.
	Metrics = "metrics"
	// Sampler brings into the metrics what the other services hold.
	Sampler = "sampler"
	// Heartbeats is the endpoints' serve.Server.
	Heartbeats = "heartbeats"
	// Readiness is the serve.Server that tells whether the node may get callers.
	Readiness = "readiness"
)

// Node is one process of the fleet.
type Node struct {
	cfg settings.Daemon
	log *zerolog.Logger
	// out is where the log goes.
	out    io.Writer
	kernel *kernel.Kernel
	// seen are the settings as they were last read, badReload what was wrong with a file that could not be.
	seen      settings.Daemon
	badReload string
	level     levelHook
	// stopping is set once the planned stop has begun.
	stopping atomic.Bool
	// grace is the time that the planned stop may take.
	grace *grace
	// announced holds the endpoints that announce themselves, nil where they are rows of the table.
	announced *registry.Registry
	// budget is what the node may hold of bodies.
	budget *memory.Budget
	// leftOut are the entries that could not be understood.
	leftOut *skipped.List
}

// levelHook drops what is below a level that may change.
type levelHook struct {
	atomic.Int32
}

// Run implements zerolog.Hook.
func (h *levelHook) Run(e *zerolog.Event, level zerolog.Level, _ string) {
	if level < zerolog.Level(h.Load()) { //nolint:gosec // a level
		e.Discard()
	}
}

// New builds a node; nothing runs or listens before Start.
func New(cfg settings.Daemon, out io.Writer) (*Node, error) {
	level, err := zerolog.ParseLevel(cfg.Log.Level)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSetting, "log.level", "no such level")
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	n := &Node{cfg: cfg, seen: cfg, out: out, kernel: kernel.New(), grace: newGrace(cfg.Stop)}
	n.level.Store(int32(level))
	log := zerolog.New(out).Hook(&n.level).With().Timestamp().Str("node", cfg.Node.ID).Logger()
	n.log = &log
	n.leftOut = skipped.New(n.log)
	n.budget = memory.New(cfg.Memory.Bodies())
	if err := n.build(); err != nil {
		return nil, err
	}
	return n, nil
}

// build makes the node's parts and registers them with the kernel.
func (n *Node) build() error {
	incarnation := rand.Uint64() //nolint:gosec // tells two lives apart, no secret
	config, err := n.tls()
	if err != nil {
		return err
	}
	m, err := metrics.New()
	if err != nil {
		return err
	}
	for _, stage := range []string{string(ingress.StageWaiting), string(ingress.StageRunning), string(ingress.StageAnswering), stageBehind} {
		m.StopOutlasted(stage, 0)
	}
	var follower *configsync.Follower
	links := peer.NewManager(n.peerConfig(incarnation, config), n.log,
		peer.WithRevisionHook(func(name string, revisions table.Revisions) { follower.Hint(name, revisions) }))
	calls := &storeCalls{metrics: m}
	client := platform.NewClient(n.cfg.Platform.Address.String(),
		platform.WithToken(string(n.cfg.Platform.Token)), platform.WithTimeout(n.cfg.Platform.Timeout.Std()),
		platform.WithObserver(calls.note))
	var e *egress.Egress
	var limits *ratelimit.Limiter
	var keeper *quarantine.Tracker
	a := announce.New(n.announceConfig(incarnation), n.log, client)
	follower = configsync.New(n.followConfig(), n.log, client, links, configsync.WithChangeHook(func(s *configsync.Snapshot) {
		e.Observe(time.Now(), s)
		a.Observe(s)
		limits.Observe(s)
		keeper.Observe(s)
	}), configsync.WithSkippedList(n.leftOut))
	keeper = quarantine.New(quarantine.Config{
		Host: n.cfg.Node.ID, RetryInterval: n.cfg.Platform.RetryInterval.Std(), MaxRetryInterval: n.cfg.Platform.MaxRetryInterval.Std(), Timeout: n.cfg.Platform.Timeout.Std(),
	}, n.log, client, links, follower.Snapshot)
	egressOptions := []egress.Option{egress.WithCrashTracker(keeper), egress.WithBudget(n.budget)}
	limits = ratelimit.New(n.allowanceConfig(), n.log, follower.Snapshot, links, m)
	follower.SetSelfAnnouncement(n.announceConfig(incarnation).Host)
	view := hostView{self: n.cfg.Node.ID, snapshot: follower.Snapshot, links: links}
	if n.announced = n.registry(a, follower, incarnation); n.announced != nil {
		egressOptions = append(egressOptions, egress.WithRegistry(n.announced))
	}
	d := director.New(director.Config{
		Host: n.cfg.Node.ID, Hall: n.cfg.Node.Hall, HallHosts: func() []string { return follower.Snapshot().HallHosts },
		RegionOf:     func(hall string) string { return follower.Snapshot().RegionOf(hall) },
		InterHallRTT: hallDistance, Ejection: n.ejection(),
	}, n.log, follower.State, view.leaving, view.usable)
	e = egress.New(n.egressConfig(incarnation), n.log, follower.State, egressOptions...)
	links.Handle(handler{Egress: e, follower: follower, limits: limits, keeper: keeper})
	g := ingress.New(n.ingressConfig(incarnation), n.log, follower.Snapshot, d, links, e, m, ingress.WithNewestConfigCheck(follower.Confirm),
		ingress.WithLimits(limits), ingress.WithCrashCounter(keeper), ingress.WithBudget(n.budget))
	n.kernel.Register(Announcer, a)
	n.kernel.Register(Keeper, keeper)
	n.kernel.Register(Reaper, announce.NewReaper(n.cfg.Node.ID, n.cfg.Peers.GoneAfter.Std(), n.cfg.Platform.Timeout.Std(),
		n.log, client, links, follower.Snapshot))
	n.register(links, follower, d, e, g, limits, m, calls, keeper)
	return nil
}

// register registers the parts and the listeners, in the order in which they start.
func (n *Node) register(
	links *peer.Manager, f *configsync.Follower, d *director.Director, e *egress.Egress, g *ingress.Ingress,
	caps *ratelimit.Limiter, m *metrics.Metrics, calls *storeCalls, keeper *quarantine.Tracker,
) {
	o := operator.New(n.cfg.Node.ID, n.cfg.Node.Hall, string(n.cfg.Operators.Token), f.Snapshot, f.Reads, e, d, links, caps, n.leftOut,
		m.Handler())
	n.kernel.Register(Metrics, m)
	counter, _ := n.out.(eventCounter)
	n.kernel.Register(Sampler, &sampler{
		metrics: m, follower: f, egress: e, links: links, events: counter, calls: calls, keeper: keeper, budget: n.budget, log: n.log,
	})
	n.kernel.Register(Links, links)
	n.kernel.Register(Follower, f)
	n.kernel.Register(Director, d)
	n.kernel.Register(Egress, e)
	n.kernel.Register(Operators, serve.New(Operators, n.cfg.Operators.Listen.AddrPort,
		serve.WithLimits(limits(n.cfg.Operators.Listener)), serve.WithRoutes(o.Routes()...)))
	if n.announced != nil && n.cfg.Announced.Address.IsValid() {
		n.kernel.Register(Restorer, &restorer{
			address: n.cfg.Announced.Address.String(), registry: n.announced, snapshot: f.Snapshot,
		})
	}
	n.kernel.Register(Ingress, g)
	callers := pipeline.New(Callers, n.cfg.Callers.Listen.String(), n.callerLimits(f.State), g,
		ingress.RefuseUnread(n.contract()))
	callers.ReserveBodies(func(h http.Header) *memory.Reservation { return n.budget.NewReservation(g.CustomerOf(h)) })
	callers.OnPanic(func(value any, stack []byte) {
		events.HandlerPanicked.Log(n.log).Any("value", value).Bytes("stack", stack).Send()
	})
	n.kernel.Register(Callers, callers)
	if n.cfg.Readiness.Listen.IsValid() {
		n.kernel.Register(Readiness, serve.New(Readiness, n.cfg.Readiness.Listen.AddrPort,
			serve.WithRoutes(platform.ReadinessRoute(func() bool { return f.Snapshot().Ready && !n.stopping.Load() }),
				rest.Route{Method: http.MethodGet, Path: operator.PathMetrics, Handler: m.Handler().ServeHTTP})))
	}
}

// registry holds the endpoints that announce themselves, nil where they are rows of the table.
func (n *Node) registry(a *announce.Announcer, f *configsync.Follower, incarnation uint64) *registry.Registry {
	if !n.cfg.Announced.Listen.IsValid() {
		return nil
	}
	self := n.announceConfig(incarnation).Host
	r := registry.New(n.cfg.Node.ID, n.cfg.Node.Hall, n.log, func(endpoints []table.Announced) {
		line := self
		line.Endpoints = endpoints
		f.SetSelfAnnouncement(line)
		a.Announce(endpoints)
	})
	bad := func(key string, err error) {
		events.BadHeartbeat.Log(n.log).Str("endpoint", key).Err(err).Send()
	}
	n.kernel.Register(Heartbeats, serve.New(Heartbeats, n.cfg.Announced.Listen.AddrPort,
		serve.WithRoutes(platform.EndpointRoutes(r, bad)...)))
	return r
}

// Kernel returns the node's services.
func (n *Node) Kernel() *kernel.Kernel { return n.kernel }

// Start starts every component; the node serves once it holds a configuration.
func (n *Node) Start(ctx context.Context) error {
	if err := n.kernel.Start(ctx); err != nil {
		events.NodeFailed.Log(n.log).Err(err).Send()
		return err
	}
	events.NodeStarted.Log(n.log).Str("hall", n.cfg.Node.Hall).
		Str("callers", n.cfg.Callers.Listen.String()).Str("peers", n.cfg.Peers.Listen.String()).Send()
	return nil
}

// handler answers peers.
type handler struct {
	*egress.Egress
	follower *configsync.Follower
	limits   *ratelimit.Limiter
	keeper   *quarantine.Tracker
}

// Ended implements peer.Handler.
func (h handler) HandlePoisonReport(word *peerpb.Ended) { h.keeper.HandleReport(word) }

// Lend implements peer.Handler.
func (h handler) GrantAllotment(customer string, want int) (granted int, wait time.Duration) {
	loan := h.limits.Grant(customer, want)
	return loan.Count, loan.RetryDelay
}

// Confirm implements peer.Handler.
func (h handler) Confirm(ctx context.Context) (config uint64, known bool) {
	known = h.follower.ConfirmForPeer(ctx)
	return h.follower.State().Revisions()[table.SourceConfig], known
}

// Deltas implements peer.Handler.
func (h handler) Deltas(from table.Revisions, changesOnly bool) []*peerpb.Delta {
	return configsync.Deltas(h.follower.Snapshot(), from, changesOnly)
}

// hostView tells what the host list and the links say of a host.
type hostView struct {
	self     string
	snapshot func() *configsync.Snapshot
	links    *peer.Manager
}

func (v hostView) leaving(host string) bool { return v.snapshot().ByID[host].Leaving }

func (v hostView) usable(host string) bool {
	if host == v.self {
		return true
	}
	info, ok := v.snapshot().ByID[host]
	return ok && v.links.Usable(info.Address)
}
