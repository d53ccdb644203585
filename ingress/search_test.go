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

// fullEndpoints simulates endpoints beside this node that have no free slot, and queues that take every request, until
// free is set. offers counts the offers that do not wait.
type fullEndpoints struct {
	free   atomic.Bool
	offers atomic.Int64
}

// Serve implements Local.
func (f *fullEndpoints) Serve(_ context.Context, d *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
	if !d.GetWait() {
		f.offers.Add(1)
		if !f.free.Load() {
			return peer.NotRun(fault.Busy, 0)
		}
	}
	if !peer.AllowsDispatch(sink) {
		return peer.NotRun(fault.Stopping, 0)
	}
	head := &peerpb.Head{Status: http.StatusOK, Headers: []*peerpb.Header{{Name: "Content-Length", Value: "2"}}}
	if sink.Head(head, true) != nil || sink.Data([]byte("ok"), true) != nil {
		return peer.Unknown(fault.Canceled)
	}
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Complete: true}
}

// Settle implements Local.
func (*fullEndpoints) Settle(*peerpb.Settle) {}

// Work implements Local.
func (*fullEndpoints) Work(string) inflight.Snapshot { return inflight.Snapshot{} }

// NoteCallFailed implements Local.
func (*fullEndpoints) NoteCallFailed(string) {}

// offerPause is longer than the time for which an endpoint that has refused a request is not asked.
const offerPause = 25 * time.Millisecond

// offersOf serves requests one after the other and returns how many offers did not wait.
func (f *fullEndpoints) offersOf(t *testing.T, g *Ingress, requests int) int64 {
	t.Helper()
	before := f.offers.Load()
	for range requests {
		time.Sleep(offerPause)
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "http://desk.example/", http.NoBody)
		r.RequestURI = "/"
		if aborted := serveCaller(g, w, r); aborted != "" || w.Code != http.StatusOK {
			t.Fatalf("request: got %d %s, want %d", w.Code, aborted, http.StatusOK)
		}
	}
	return f.offers.Load() - before
}

// TestFullServiceIsNotSearched guards against requests that ask one full endpoint after the other before they wait in a
// queue: at a service without free slots they made six vain offers each, which took the processor time that served
// requests needed.
func TestFullServiceIsNotSearched(t *testing.T) {
	const requests = 20
	for _, bounded := range []bool{false, true} {
		endpoints := new(fullEndpoints)
		g := ingressWith(t, fleet(t, 20, 2), endpoints)
		g.cfg.EarlyRefusal = bounded
		endpoints.offersOf(t, g, requests)
		got := endpoints.offersOf(t, g, requests)
		want := int64(requests)
		if !bounded {
			want *= maxOffers
		}
		if got != want {
			t.Errorf("offers of %d requests to a full service, bounded %v: got %d, want %d", requests, bounded, got, want)
		}
		endpoints.free.Store(true)
		if got := endpoints.offersOf(t, g, requests); got != requests {
			t.Errorf("offers of %d requests once slots are free, bounded %v: got %d, want %d", requests, bounded, got, requests)
		}
		if got := g.search("desk").maxOffers(maxOffers); got != maxOffers {
			t.Errorf("offers that a request may make once slots are free, bounded %v: got %d, want %d", bounded, got, maxOffers)
		}
	}
}
