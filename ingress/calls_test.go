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

	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/table"
)

// The scenarios guard against a service that receives more retries than its budget allows because retried work of
// another service calls it again: nothing took these calls from the called service's retries, so they came on top of
// the full budget. On a day with many failing endpoints, they were 52 of the 128 retries that arrived in the worst
// window.

// namingContract is the product's contract for callers that name their requests.
type namingContract struct{ contract.Native }

// Call implements contract.Contract.
func (n namingContract) Call(h http.Header) (contract.Call, *fault.Error) {
	c, failure := n.Native.Call(h)
	c.ID = h.Get(header.RequestID)
	return c, failure
}

// callingEndpoint is an endpoint whose work calls another service through the node beside it.
type callingEndpoint struct {
	t          *testing.T
	behaviours []string
	next       atomic.Int64
	calls      atomic.Int64
	node       func() *Ingress
}

func (c *callingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch c.behaviours[min(int(c.next.Add(1)), len(c.behaviours))-1] {
	case "fails":
		w.WriteHeader(http.StatusInternalServerError)
	case "breaks":
		panic(http.ErrAbortHandler)
	case "calls":
		w.WriteHeader(c.call(r.Header.Get(header.RequestID), "/plain"))
	case "calls-twice":
		w.WriteHeader(c.call(r.Header.Get(header.RequestID), "/deep"))
	}
}

// call makes a call on behalf of the parent request and returns its status.
func (c *callingEndpoint) call(parent, path string) int {
	return serveNamed(c.t, c.node(), "hub.example", path, fmt.Sprintf("%s.%d", parent, c.calls.Add(1)))
}

// serveNamed serves a request with a name and returns its status.
func serveNamed(t *testing.T, g *Ingress, host, path, name string) int {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "http://"+host+path, nil)
	r.RequestURI = path
	r.Header.Set(header.RequestID, name)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	serveCaller(g, w, r.WithContext(ctx))
	return w.Code
}

// twoServices returns a fleet with the services desk and hub; the endpoints of desk call hub.
func twoServices(t *testing.T, desk, hub string) *table.State {
	rows := []table.Row{}
	for _, r := range []struct {
		kind table.Kind
		key  string
		row  []string
	}{
		{table.KindService, "hub", nil},
		{table.KindRoute, "hub", []string{"hub.example", "/", "hub", "", "", "3"}},
		{table.KindEndpoint, "d0", []string{"desk", "h1", "hall-1", desk}},
		{table.KindEndpoint, "d1", []string{"desk", "h1", "hall-1", desk}},
		{table.KindEndpoint, "b0", []string{"hub", "h1", "hall-1", hub}},
	} {
		row, err := table.NewRow(r.kind, r.key, r.row)
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, row)
	}
	s, err := fleet(t, 0, maxArrivals).With(table.Delta{From: 1, To: 2, Rows: rows})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestCallsOfRetriesCountAsRetries runs testdata/calls. Each request line lists what the endpoints do with the sends of
// a request in their order. The output is the caller's status and the sends dispatched to the endpoint that they call.
func TestCallsOfRetriesCountAsRetries(t *testing.T) {
	datadriven.RunTest(t, "testdata/calls", func(t *testing.T, d *datadriven.TestData) string {
		var g *Ingress
		desk := &callingEndpoint{t: t, behaviours: strings.Fields(d.Input), node: func() *Ingress { return g }}
		hub := &callingEndpoint{t: t, behaviours: []string{"answers"}, node: func() *Ingress { return g }}
		deep := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/deep" {
				w.WriteHeader(hub.call(r.Header.Get(header.RequestID), "/plain"))
			}
		})
		addresses := make([]string, 0, 2)
		for _, h := range []http.Handler{desk, deep} {
			server := httptest.NewServer(h)
			t.Cleanup(server.Close)
			addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
		}
		s := twoServices(t, addresses[0], addresses[1])
		e := egressWith(s, namingContract{})
		g = ingressWith(t, s, e)
		g.cfg.Contract = namingContract{}
		status := serveNamed(t, g, "desk.example", "/x", "r")
		first, retries := uint64(0), uint64(0)
		for _, st := range e.Statuses() {
			if st.Endpoint == "b0" {
				first, retries = first+st.Arrivals.FirstSends, retries+st.Arrivals.Retries
			}
		}
		return fmt.Sprintf("%d, hub: %d first, %d further\n", status, first, retries)
	})
}
