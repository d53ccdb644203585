package egress

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/coldstart"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/registry"
	"github.com/lynxplank/lynxplank/table"
)

// arrivalRecorder is an endpoint that records when requests arrive.
type arrivalRecorder struct {
	mu sync.Mutex
	at []time.Time
}

// ServeHTTP implements http.Handler.
func (a *arrivalRecorder) ServeHTTP(http.ResponseWriter, *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// maxPerSecond returns the largest number of arrivals within a second.
func (a *arrivalRecorder) maxPerSecond() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	maxArrivals, first := 0, 0
	for i, at := range a.at {
		for at.Sub(a.at[first]) > time.Second {
			first++
		}
		maxArrivals = max(maxArrivals, i-first+1)
	}
	return maxArrivals
}

// coldEndpoint returns an egress with one endpoint that announces itself. While it is cold it can sustain 20 requests a
// second, and can serve at most 24 plus a slack of 4 within any one second. report sends a heartbeat that says how long
// it is still cold.
func coldEndpoint(t *testing.T) (e *Egress, at *arrivalRecorder, report func(cold time.Duration)) {
	t.Helper()
	at = &arrivalRecorder{}
	server := httptest.NewServer(at)
	t.Cleanup(server.Close)
	log := zerolog.Nop()
	r := registry.New("h1", "hall-1", &log, func([]table.Announced, table.PastIncarnations) {})
	s, err := table.NewState().With(table.Delta{Full: true, To: 1, Rows: []table.Row{
		table.Encode(table.KindService, "desk", table.Meta{}, table.Service{Queue: 50, Warmup: table.Duration(time.Second), ColdRate: 20}),
	}})
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{
		Host: "h1", Hall: "hall-1", ProbeInterval: time.Second, KeyWindow: time.Minute, KeyBytes: 1 << 20,
		ColdLimit: coldstart.Bound{RateFactor: 1.2, Slack: 4},
	}
	e = New(cfg, &log, func() *table.State { return s }, WithRegistry(r))
	sequence := uint64(0)
	report = func(cold time.Duration) {
		sequence++
		beat := registry.Heartbeat{
			Instance: "e1", Service: "desk", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 50, Sequence: sequence, Cold: cold,
		}
		if err := r.Beat(beat); err != nil {
			t.Fatal(err)
		}
	}
	return e, at, report
}

// coldLookup returns a request that, without wait, is refused if it cannot be admitted at once.
func coldLookup(wait bool) *peerpb.Dispatch {
	return &peerpb.Dispatch{
		Endpoint: "e1", Service: "desk", Method: http.MethodGet, Target: "/", Repeatable: true, Exchange: 1, Wait: wait,
		BudgetMicros: (3 * time.Second).Microseconds(),
	}
}

// TestColdEndpointIsRateLimited sends many requests to an endpoint that reports that it is cold. In no second does it
// get more than it can serve; the other requests are reported as not run, with a time to come back, and those that may
// wait are admitted later. Once it reports that it is warm, it gets everything.
func TestColdEndpointIsRateLimited(t *testing.T) {
	e, at, report := coldEndpoint(t)
	report(10 * time.Second)
	refused := flood(t, e, 1500*time.Millisecond)
	if got, limit := at.maxPerSecond(), 28; got > limit || got < 10 || refused == 0 {
		t.Errorf("arrivals in a second: got %d, refused %d, want 10 to %d and some refused", got, refused, limit)
	}
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			if end := serve(t, e, coldLookup(true)); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN {
				t.Errorf("request that may wait: got %v, want it to run", end)
			}
		})
	}
	wg.Wait()
	if got, limit := at.maxPerSecond(), 28; got > limit {
		t.Errorf("arrivals in a second with requests that waited: got %d, want at most %d", got, limit)
	}
	report(0)
	for range 40 {
		if end := serve(t, e, coldLookup(false)); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN {
			t.Fatalf("once warm: got %v, want it to run", end)
		}
	}
}

// flood sends requests that do not wait, for a time, and returns how many were refused.
func flood(t *testing.T, e *Egress, d time.Duration) (refused int) {
	t.Helper()
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		end := serve(t, e, coldLookup(false))
		if end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN {
			continue
		}
		if end.GetCode() != string(fault.Cold) || end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN || end.GetRetryAfterMillis() == 0 {
			t.Fatalf("request: got %v, want it to run or to be refused as cold, with a time to come back", end)
		}
		if end.GetLoad().GetColdMicros() == 0 {
			t.Fatalf("refusal: got %v, want the endpoint's report of how long it is cold", end)
		}
		refused++
	}
	return refused
}

// TestRestoredHallIsPossiblyCold evacuates a hall and ends the evacuation: until its endpoint reports again, it gets
// no more than a cold one can serve.
func TestRestoredHallIsPossiblyCold(t *testing.T) {
	e, _, report := coldEndpoint(t)
	report(0)
	if end := serve(t, e, coldLookup(false)); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN {
		t.Fatalf("before: got %v, want it to run", end)
	}
	original := e.state()
	for _, s := range []*table.State{withHall(t, original, table.Hall{Evacuated: true}), original} {
		e.observeHall(s)
	}
	passed := 0
	for range 60 {
		if serve(t, e, coldLookup(false)).GetOutcome() == peerpb.Outcome_OUTCOME_RAN {
			passed++
		}
	}
	if got, limit := passed, 28; got > limit {
		t.Errorf("passed at once after the evacuation: got %d, want at most %d", got, limit)
	}
	report(0)
	if end := serve(t, e, coldLookup(false)); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN {
		t.Errorf("after its report: got %v, want it to run", end)
	}
}

// TestLateConfirmationIsNotRun has a sender confirm only after the time for which an admission holds: the request is
// reported as not run.
func TestLateConfirmationIsNotRun(t *testing.T) {
	e, at, report := coldEndpoint(t)
	lost := time.Duration(0)
	e.clock = func() time.Time { return clock.Boot().Add(lost) }
	report(0)
	d := coldLookup(false)
	end := e.Serve(t.Context(), d, strings.NewReader(""), confirmingSink{beforeConfirming: func() { lost = 2 * coldstart.MaxSendDelay }})
	if got, want := end.GetCode(), string(fault.OfferLapsed); got != want || end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("late confirmation: got %v, want not run, %q", end, want)
	}
	if got, want := at.maxPerSecond(), 0; got != want {
		t.Errorf("arrivals: got %d, want %d", got, want)
	}
}
