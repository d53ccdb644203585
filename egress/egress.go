package egress

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/coldstart"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/dedupe"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/maxrate"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/registry"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/shutdown"
	"github.com/lynxplank/lynxplank/table"
	"github.com/lynxplank/lynxplank/upstream"
)

// Config is the configuration of the egress.
type Config struct {
	// Host is this node's host, Hall that host's hall.
	Host, Hall string
	// Incarnation distinguishes this process from earlier ones of the same node.
	Incarnation uint64
	// ProbePath is the path of the probe of an endpoint that reported a drain.
	ProbePath string
	// ProbeInterval is the time between these probes.
	ProbeInterval time.Duration
	// KeyWindow is how long idempotency keys are remembered.
	KeyWindow time.Duration
	// ConvergenceTime is how long a change of the endpoints may take to become active on every node. It applies to
	// the owners of keys and to the shares of the retry budget alike.
	ConvergenceTime time.Duration
	// KeyBytes bounds the memory for idempotency keys, in bytes.
	KeyBytes int
	// Contract is the set of header fields exchanged with endpoints; nil means the product's own.
	Contract contract.Contract
	// Breaker is the policy of the endpoints' circuit breakers.
	Breaker breaker.Config
	// Retries is the retry slack that the endpoints of the fleet share.
	Retries retry.FleetSlack
	// NestedFirst, ReclaimSlots and SuspectRoom are the settings of the same names in the section overload.
	NestedFirst, ReclaimSlots, SuspectRoom bool
	// ColdLimit is how far the requests sent to a cold endpoint in one second may exceed the rate that its service
	// sets for cold endpoints. Its Rate is not used.
	ColdLimit coldstart.Bound
}

// Egress runs requests at the endpoints beside this node; it is a kernel component.
type Egress struct {
	cfg           Config
	log           *zerolog.Logger
	state         func() *table.State
	keys          *keyStore
	answers       *answerStore
	seenRevisions seenRevisions
	pool          *upstream.Pool
	// announced holds the endpoints that announce themselves to this node, nil if there is no such registry.
	announced *registry.Registry
	crashes   CrashTracker
	clock     clock.Clock
	// budget bounds the memory for answers that their callers read slowly or may fetch over another link.
	budget *memory.Budget
	// evacuated is set while this node knows its hall to be evacuated; hallEvacuatedAt is when that was last so, by
	// clock, nil for never.
	evacuated       atomic.Bool
	hallEvacuatedAt atomic.Pointer[time.Time]
	// region is the region of this node's hall, nil before the first snapshot.
	region  atomic.Pointer[string]
	nextID  atomic.Uint64
	closing atomic.Bool
	// closeCtx is canceled by Close.
	closeCtx       context.Context //nolint:containedctx // lives as long as the egress
	cancelCloseCtx context.CancelFunc
	// running are the requests in flight at the endpoints; inFlight counts the calls of Serve and the crash checks.
	running      inflight.Requests
	inFlight     inflight.Counter
	cancelProbes context.CancelFunc

	// stop is the schedule of the node's planned stop, nil for none.
	stop *shutdown.Schedule
	// receiptDelay returns how long ago what is received now may have arrived at this host.
	receiptDelay func() time.Duration

	mu        sync.Mutex
	endpoints map[string]*localEndpoint
	// life is what is known of the starts of this node; recordChecked is set once it includes whether the store held an
	// announcement of this node when the process started.
	life          maxrate.Life
	recordChecked bool
}

const (
	drainRetryAfter = time.Second
	shortRetryAfter = 100 * time.Millisecond
)

// CrashTracker collects which requests were running when endpoints crashed.
type CrashTracker interface {
	// Ends returns how many endpoints crashed while running requests with a fingerprint.
	Ends(c poison.Fingerprint) int
	// Ran records that an endpoint ran a request with this fingerprint successfully.
	Ran(c poison.Fingerprint)
	// EndedHere records that an endpoint crashed while it ran requests with these fingerprints.
	EndedHere(endpoint, service string, contents []poison.Fingerprint)
}

// noCrashTracker tracks nothing.
type noCrashTracker struct{}

// Ends implements CrashTracker.
func (noCrashTracker) Ends(poison.Fingerprint) int { return 0 }

// Ran implements CrashTracker.
func (noCrashTracker) Ran(poison.Fingerprint) {}

// EndedHere implements CrashTracker.
func (noCrashTracker) EndedHere(string, string, []poison.Fingerprint) {}

// WithCrashTracker has the egress report crashes of endpoints to t and refuse the requests that t knows to cause
// them.
func WithCrashTracker(t CrashTracker) Option { return func(e *Egress) { e.crashes = t } }

// WithClock replaces the clock, which also counts the time in which the host is suspended.
func WithClock(c clock.Clock) Option { return func(e *Egress) { e.clock = c } }

// WithPeers has the egress take its process for one that may follow an earlier one, until NoteEarlierLife tells.
func WithPeers() Option {
	return func(e *Egress) { e.life = maxrate.NewLife(e.clock()) }
}

// WithEndpointPool has the egress take its connections to endpoints from p.
func WithEndpointPool(p *upstream.Pool) Option { return func(e *Egress) { e.pool = p } }

// WithReceiptDelay has f tell how long ago what is received now may have arrived at this host.
func WithReceiptDelay(f func() time.Duration) Option { return func(e *Egress) { e.receiptDelay = f } }

// WithStop has the egress refuse all requests from the end of the notice of a planned stop on, also while nobody calls Close.
func WithStop(s *shutdown.Schedule) Option { return func(e *Egress) { e.stop = s } }

// WithBudget has the memory for buffered and stored answers counted in b.
func WithBudget(b *memory.Budget) Option { return func(e *Egress) { e.budget = b } }

// defaultBudget is the memory budget of an egress without WithBudget, in bytes.
const defaultBudget = 64 << 20

// Option changes an egress under construction.
type Option func(*Egress)

// WithRegistry has the egress serve the endpoints that announce themselves to r, in addition to those of the table.
func WithRegistry(r *registry.Registry) Option { return func(e *Egress) { e.announced = r } }

// New returns an egress that reads the active configuration from state.
func New(cfg Config, log *zerolog.Logger, state func() *table.State, opts ...Option) *Egress {
	if cfg.Contract == nil {
		cfg.Contract = contract.Native{}
	}
	if cfg.Breaker == (breaker.Config{}) {
		cfg.Breaker = breaker.DefaultConfig()
	}
	cfg.Breaker.SlowStart = cfg.SuspectRoom
	e := &Egress{
		cfg: cfg, log: log, state: state,
		keys:      newKeyStore(dedupe.NewStore(cfg.KeyWindow, cfg.KeyBytes), cfg.KeyWindow, cfg.ConvergenceTime),
		endpoints: make(map[string]*localEndpoint), answers: newAnswerStore(), pool: upstream.NewPool(), crashes: noCrashTracker{}, clock: clock.Boot,
		budget: memory.New(defaultBudget), receiptDelay: func() time.Duration { return 0 },
	}
	e.closeCtx, e.cancelCloseCtx = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Start starts the probes of the endpoints that reported a drain.
func (e *Egress) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancelProbes = cancel
	go e.probeDraining(ctx)
	return nil
}

// Close refuses all requests from now on, also those that wait for a slot, so that other endpoints can take them.
func (e *Egress) Close() {
	e.closing.Store(true)
	e.cancelCloseCtx()
}

// isClosed reports whether the egress refuses all requests.
func (e *Egress) isClosed() bool { return e.closing.Load() || e.stop.NoticeOver() }

// Stop waits for the requests in flight until ctx ends.
func (e *Egress) Stop(ctx context.Context) error {
	e.Close()
	defer e.cancelProbes()
	defer e.pool.CloseIdle()
	return e.inFlight.Wait(ctx, "egress")
}

// Observe applies a new snapshot: it records the owners of keys and updates the endpoints beside this node. Their
// shares of the retry budget count from the moment they are in the table, not from their first request.
func (e *Egress) Observe(now time.Time, snap *configsync.Snapshot) {
	e.keys.observe(now, snap, e.cfg.Host)
	e.observeHall(snap.State)
	hallRegion := snap.RegionOf(e.cfg.Hall)
	e.region.Store(&hallRegion)
	e.observeLife(snap)
	snap.State.Services(func(v table.ServiceView) {
		for _, row := range v.Endpoints {
			if row.Value.Host == e.cfg.Host {
				e.localEndpoint(row, snap.State)
			}
		}
	})
}

// Serve runs one request at the endpoint and returns how it ended.
//
// Invariant: it returns NOT_RUN only if no byte of the request was handed to a connection of the endpoint, or the
// endpoint itself marked its answer as not run.
func (e *Egress) Serve(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink peer.Sink) *peerpb.End {
	e.inFlight.Add()
	defer e.inFlight.Done()
	end := e.serve(ctx, d, body, sink)
	end.Revision = e.state().Revision()
	return end
}

// serve runs a request. If it has an idempotency key with a claim, the claim must be granted here first.
func (e *Egress) serve(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink peer.Sink) *peerpb.End {
	if d.GetClaim() == nil {
		return e.admitAndRun(ctx, d, body, sink)
	}
	if e.isClosed() {
		// The key gets no verdict: its record is lost when this process stops.
		return peer.NotRun(fault.KeyRefused, drainRetryAfter)
	}
	if !e.isLocal(d) {
		return peer.NotRun(fault.WrongHost, shortRetryAfter)
	}
	if !e.dataAllowedHere(d) {
		return peer.NotRun(fault.OutOfRegion, shortRetryAfter)
	}
	verdict, answer := e.keys.claim(time.Now(), d, e.allowedRegions(d))
	if verdict != dedupe.Grant {
		return verdictEnd(verdict, answer, sink)
	}
	if d.GetClaim().GetClaimOnly() {
		return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_CLAIMED}
	}
	recorder := &replaySink{Sink: sink}
	end := e.admitAndRun(ctx, d, body, recorder)
	e.keys.settle(time.Now(), d.GetClaim().GetScope(), d.GetClaim().GetKey(), end.GetOutcome(), recorder.answer(end))
	return end
}

// Work returns the requests in flight at the endpoints beside this node, and those of them for one request, "" for
// none.
func (e *Egress) Work(request string) inflight.Snapshot { return e.running.Snapshot(request) }

// NoteCallFailed records that a call which an endpoint made for a request in flight beside this node was not served.
func (e *Egress) NoteCallFailed(request string) {
	if e.cfg.NestedFirst {
		e.running.MarkCallFailed(request)
	}
}

// Settle records how a request whose key was claimed here ended at another endpoint.
func (e *Egress) Settle(msg *peerpb.Settle) {
	a := dedupe.Answer{Head: msg.GetHead(), Body: msg.GetBody(), Stored: msg.GetHead() != nil}
	e.keys.settle(time.Now(), msg.GetScope(), msg.GetKey(), msg.GetOutcome(), a)
}
