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

// withHall returns a state in which operators say something of hall-1.
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

// TestEvacuatedDoor has the hall of an endpoint evacuated and taken back while it runs one request and another waits for its slot: the
// first ends in peace, the other is told as not run, later ones are refused until the hall is taken back, whatever their sender believes.
func TestEvacuatedDoor(t *testing.T) {
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
	e := at(t, strings.TrimPrefix(server.URL, "http://"), table.Active)
	var state atomic.Pointer[table.State]
	state.Store(oneSlot(t, e.state()))
	e.state = state.Load
	first, second := make(chan *peerpb.End, 1), make(chan *peerpb.End, 1)
	go func() { first <- serve(t, e, payment()) }()
	<-running
	go func() { second <- serve(t, e, waiting(payment())) }()
	l := e.local(mustEndpoint(t, e.state()), e.state())
	for l.load(0, 0).GetQueued() == 0 {
		continue
	}
	state.Store(withHall(t, e.state(), table.Hall{Evacuated: true}))
	if got, want := serve(t, e, payment()).GetCode(), string(fault.Evacuated); got != want {
		t.Errorf("later request: got %q, want %q", got, want)
	}
	close(finish)
	if end := <-first; end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN || !end.GetComplete() {
		t.Errorf("running request: got %v, want its whole answer", end)
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
		t.Errorf("after the hall was taken back: got %v, want it to run", end)
	}
}

// TestEvacuatedHomeKeepsItsKeys checks that a key's home in an evacuated hall still grants it, for its request to run elsewhere.
func TestEvacuatedHomeKeepsItsKeys(t *testing.T) {
	e := at(t, "127.0.0.1:1", table.Active)
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
		t.Errorf("run at the home: got %q, want %q", got, want)
	}
}

// oneSlot returns a state in which the endpoint runs one request at a time.
func oneSlot(t *testing.T, s *table.State) *table.State {
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

func waiting(d *peerpb.Dispatch) *peerpb.Dispatch {
	d.Exchange, d.Wait = 1, true
	return d
}
