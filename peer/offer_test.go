package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// syncBuffer is a log that may be written and read concurrently.
type syncBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.String()
}

// offers is an egress that offers a slot for each dispatch and sends on permitted whether the ingress permitted the run.
type offers struct {
	permitted chan bool
	// before is called between the arrival of a dispatch and the offer of a slot.
	before func()
	// ends are the stored ends of exchanges, which Fetch returns.
	ends map[uint64]*peerpb.End
}

func (o *offers) Serve(ctx context.Context, d *peerpb.Dispatch, _ io.Reader, sink Sink) *peerpb.End {
	if o.before != nil {
		o.before()
	}
	p, ok := sink.(Permitter)
	if !ok {
		return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Complete: true}
	}
	if d.GetWait() {
		p.Queued()
	}
	ok = p.Permit(ctx, &peerpb.Load{}, 0)
	o.permitted <- ok
	if !ok {
		return NotRun(fault.OfferLapsed, 0)
	}
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Complete: true}
}

func (o *offers) Fetch(_ context.Context, exchange uint64, sink Sink) *peerpb.End {
	if end := o.ends[exchange]; end != nil {
		_ = sink.Head(&peerpb.Head{Status: 200}, true)
		_ = sink.Data([]byte("stored"), true)
		return end
	}
	return Unknown(fault.LinkLost)
}

func (*offers) Settle(*peerpb.Settle) {}

func (*offers) HandlePoisonReport(*peerpb.Ended) *peerpb.Ended { return nil }

// GrantAllotment implements Handler.
func (*offers) GrantAllotment(_ string, _ int) (int, time.Duration) { return 0, time.Second }

func (*offers) Confirm(context.Context) (uint64, bool) { return 0, false }

func (*offers) Deltas(table.Revisions, bool) []*peerpb.Delta { return nil }

// startOffers starts a node with the handler o.
func startOffers(t *testing.T, o *offers) (*Manager, string) {
	t.Helper()
	return startLogged(t, o, io.Discard)
}

// startLogged starts a node with the handler o that logs to w.
func startLogged(t *testing.T, o *offers, w io.Writer) (*Manager, string) {
	t.Helper()
	return startLoggedHandler(t, o, w)
}

// startHandler starts a node with the handler h.
func startHandler(t *testing.T, h Handler) (*Manager, string) {
	t.Helper()
	return startLoggedHandler(t, h, io.Discard)
}

func startLoggedHandler(t *testing.T, h Handler, w io.Writer) (*Manager, string) {
	t.Helper()
	log := zerolog.New(w)
	m := NewManager(Config{
		Node: "n", Listen: "127.0.0.1:0", Heartbeat: 20 * time.Millisecond, EchoTimeout: time.Second,
		IdleTimeout: time.Minute, MaxConns: 10,
	}, &log)
	m.Handle(h)
	if err := m.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Stop(context.Background()) })
	return m, m.listener.Addr().String()
}

// session returns the link to a peer.
func session(t *testing.T, m *Manager, address string) *Session {
	t.Helper()
	s, err := m.Session(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// offer sends an offer over a link and returns the end of its exchange.
func offer(t *testing.T, ctx context.Context, s *Session, wait bool) *peerpb.End {
	t.Helper()
	d := &peerpb.Dispatch{RequestId: "q", BudgetMicros: 5e6, Exchange: 7, Wait: wait}
	return s.Exchange(ctx, d, nil, &recordingSink{})
}

// TestPermittedOfferRuns checks that a request runs once its ingress has confirmed the offered slot.
func TestPermittedOfferRuns(t *testing.T) {
	o := &offers{permitted: make(chan bool, 1)}
	_, address := startOffers(t, o)
	m, _ := startOffers(t, o)
	end := offer(t, t.Context(), session(t, m, address), true)
	if got, want := end.GetOutcome(), peerpb.Outcome_OUTCOME_RAN; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	if got, want := <-o.permitted, true; got != want {
		t.Errorf("permitted: got %v, want %v", got, want)
	}
}

// TestSilentOfferIsNotRun checks that an egress which does not answer an offer in time gets no Go frame later, and that
// the request is reported as not run, so that it may be retried elsewhere.
func TestSilentOfferIsNotRun(t *testing.T) {
	release := make(chan struct{})
	o := &offers{permitted: make(chan bool, 1), before: func() { <-release }}
	_, address := startOffers(t, o)
	// The link is suspect only until the next echo, which is requested at once and may arrive before the test looks;
	// therefore the test checks the log.
	var log syncBuffer
	m, _ := startLogged(t, o, &log)
	end := offer(t, t.Context(), session(t, m, address), false)
	if got, want := end.GetOutcome(), peerpb.Outcome_OUTCOME_NOT_RUN; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	if got, want := log.String(), fmt.Sprintf(`"event":%d`, events.LinkSuspect.Number); !strings.Contains(got, want) {
		t.Errorf("suspect link: got log %q, want %s in it", got, want)
	}
	close(release)
	if got, want := <-o.permitted, false; got != want {
		t.Errorf("permitted after the ingress gave up: got %v, want %v", got, want)
	}
}

// TestCanceledOfferIsNotRun checks that a request whose caller goes away while it waits for a slot ends as not run.
func TestCanceledOfferIsNotRun(t *testing.T) {
	waiting := make(chan struct{})
	release := make(chan struct{})
	o := &offers{permitted: make(chan bool, 1), before: func() { close(waiting); <-release }}
	_, address := startOffers(t, o)
	m, _ := startOffers(t, o)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-waiting
		cancel()
	}()
	end := offer(t, ctx, session(t, m, address), true)
	if got, want := end.GetOutcome(), peerpb.Outcome_OUTCOME_NOT_RUN; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	close(release)
	if got, want := <-o.permitted, false; got != want {
		t.Errorf("permitted: got %v, want %v", got, want)
	}
}

// TestFetch checks that a stored answer can be fetched directly and through a third node, and that the outcome of an
// exchange that the egress does not know is unknown.
func TestFetch(t *testing.T) {
	whole := &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Complete: true}
	_, address := startOffers(t, &offers{ends: map[uint64]*peerpb.End{7: whole}})
	relay, relayAddress := startOffers(t, &offers{})
	m, _ := startOffers(t, &offers{})
	_ = relay
	fetches := map[string]func(exchange uint64, sink Sink) *peerpb.End{
		"direct": func(exchange uint64, sink Sink) *peerpb.End {
			return session(t, m, address).Fetch(t.Context(), exchange, sink)
		},
		"through a third node": func(exchange uint64, sink Sink) *peerpb.End {
			return session(t, m, relayAddress).FetchVia(t.Context(), address, exchange, sink)
		},
	}
	for name, fetch := range fetches {
		k := &recordingSink{}
		if got, want := fetch(7, k).GetOutcome(), peerpb.Outcome_OUTCOME_RAN; got != want {
			t.Errorf("%s: outcome: got %v, want %v", name, got, want)
		}
		if got, want := string(k.body), "stored"; got != want {
			t.Errorf("%s: body: got %q, want %q", name, got, want)
		}
		if got, want := fetch(8, &recordingSink{}).GetOutcome(), peerpb.Outcome_OUTCOME_UNKNOWN; got != want {
			t.Errorf("%s: outcome of an unknown exchange: got %v, want %v", name, got, want)
		}
	}
}
