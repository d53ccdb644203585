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

// arrivalTimes is an endpoint that notes when requests come.
type arrivalTimes struct {
	mu sync.Mutex
	at []time.Time
}

// ServeHTTP implements http.Handler.
func (a *arrivalTimes) ServeHTTP(http.ResponseWriter, *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// most is the largest number of arrivals in a second.
func (a *arrivalTimes) most() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, at := range a.at {
		for at.Sub(a.at[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// coldEndpoint returns an egress whose one endpoint announces itself and bears 20 requests a second while it is cold, 24 and 4 in any
// second at most; say brings its word of how long it is cold.
func coldEndpoint(t *testing.T) (e *Egress, at *arrivalTimes, say func(cold time.Duration)) {
	t.Helper()
	at = &arrivalTimes{}
	server := httptest.NewServer(at)
	t.Cleanup(server.Close)
	log := zerolog.Nop()
	r := registry.New("h1", "hall-1", &log, func([]table.Announced) {})
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
	say = func(cold time.Duration) {
		sequence++
		beat := registry.Heartbeat{
			Instance: "e1", Service: "desk", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 50, Sequence: sequence, Cold: cold,
		}
		if err := r.Beat(beat); err != nil {
			t.Fatal(err)
		}
	}
	return e, at, say
}

// coldLookup asks for a slot and waits for none, or for its turn.
func coldLookup(wait bool) *peerpb.Dispatch {
	return &peerpb.Dispatch{
		Endpoint: "e1", Service: "desk", Method: http.MethodGet, Target: "/", Repeatable: true, Exchange: 1, Wait: wait,
		BudgetMicros: (3 * time.Second).Microseconds(),
	}
}

// TestColdEndpointGetsWhatItBears presses an endpoint that says that it is cold, by itself and by what its hall went through: whoever
// sends, no second brings more than it bears, the rest is told as not run and when to come back, those that may wait are served in their
// turn; warm by its own word it takes everything.
func TestColdEndpointGetsWhatItBears(t *testing.T) {
	e, at, say := coldEndpoint(t)
	say(10 * time.Second)
	refused := press(t, e, 1500*time.Millisecond)
	if got, most := at.most(), 28; got > most || got < 10 || refused == 0 {
		t.Errorf("arrivals in a second: got %d, refused %d, want 10 to %d and some refused", got, refused, most)
	}
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			if end := serve(t, e, coldLookup(true)); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN {
				t.Errorf("one that waits: got %v, want it to run", end)
			}
		})
	}
	wg.Wait()
	if got, most := at.most(), 28; got > most {
		t.Errorf("arrivals in a second with those that waited: got %d, want at most %d", got, most)
	}
	say(0)
	for range 40 {
		if end := serve(t, e, coldLookup(false)); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN {
			t.Fatalf("once warm: got %v, want it to run", end)
		}
	}
}

// press sends many requests that wait for nothing, for some time, and returns how many were refused.
func press(t *testing.T, e *Egress, d time.Duration) (refused int) {
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
			t.Fatalf("refusal: got %v, want the endpoint's word of how long it is cold", end)
		}
		refused++
	}
	return refused
}

// TestReturnedHallIsInDoubt has a hall evacuated and taken back: until its endpoint gives its word anew, it gets what a cold one bears.
func TestReturnedHallIsInDoubt(t *testing.T) {
	e, _, say := coldEndpoint(t)
	say(0)
	if end := serve(t, e, coldLookup(false)); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN {
		t.Fatalf("before: got %v, want it to run", end)
	}
	home := e.state()
	for _, s := range []*table.State{withHall(t, home, table.Hall{Evacuated: true}), home} {
		e.observeHall(s)
	}
	passed := 0
	for range 60 {
		if serve(t, e, coldLookup(false)).GetOutcome() == peerpb.Outcome_OUTCOME_RAN {
			passed++
		}
	}
	if got, most := passed, 28; got > most {
		t.Errorf("passed at once after the return: got %d, want at most %d", got, most)
	}
	say(0)
	if end := serve(t, e, coldLookup(false)); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN {
		t.Errorf("after its word: got %v, want it to run", end)
	}
}

// TestLateWordIsNotSent has a sender give its word only after the time in which an admission counts: the request is told as not run.
func TestLateWordIsNotSent(t *testing.T) {
	e, at, say := coldEndpoint(t)
	lost := time.Duration(0)
	e.clock = func() time.Time { return clock.Boot().Add(lost) }
	say(0)
	d := coldLookup(false)
	end := e.Serve(t.Context(), d, strings.NewReader(""), slowWord{meanwhile: func() { lost = 2 * coldstart.MaxSendDelay }})
	if got, want := end.GetCode(), string(fault.OfferLapsed); got != want || end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("late word: got %v, want not run, %q", end, want)
	}
	if got, want := at.most(), 0; got != want {
		t.Errorf("arrivals: got %d, want %d", got, want)
	}
}
