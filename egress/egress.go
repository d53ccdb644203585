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
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/registry"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/table"
	"github.com/lynxplank/lynxplank/upstream"
)

// Config is the egress's section of the settings.
type Config struct {
	// Host is this node's host, Hall its hall.
	Host, Hall string
	// Incarnation tells this process from earlier ones.
	Incarnation uint64
	// ProbePath is asked of an endpoint that said it is leaving.
	ProbePath string
	// ProbeEvery is the time between these questions.
	ProbeInterval time.Duration
	// KeyWindow is how long idempotency keys are remembered.
	KeyWindow time.Duration
	// KeySettle is how long a change of the endpoints may take to be in force everywhere, for keys and for the parts of the
	// retries alike.
	ConvergenceTime time.Duration
	// KeyBytes bounds the memory for keys, in bytes.
	KeyBytes int
	// Contract says how endpoints are spoken to; nil stands for the product's own.
	Contract contract.Contract
	// Breaker is the policy for endpoints that break off their work.
	Breaker breaker.Config
	// Retries is the slack of retries that the fleet's endpoints share.
	Retries retry.FleetSlack
	// Cold is by how much a second of a cold endpoint may go beyond what its service says that it bears; its Rate is not used.
	ColdLimit coldstart.Bound
}

// Egress serves the endpoints beside this node; it is a kernel component.
type Egress struct {
	cfg     Config
	log     *zerolog.Logger
	state   func() *table.State
	keys    *keys
	records *records
	configs seenConfig
	pool    *upstream.Pool
	// announced are the endpoints that announce themselves beside this node.
	announced *registry.Registry
	endings   CrashTracker
	clock     clock.Clock
	// budget is what this node may hold of answers whose callers read slowly, or may ask again.
	budget *memory.Budget
	// evacuated is set while this node knows its hall to be, hallDoubt is when it last was, by clock; nil for never.
	evacuated atomic.Bool
	hallDoubt atomic.Pointer[time.Time]
	// region is that of this node's hall, nil before the first snapshot.
	region  atomic.Pointer[string]
	nextID  atomic.Uint64
	closing atomic.Bool
	// closed ends with Close.
	closed context.Context //nolint:containedctx // the door's life
	shut   context.CancelFunc
	// working is the work under way.
	working inflight.Requests
	flight  inflight.Counter
	cancel  context.CancelFunc

	mu     sync.Mutex
	locals map[string]*local
}

const (
	drainRetryAfter = time.Second
	shortRetryAfter = 100 * time.Millisecond
)

// Endings gathers what is known of requests under which endpoints ended.
type CrashTracker interface {
	// Ends returns how many endpoints ended under a content.
	Ends(c poison.Fingerprint) int
	// Ran notes that an endpoint ran a content to a good end.
	Ran(c poison.Fingerprint)
	// EndedHere takes it that an endpoint ended while it ran some contents.
	EndedHere(endpoint, service string, contents []poison.Fingerprint)
}

// noEndings gathers nothing.
type noEndings struct{}

// Ends implements Endings.
func (noEndings) Ends(poison.Fingerprint) int { return 0 }

// Ran implements Endings.
func (noEndings) Ran(poison.Fingerprint) {}

// EndedHere implements Endings.
func (noEndings) EndedHere(string, string, []poison.Fingerprint) {}

// WithEndings has the egress tell of endpoints that end, and refuse requests that end them.
func WithCrashTracker(g CrashTracker) Option { return func(e *Egress) { e.endings = g } }

// WithClock replaces the clock that counts the time in which the host is suspended.
func WithClock(c clock.Clock) Option { return func(e *Egress) { e.clock = c } }

// WithBudget has what is held of answers counted in b.
func WithBudget(b *memory.Budget) Option { return func(e *Egress) { e.budget = b } }

// defaultBudget is the budget of an egress that is given none, in bytes.
const defaultBudget = 64 << 20

// Option changes an egress under construction.
type Option func(*Egress)

// WithRegistry has the egress serve the endpoints that announce themselves to r, besides those of the table.
func WithRegistry(r *registry.Registry) Option { return func(e *Egress) { e.announced = r } }

// New returns an egress that reads the configuration from state.
func New(cfg Config, log *zerolog.Logger, state func() *table.State, opts ...Option) *Egress {
	if cfg.Contract == nil {
		cfg.Contract = contract.Own{}
	}
	if cfg.Breaker == (breaker.Config{}) {
		cfg.Breaker = breaker.DefaultConfig()
	}
	e := &Egress{
		cfg: cfg, log: log, state: state,
		keys:   newKeys(dedupe.NewStore(cfg.KeyWindow, cfg.KeyBytes), cfg.KeyWindow, cfg.ConvergenceTime),
		locals: make(map[string]*local), records: newRecords(), pool: upstream.NewPool(), endings: noEndings{}, clock: clock.Boot,
		budget: memory.New(defaultBudget),
	}
	e.closed, e.shut = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Start begins to watch the endpoints that say they are leaving.
func (e *Egress) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go e.watchLeaving(ctx)
	return nil
}

// Close takes nothing new from now on, and turns away what waits for a slot: other endpoints may have one.
func (e *Egress) Close() {
	e.closing.Store(true)
	e.shut()
}

// Stop waits for the requests in flight as long as ctx allows.
func (e *Egress) Stop(ctx context.Context) error {
	e.Close()
	defer e.cancel()
	defer e.pool.CloseIdle()
	return e.flight.Wait(ctx, "egress")
}

// Observe takes a new snapshot in force: it tells the keys' homes which endpoints share them, and the endpoints beside this
// node what their part of the retries is. These count from when the endpoint is in the table, not from its first request.
func (e *Egress) Observe(now time.Time, snap *configsync.Snapshot) {
	e.keys.observe(now, snap, e.cfg.Host)
	e.observeHall(snap.State)
	where := snap.RegionOf(e.cfg.Hall)
	e.region.Store(&where)
	snap.State.Services(func(v table.ServiceView) {
		for _, row := range v.Endpoints {
			if row.Value.Host == e.cfg.Host {
				e.local(row, snap.State)
			}
		}
	})
}

// Serve runs one request at the endpoint and returns how it ended.
//
// Invariant: it returns NOT_RUN only if the request's bytes were not handed to a connection of the endpoint, or the
// endpoint itself marked its answer as not run.
func (e *Egress) Serve(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink peer.Sink) *peerpb.End {
	e.flight.Add()
	defer e.flight.Done()
	end := e.serve(ctx, d, body, sink)
	end.Revision = e.state().Revision()
	return end
}

// serve runs a request; a keyed one only after its claim was granted here.
func (e *Egress) serve(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink peer.Sink) *peerpb.End {
	if d.GetClaim() == nil {
		return e.admitAndRun(ctx, d, body, sink)
	}
	if e.closing.Load() {
		// Nothing is said about the key: its record leaves with this process.
		return peer.NotRun(fault.KeyRefused, drainRetryAfter)
	}
	if !e.here(d) {
		return peer.NotRun(fault.WrongHost, shortRetryAfter)
	}
	if !e.mayBeHere(d) {
		return peer.NotRun(fault.OutOfRegion, shortRetryAfter)
	}
	verdict, answer := e.keys.claim(time.Now(), d, e.regionsOf(d))
	if verdict != dedupe.Grant {
		return verdictEnd(verdict, answer, sink)
	}
	if d.GetClaim().GetClaimOnly() {
		return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_CLAIMED}
	}
	keep := &keepingSink{Sink: sink}
	end := e.admitAndRun(ctx, d, body, keep)
	e.keys.settle(time.Now(), d.GetClaim().GetScope(), d.GetClaim().GetKey(), end.GetOutcome(), keep.answer(end))
	return end
}

// Work tells of the work that the endpoints beside this node have through it, and of that for a request, "" for none.
func (e *Egress) Work(request string) inflight.Snapshot { return e.working.Snapshot(request) }

// Settle notes how a claimed request ended elsewhere.
func (e *Egress) Settle(msg *peerpb.Settle) {
	a := dedupe.Answer{Head: msg.GetHead(), Body: msg.GetBody(), Stored: msg.GetHead() != nil}
	e.keys.settle(time.Now(), msg.GetScope(), msg.GetKey(), msg.GetOutcome(), a)
}
