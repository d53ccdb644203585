package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/peer"
)

// partlyFull simulates endpoints beside this node of which only one has room; the queues of the others refuse every
// request.
type partlyFull struct{ free string }

// Serve implements Local.
func (p partlyFull) Serve(_ context.Context, d *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
	if d.GetEndpoint() != p.free {
		return peer.NotRun(fault.DeadlineTooShort, 0)
	}
	return serveAs(context.Background(), "answers", sink)
}

// Settle implements Local.
func (partlyFull) Settle(*peerpb.Settle) {}

// Work implements Local.
func (partlyFull) Work(string) inflight.Snapshot { return inflight.Snapshot{} }

// NoteCallFailed implements Local.
func (partlyFull) NoteCallFailed(string) {}

// TestFullQueuesDoNotStopRetries guards against a service that counts as refusing because most of its queues are full:
// requests that its other endpoints would have served were refused without being sent there.
func TestFullQueuesDoNotStopRetries(t *testing.T) {
	g := ingressWith(t, fleet(t, 3, 3), partlyFull{free: "e2"})
	const requests = 300
	served := 0
	for range requests {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "http://desk.example/", http.NoBody)
		r.RequestURI = "/"
		if serveCaller(g, w, r) == "" && w.Code == http.StatusOK {
			served++
		}
	}
	if got, want := served, requests; got != want {
		t.Errorf("requests served where one endpoint of three has room: got %d, want %d", got, want)
	}
}

// TestRefusingServiceGetsNoRetries guards against retries at a service without any room, which would add to its load.
func TestRefusingServiceGetsNoRetries(t *testing.T) {
	g := ingressWith(t, fleet(t, 3, 3), partlyFull{})
	for range 100 {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "http://desk.example/", http.NoBody)
		r.RequestURI = "/"
		serveCaller(g, w, r)
	}
	if got, want := g.refusals("desk").refusing(), true; got != want {
		t.Errorf("refusing after 100 refused requests: got %v, want %v", got, want)
	}
}
