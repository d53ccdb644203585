package egress

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/dedupe"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/flight"
	"github.com/lynxplank/lynxplank/follow"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/registry"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/table"
	"github.com/lynxplank/lynxplank/upstream"
)

// Config is the egress's section of the settings.
type Config struct {
	// Host is this node's host.
	Host string
	// Incarnation tells this process from earlier ones.
	Incarnation uint64
	// ProbePath is asked of an endpoint that said it is leaving.
	ProbePath string
	// ProbeEvery is the time between these questions.
	ProbeEvery time.Duration
	// KeyWindow is how long idempotency keys are remembered.
	KeyWindow time.Duration
	// KeySettle is how long a change of the endpoints may take to be in force everywhere, for keys and for the parts of the
	// retries alike.
	KeySettle time.Duration
	// KeyBytes bounds the memory for keys, in bytes.
	KeyBytes int
	// Contract says how endpoints are spoken to; nil stands for the product's own.
	Contract contract.Contract
	// Breaker is the policy for endpoints that break off their work.
	Breaker breaker.Config
	// Retries is the slack of retries that the fleet's endpoints share.
	Retries retry.Share
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
	nextID    atomic.Uint64
	closing   atomic.Bool
	// working is the work under way.
	working flight.Requests
	flight  flight.Counter
	cancel  context.CancelFunc

	mu     sync.Mutex
	locals map[string]*local
}

const (
	drainRetryAfter = time.Second
	shortRetryAfter = 100 * time.Millisecond
)

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
		keys:   newKeys(dedupe.NewHome(cfg.KeyWindow, cfg.KeyBytes), cfg.KeyWindow, cfg.KeySettle),
		locals: make(map[string]*local), records: newRecords(), pool: upstream.NewPool(),
	}
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

// Close takes nothing new from now on.
func (e *Egress) Close() { e.closing.Store(true) }

// Stop waits for the requests in flight as long as ctx allows.
func (e *Egress) Stop(ctx context.Context) error {
	e.Close()
	defer e.cancel()
	defer e.pool.CloseIdle()
	return e.flight.Wait(ctx, "egress")
}

// Observe takes a new snapshot in force: it tells the keys' homes which endpoints share them, and the endpoints beside this
// node what their part of the retries is. These count from when the endpoint is in the table, not from its first request.
func (e *Egress) Observe(now time.Time, snap *follow.Snapshot) {
	e.keys.observe(now, snap, e.cfg.Host)
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
	verdict, answer := e.keys.claim(time.Now(), d)
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

// admitAndRun runs a request at its endpoint once that has room for it, or returns and logs the refusal.
func (e *Egress) admitAndRun(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink peer.Sink) *peerpb.End {
	l, end := e.find(d)
	if end != nil {
		e.logRefusal(nil, d, end)
		return end
	}
	trial, end := e.take(ctx, l, d, sink)
	if end != nil {
		end.Load = l.load(0, e.cfg.Incarnation)
		e.logRefusal(l, d, end)
		return end
	}
	return e.runAt(ctx, l, d, body, sink, trial)
}

// take brings a request to a slot of the endpoint and to the word of whoever sent it, or returns the refusal.
func (e *Egress) take(ctx context.Context, l *local, d *peerpb.Dispatch, sink peer.Sink) (trial bool, end *peerpb.End) {
	if !l.takes(time.Now(), d) {
		return false, peer.NotRun(fault.Suspect, l.pauseLeft(time.Now()))
	}
	if p, ok := sink.(peer.Permitter); ok && d.GetWait() {
		p.Waiting()
	}
	if end := l.admit(ctx, e.nextID.Add(1), d, e.state()); end != nil {
		return false, end
	}
	defer func() { l.tellArrivals(time.Now(), e.log) }()
	if end := l.spend(time.Now(), d); end != nil {
		l.free(0)
		return false, end
	}
	trial, end = e.permit(ctx, l, d, sink)
	if end != nil {
		l.unspend(d)
		l.free(0)
		return trial, end
	}
	l.arrived(time.Now(), d)
	e.logOlder(d)
	return trial, nil
}

// logRefusal tells why a request was turned away before the hand-over; l is nil where the endpoint is not here.
func (e *Egress) logRefusal(l *local, d *peerpb.Dispatch, end *peerpb.End) {
	line := events.OfferRefused.Log(e.log).Str("request", d.GetRequestId()).Str("endpoint", d.GetEndpoint()).
		Str("service", d.GetService()).Str("code", end.GetCode()).Uint64("config", d.GetConfig()).
		Uint64("holds", e.state().Revisions()[table.PlaneConfig]).Uint64("seen", e.configs.newest[table.PlaneConfig].Load())
	if l != nil {
		line.Uint32("busy", end.GetLoad().GetBusy()).Uint32("queued", end.GetLoad().GetQueued()).
			Uint32("slots", end.GetLoad().GetSlots()).Str("breaker", l.breakerState().String())
	}
	line.Send()
}

// permit looks once more, at the moment of the hand-over, whether the request may run, and asks whoever sent it.
func (e *Egress) permit(ctx context.Context, l *local, d *peerpb.Dispatch, sink peer.Sink) (trial bool, end *peerpb.End) {
	if _, end := e.find(d); end != nil {
		return false, end
	}
	if ctx.Err() != nil {
		return false, peer.NotRun(fault.DeadlineTooShort, shortRetryAfter)
	}
	ok, trial := l.allow(time.Now(), d)
	if !ok {
		return false, peer.NotRun(fault.Suspect, l.pauseLeft(time.Now()))
	}
	due := l.due(d)
	p, asks := sink.(peer.Permitter)
	if !asks {
		if due > 0 {
			sink.Due(due)
		}
		return trial, nil
	}
	deadline, _ := ctx.Deadline()
	id := d.GetExchange()
	e.records.begin(time.Now(), id, deadline)
	end = peer.NotRun(fault.OfferLapsed, 0)
	if p.Permit(ctx, l.load(0, e.cfg.Incarnation), due) {
		// The word may have taken a while, in which the configuration, or the endpoint, can have moved on.
		_, moved := e.find(d)
		if moved == nil && e.records.hand(id) {
			return trial, nil
		}
		if moved != nil {
			end = moved
		}
	}
	e.records.void(id)
	l.untry(trial)
	return false, end
}

// runAt runs a request that holds a slot, tells the breaker and the records how it went, and frees the slot.
func (e *Egress) runAt(
	ctx context.Context, l *local, d *peerpb.Dispatch, body io.Reader, sink peer.Sink, trial bool,
) *peerpb.End {
	if d.GetClaim() != nil {
		var cancel context.CancelFunc
		ctx, cancel = detach(ctx)
		defer cancel()
	}
	recording := &recordingSink{Sink: sink}
	_, kept := sink.(peer.Permitter)
	if kept {
		sink = recording
	}
	start, id := time.Now(), e.nextID.Add(1)
	e.begin(l, start, id, d, sink, trial)
	result := e.counted(d, func() result { return l.run(ctx, d, body, sink) })
	service := time.Since(start)
	l.release(id, service, result, d, trial)
	if result.cause != nil {
		e.logFailure(l, d, result, service, trial)
	}
	e.noteState(l)
	e.noteLeaving(l, result.leaving)
	result.end.Load = l.load(service, e.cfg.Incarnation)
	if kept {
		result.end.Revision = e.state().Revision()
		e.records.finish(d.GetExchange(), recording, result.end)
	}
	return result.end
}

// counted counts a run while it lasts.
func (e *Egress) counted(d *peerpb.Dispatch, run func() result) result {
	e.working.Begin(d.GetRequestId(), d.GetRepeat())
	defer e.working.End(d.GetRequestId(), d.GetRepeat())
	return run()
}

// logFailure tells why the endpoint's work has no whole answer.
func (e *Egress) logFailure(l *local, d *peerpb.Dispatch, r result, service time.Duration, trial bool) {
	events.WorkFailed.Log(e.log).Str("request", d.GetRequestId()).Str("endpoint", l.key).
		Str("outcome", r.end.GetOutcome().String()).Str("code", r.end.GetCode()).
		Dur("after", service).Bool("trial", trial).
		Bool("last_resort", d.GetLastResort()).Any("said", l.said.Load()).Uint32("busy", l.load(0, 0).GetBusy()).
		Err(r.cause).Send()
}

// noteState logs when the breaker of an endpoint has opened or closed.
func (e *Egress) noteState(l *local) {
	if from, to, changed := l.stateChange(); changed {
		events.BreakerChanged.Log(e.log).Str("endpoint", l.key).Str("from", from.String()).Str("to", to.String()).Send()
	}
}

// detach keeps the deadline but not the cancellation: a keyed request runs on when its caller is gone, so that the
// re-send finds an answer and not an unknown fate.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithoutCancel(ctx), func() {}
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// find returns the endpoint's runtime, or the refusal when it takes nothing new here.
//
// Invariant: a draining endpoint is refused here whatever the ingress believes.
func (e *Egress) find(d *peerpb.Dispatch) (*local, *peerpb.End) {
	if e.closing.Load() {
		return nil, peer.NotRun(fault.Draining, drainRetryAfter)
	}
	if e.configs.stale(e.state(), d) {
		return nil, peer.NotRun(fault.Stale, shortRetryAfter)
	}
	if r, ok := e.announcedHere(d); ok {
		if r.Leaving {
			return nil, peer.NotRun(fault.Draining, drainRetryAfter)
		}
		return e.open(r.Entry, r.Leaving)
	}
	if !e.here(d) {
		return nil, peer.NotRun(fault.WrongHost, shortRetryAfter)
	}
	s := e.state()
	row, _ := s.Endpoint(d.GetEndpoint())
	return e.open(row, s.EndpointPhase(row) != table.Active)
}

// open returns the runtime of an endpoint beside this node unless it takes nothing new.
func (e *Egress) open(row table.Entry[table.Endpoint], closed bool) (*local, *peerpb.End) {
	s := e.state()
	if closed || s.HostPhase(e.cfg.Host) != table.Active {
		return nil, peer.NotRun(fault.Draining, drainRetryAfter)
	}
	l := e.local(row, s)
	if l.leaving.Load() {
		return nil, peer.NotRun(fault.Draining, drainRetryAfter)
	}
	return l, nil
}

// announcedHere returns the endpoint if it has announced itself to this node.
func (e *Egress) announcedHere(d *peerpb.Dispatch) (registry.Endpoint, bool) {
	if e.announced == nil {
		return registry.Endpoint{}, false
	}
	r, ok := e.announced.Endpoint(d.GetEndpoint())
	return r, ok && r.Value.Service == d.GetService()
}

// here tells whether the table has the endpoint beside this node, and of this service. An endpoint that announces
// itself and that this life of the node has not heard of is not here: whatever the store shows of it may be old.
func (e *Egress) here(d *peerpb.Dispatch) bool {
	row, ok := e.state().Endpoint(d.GetEndpoint())
	return ok && row.Plane != table.PlaneHosts && row.Value.Host == e.cfg.Host && row.Value.Service == d.GetService()
}

// local returns the endpoint's runtime as the table wants it, a new one for an endpoint that had no work yet.
func (e *Egress) local(row table.Entry[table.Endpoint], s *table.State) *local {
	view, _ := s.Service(row.Value.Service)
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.locals[row.Key]
	if l == nil {
		l = newLocal(row, e.cfg, e.pool, rand.New(rand.NewPCG(e.cfg.Incarnation, uint64(len(e.locals))))) //nolint:gosec // no secret
		e.locals[row.Key] = l
	}
	l.configure(row, view, e.cfg.Retries)
	return l
}

// Work tells of the work that the endpoints beside this node have through it, and of that for a request, "" for none.
func (e *Egress) Work(request string) flight.Work { return e.working.Of(request) }

// Settle notes how a claimed request ended elsewhere.
func (e *Egress) Settle(msg *peerpb.Settle) {
	a := dedupe.Answer{Head: msg.GetHead(), Body: msg.GetBody(), Kept: msg.GetHead() != nil}
	e.keys.settle(time.Now(), msg.GetScope(), msg.GetKey(), msg.GetOutcome(), a)
}
