package egress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// confirmingSink confirms the dispatch of a request after something else has happened.
type confirmingSink struct {
	discardSink
	beforeConfirming func()
}

func (confirmingSink) Queued() {}

func (s confirmingSink) Permit(context.Context, *peerpb.Load, time.Duration) bool {
	s.beforeConfirming()
	return true
}

// TestDispatchChecksAgainAfterConfirmation checks that changes made while the sender's confirmation is on its way
// count: an endpoint that is drained meanwhile, or a route that a newer configuration has moved, refuses the request
// as not run.
func TestDispatchChecksAgainAfterConfirmation(t *testing.T) {
	var began atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { began.Add(1) }))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	for name, c := range map[string]struct {
		meanwhile func(e *Egress)
		want      fault.Code
	}{
		"nothing":       {func(*Egress) {}, ""},
		"drained":       {func(e *Egress) { e.state = newTestEgress(t, address, table.Draining).state }, fault.Draining},
		"configuration": {func(e *Egress) { e.seenRevisions.raise(table.SourceConfig, 2) }, fault.Stale},
	} {
		began.Store(0)
		e := newTestEgress(t, address, table.Active)
		d := payment()
		d.Exchange, d.Config = 1, 1
		end := e.Serve(t.Context(), d, strings.NewReader(""), confirmingSink{beforeConfirming: func() { c.meanwhile(e) }})
		if got, want := end.GetCode(), string(c.want); got != want {
			t.Errorf("%s meanwhile: got %q, want %q", name, got, want)
		}
		if got, want := began.Load() > 0, c.want == ""; got != want {
			t.Errorf("%s meanwhile: endpoint had the request: got %v, want %v", name, got, want)
		}
	}
}
