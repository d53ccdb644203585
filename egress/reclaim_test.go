package egress

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/latency"
	"github.com/lynxplank/lynxplank/table"
)

// testSlots is the number of slots of the test egress's endpoint.
const testSlots = 4

// hangingEndpoint answers requests at once, except while it hangs: a request that arrives then is never answered.
type hangingEndpoint struct {
	hangs atomic.Bool
	// persists has the endpoint go on with requests whose connections are closed, and refuse those beyond its slots.
	persists bool
	running  atomic.Int64
	closed   atomic.Int64
	release  chan struct{}
}

func (h *hangingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer h.running.Add(-1)
	if h.running.Add(1) > testSlots && h.persists {
		w.Header().Set(header.NotRun, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !h.hangs.Load() {
		return
	}
	if !h.persists {
		select {
		case <-r.Context().Done():
			h.closed.Add(1)
		case <-h.release:
		}
		return
	}
	<-h.release
}

// logBuffer holds the log of an egress.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// lines returns the lines of an event.
func (b *logBuffer) lines(event string) (out []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.buf.String()) {
		if strings.Contains(line, `"event":`+event+`,`) {
			out = append(out, line)
		}
	}
	return out
}

// startHanging returns an egress, with reclamation or without, whose endpoint has answered a number of lookups and then
// began to hang.
func startHanging(t *testing.T, reclaims bool, h *hangingEndpoint) (*Egress, *localEndpoint, *logBuffer) {
	t.Helper()
	h.release = make(chan struct{})
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(h.release) })
	e := newTestEgress(t, strings.TrimPrefix(server.URL, "http://"), table.Active)
	e.cfg.ReclaimSlots = reclaims
	out := new(logBuffer)
	log := zerolog.New(out)
	e.log = &log
	for range 20 {
		if end := serve(t, e, lookup()); !end.GetComplete() {
			t.Fatalf("lookup before the endpoint hangs: got %v, want an answer", end)
		}
	}
	h.hangs.Store(true)
	l := e.endpoints["e1"]
	l.mu.Lock()
	defer l.mu.Unlock()
	// The model does not depend on how busy the machine was.
	l.latencies = latency.NewModels()
	for range 50 {
		l.latencies.Observe(lookup().GetRoute(), 2*time.Millisecond)
	}
	return e, l, out
}

// occupy has requests take all slots of the endpoint and returns where their ends arrive.
func occupy(t *testing.T, h *hangingEndpoint, run func(ctx context.Context) *peerpb.End) <-chan *peerpb.End {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	ends := make(chan *peerpb.End, testSlots)
	for range testSlots {
		go func() { ends <- run(ctx) }()
	}
	for start := time.Now(); h.running.Load() < testSlots; time.Sleep(time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatalf("slots taken: got %d, want %d", h.running.Load(), testSlots)
		}
	}
	// All runs are overdue, also the oldest one.
	time.Sleep(400 * time.Millisecond)
	return ends
}

// yieldingSink cancels its request when it is asked to give up the slot, unless its node stops.
type yieldingSink struct {
	discardSink
	cancel   context.CancelFunc
	stopping bool
	asked    *atomic.Int64
}

// YieldSlot implements peer.SlotYielder.
func (s yieldingSink) YieldSlot() {
	s.asked.Add(1)
	if !s.stopping {
		s.cancel()
	}
}

// serveYielding serves a request whose sender gives up its slot if it is asked to.
func serveYielding(ctx context.Context, e *Egress, d *peerpb.Dispatch) *peerpb.End {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	return e.Serve(ctx, d, strings.NewReader(""), yieldingSink{cancel: cancel, asked: new(atomic.Int64)})
}

// serveFor serves a request that has a deadline.
func serveFor(t *testing.T, e *Egress, d *peerpb.Dispatch, deadline time.Duration) *peerpb.End {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	d.BudgetMicros = deadline.Microseconds()
	return e.Serve(ctx, d, strings.NewReader(""), discardSink{})
}

// TestHungRunsYieldTheirSlots has lookups hold all slots of an endpoint that hangs for a spell. With reclamation, a
// lookup after the spell is served at once, and one run has ended with an unknown outcome, counted once as a failed
// request and not as a crash; without, the lookup waits in vain.
func TestHungRunsYieldTheirSlots(t *testing.T) {
	for name, reclaims := range map[string]bool{"with": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			h := new(hangingEndpoint)
			e, l, log := startHanging(t, reclaims, h)
			ends := occupy(t, h, func(ctx context.Context) *peerpb.End {
				return serveYielding(ctx, e, lookup())
			})
			h.hangs.Store(false)
			finished, failed := l.finished.Load(), l.failed.Load()
			end := serveFor(t, e, lookup(), time.Second)
			if got, want := end.GetComplete(), reclaims; got != want {
				t.Errorf("lookup after the spell: got %v, want answered %v", end, want)
			}
			if got, want := len(log.lines("421")) == 1, reclaims; got != want {
				t.Fatalf("lines on reclaimed slots: got %v, want one %v", log.lines("421"), want)
			}
			if !reclaims {
				return
			}
			end = <-ends
			if end.GetOutcome() != peerpb.Outcome_OUTCOME_UNKNOWN || end.GetCode() != string(fault.EndpointHung) {
				t.Errorf("ended run: got %v, want unknown, %s", end, fault.EndpointHung)
			}
			if got, want := l.failed.Load()-failed, uint64(1); got != want {
				t.Errorf("failed runs: got %d, want %d", got, want)
			}
			if got, limit := l.finished.Load()-finished, uint64(2); got > limit {
				t.Errorf("finished runs: got %d, want at most %d", got, limit)
			}
			if got, want := e.Statuses()[0].Reclaimed, uint64(1); got != want {
				t.Errorf("reclaimed slots in the status: got %d, want %d", got, want)
			}
			if got := log.lines("411"); len(got) > 0 {
				t.Errorf("crashes: got %v, want none", got)
			}
			for start := time.Now(); h.closed.Load() == 0 && time.Since(start) < 5*time.Second; {
				time.Sleep(time.Millisecond)
			}
			if got, want := h.closed.Load(), int64(1); got != want {
				t.Errorf("connections closed: got %d, want %d", got, want)
			}
		})
	}
}

// TestBusyOfferStaysRefused checks that an offer that may not wait is refused as not run although it has a run ended,
// and that the slot is free for the next one.
func TestBusyOfferStaysRefused(t *testing.T) {
	h := new(hangingEndpoint)
	e, l, log := startHanging(t, true, h)
	ends := occupy(t, h, func(ctx context.Context) *peerpb.End {
		return serveYielding(ctx, e, lookup())
	})
	h.hangs.Store(false)
	l.mu.Lock()
	l.breaker.ForceClose(time.Now())
	l.mu.Unlock()
	offer := func() *peerpb.End {
		d := lookup()
		d.Exchange = e.nextID.Add(1)
		return e.Serve(t.Context(), d, strings.NewReader(""), confirmingSink{beforeConfirming: func() {}})
	}
	if end := offer(); end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN || end.GetCode() != string(fault.Busy) {
		t.Errorf("first offer: got %v, want not run, %s", end, fault.Busy)
	}
	if got, want := (<-ends).GetCode(), string(fault.EndpointHung); got != want {
		t.Errorf("ended run: got %q, want %q", got, want)
	}
	if end := offer(); !end.GetComplete() {
		t.Errorf("second offer: got %v, want an answer", end)
	}
	if got, want := len(log.lines("421")), 1; got != want {
		t.Errorf("lines on reclaimed slots: got %d, want %d", got, want)
	}
}

// TestRunsThatMustNotRepeatAreKept has non-repeatable requests, or requests under a claim on an idempotency key, hold all
// slots of an endpoint that hangs: none of them is ended for a lookup that waits.
func TestRunsThatMustNotRepeatAreKept(t *testing.T) {
	unrepeatable, claimed := lookup(), lookup()
	unrepeatable.Repeatable = false
	claimed.Claim = &peerpb.Claim{Scope: "s", Key: "k"}
	for name, d := range map[string]*peerpb.Dispatch{"unrepeatable": unrepeatable, "claimed": claimed} {
		t.Run(name, func(t *testing.T) {
			h := new(hangingEndpoint)
			e, l, log := startHanging(t, true, h)
			// The claim itself counts as granted.
			ends := occupy(t, h, func(ctx context.Context) *peerpb.End {
				ctx, cancel := context.WithCancel(ctx)
				defer cancel()
				return e.admitAndRun(ctx, d, strings.NewReader(""), yieldingSink{cancel: cancel, asked: new(atomic.Int64)})
			})
			if got, want := l.breakerState(), breaker.Trial; got != want {
				t.Fatalf("breaker: got %v, want %v", got, want)
			}
			if end := serveFor(t, e, lookup(), 500*time.Millisecond); end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
				t.Errorf("lookup: got %v, want not run", end)
			}
			if got, want := len(ends), 0; got != want {
				t.Errorf("ended runs: got %d, want %d", got, want)
			}
			if got := log.lines("421"); len(got) > 0 {
				t.Errorf("lines on reclaimed slots: got %v, want none", got)
			}
		})
	}
}

// TestPersistentEndpointRefuses has the endpoint go on with the work of closed connections and refuse the request that
// gets the slot: it is refused as not run, which is true, although the slot was free for the egress.
func TestPersistentEndpointRefuses(t *testing.T) {
	h := &hangingEndpoint{persists: true}
	e, _, log := startHanging(t, true, h)
	occupy(t, h, func(ctx context.Context) *peerpb.End {
		return serveYielding(ctx, e, lookup())
	})
	h.hangs.Store(false)
	end := serveFor(t, e, lookup(), time.Second)
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN || end.GetCode() != string(fault.EndpointShed) {
		t.Errorf("lookup: got %v, want not run, %s", end, fault.EndpointShed)
	}
	if got, want := len(log.lines("421")), 1; got != want {
		t.Errorf("lines on reclaimed slots: got %d, want %d", got, want)
	}
}

// TestStoppingSenderKeepsItsRun guards against work that is cut off while the node of its caller stops: the sender of a
// run that holds a slot in vain is asked for the slot and declines, and the run goes on.
func TestStoppingSenderKeepsItsRun(t *testing.T) {
	h := new(hangingEndpoint)
	e, _, log := startHanging(t, true, h)
	asked := new(atomic.Int64)
	ends := occupy(t, h, func(ctx context.Context) *peerpb.End {
		return e.Serve(ctx, lookup(), strings.NewReader(""), yieldingSink{stopping: true, asked: asked})
	})
	serveFor(t, e, lookup(), 500*time.Millisecond)
	if got := asked.Load(); got == 0 {
		t.Errorf("senders asked for a slot: got %d, want at least 1", got)
	}
	if got, want := len(ends), 0; got != want {
		t.Errorf("ended runs: got %d, want %d", got, want)
	}
	if got := log.lines("421"); len(got) > 0 {
		t.Errorf("lines on reclaimed slots: got %v, want none", got)
	}
}
