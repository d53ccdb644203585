package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/peer"
)

// restartedEndpoints simulates hosts whose endpoints have all been restarted, under names that only their own nodes
// know.
type restartedEndpoints struct {
	mu    sync.Mutex
	asked []string
	// exchanges are the exchange numbers of the sends, which must all differ.
	exchanges []uint64
}

// Serve implements Local.
func (r *restartedEndpoints) Serve(ctx context.Context, d *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
	r.mu.Lock()
	r.asked = append(r.asked, d.GetEndpoint())
	r.exchanges = append(r.exchanges, d.GetExchange())
	r.mu.Unlock()
	if d.GetEndpoint() != "new" {
		end := peer.NotRun(fault.WrongHost, 0)
		end.Stands = "new"
		return end
	}
	return serveAs(ctx, "ok", sink)
}

// Settle implements Local.
func (*restartedEndpoints) Settle(*peerpb.Settle) {}

// Work implements Local.
func (*restartedEndpoints) Work(string) inflight.Snapshot { return inflight.Snapshot{} }

// NoteCallFailed implements Local.
func (*restartedEndpoints) NoteCallFailed(string) {}

// TestReplacementEndpointIsAskedAtOnce sends repeatable and non-repeatable requests to a fleet that has just restarted.
// Each must be served by the endpoint that took the place of the requested one, at the first try, under an exchange
// number of its own.
func TestReplacementEndpointIsAskedAtOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			local := &restartedEndpoints{}
			g := ingressWith(t, fleet(t, 3, 1), local)
			w := httptest.NewRecorder()
			r := httptest.NewRequest(method, "http://desk.example/x", nil)
			r.RequestURI = "/x"
			g.ServeHTTP(w, r)
			if got, want := w.Code, http.StatusOK; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			if got, want := len(local.asked), 2; got != want || local.asked[1] != "new" {
				t.Errorf("asked: got %q, want one that is gone and then new", local.asked)
			}
			if got, want := len(slices.Compact(slices.Sorted(slices.Values(local.exchanges)))), len(local.exchanges); got != want {
				t.Errorf("different exchanges: got %d, want %d", got, want)
			}
		})
	}
}
