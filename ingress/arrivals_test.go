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

// The incident: a service had more further sends than it allows. What the endpoints count and what asks the budget were two
// lists: a request that an endpoint turned away because it is another instance's had arrived there, and went on to the next
// endpoint as if it had not. Walking every way in which a send can end showed that this one was free.

// marked is the product's contract for endpoints that mark a misplaced request, and for callers that name theirs.
type marked struct{ contract.Own }

// Answer implements contract.Contract.
func (m marked) Answer(status int, h http.Header) contract.Answer {
	a := m.Own.Answer(status, h)
	a.Misplaced = status == http.StatusMisdirectedRequest
	a.NotRun = a.NotRun || a.Misplaced || status == http.StatusServiceUnavailable
	return a
}

// mostArrivals bounds the sends of one request in these tests.
const mostArrivals = 3

// behaving returns the address of an endpoint that counts arrivals; whichever endpoint is asked next takes the next word.
func behaving(t *testing.T, words *atomic.Pointer[[]string], arrivals *atomic.Int64) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		word := "answers"
		if n := int(arrivals.Add(1)); n <= len(*words.Load()) {
			word = (*words.Load())[n-1]
		}
		switch word {
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

// egressWith returns the egress of host h1 with retries to spare, which speaks to endpoints by a contract.
func egressWith(s *table.State, c contract.Contract) *egress.Egress {
	log := zerolog.Nop()
	return egress.New(egress.Config{
		Host: "h1", Contract: c, ProbeInterval: time.Second, KeyWindow: time.Minute, KeyBytes: 1 << 20,
		Retries: retry.FleetSlack{Slack: 30, Window: time.Nanosecond, MaxShare: 10},
	}, &log, func() *table.State { return s })
}

// aimed is the fleet's route with an aim, and endpoints at addresses.
func aimed(t *testing.T, addresses []string) *table.State {
	s := fleet(t, 0, mostArrivals)
	route, err := table.NewRow(table.KindRoute, "all", []string{"desk.example", "/", "desk", "", "", fmt.Sprint(mostArrivals), "", "200ms"})
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

// TestArrivalsTakeFromTheBudget runs testdata/arrivals: each request line gives what the endpoints do with the arrivals in
// their order; it prints the caller's status, the arrivals, and the retries taken from the endpoints' budgets.
func TestArrivalsTakeFromTheBudget(t *testing.T) {
	datadriven.RunTest(t, "testdata/arrivals", func(t *testing.T, d *datadriven.TestData) string {
		var arrivals atomic.Int64
		var words atomic.Pointer[[]string]
		list := strings.Fields(d.Input)
		words.Store(&list)
		var addresses []string
		for range mostArrivals {
			addresses = append(addresses, behaving(t, &words, &arrivals))
		}
		s := aimed(t, addresses)
		e := egressWith(s, marked{})
		status := statusOfCall(t, ingressWith(t, s, e), d.Cmd)
		return fmt.Sprintf("%d, %d arrivals, %d taken\n", status, arrivals.Load(), further(e))
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

// further is how many further sends were handed to the endpoints.
func further(e *egress.Egress) (n uint64) {
	for _, s := range e.Statuses() {
		n += s.Arrivals.Retries
	}
	return n
}
