package egress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/shutdown"
	"github.com/lynxplank/lynxplank/table"
)

type discardSink struct{}

func (discardSink) ReportOverdue()                {}
func (discardSink) Due(time.Duration)             {}
func (discardSink) Head(*peerpb.Head, bool) error { return nil }
func (discardSink) Data([]byte, bool) error       { return nil }

// newTestEgress returns an egress with one endpoint, which has an address and a phase; change changes its configuration.
func newTestEgress(t *testing.T, address string, phase table.Phase, change ...func(*Config)) *Egress {
	t.Helper()
	service, err := table.NewRow(table.KindService, "desk", nil)
	if err != nil {
		t.Fatal(err)
	}
	endpoint, err := table.NewRow(table.KindEndpoint, "e1", []string{"desk", "h1", "hall-1", address, "", "", phase.String()})
	if err != nil {
		t.Fatal(err)
	}
	s, err := table.NewState().With(table.Delta{Full: true, To: 1, Rows: []table.Row{service, endpoint}})
	if err != nil {
		t.Fatal(err)
	}
	log := zerolog.Nop()
	cfg := Config{Host: "h1", Hall: "hall-1", ProbeInterval: time.Second, KeyWindow: time.Minute, KeyBytes: 1 << 20}
	for _, c := range change {
		c(&cfg)
	}
	return New(cfg, &log, func() *table.State { return s })
}

func payment() *peerpb.Dispatch {
	return &peerpb.Dispatch{
		Endpoint: "e1", Service: "desk", Method: http.MethodPost, Target: "/pay", BudgetMicros: time.Second.Microseconds(),
		Headers: []*peerpb.Header{{Name: header.IdempotencyKey, Value: "k"}},
	}
}

func serve(t *testing.T, e *Egress, d *peerpb.Dispatch) *peerpb.End {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return e.Serve(ctx, d, strings.NewReader(""), discardSink{})
}

// TestTransportNeverRepeats has the endpoint close a kept-alive connection while it handles a request: Go's HTTP
// transport would by itself send a POST with an Idempotency-Key again on a new connection.
func TestTransportNeverRepeats(t *testing.T) {
	var began atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				// The first request of each connection is answered; the second is read and dropped.
				for range 2 {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if began.Add(1)%2 == 1 {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}
			}()
		}
	}()
	e := newTestEgress(t, l.Addr().String(), table.Active)
	if end := serve(t, e, payment()); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN {
		t.Fatalf("first: got %v, want it to run", end)
	}
	end := serve(t, e, payment())
	if got, want := end.GetOutcome(), peerpb.Outcome_OUTCOME_UNKNOWN; got != want {
		t.Errorf("second: got %v, want %v", got, want)
	}
	if got, want := began.Load(), int64(2); got != want {
		t.Errorf("requests at the endpoint: got %d, want %d", got, want)
	}
}

// TestDrainingIsRefused checks that the egress refuses requests for a draining endpoint whatever the ingress's view
// is.
func TestDrainingIsRefused(t *testing.T) {
	var began atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { began.Add(1) }))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	for _, phase := range []table.Phase{table.Draining, table.Retired} {
		end := serve(t, newTestEgress(t, address, phase), payment())
		if got, want := end.GetCode(), string(fault.Draining); got != want || end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
			t.Errorf("%v: got %v, want not run, %s", phase, end, want)
		}
	}
	if got, want := began.Load(), int64(0); got != want {
		t.Errorf("requests at the endpoint: got %d, want %d", got, want)
	}
	other := payment()
	other.Endpoint = "elsewhere"
	if got, want := serve(t, newTestEgress(t, address, table.Active), other).GetCode(), string(fault.WrongHost); got != want {
		t.Errorf("endpoint of another host: got %q, want %q", got, want)
	}
}

// TestReportedDrainStopsNewRequests checks that an endpoint gets no new requests once it has reported that it is
// draining.
func TestReportedDrainStopsNewRequests(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header.Leaving, "yes")
	}))
	t.Cleanup(server.Close)
	e := newTestEgress(t, strings.TrimPrefix(server.URL, "http://"), table.Active)
	if end := serve(t, e, payment()); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN {
		t.Fatalf("first: got %v, want it to run", end)
	}
	if got, want := serve(t, e, payment()).GetCode(), string(fault.Draining); got != want {
		t.Errorf("after its report: got %q, want %q", got, want)
	}
}

// TestClockEndsNotice guards against requests that a stopping node's endpoint gets after the notice because whoever stops the node is
// late: nobody calls Close here.
func TestClockEndsNotice(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	e := newTestEgress(t, strings.TrimPrefix(server.URL, "http://"), table.Active)
	stop := shutdown.NewSchedule(shutdown.NewPlan(time.Second, 0, 100*time.Millisecond), nil)
	WithStop(stop)(e)
	if end := serve(t, e, payment()); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN {
		t.Fatalf("before the stop: got %v, want it to run", end)
	}
	time.Sleep(time.Until(stop.Begin().NoticeEnd()))
	if got, want := serve(t, e, payment()).GetCode(), string(fault.Draining); got != want {
		t.Errorf("after the notice: got %q, want %q", got, want)
	}
}

// TestUnreachableIsReportedNotRun checks that a request to an endpoint that accepts no connection is reported as not
// run.
func TestUnreachableIsReportedNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	end := serve(t, newTestEgress(t, address, table.Active), payment())
	if got, want := end.GetOutcome(), peerpb.Outcome_OUTCOME_NOT_RUN; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
}
