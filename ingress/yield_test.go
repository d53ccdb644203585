package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/peer"
)

// askingEndpoints simulates endpoints beside this node of which the first one asked wants its slot back and answers only
// after a while; the others answer at once.
type askingEndpoints struct{ sends, canceled atomic.Int64 }

// Serve implements Local.
func (a *askingEndpoints) Serve(ctx context.Context, _ *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
	if !peer.AllowsDispatch(sink) {
		return peer.NotRun(fault.Stopping, 0)
	}
	if a.sends.Add(1) == 1 {
		peer.RequestSlot(sink)
		select {
		case <-ctx.Done():
			a.canceled.Add(1)
			return peer.Unknown(fault.Canceled)
		case <-time.After(200 * time.Millisecond):
		}
	}
	return serveAs(ctx, "answers", sink)
}

// Settle implements Local.
func (*askingEndpoints) Settle(*peerpb.Settle) {}

// Work implements Local.
func (*askingEndpoints) Work(string) inflight.Snapshot { return inflight.Snapshot{} }

// NoteCallFailed implements Local.
func (*askingEndpoints) NoteCallFailed(string) {}

// TestSlotIsYielded guards against requests that keep the slot of an endpoint which hangs although another one can answer
// them, and against work that is cut off while the caller's node stops.
func TestSlotIsYielded(t *testing.T) {
	for _, c := range []struct {
		name                    string
		method                  string
		stopping                bool
		wantSends, wantCanceled int64
	}{
		{"repeatable", http.MethodGet, false, 2, 1},
		{"repeatable on a stopping node", http.MethodGet, true, 1, 0},
		{"not repeatable", http.MethodPost, false, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			local := new(askingEndpoints)
			g := ingressWith(t, fleet(t, 3, 3), local)
			if c.stopping {
				g.StopDispatchBefore(time.Now().Add(time.Minute))
			}
			w := httptest.NewRecorder()
			r := httptest.NewRequest(c.method, "http://desk.example/", http.NoBody)
			r.RequestURI = "/"
			if aborted := serveCaller(g, w, r); aborted != "" || w.Code != http.StatusOK {
				t.Errorf("answer: got %d %s, want %d", w.Code, aborted, http.StatusOK)
			}
			if got := local.sends.Load(); got != c.wantSends {
				t.Errorf("sends: got %d, want %d", got, c.wantSends)
			}
			if got := local.canceled.Load(); got != c.wantCanceled {
				t.Errorf("canceled sends: got %d, want %d", got, c.wantCanceled)
			}
		})
	}
}
