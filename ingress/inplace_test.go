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

// restarted stands for hosts all of whose endpoints have been started anew, under names that only their nodes know.
type restarted struct {
	mu    sync.Mutex
	asked []string
	// exchanges are the numbers of the offers, which must all differ.
	exchanges []uint64
}

// Serve implements Local.
func (r *restarted) Serve(ctx context.Context, d *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
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
func (*restarted) Settle(*peerpb.Settle) {}

// Work implements Local.
func (*restarted) Work(string) inflight.Snapshot { return inflight.Snapshot{} }

// TestEndpointInPlaceIsAskedAtOnce sends requests that may and may not repeat to a fleet that has just come back: each is served
// by the endpoint that stands where the asked one stood, at the first try, under an exchange of its own.
func TestEndpointInPlaceIsAskedAtOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			local := &restarted{}
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
