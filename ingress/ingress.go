package ingress

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/metrics"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/ratelimit"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/shutdown"
	"github.com/lynxplank/lynxplank/table"
)

// Config configures an Ingress.
type Config struct {
	// Host is this node's host, Hall that host's hall.
	Host, Hall string
	// Service is the service of the endpoint beside this node. It is passed to endpoints as the caller of a request.
	Service string
	// Incarnation distinguishes this process from earlier ones on the same host.
	Incarnation uint64
	// Contract encodes and decodes the headers exchanged with callers; nil stands for the product's own contract.
	Contract contract.Contract
	// NestedFirst, EarlyRefusal and SuspectRoom are the settings of the same names in the section overload.
	NestedFirst, EarlyRefusal, SuspectRoom bool
}

// Local runs requests at the endpoints beside this node.
type Local interface {
	// Serve runs the request and returns how it ended.
	Serve(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink peer.Sink) *peerpb.End
	// Settle records how a claimed request ended at another host.
	Settle(s *peerpb.Settle)
	// Work returns the in-flight work of the endpoints beside this node, or only that for the named request if there is
	// any.
	Work(request string) inflight.Snapshot
	// NoteCallFailed records that a call made for a request in flight there was not served; it may be called more
	// than once for a call.
	NoteCallFailed(request string)
}

// Ingress is the handler of the callers' listener.
type Ingress struct {
	cfg      Config
	log      *zerolog.Logger
	snapshot func() *configsync.Snapshot
	director *director.Director
	links    *peer.Manager
	local    Local
	metrics  *metrics.Metrics
	limits   Limits
	splits   *splits
	settling inflight.Counter
	// exchangeCount numbers this node's sends; together with Incarnation it identifies a send.
	exchangeCount atomic.Uint64
	// configIsNewest asks the platform whether this node has the newest configuration.
	configIsNewest func(ctx context.Context) bool
	crashes        CrashCounter
	clock          clock.Clock
	// budget bounds the memory that held answers take.
	budget   *memory.Budget
	inFlight inFlightRequests
	early    *earlyRefusals
	// stop is the schedule of the node's planned stop, nil for none.
	stop *shutdown.Schedule

	mu                sync.Mutex
	refusalsByService map[string]*refusals
	searches          map[string]*search
	routeStats        *routeStats
}

// Limits enforces the customers' rate limits.
type Limits interface {
	// Take grants one send of a customer, or returns false and the time after which to retry.
	Take(ctx context.Context, customer string) (ratelimit.Permit, time.Duration, bool)
}

// unlimited grants every send.
type unlimited struct{}

// Take implements Limits.
func (unlimited) Take(context.Context, string) (ratelimit.Permit, time.Duration, bool) {
	return ratelimit.Permit{}, 0, true
}

// WithLimits enforces the customers' rate limits with l.
func WithLimits(l Limits) Option { return func(g *Ingress) { g.limits = l } }

// CrashCounter counts the endpoints that crashed, by the request that they were running.
type CrashCounter interface {
	// Ends returns how many endpoints crashed while they ran requests with a fingerprint.
	Ends(c poison.Fingerprint) int
}

// noCrashes counts no crashes.
type noCrashes struct{}

// Ends implements CrashCounter.
func (noCrashes) Ends(poison.Fingerprint) int { return 0 }

// WithCrashCounter refuses requests under which too many endpoints crashed, as counted by c.
func WithCrashCounter(c CrashCounter) Option { return func(g *Ingress) { g.crashes = c } }

// WithStop has requests end by the bounds of a planned stop, also while nobody calls StopDispatchBefore and Settle.
func WithStop(s *shutdown.Schedule) Option { return func(g *Ingress) { g.stop = s } }

// WithClock replaces the clock that measures how long the host was suspended.
func WithClock(c clock.Clock) Option { return func(g *Ingress) { g.clock = c } }

// WithBudget counts the memory of held answers against b.
func WithBudget(b *memory.Budget) Option { return func(g *Ingress) { g.budget = b } }

// defaultBudget is the memory budget, in bytes, of an ingress without WithBudget.
const defaultBudget = 64 << 20

// Option configures an Ingress.
type Option func(*Ingress)

// WithNewestConfigCheck has f asked before a route or a customer key is refused as unknown: f reports whether the
// active configuration is the newest.
func WithNewestConfigCheck(f func(ctx context.Context) bool) Option {
	return func(g *Ingress) { g.configIsNewest = f }
}

// New returns an ingress.
func New(
	cfg Config, log *zerolog.Logger, snapshot func() *configsync.Snapshot, d *director.Director,
	links *peer.Manager, local Local, m *metrics.Metrics, opts ...Option,
) *Ingress {
	if cfg.Contract == nil {
		cfg.Contract = contract.Native{}
	}
	g := &Ingress{
		cfg: cfg, log: log, snapshot: snapshot, director: d, links: links, local: local, metrics: m,
		limits: unlimited{}, crashes: noCrashes{}, clock: clock.Boot, splits: newSplits(), refusalsByService: make(map[string]*refusals), searches: make(map[string]*search), routeStats: newRouteStats(),
		configIsNewest: func(context.Context) bool { return true }, budget: memory.New(defaultBudget),
		early: newEarlyRefusals(),
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Start implements kernel.Component; requests come from the callers' listener.
func (g *Ingress) Start(context.Context) error { return nil }

// Stop waits until the outcomes of claimed requests were reported to their keys' owners.
func (g *Ingress) Stop(ctx context.Context) error {
	return g.settling.Wait(ctx, "ingress")
}

// CustomerOf returns the customer that a request's header names or whose key it has, "" if there is none.
func (g *Ingress) CustomerOf(h http.Header) string {
	s := g.snapshot().State
	if !s.KeysRequired() {
		decoded, _ := g.cfg.Contract.Call(h)
		return decoded.Customer
	}
	customer, _ := s.CustomerByKey(table.DigestKey(contract.TokenOf(h).Key))
	return customer.Key
}

// ServeHTTP implements http.Handler.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	snap := g.snapshot()
	if !snap.Ready {
		g.refuseEarly(w, r, "", peer.NotRun(fault.NotReady, time.Second), "the node holds no configuration yet")
		return
	}
	c, failure := g.parse(snap, r)
	if failure != nil && (failure.Code == fault.UnknownRoute || failure.Code == fault.UnknownToken) {
		c, failure = g.reparse(r, c)
	}
	if failure != nil {
		events.RequestRefused.Log(g.log).Str("request", c.id).Str("code", string(failure.Code)).
			Str("where", failure.Where).Uint64("config", snap.State.Revisions()[table.SourceConfig]).Send()
		g.refuseEarly(w, r, c.id, peer.NotRun(failure.Code, 0), failure.Detail)
		return
	}
	if l, ok := w.(interface{ SetLabel(label string) }); ok {
		l.SetLabel(c.id)
	}
	serviceMetrics := g.metrics.Service(c.service.Key)
	end, throttled := g.throttle(w, r, &c)
	if !throttled {
		end = g.serve(w, r, c)
		g.recordCapacity(&c, end)
	}
	serviceMetrics.CountRequest(contract.OutcomeName(end.GetOutcome()), end.GetCode())
	elapsed := time.Since(start)
	serviceMetrics.Latency.RecordDuration(elapsed)
	g.metrics.Customer(cmp.Or(c.customer, noCustomer)).RecordDuration(elapsed)
	if end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN && !end.GetComplete() {
		// The answer broke off: close the connection, so that the caller cannot take it for complete.
		panic(http.ErrAbortHandler)
	}
}

// noCustomer is the metrics label of requests without a known customer.
const noCustomer = "none"

// confirmTimeout bounds the query whether the active configuration is the newest.
const confirmTimeout = 250 * time.Millisecond

// reparse parses the request again after it named a route or a customer key that the active configuration does not
// have: one that the platform has accepted in the meantime must not be refused as unknown.
func (g *Ingress) reparse(r *http.Request, c call) (call, *fault.Error) {
	ctx, cancel := context.WithTimeout(r.Context(), confirmTimeout)
	defer cancel()
	if !g.configIsNewest(ctx) {
		return c, fault.New(fault.NotReady, "", "whether the route and the key exist cannot be told now")
	}
	return g.parse(g.snapshot(), r)
}

// refuseEarly answers a request that was refused before any endpoint or owner of its key was asked.
func (g *Ingress) refuseEarly(w http.ResponseWriter, r *http.Request, id string, end *peerpb.End, detail string) {
	end.Outcome = refusedOutcome(g.cfg.Contract, r.Header)
	refuse(w, g.cfg.Contract, id, end, detail)
}

func (g *Ingress) serve(w http.ResponseWriter, r *http.Request, c call) *peerpb.End {
	permit, wait, ok := g.limits.Take(r.Context(), c.customer)
	if !ok {
		end := peer.NotRun(fault.CustomerLimit, wait)
		g.logBeyondLimit(&c, wait)
		g.refuseCall(w, r, &c, end, details[fault.CustomerLimit])
		return end
	}
	body, err := readBody(r)
	if err != nil {
		permit.Return()
		end := peer.NotRun(err.Code, 0)
		g.refuseCall(w, r, &c, end, err.Detail)
		return end
	}
	c.fingerprint = poison.FingerprintOf(c.customer, c.method, c.route.Value.Host, c.target, body.data)
	if g.crashes.Ends(c.fingerprint) >= poison.BlockThreshold {
		permit.Return()
		end := peer.NotRun(fault.FatalRequest, 0)
		events.RequestRefused.Log(g.log).Str("request", c.id).Str("code", end.GetCode()).Str("service", c.service.Key).
			Stringer("content", c.fingerprint).Send()
		g.refuseCall(w, r, &c, end, details[fault.FatalRequest])
		return end
	}
	g.forwardHeaders(&c, r)
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout)
	defer cancel()
	x := g.newExchange(w, c, body, permit)
	defer x.releaseReservations()
	deadline, _ := ctx.Deadline()
	x.allowResends(deadline)
	g.inFlight.add(x)
	defer g.inFlight.remove(x)
	end := x.run(ctx)
	x.refusals.record(end)
	if x.hasPermit {
		x.permit.Return()
	}
	if !x.answer.served(end) {
		g.noteFailedCall(&c)
	}
	if x.call.nested {
		g.metrics.Service(c.service.Key).CountNested(x.rounds.count())
	}
	x.log(end)
	return x.answer.finish(end)
}

// newExchange returns the exchange of a request that has a permit.
func (g *Ingress) newExchange(w http.ResponseWriter, c call, body *requestBody, permit ratelimit.Permit) *exchange {
	x := &exchange{
		g: g, start: time.Now(), stopwatch: g.clock.StartStopwatch(), call: c, body: body, winner: new(winner), permit: permit, hasPermit: true,
		refusals: g.refusals(c.service.Key), search: g.search(c.service.Key),
		resumePause: retry.Backoff{Initial: firstResumePause, Max: maxResumePause},
	}
	x.progress.stop = g.stop
	x.progress.typicalWork = func() time.Duration { return g.routeStats.typicalTime(x.call.route.Key, x.latencyTarget()) }
	x.winner.onFailure = func() { g.noteFailedCall(&c) }
	x.answer = newAnswer(w, c, g.cfg.Contract, x.winner)
	x.answer.progress, x.answer.search = &x.progress, x.search
	x.reserveMemory(x.answer)
	return x
}
