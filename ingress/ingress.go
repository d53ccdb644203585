package ingress

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/flight"
	"github.com/lynxplank/lynxplank/follow"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/metrics"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/retry"
)

// Config is the ingress's section of the settings.
type Config struct {
	// Host is this node's host.
	Host string
	// BodyBytes bounds a request's body.
	BodyBytes int64
	// ReplayBytes is the largest body that is kept to be sent again.
	ReplayBytes int64
}

// Local runs a request at an endpoint beside this node.
type Local interface {
	// Serve runs the request and returns how it ended.
	Serve(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink peer.Sink) *peerpb.End
	// Settle notes how a claimed request ended elsewhere.
	Settle(s *peerpb.Settle)
}

// Ingress is the handler of the callers' listener.
type Ingress struct {
	cfg      Config
	log      *zerolog.Logger
	snapshot func() *follow.Snapshot
	director *director.Director
	links    *peer.Manager
	local    Local
	metrics  *metrics.Metrics
	limits   *limiters
	settling flight.Counter

	mu      sync.Mutex
	budgets map[string]*budget
}

// budget is a service's retry budget with its lock.
type budget struct {
	mu sync.Mutex
	*retry.Budget
}

// New returns an ingress.
func New(
	cfg Config, log *zerolog.Logger, snapshot func() *follow.Snapshot, d *director.Director,
	links *peer.Manager, local Local, m *metrics.Metrics,
) *Ingress {
	return &Ingress{
		cfg: cfg, log: log, snapshot: snapshot, director: d, links: links, local: local, metrics: m,
		limits: newLimiters(), budgets: make(map[string]*budget),
	}
}

// Start is part of the component's interface; the listener feeds the ingress.
func (g *Ingress) Start(context.Context) error { return nil }

// Stop waits until the outcomes of claimed requests have been told to their keys' homes.
func (g *Ingress) Stop(ctx context.Context) error {
	return g.settling.Wait(ctx, "ingress")
}

// ServeHTTP serves one caller's request.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	snap := g.snapshot()
	if !snap.Ready {
		refuse(w, "", peer.NotRun(fault.NotReady, time.Second), "the node holds no configuration yet")
		return
	}
	c, bad := g.parse(snap, r)
	if bad != nil {
		refuse(w, c.id, peer.NotRun(bad.Code, 0), bad.Detail)
		return
	}
	class := g.metrics.Service(c.service.Key)
	end := g.serve(w, r, c)
	class.Count(outcomeName(end.GetOutcome()), end.GetCode())
	elapsed := time.Since(start)
	class.Latency.RecordDuration(elapsed)
	g.metrics.Customer(c.customer).RecordDuration(elapsed)
	if end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN && !end.GetComplete() {
		// The answer was cut: break the connection, so that it cannot look whole.
		panic(http.ErrAbortHandler)
	}
}

func (g *Ingress) serve(w http.ResponseWriter, r *http.Request, c call) *peerpb.End {
	if wait, ok := g.limits.take(g.snapshot().State, c.customer); !ok {
		end := peer.NotRun(fault.CustomerLimit, wait)
		refuse(w, c.id, end, "the customer sends more than its limit")
		return end
	}
	body, err := g.takeBody(w, r, c.timeout)
	if err != nil {
		end := peer.NotRun(err.Code, 0)
		refuse(w, c.id, end, err.Detail)
		return end
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout)
	defer cancel()
	x := &exchange{g: g, call: c, body: body, answer: newAnswer(w, c, body.replayable())}
	x.budget = g.budget(c.service.Key)
	x.budget.request(float64(c.service.Value.RetryBudget))
	end := x.run(ctx)
	return x.answer.finish(end)
}

func (g *Ingress) budget(service string) *budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = &budget{Budget: retry.NewBudget()}
		g.budgets[service] = b
	}
	return b
}

func (b *budget) request(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Request(share)
}

func (b *budget) decide(a retry.Attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Answer(a.Overloaded)
	return b.Decide(a)
}
