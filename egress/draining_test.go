package egress

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/table"
)

// quietLeaver says in its answers that it is leaving, while leaving is set, and nothing on its probe.
type quietLeaver struct {
	leaving atomic.Bool
	work    atomic.Int64
}

// ServeHTTP implements http.Handler.
func (q *quietLeaver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	q.work.Add(1)
	if q.leaving.Load() {
		w.Header().Set(header.Leaving, "yes")
	}
}

// probing returns an egress that probes its endpoint often.
func probing(t *testing.T, address string) *Egress {
	t.Helper()
	e := newTestEgress(t, address, table.Active)
	e.cfg.ProbeInterval, e.cfg.ProbePath = 10*time.Millisecond, "/healthz"
	if err := e.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.cancelProbes)
	return e
}

// TestGoodProbeTakesNoDrainBack guards against an endpoint that gets new work after it has said that it is leaving,
// because its probe still succeeds. Only another process at its address gets work again.
func TestGoodProbeTakesNoDrainBack(t *testing.T) {
	q := &quietLeaver{}
	q.leaving.Store(true)
	server := httptest.NewServer(q)
	address := server.Listener.Addr().String()
	e := probing(t, address)
	serve(t, e, payment())
	for range 20 {
		time.Sleep(20 * time.Millisecond)
		if got, want := serve(t, e, payment()).GetCode(), string(fault.Draining); got != want {
			t.Fatalf("with a good probe: got %q, want %q", got, want)
		}
	}
	server.Close()
	time.Sleep(100 * time.Millisecond)
	q.leaving.Store(false)
	next := httptest.NewUnstartedServer(q)
	next.Listener = listenAgain(t, address)
	next.Start()
	t.Cleanup(next.Close)
	for end := time.Now().Add(5 * time.Second); serve(t, e, payment()).GetOutcome() != peerpb.Outcome_OUTCOME_RAN; {
		if time.Now().After(end) {
			t.Fatal("another process at the address: got no work in 5 s, want it to")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestLeavingReachesNewProcess guards against an endpoint that gets new work after its node was restarted, although a
// sender knows that it is leaving.
func TestLeavingReachesNewProcess(t *testing.T) {
	q := &quietLeaver{}
	server := httptest.NewServer(q)
	t.Cleanup(server.Close)
	e := probing(t, server.Listener.Addr().String())
	told := payment()
	told.ToldLeaving = true
	for _, d := range []*peerpb.Dispatch{told, payment()} {
		if got, want := serve(t, e, d).GetCode(), string(fault.Draining); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got := q.work.Load(); got != 0 {
		t.Errorf("requests at the endpoint: got %d, want 0", got)
	}
}

// TestAnnouncedEndpointLeavesForGood checks that an endpoint that announces itself gets no new work after it has said that
// it is leaving, whatever answers at its address later: its next life has another key.
func TestAnnouncedEndpointLeavesForGood(t *testing.T) {
	e, _, report := coldEndpoint(t)
	e.cfg.ProbeInterval, e.cfg.ProbePath = 10*time.Millisecond, "/healthz"
	if err := e.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.cancelProbes)
	report(0)
	if got, want := serve(t, e, coldLookup(true)).GetOutcome(), peerpb.Outcome_OUTCOME_RAN; got != want {
		t.Fatalf("first: got %v, want %v", got, want)
	}
	l := e.allEndpoints()[0]
	e.noteDraining(l)
	l.goneSinceDraining.Store(true)
	time.Sleep(100 * time.Millisecond)
	if got, want := serve(t, e, coldLookup(true)).GetCode(), string(fault.Draining); got != want {
		t.Errorf("after it has said so: got %q, want %q", got, want)
	}
}

// listenAgain listens at an address that was given up just now.
func listenAgain(t *testing.T, address string) net.Listener {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		l, err := net.Listen("tcp", address)
		if err == nil {
			return l
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}
