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
	"github.com/lynxplank/lynxplank/clock"
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
	"github.com/lynxplank/lynxplank/shutdown"
	"github.com/lynxplank/lynxplank/skipped"
	"github.com/lynxplank/lynxplank/table"
)

// The kernel names of a node's components, by which they are looked up.
const (
	// Pauses is the clock.PauseMonitor.
	Pauses = "pauses"
	// Links is the peer.Manager.
	Links = "links"
	// Follower is the configsync.Follower.
	Follower = "follower"
	// Announcer is the announce.Announcer.
	Announcer = "announcer"
	// Restorer probes the endpoint beside a restarted node to identify it.
	Restorer = "restorer"
	// Keeper is the quarantine.Tracker.
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
	// Callers is the callers' pipeline.Server.
	Callers = "callers"
	// Metrics is the metrics.Metrics.
	Metrics = "metrics"
	// Sampler periodically copies the state of the other components into the metrics.
	Sampler = "sampler"
	// Heartbeats is the serve.Server for endpoints' heartbeats.
	Heartbeats = "heartbeats"
	// Readiness is the serve.Server that reports whether callers may be routed to the node.
	Readiness = "readiness"
)

// Node holds the components of one proxy process of the fleet.
type Node struct {
	cfg settings.Daemon
	log *zerolog.Logger
	// out is the destination of the log.
	out    io.Writer
	kernel *kernel.Kernel
	// lastRead holds the settings as last read successfully. reloadError is the text of the last reload's error, empty after
	// a successful reload.
	lastRead    settings.Daemon
	reloadError string
	level       levelHook
	// schedule holds the times of the planned stop.
	schedule *shutdown.Schedule
	// signals tells of the stop signals, nil if Stop alone begins a planned stop.
	signals shutdown.Signals
	// grace tracks the time limits of the planned stop.
	grace *grace
	// pauses detects when the process did not run.
	pauses *clock.PauseMonitor
	// announced holds the endpoints that announce themselves; nil if endpoints are rows of the table.
	announced *registry.Registry
	// callers is the callers' listener.
	callers *pipeline.Server
	// budget limits the memory that request and answer bodies may use.
	budget *memory.Budget
	// skipped holds the entries that could not be decoded.
	skipped *skipped.List
}

// levelHook discards log lines below a level that can be changed at run time.
type levelHook struct {
	atomic.Int32
}

// Run implements zerolog.Hook.
func (h *levelHook) Run(e *zerolog.Event, level zerolog.Level, _ string) {
	if level < zerolog.Level(h.Load()) { //nolint:gosec // a level
		e.Discard()
	}
}

// Option configures a node.
type Option func(*Node)

// WithSignals has a planned stop begin with the first stop signal of s, at the latest with Stop.
func WithSignals(s shutdown.Signals) Option { return func(n *Node) { n.signals = s } }

// New creates a node and its components; nothing runs or listens before Start.
func New(cfg settings.Daemon, out io.Writer, opts ...Option) (*Node, error) {
	level, err := zerolog.ParseLevel(cfg.Log.Level)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSetting, "log.level", "unknown log level")
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	n := &Node{cfg: cfg, lastRead: cfg, out: out, kernel: kernel.New(), grace: newGrace(cfg.Stop)}
	for _, opt := range opts {
		opt(n)
	}
	n.level.Store(int32(level))
	log := zerolog.New(out).Hook(&n.level).With().Timestamp().Str("node", cfg.Node.ID).Logger()
	n.log = &log
	n.skipped = skipped.New(n.log)
	n.pauses = clock.NewPauseMonitor(clock.Boot, func(p clock.Pause) {
		events.ProcessPaused.Log(n.log).Dur("for", p.Duration()).Send()
	})
	n.schedule = newSchedule(cfg.Stop, n.signals, shutdown.WithPauses(n.pauses.Recent))
	n.kernel.Register(Pauses, n.pauses)
	n.budget = memory.New(cfg.Memory.Bodies())
	if err := n.build(); err != nil {
		return nil, err
	}
	return n, nil
}

// build creates the node's components and registers them with the kernel.
func (n *Node) build() error {
	incarnation := rand.Uint64() //nolint:gosec // distinguishes two runs of a node, not a secret
	config, err := n.tls()
	if err != nil {
		return err
	}
	m, err := metrics.New()
	if err != nil {
		return err
	}
	for _, stage := range []string{string(ingress.StageWaiting), string(ingress.StageRunning), string(ingress.StageAnswering), stageBehind, stageAnswered} {
		m.StopOutlasted(stage, 0)
	}
	var follower *configsync.Follower
	var e *egress.Egress
	links := peer.NewManager(n.peerConfig(incarnation, config), n.log,
		peer.WithRevisionHook(func(name string, revisions table.Revisions) { follower.Hint(name, revisions) }),
		peer.WithSilenceHook(func() { follower.ConnectionsSilent() }),
		peer.WithEarlierLifeHook(func(heardAgo time.Duration) { e.NoteEarlierLife(heardAgo) }))
	calls := &storeCalls{metrics: m}
	client := platform.NewClient(n.cfg.Platform.Address.String(),
		platform.WithToken(string(n.cfg.Platform.Token)), platform.WithTimeout(n.cfg.Platform.Timeout.Std()),
		platform.WithObserver(calls.record))
	var limits *ratelimit.Limiter
	var tracker *quarantine.Tracker
	a := announce.New(n.announceConfig(incarnation), n.log, client, announce.WithRecordHook(n.recoverRecord))
	follower = configsync.New(n.followerConfig(), n.log, client, links, configsync.WithChangeHook(func(s *configsync.Snapshot) {
		e.Observe(time.Now(), s)
		a.Observe(s)
		limits.Observe(s)
		tracker.Observe(s)
		n.callers.ApplyLimits()
	}), configsync.WithSkippedList(n.skipped))
	tracker = quarantine.New(quarantine.Config{
		Host: n.cfg.Node.ID, RetryInterval: n.cfg.Platform.RetryInterval.Std(), MaxRetryInterval: n.cfg.Platform.MaxRetryInterval.Std(), Timeout: n.cfg.Platform.Timeout.Std(),
	}, n.log, client, links, follower.Snapshot)
	egressOptions := []egress.Option{
		egress.WithCrashTracker(tracker), egress.WithBudget(n.budget), egress.WithPeers(), egress.WithReceiptDelay(n.pauses.ReceiptDelay), egress.WithStop(n.schedule),
	}
	limits = ratelimit.New(n.rateLimitConfig(), n.log, follower.Snapshot, links, m)
	follower.SetSelfAnnouncement(n.announceConfig(incarnation).Host)
	view := hostView{self: n.cfg.Node.ID, snapshot: follower.Snapshot, links: links}
	if n.announced = n.registry(a, follower, incarnation); n.announced != nil {
		egressOptions = append(egressOptions, egress.WithRegistry(n.announced))
	}
	d := director.New(director.Config{
		Host: n.cfg.Node.ID, Hall: n.cfg.Node.Hall, HallHosts: func() []string { return follower.Snapshot().HallHosts },
		RegionOf:     func(hall string) string { return follower.Snapshot().RegionOf(hall) },
		InterHallRTT: interHallRTT, Ejection: n.ejectionConfig(), SuspectRoom: n.cfg.Overload.SuspectRoom,
	}, n.log, follower.State, view.draining, view.usable)
	e = egress.New(n.egressConfig(incarnation), n.log, follower.State, egressOptions...)
	links.Handle(handler{Egress: e, follower: follower, limits: limits, tracker: tracker})
	g := ingress.New(n.ingressConfig(incarnation), n.log, follower.Snapshot, d, links, e, m, ingress.WithNewestConfigCheck(follower.Confirm),
		ingress.WithLimits(limits), ingress.WithCrashCounter(tracker), ingress.WithBudget(n.budget), ingress.WithStop(n.schedule))
	n.kernel.Register(Announcer, a)
	n.kernel.Register(Keeper, tracker)
	n.kernel.Register(Reaper, announce.NewReaper(n.cfg.Node.ID, n.cfg.Peers.GoneAfter.Std(), n.cfg.Platform.Timeout.Std(),
		n.log, client, links, follower.Snapshot))
	n.register(links, follower, d, e, g, limits, m, calls, tracker)
	return nil
}

// register registers the remaining components and the listeners with the kernel, in the order in which they start.
func (n *Node) register(
	links *peer.Manager, f *configsync.Follower, d *director.Director, e *egress.Egress, g *ingress.Ingress,
	limiter *ratelimit.Limiter, m *metrics.Metrics, calls *storeCalls, tracker *quarantine.Tracker,
) {
	o := operator.New(n.cfg.Node.ID, n.cfg.Node.Hall, string(n.cfg.Operators.Token), f.Snapshot, f.Reads, e, d, links, limiter, n.skipped,
		m.Handler(), operator.WithThrottles(g.Throttles))
	n.kernel.Register(Metrics, m)
	counter, _ := n.out.(eventCounter)
	n.kernel.Register(Sampler, &sampler{
		metrics: m, follower: f, egress: e, ingress: g, links: links, events: counter, calls: calls, tracker: tracker, budget: n.budget,
		log: n.log,
	})
	n.kernel.Register(Links, links)
	n.kernel.Register(Follower, f)
	n.kernel.Register(Director, d)
	n.kernel.Register(Egress, e)
	n.kernel.Register(Operators, serve.New(Operators, n.cfg.Operators.Listen.AddrPort,
		serve.WithLimits(limits(n.cfg.Operators.Listener)), serve.WithRoutes(o.Routes()...)))
	if n.announced != nil && n.cfg.Announced.Address.IsValid() {
		n.kernel.Register(Restorer, &restorer{
			address: n.cfg.Announced.Address.String(), registry: n.announced, snapshot: f.Snapshot, probe: probeEndpoint,
		})
	}
	n.kernel.Register(Ingress, g)
	n.callers = pipeline.New(Callers, n.cfg.Callers.Listen.String(), n.callerLimits(f.State), g, n.refuseUnread(f))
	n.callers.ReserveBodies(func(h http.Header) *memory.Reservation { return n.budget.NewReservation(g.CustomerOf(h)) })
	n.callers.StopBy(n.schedule)
	n.callers.OnPanic(func(value any, stack []byte) {
		events.HandlerPanicked.Log(n.log).Any("value", value).Bytes("stack", stack).Send()
	})
	n.kernel.Register(Callers, n.callers)
	if n.cfg.Readiness.Listen.IsValid() {
		n.kernel.Register(Readiness, serve.New(Readiness, n.cfg.Readiness.Listen.AddrPort,
			serve.WithRoutes(platform.ReadinessRoute(func() bool { return f.Snapshot().Ready && !n.schedule.Begun() }),
				rest.Route{Method: http.MethodGet, Path: operator.PathMetrics, Handler: m.Handler().ServeHTTP})))
	}
}

// registry creates the registry of endpoints that announce themselves, and registers the listener for their heartbeats with
// the kernel. It returns nil if endpoints are rows of the table.
func (n *Node) registry(a *announce.Announcer, f *configsync.Follower, incarnation uint64) *registry.Registry {
	if !n.cfg.Announced.Listen.IsValid() {
		return nil
	}
	r := newRegistry(n.announceConfig(incarnation).Host, n.log, a, f.SetSelfAnnouncement)
	unacknowledged := func(key string, err error) {
		event := events.LeavingNotStored
		if fault.CodeOf(err) == fault.BadRequest {
			event = events.BadHeartbeat
		}
		event.Log(n.log).Str("endpoint", key).Err(err).Send()
	}
	n.kernel.Register(Heartbeats, serve.New(Heartbeats, n.cfg.Announced.Listen.AddrPort,
		serve.WithRoutes(platform.EndpointRoutes(r, unacknowledged)...)))
	return r
}

// recoverRecord passes a record of this host to the registry, if endpoints announce themselves.
func (n *Node) recoverRecord(record table.HostInfo, complete bool) {
	if n.announced != nil {
		n.announced.Recover(record, complete)
	}
}

// refuseUnread returns the function that answers requests which the callers' listener refuses.
func (n *Node) refuseUnread(f *configsync.Follower) pipeline.ErrorHandler {
	refuse, limits, ct := ingress.RefuseUnread(n.contract()), n.callerLimits(f.State), n.contract()
	return func(w http.ResponseWriter, h http.Header, status int, err *fault.Error) {
		call, _ := ct.Call(h)
		l := limits()
		events.RequestUnread.Log(n.log).Str("request", call.ID).Int("status", status).Str("code", string(err.Code)).
			Str("detail", err.Detail).Int("header_bytes", l.HeaderBytes).Int64("body_bytes", l.BodyBytes).
			Uint64("config", f.State().Revisions()[table.SourceConfig]).Send()
		refuse(w, h, status, err)
	}
}

// newRegistry returns the registry of the endpoints beside a host. The announcer stores what it is told, publish makes it
// active on this node.
func newRegistry(
	host table.HostInfo, log *zerolog.Logger, a *announce.Announcer, publish func(table.HostInfo), opts ...registry.Option,
) *registry.Registry {
	return registry.New(host.ID, host.Hall, log, func(endpoints []table.Announced, past table.PastIncarnations) {
		info := host
		info.Endpoints, info.PastIncarnations = endpoints, past
		publish(info)
		a.Announce(endpoints, past)
	}, append(opts, registry.WithStore(a.AwaitStored))...)
}

// Kernel returns the kernel that holds the node's components.
func (n *Node) Kernel() *kernel.Kernel { return n.kernel }

// Start starts every component. The node serves requests once it has a configuration.
func (n *Node) Start(ctx context.Context) error {
	if err := n.kernel.Start(ctx); err != nil {
		events.NodeFailed.Log(n.log).Err(err).Send()
		return err
	}
	events.NodeStarted.Log(n.log).Str("hall", n.cfg.Node.Hall).Str("build", buildVersion()).Str("build_id", buildID()).
		Str("callers", n.cfg.Callers.Listen.String()).Str("peers", n.cfg.Peers.Listen.String()).Send()
	return nil
}

// handler implements peer.Handler, which answers the messages of peers.
type handler struct {
	*egress.Egress
	follower *configsync.Follower
	limits   *ratelimit.Limiter
	tracker  *quarantine.Tracker
}

// HandlePoisonReport implements peer.Handler.
func (h handler) HandlePoisonReport(report *peerpb.Ended) *peerpb.Ended {
	return h.tracker.HandleReport(report)
}

// GrantAllotment implements peer.Handler.
func (h handler) GrantAllotment(customer string, want int) (granted int, wait time.Duration) {
	allotment := h.limits.Grant(customer, want)
	return allotment.Count, allotment.RetryDelay
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

// hostView reports the state of a host by the host list and the links to peers.
type hostView struct {
	self     string
	snapshot func() *configsync.Snapshot
	links    *peer.Manager
}

func (v hostView) draining(host string) bool { return v.snapshot().ByID[host].Leaving }

func (v hostView) usable(host string) bool {
	if host == v.self {
		return true
	}
	info, ok := v.snapshot().ByID[host]
	return ok && v.links.Usable(info.Address)
}
