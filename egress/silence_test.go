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

// dueSink notes when it is told that an answer is due by now.
type dueSink struct {
	discard
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

// TestSilentWorkIsTold checks that an endpoint which stops answering is suspected while its work is under way, that whoever
// waits for repeatable work there hears it, and that nothing that must not repeat is handed over any more.
func TestSilentWorkIsTold(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	e := at(t, strings.TrimPrefix(server.URL, "http://"), table.Active)
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
			t.Fatalf("request %d: got no word, want to hear that its answer is due", i)
		}
	}
	if got, want := e.locals["e1"].breakerState(), breaker.Trial; got != want {
		t.Errorf("breaker: got %v, want %v", got, want)
	}
	if got, want := serve(t, e, payment()).GetCode(), string(fault.Suspect); got != want {
		t.Errorf("payment: got %q, want %q", got, want)
	}
}

// TestRetriesAreGrantedAtTheDoor checks that a further send takes from the endpoint's part of the budget, and a first one
// does not.
func TestRetriesAreGrantedAtTheDoor(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	e := at(t, strings.TrimPrefix(server.URL, "http://"), table.Active)
	e.cfg.Retries = retry.FleetSlack{Slack: 4, Window: time.Nanosecond, MaxShare: 4}
	again := lookup()
	again.Repeat = true
	if got, want := serve(t, e, again).GetOutcome(), peerpb.Outcome_OUTCOME_RAN; got != want {
		t.Errorf("further send within the budget: got %v, want %v", got, want)
	}
	e.cfg.Retries.Slack = 0
	if got, want := serve(t, e, again).GetCode(), string(fault.RetryBudget); got != want {
		t.Errorf("further send without a budget: got %q, want %q", got, want)
	}
	if got, want := serve(t, e, lookup()).GetOutcome(), peerpb.Outcome_OUTCOME_RAN; got != want {
		t.Errorf("first send: got %v, want %v", got, want)
	}
}
