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

// TestClosedDoorTurnsWaitingAway tells of requests that waited for a slot beside a stopping node until the node was gone: its door was closed to
// new requests alone, and what waited behind it learned of the stop with the next free slot only.
//
// Here the slots stay taken. What waits is told at once that the door is closed, so that another endpoint can have it; what runs goes on.
func TestClosedDoorTurnsWaitingAway(t *testing.T) {
	const slots = 4
	began, gate := make(chan struct{}, slots), make(chan struct{})
	release := sync.OnceFunc(func() { close(gate) })
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-gate
	}))
	t.Cleanup(server.Close)
	t.Cleanup(release)
	e := at(t, strings.TrimPrefix(server.URL, "http://"), table.Active)
	ends := make(chan *peerpb.End, slots+1)
	patient := func() {
		d := payment()
		d.BudgetMicros, d.UsualMicros = time.Minute.Microseconds(), time.Millisecond.Microseconds()
		ends <- serve(t, e, d)
	}
	for range slots {
		go patient()
		<-began
	}
	go patient()
	waiting := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.locals["e1"].load(0, 0).GetQueued() > 0
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
