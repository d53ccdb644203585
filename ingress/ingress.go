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
	"github.com/lynxplank/lynxplank/table"
)

// Config is the ingress's section of the settings.
type Config struct {
	// Host is this node's host, Hall its hall.
	Host, Hall string
	// Service is the service of the endpoint beside this node, which endpoints are told as a request's caller.
	Service string
	// Incarnation tells this process from earlier ones.
	Incarnation uint64
	// Contract says how callers are spoken to; nil stands for the product's own.
	Contract contract.Contract
}

// Local runs a request at an endpoint beside this node.
type Local interface {
	// Serve runs the request and returns how it ended.
	Serve(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink peer.Sink) *peerpb.End
	// Settle notes how a claimed request ended elsewhere.
	Settle(s *peerpb.Settle)
	// Work tells of the work that the endpoints beside this node have, and of that for a request.
	Work(request string) inflight.Snapshot
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
	// sent numbers this node's offers.
	sent atomic.Uint64
	// confirm asks the platform whether this node's configuration is the newest.
	confirm func(ctx context.Context) bool
	fatal   CrashCounter
	clock   clock.Clock
	// budget is what this node may hold of answers.
	budget   *memory.Budget
	underWay underWay

	mu      sync.Mutex
	refused map[string]*refusals
	routes  *routes
}

// Limits keeps customers to what they may send.
type Limits interface {
	// Take lets one send of a customer pass, else tells when one should.
	Take(ctx context.Context, customer string) (ratelimit.Permit, time.Duration, bool)
}

// unlimited lets everything pass.
type unlimited struct{}

// Take implements Limits.
func (unlimited) Take(context.Context, string) (ratelimit.Permit, time.Duration, bool) {
	return ratelimit.Permit{}, 0, true
}

// WithLimits has customers kept to their limits.
func WithLimits(l Limits) Option { return func(g *Ingress) { g.limits = l } }

// Fatal tells what is known of requests under which endpoints ended.
type CrashCounter interface {
	// Ends returns how many endpoints ended under a content.
	Ends(c poison.Fingerprint) int
}

// harmless knows of no such request.
type harmless struct{}

// Ends implements Fatal.
func (harmless) Ends(poison.Fingerprint) int { return 0 }

// WithFatal has requests that end endpoints refused.
func WithCrashCounter(f CrashCounter) Option { return func(g *Ingress) { g.fatal = f } }

// WithClock replaces the clock that counts the time in which the host is suspended.
func WithClock(c clock.Clock) Option { return func(g *Ingress) { g.clock = c } }

// WithBudget has what is held of answers counted in b.
func WithBudget(b *memory.Budget) Option { return func(g *Ingress) { g.budget = b } }

// defaultBudget is the budget of an ingress that is given none, in bytes.
const defaultBudget = 64 << 20

// Option changes an ingress under construction.
type Option func(*Ingress)

// WithConfirm has an unknown route told as such only after f has said that the configuration in force is the newest.
func WithNewestConfigCheck(f func(ctx context.Context) bool) Option {
	return func(g *Ingress) { g.confirm = f }
}

// New returns an ingress.
func New(
	cfg Config, log *zerolog.Logger, snapshot func() *configsync.Snapshot, d *director.Director,
	links *peer.Manager, local Local, m *metrics.Metrics, opts ...Option,
) *Ingress {
	if cfg.Contract == nil {
		cfg.Contract = contract.Own{}
	}
	g := &Ingress{
		cfg: cfg, log: log, snapshot: snapshot, director: d, links: links, local: local, metrics: m,
		limits: unlimited{}, fatal: harmless{}, clock: clock.Boot, splits: newSplits(), refused: make(map[string]*refusals), routes: newRoutes(),
		confirm: func(context.Context) bool { return true }, budget: memory.New(defaultBudget),
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Start is part of the component's interface; the listener feeds the ingress.
func (g *Ingress) Start(context.Context) error { return nil }

// Stop waits until the outcomes of claimed requests have been told to their keys' homes.
func (g *Ingress) Stop(ctx context.Context) error {
	return g.settling.Wait(ctx, "ingress")
}

// Payer returns the customer of a request by what its header says, "" for none that is known.
func (g *Ingress) CustomerOf(h http.Header) string {
	s := g.snapshot().State
	if !s.KeysRequired() {
		say, _ := g.cfg.Contract.Call(h)
		return say.Customer
	}
	holder, _ := s.CustomerByKey(table.DigestKey(contract.TokenOf(h).Key))
	return holder.Key
}

// ServeHTTP serves one caller's request.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	snap := g.snapshot()
	if !snap.Ready {
		g.refuseEarly(w, r, "", peer.NotRun(fault.NotReady, time.Second), "the node holds no configuration yet")
		return
	}
	c, bad := g.parse(snap, r)
	if bad != nil && (bad.Code == fault.UnknownRoute || bad.Code == fault.UnknownToken) {
		c, bad = g.parseAgain(r, c)
	}
	if bad != nil {
		events.RequestRefused.Log(g.log).Str("request", c.id).Str("code", string(bad.Code)).
			Str("where", bad.Where).Uint64("config", snap.State.Revisions()[table.SourceConfig]).Send()
		g.refuseEarly(w, r, c.id, peer.NotRun(bad.Code, 0), bad.Detail)
		return
	}
	class := g.metrics.Service(c.service.Key)
	end := g.serve(w, r, c)
	class.Count(contract.OutcomeName(end.GetOutcome()), end.GetCode())
	elapsed := time.Since(start)
	class.Latency.RecordDuration(elapsed)
	g.metrics.Customer(cmp.Or(c.customer, nobody)).RecordDuration(elapsed)
	if end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN && !end.GetComplete() {
		// The answer was cut: break the connection, so that it cannot look whole.
		panic(http.ErrAbortHandler)
	}
}

// nobody stands in the metrics for callers that bear no customer's key.
const nobody = "none"

// confirmLimit bounds the question whether the configuration in force is the newest.
const confirmLimit = 250 * time.Millisecond

// parseAgain looks once more for a route or a key that the configuration in force does not have: one that the platform has
// accepted meanwhile must not be told as unknown.
func (g *Ingress) parseAgain(r *http.Request, c call) (call, *fault.Error) {
	ctx, cancel := context.WithTimeout(r.Context(), confirmLimit)
	defer cancel()
	if !g.confirm(ctx) {
		return c, fault.New(fault.NotReady, "", "whether the route and the key exist cannot be told now")
	}
	return g.parse(g.snapshot(), r)
}

// refuseEarly answers a request for which no endpoint and no key's home was asked.
func (g *Ingress) refuseEarly(w http.ResponseWriter, r *http.Request, id string, end *peerpb.End, detail string) {
	end.Outcome = refusedOutcome(g.cfg.Contract, r.Header)
	refuse(w, g.cfg.Contract, id, end, detail)
}

func (g *Ingress) serve(w http.ResponseWriter, r *http.Request, c call) *peerpb.End {
	pass, wait, ok := g.limits.Take(r.Context(), c.customer)
	if !ok {
		end := peer.NotRun(fault.CustomerLimit, wait)
		events.RequestRefused.Log(g.log).Str("request", c.id).Str("code", end.GetCode()).Str("customer", c.customer).
			Dur("retry_after", wait).Send()
		g.refuseEarly(w, r, c.id, end, details[fault.CustomerLimit])
		return end
	}
	body, err := takeBody(r)
	if err != nil {
		pass.Return()
		end := peer.NotRun(err.Code, 0)
		g.refuseEarly(w, r, c.id, end, err.Detail)
		return end
	}
	c.content = poison.FingerprintOf(c.customer, c.method, c.route.Value.Host, c.target, body.head)
	if g.fatal.Ends(c.content) >= poison.BlockThreshold {
		pass.Return()
		end := peer.NotRun(fault.FatalRequest, 0)
		events.RequestRefused.Log(g.log).Str("request", c.id).Str("code", end.GetCode()).Str("service", c.service.Key).
			Stringer("content", c.content).Send()
		g.refuseEarly(w, r, c.id, end, details[fault.FatalRequest])
		return end
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout)
	defer cancel()
	x := &exchange{g: g, start: time.Now(), watch: g.clock.StartStopwatch(), call: c, body: body, winner: new(winner), pass: pass, paid: true}
	x.answer = newAnswer(w, c, g.cfg.Contract, x.winner)
	x.answer.progress = &x.progress
	x.holdFor(x.answer)
	defer x.free()
	g.underWay.add(x)
	defer g.underWay.remove(x)
	x.refusals = g.refusals(c.service.Key)
	end := x.run(ctx)
	if x.paid {
		x.pass.Return()
	}
	x.log(end)
	return x.answer.finish(end)
}
