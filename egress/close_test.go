package egress

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// TestCloseRefusesQueuedRequests guards against requests that waited for a slot beside a stopping node until the node
// was gone: Close refused new requests only, and the queued ones learned of the stop when the next slot became free.
//
// Here the slots stay taken. A queued request must be refused at once, so that another endpoint can take it; running
// ones continue.
func TestCloseRefusesQueuedRequests(t *testing.T) {
	const slots = 4
	began, gate := make(chan struct{}, slots), make(chan struct{})
	release := sync.OnceFunc(func() { close(gate) })
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-gate
	}))
	t.Cleanup(server.Close)
	t.Cleanup(release)
	e := newTestEgress(t, strings.TrimPrefix(server.URL, "http://"), table.Active)
	ends := make(chan *peerpb.End, slots+1)
	sendPatient := func() {
		d := payment()
		d.BudgetMicros, d.UsualMicros = time.Minute.Microseconds(), time.Millisecond.Microseconds()
		ends <- serve(t, e, d)
	}
	for range slots {
		go sendPatient()
		<-began
	}
	go sendPatient()
	waiting := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.endpoints["e1"].loadReport(0, 0).GetQueued() > 0
	}
	for !waiting() {
		if len(ends) > 0 {
			t.Fatalf("before the close: got %v, want it to wait", <-ends)
		}
		time.Sleep(time.Millisecond)
	}
	e.Close()
	end := <-ends
	if got, want := end.GetCode(), string(fault.Draining); got != want || end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("waiting: got %v, want not run, %s", end, want)
	}
	release()
	for range slots {
		if got, want := (<-ends).GetOutcome(), peerpb.Outcome_OUTCOME_RAN; got != want {
			t.Errorf("running: got %v, want %v", got, want)
		}
	}
}

// TestCloseRefusesRequestsThatWaitForRate guards against requests that wait beside a stopping node for the rate that the
// endpoint states, until the node is gone.
func TestCloseRefusesRequestsThatWaitForRate(t *testing.T) {
	_, e := newRatedEndpoint(t, "0.3")
	serve(t, e, lookup())
	ended := make(chan *peerpb.End, 1)
	start := time.Now()
	go func() {
		d := payment()
		d.BudgetMicros, d.UsualMicros = time.Minute.Microseconds(), time.Millisecond.Microseconds()
		ended <- serve(t, e, d)
	}()
	for e.Statuses()[0].RateDelayed == 0 {
		if len(ended) > 0 {
			t.Fatalf("before the close: got %v, want it to wait", <-ended)
		}
		time.Sleep(time.Millisecond)
	}
	e.Close()
	end := <-ended
	if got, want := end.GetCode(), string(fault.Draining); got != want || end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("got %v, want not run, %s", end, want)
	}
	if got, most := time.Since(start), time.Second; got > most {
		t.Errorf("refused after %v, want within %v", got, most)
	}
}
