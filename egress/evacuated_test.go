package egress

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// withHall returns a state in which the operators' rows have hall-1.
func withHall(t *testing.T, s *table.State, h table.Hall) *table.State {
	t.Helper()
	to := s.Revision() + 1
	row := table.Encode(table.KindHall, "hall-1", table.Meta{Revision: to}, h)
	next, err := s.With(table.Delta{From: to - 1, To: to, Rows: []table.Row{row}})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestEvacuatedHallIsRefused evacuates the endpoint's hall and later ends the evacuation, while one request runs at
// the endpoint and another waits for its slot. The running one completes, the waiting one is reported as not run, and
// later ones are refused until the evacuation ends, whatever their sender's view is.
func TestEvacuatedHallIsRefused(t *testing.T) {
	var began atomic.Int64
	running, finish := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if began.Add(1) == 1 {
			close(running)
			<-finish
		}
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(server.Close)
	e := newTestEgress(t, strings.TrimPrefix(server.URL, "http://"), table.Active)
	var state atomic.Pointer[table.State]
	state.Store(withOneSlot(t, e.state()))
	e.state = state.Load
	first, second := make(chan *peerpb.End, 1), make(chan *peerpb.End, 1)
	go func() { first <- serve(t, e, payment()) }()
	<-running
	go func() { second <- serve(t, e, waitingOffer(payment())) }()
	l := e.localEndpoint(mustEndpoint(t, e.state()), e.state())
	for l.loadReport(0, 0).GetQueued() == 0 {
		continue
	}
	state.Store(withHall(t, e.state(), table.Hall{Evacuated: true}))
	if got, want := serve(t, e, payment()).GetCode(), string(fault.Evacuated); got != want {
		t.Errorf("later request: got %q, want %q", got, want)
	}
	close(finish)
	if end := <-first; end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN || !end.GetComplete() {
		t.Errorf("running request: got %v, want a complete answer", end)
	}
	end := <-second
	if got, want := end.GetCode(), string(fault.Evacuated); got != want || end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("waiting request: got %v, want not run, %q", end, want)
	}
	if got, want := began.Load(), int64(1); got != want {
		t.Errorf("requests at the endpoint: got %d, want %d", got, want)
	}
	state.Store(withHall(t, e.state(), table.Hall{}))
	if end := serve(t, e, payment()); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN {
		t.Errorf("after the evacuation: got %v, want it to run", end)
	}
}

// TestEvacuatedOwnerStillGrantsKeys checks that a key's owner in an evacuated hall still grants the key, so that its
// request can run elsewhere.
func TestEvacuatedOwnerStillGrantsKeys(t *testing.T) {
	e := newTestEgress(t, "127.0.0.1:1", table.Active)
	s := withHall(t, e.state(), table.Hall{Evacuated: true})
	e.state = func() *table.State { return s }
	d := payment()
	d.Claim = &peerpb.Claim{Scope: "s", Key: "k", Attempt: 1, ClaimOnly: true, Vouched: true}
	if got, want := serve(t, e, d).GetOutcome(), peerpb.Outcome_OUTCOME_CLAIMED; got != want {
		t.Errorf("claim: got %v, want %v", got, want)
	}
	d = payment()
	d.Claim = &peerpb.Claim{Scope: "s", Key: "k2", Attempt: 1, Vouched: true}
	if got, want := serve(t, e, d).GetCode(), string(fault.Evacuated); got != want {
		t.Errorf("run at the owner: got %q, want %q", got, want)
	}
}

// withOneSlot returns a state in which the endpoint runs one request at a time.
func withOneSlot(t *testing.T, s *table.State) *table.State {
	t.Helper()
	row := mustEndpoint(t, s)
	row.Value.Slots = 1
	to := s.Revision() + 1
	next, err := s.With(table.Delta{From: to - 1, To: to, Rows: []table.Row{
		table.Encode(table.KindEndpoint, row.Key, table.Meta{Revision: to}, row.Value),
	}})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func mustEndpoint(t *testing.T, s *table.State) table.Entry[table.Endpoint] {
	t.Helper()
	row, ok := s.Endpoint("e1")
	if !ok {
		t.Fatal("endpoint e1: got none, want one")
	}
	return row
}

func waitingOffer(d *peerpb.Dispatch) *peerpb.Dispatch {
	d.Exchange, d.Wait = 1, true
	return d
}
