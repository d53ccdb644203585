package ingress

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/egress"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/table"
)

// The scenarios guard against a service that receives more retries than its budget allows. A request that an endpoint
// refused as belonging to another instance (moved) was counted by the endpoint as an arrival, but its next send was not
// taken from the retry budget. The scenarios cover every way in which a send can end.

// misroutedContract is the product's contract for endpoints that mark misrouted requests with status 421 and requests
// that they did not run with 503.
type misroutedContract struct{ contract.Native }

// Answer implements contract.Contract.
func (m misroutedContract) Answer(status int, h http.Header) contract.Answer {
	a := m.Native.Answer(status, h)
	a.Misplaced = status == http.StatusMisdirectedRequest
	a.NotRun = a.NotRun || a.Misplaced || status == http.StatusServiceUnavailable
	return a
}

// maxArrivals bounds the sends of one request in these tests.
const maxArrivals = 3

// startEndpoint starts an endpoint that counts arrivals and returns its address. All endpoints share the list of
// behaviours: each arrival takes the next one, wherever it goes.
func startEndpoint(t *testing.T, behaviours *atomic.Pointer[[]string], arrivals *atomic.Int64) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		behaviour := "answers"
		if n := int(arrivals.Add(1)); n <= len(*behaviours.Load()) {
			behaviour = (*behaviours.Load())[n-1]
		}
		switch behaviour {
		case "moved":
			w.WriteHeader(http.StatusMisdirectedRequest)
		case "sheds":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "breaks":
			panic(http.ErrAbortHandler)
		case "fails":
			w.WriteHeader(http.StatusInternalServerError)
		case "hangs":
			<-r.Context().Done()
		default:
			_, _ = w.Write([]byte("ok"))
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// egressWith returns the egress of host h1 with ample retries, which speaks to endpoints by a contract.
func egressWith(s *table.State, c contract.Contract) *egress.Egress {
	log := zerolog.Nop()
	return egress.New(egressConfig(c), &log, func() *table.State { return s })
}

// egressConfig returns the configuration of egressWith.
func egressConfig(c contract.Contract) egress.Config {
	return egress.Config{
		Host: "h1", Contract: c, ProbeInterval: time.Second, KeyWindow: time.Minute, KeyBytes: 1 << 20,
		Retries: retry.FleetSlack{Slack: 30, Window: time.Nanosecond, MaxShare: 10},
	}
}

// fleetWithTarget returns a fleet whose route has a latency target, with endpoints at the addresses.
func fleetWithTarget(t *testing.T, addresses []string) *table.State {
	s := fleet(t, 0, maxArrivals)
	route, err := table.NewRow(table.KindRoute, "all", []string{"desk.example", "/", "desk", "", "", fmt.Sprint(maxArrivals), "", "200ms"})
	if err != nil {
		t.Fatal(err)
	}
	rows := []table.Row{route}
	for i, a := range addresses {
		row, err := table.NewRow(table.KindEndpoint, fmt.Sprintf("e%d", i), []string{"desk", "h1", "hall-1", a})
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, row)
	}
	s, err = s.With(table.Delta{From: 1, To: 2, Rows: rows})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestArrivalsConsumeRetryBudget runs testdata/arrivals. Each request line lists the behaviours of the arrivals in
// their order. The output is the caller's status, the number of arrivals, and the retries taken from the endpoints'
// budgets.
func TestArrivalsConsumeRetryBudget(t *testing.T) {
	datadriven.RunTest(t, "testdata/arrivals", func(t *testing.T, d *datadriven.TestData) string {
		var arrivals atomic.Int64
		var behaviours atomic.Pointer[[]string]
		behaviourList := strings.Fields(d.Input)
		behaviours.Store(&behaviourList)
		var addresses []string
		for range maxArrivals {
			addresses = append(addresses, startEndpoint(t, &behaviours, &arrivals))
		}
		s := fleetWithTarget(t, addresses)
		e := egressWith(s, misroutedContract{})
		status := statusOfCall(t, ingressWith(t, s, e), d.Cmd)
		return fmt.Sprintf("%d, %d arrivals, %d taken\n", status, arrivals.Load(), retryArrivals(e))
	})
}

// statusOfCall serves one request and returns its status.
func statusOfCall(t *testing.T, g *Ingress, method string) int {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(strings.ToUpper(method), "http://desk.example/x", nil)
	r.RequestURI = "/x"
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	serveCaller(g, w, r.WithContext(ctx))
	return w.Code
}

// retryArrivals returns how many retries were dispatched to the endpoints.
func retryArrivals(e *egress.Egress) (n uint64) {
	for _, s := range e.Statuses() {
		n += s.Arrivals.Retries
	}
	return n
}
