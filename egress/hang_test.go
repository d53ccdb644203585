package egress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/table"
)

// dueSink records when it is told that an answer is overdue.
type dueSink struct {
	discardSink
	once sync.Once
	due  chan struct{}
}

func (s *dueSink) Due(in time.Duration) {
	if in == 0 {
		s.once.Do(func() { close(s.due) })
	}
}

func lookup() *peerpb.Dispatch {
	return &peerpb.Dispatch{
		Endpoint: "e1", Service: "desk", Method: http.MethodGet, Target: "/", BudgetMicros: (10 * time.Second).Microseconds(),
		Repeatable: true, Canary: true, TellDue: true, Route: "r", UsualMicros: (20 * time.Millisecond).Microseconds(),
	}
}

// TestSilentRequestsAreReportedDue checks that the breaker of an endpoint that stops answering opens while its
// requests are in flight, that the senders of repeatable ones among them are told, and that no further non-repeatable
// request is dispatched.
func TestSilentRequestsAreReportedDue(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	e := newTestEgress(t, strings.TrimPrefix(server.URL, "http://"), table.Active)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	sinks := []*dueSink{{due: make(chan struct{})}, {due: make(chan struct{})}, {due: make(chan struct{})}}
	for _, s := range sinks {
		go e.Serve(ctx, lookup(), strings.NewReader(""), s)
	}
	for i, s := range sinks {
		select {
		case <-s.due:
		case <-time.After(10 * time.Second):
			t.Fatalf("request %d: got no report, want one that its answer is overdue", i)
		}
	}
	if got, want := e.endpoints["e1"].breakerState(), breaker.Trial; got != want {
		t.Errorf("breaker: got %v, want %v", got, want)
	}
	if got, want := serve(t, e, payment()).GetCode(), string(fault.Suspect); got != want {
		t.Errorf("payment: got %q, want %q", got, want)
	}
}

// TestRetriesAreLimitedAtTheEndpoint checks that a retry is charged to the endpoint's share of the retry budget, and
// a first send is not.
func TestRetriesAreLimitedAtTheEndpoint(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	e := newTestEgress(t, strings.TrimPrefix(server.URL, "http://"), table.Active)
	e.cfg.Retries = retry.FleetSlack{Slack: 4, Window: time.Nanosecond, MaxShare: 4}
	retried := lookup()
	retried.Repeat = true
	if got, want := serve(t, e, retried).GetOutcome(), peerpb.Outcome_OUTCOME_RAN; got != want {
		t.Errorf("retry within the budget: got %v, want %v", got, want)
	}
	e.cfg.Retries.Slack = 0
	if got, want := serve(t, e, retried).GetCode(), string(fault.RetryBudget); got != want {
		t.Errorf("retry without a budget: got %q, want %q", got, want)
	}
	if got, want := serve(t, e, lookup()).GetOutcome(), peerpb.Outcome_OUTCOME_RAN; got != want {
		t.Errorf("first send: got %v, want %v", got, want)
	}
}
