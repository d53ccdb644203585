package egress

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/table"
)

// ratedEndpoint is an endpoint that states in its answers what stated holds, "" for nothing.
type ratedEndpoint struct {
	arrivalRecorder
	stated atomic.Pointer[string]
}

// ServeHTTP implements http.Handler.
func (r *ratedEndpoint) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.arrivalRecorder.ServeHTTP(w, req)
	if text := *r.stated.Load(); text != "" {
		w.Header().Set(header.MaxRate, text)
	}
}

func (r *ratedEndpoint) state(text string) { r.stated.Store(&text) }

func (r *ratedEndpoint) arrivals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.at)
}

func newRatedEndpoint(t *testing.T, text string) (*ratedEndpoint, *Egress) {
	t.Helper()
	r := &ratedEndpoint{}
	r.state(text)
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return r, newTestEgress(t, strings.TrimPrefix(server.URL, "http://"), table.Active)
}

// TestStatedRateHoldsForEveryKindOfSend guards against an endpoint that gets more than it stated because some kind of
// send goes past the limit: first sends, retries, trials, last resorts, requests under a key, offers, and requests that
// wait.
func TestStatedRateHoldsForEveryKindOfSend(t *testing.T) {
	const rate, lasts = 2, 1500 * time.Millisecond
	r, e := newRatedEndpoint(t, "2")
	serve(t, e, lookup())
	kinds := []func(d *peerpb.Dispatch){
		func(*peerpb.Dispatch) {},
		func(d *peerpb.Dispatch) { d.Repeat = true },
		func(d *peerpb.Dispatch) { d.Canary, d.Repeatable = true, true },
		func(d *peerpb.Dispatch) { d.LastResort = true },
		func(d *peerpb.Dispatch) { d.Wait = true },
		func(d *peerpb.Dispatch) { d.Claim = &peerpb.Claim{Scope: "s", Key: "k", Attempt: 1} },
		func(d *peerpb.Dispatch) { d.Exchange = uint64(time.Now().UnixNano()) },
	}
	var wg sync.WaitGroup
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, kind := range kinds {
			d := payment()
			d.BudgetMicros = (200 * time.Millisecond).Microseconds()
			kind(d)
			wg.Go(func() {
				e.Serve(t.Context(), d, strings.NewReader(""), confirmingSink{beforeConfirming: func() {}})
			})
		}
	}
	wg.Wait()
	// The first request, the burst of two, the rate over the test and over the wait of the last requests.
	if got, most := r.arrivals(), 1+2+int(rate*(lasts.Seconds()+0.5)); got > most || got < 3 {
		t.Errorf("arrivals: got %d, want 3 to %d", got, most)
	}
}

// TestStatedRateReachesNewProcess guards against an endpoint that gets more than it stated after its node was restarted:
// the new process learns the rate from the sender of the first request.
func TestStatedRateReachesNewProcess(t *testing.T) {
	r, e := newRatedEndpoint(t, "0.5")
	rate := 0.5
	for range 20 {
		d := payment()
		d.MaxRate = &rate
		if got, want := serve(t, e, d).GetCode(), string(fault.MaxRate); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
	if got := r.arrivals(); got != 0 {
		t.Errorf("arrivals: got %d, want 0", got)
	}
}

// TestStatedRateEndsWithTheStatement checks that the first answer which no longer states a rate ends the limit, and that
// a refusal is not run and says when to come back.
func TestStatedRateEndsWithTheStatement(t *testing.T) {
	r, e := newRatedEndpoint(t, "20")
	serve(t, e, lookup())
	end := serve(t, e, lookupWithin(time.Millisecond))
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN || end.GetCode() != string(fault.MaxRate) || end.GetRetryAfterMillis() <= 0 {
		t.Fatalf("within a millisecond: got %v, want not run, %s, with a time to come back", end, fault.MaxRate)
	}
	if got, want := end.GetLoad().GetMaxRate().GetRate(), 20.0; got != want {
		t.Errorf("report: got %v, want %v", got, want)
	}
	r.state("")
	serve(t, e, lookupWithin(time.Second))
	for range 30 {
		if end := serve(t, e, lookupWithin(time.Second)); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN || end.GetLoad().GetMaxRate() != nil {
			t.Fatalf("after the end: got %v, want it to run, without a rate", end)
		}
	}
}

func lookupWithin(target time.Duration) *peerpb.Dispatch {
	d := lookup()
	d.AimMicros = target.Microseconds()
	return d
}

// TestMalformedRateIsLoggedOnce checks that a rate that cannot be read is logged once and changes nothing.
func TestMalformedRateIsLoggedOnce(t *testing.T) {
	_, e := newRatedEndpoint(t, "1e300")
	var out bytes.Buffer
	log := zerolog.New(&out)
	e.log = &log
	for range 20 {
		if got, want := serve(t, e, lookup()).GetOutcome(), peerpb.Outcome_OUTCOME_RAN; got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
	if got, want := strings.Count(out.String(), `"event":418`), 1; got != want {
		t.Errorf("lines: got %d, want %d", got, want)
	}
}

// TestStatedRateIsSharedFairly guards against a customer that gets nothing of a stated rate because another one sends
// much more: the queue in which requests wait for the rate shares it between customers.
func TestStatedRateIsSharedFairly(t *testing.T) {
	const lasts = 3 * time.Second
	_, e := newRatedEndpoint(t, "10")
	setQueue(t, e, 50)
	serve(t, e, lookup())
	var modest, greedy, sent, refused, refusedAfter atomic.Int64
	var wg sync.WaitGroup
	send := func(customer string, served *atomic.Int64) {
		d := lookupWithin(time.Second)
		d.Customer, d.Wait, d.BudgetMicros = customer, true, time.Second.Microseconds()
		wg.Go(func() {
			start := time.Now()
			if serve(t, e, d).GetOutcome() == peerpb.Outcome_OUTCOME_RAN {
				served.Add(1)
				return
			}
			refused.Add(1)
			refusedAfter.Add(int64(time.Since(start)))
		})
	}
	for n, end := 0, time.Now().Add(lasts); time.Now().Before(end); n++ {
		for range 4 {
			send("greedy", &greedy)
		}
		if n%5 == 0 {
			sent.Add(1)
			send("modest", &modest)
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	// It sends less than half of the rate.
	if got, want := modest.Load(), sent.Load()*9/10; got < want {
		t.Errorf("modest customer: got %d of %d served, want at least %d; the other one %d", got, sent.Load(), want, greedy.Load())
	}
	if got, most := time.Duration(refusedAfter.Load()/refused.Load()), 100*time.Millisecond; got > most {
		t.Errorf("%d refusals: got %v on the average, want at most %v", refused.Load(), got, most)
	}
	if got, want := greedy.Load(), int64(10); got < want {
		t.Errorf("greedy customer: got %d served, want at least %d", got, want)
	}
}

// setQueue lets requests wait in the endpoint's queue.
func setQueue(t *testing.T, e *Egress, length int) {
	t.Helper()
	row, ok := e.state().Service("desk")
	if !ok {
		t.Fatal("no service")
	}
	row.Value.Queue = table.Count(length)
	s, err := e.state().With(table.Delta{From: 1, To: 2, Rows: []table.Row{
		table.Encode(table.KindService, "desk", table.Meta{Version: 2, Revision: 2}, row.Value),
	}})
	if err != nil {
		t.Fatal(err)
	}
	e.state = func() *table.State { return s }
}
