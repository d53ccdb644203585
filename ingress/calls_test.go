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

// The incident: a service had more further sends than it allows, most of them calls that further work of another service made
// anew. Nothing took them from the called service's retries: its endpoints granted all they might, and each such call came on
// top. The figures of a day with many failing endpoints proved it: 52 of 128 further arrivals within the worst window.

// named is the product's contract for callers that name their requests.
type named struct{ contract.Own }

// Call implements contract.Contract.
func (n named) Call(h http.Header) (contract.Call, *fault.Error) {
	c, bad := n.Own.Call(h)
	c.ID = h.Get(header.RequestID)
	return c, bad
}

// caller is an endpoint of a service whose work calls another service, through the node beside it.
type caller struct {
	t     *testing.T
	words []string
	next  atomic.Int64
	calls atomic.Int64
	node  func() *Ingress
}

func (c *caller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch c.words[min(int(c.next.Add(1)), len(c.words))-1] {
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

// call makes a call of the work for a request and returns its status.
func (c *caller) call(parent, path string) int {
	return ask(c.t, c.node(), "hub.example", path, fmt.Sprintf("%s.%d", parent, c.calls.Add(1)))
}

// ask serves one request with a name and returns its status.
func ask(t *testing.T, g *Ingress, host, path, name string) int {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "http://"+host+path, nil)
	r.RequestURI = path
	r.Header.Set(header.RequestID, name)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	serveCaller(g, w, r.WithContext(ctx))
	return w.Code
}

// twoServices is a fleet whose endpoints of desk call hub.
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
	s, err := fleet(t, 0, mostArrivals).With(table.Delta{From: 1, To: 2, Rows: rows})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestCallsOfFurtherWorkAreFurtherSends runs testdata/calls: each request line gives what the endpoints do with the sends of
// a request in their order; it prints the caller's status and what was handed to the endpoint that their work calls.
func TestCallsOfFurtherWorkAreFurtherSends(t *testing.T) {
	datadriven.RunTest(t, "testdata/calls", func(t *testing.T, d *datadriven.TestData) string {
		var g *Ingress
		desk := &caller{t: t, words: strings.Fields(d.Input), node: func() *Ingress { return g }}
		hub := &caller{t: t, words: []string{"answers"}, node: func() *Ingress { return g }}
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
		e := egressWith(s, named{})
		g = ingressWith(t, s, e)
		g.cfg.Contract = named{}
		status := ask(t, g, "desk.example", "/x", "r")
		first, further := uint64(0), uint64(0)
		for _, st := range e.Statuses() {
			if st.Endpoint == "b0" {
				first, further = first+st.Arrivals.FirstSends, further+st.Arrivals.Retries
			}
		}
		return fmt.Sprintf("%d, hub: %d first, %d further\n", status, first, further)
	})
}
