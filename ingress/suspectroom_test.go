package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// reportingLocal answers every request with the load report of its endpoint and records the requests by their endpoint
// and whether they may wait there.
type reportingLocal struct {
	loads map[string]*peerpb.Load

	mu    sync.Mutex
	asked []string
}

// Serve implements Local.
func (l *reportingLocal) Serve(_ context.Context, d *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
	name := d.GetEndpoint()
	if d.GetWait() {
		name += " waits"
	}
	l.mu.Lock()
	l.asked = append(l.asked, name)
	l.mu.Unlock()
	_ = sink.Head(&peerpb.Head{Status: http.StatusOK}, true)
	_ = sink.Data([]byte("ok"), true)
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Complete: true, Load: l.loads[d.GetEndpoint()]}
}

// Settle implements Local.
func (*reportingLocal) Settle(*peerpb.Settle) {}

// Work implements Local.
func (*reportingLocal) Work(string) inflight.Snapshot { return inflight.Snapshot{} }

// withTarget returns a fleet whose route has a latency target.
func withTarget(t *testing.T, s *table.State, target time.Duration) *table.State {
	t.Helper()
	route, err := table.NewRow(table.KindRoute, "all", []string{"desk.example", "/", "desk", "", "", strconv.Itoa(maxArrivals), "", target.String()})
	if err != nil {
		t.Fatal(err)
	}
	// A row replaces another of its key only with a higher revision.
	revision := s.Revisions()[table.SourceRows]
	route.Version, route.Revision = 1, revision+1
	s, err = s.With(table.Delta{From: revision, To: revision + 1, Rows: []table.Row{route}})
	if err != nil {
		t.Fatal(err)
	}
	if got, _ := s.Route("all"); time.Duration(got.Value.Aim) != target {
		t.Fatalf("latency target: got %v, want %v", got.Value.Aim, target)
	}
	return s
}

// reportedBy returns a load report of a suspect.
func reportedBy(chance float64, room uint32) *peerpb.Load {
	return &peerpb.Load{Slots: 4, Trial: true, SuccessChance: &chance, TrialRoom: room}
}

// TestRequestGoesToTheLikeliestSuspect checks that a non-repeatable request that finds no free slot, and no queue that
// serves it in time, is offered to the suspect that most likely answers instead of waiting; it guards against idle
// suspects beside full queues. With the setting off it waits in a queue as before.
func TestRequestGoesToTheLikeliestSuspect(t *testing.T) {
	for _, c := range []struct {
		name        string
		suspectRoom bool
		likeliest   *peerpb.Load
		want        string
	}{
		{"on", true, reportedBy(0.95, 1), "e2"},
		{"no room", true, reportedBy(0.95, 0), "e1"},
		{"unlikely", true, reportedBy(0.6, 1), "e1"},
		{"off", false, reportedBy(0.95, 1), "waits"},
	} {
		t.Run(c.name, func(t *testing.T) {
			local := &reportingLocal{loads: map[string]*peerpb.Load{
				"e0": {Slots: 4, Busy: 8, ServiceMicros: time.Second.Microseconds()},
				"e1": reportedBy(0.9, 1),
				"e2": c.likeliest,
			}}
			s := fleetWithTarget(t, []string{"127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"})
			s = withTarget(t, s, 200*time.Millisecond)
			g := ingressWith(t, s, local, func(cfg *Config, d *director.Config) { cfg.SuspectRoom, d.SuspectRoom = c.suspectRoom, c.suspectRoom })
			for seen := map[string]bool{}; len(seen) < len(local.loads); {
				statusOfCall(t, g, http.MethodGet)
				seen[local.asked[len(local.asked)-1]] = true
			}
			statusOfCall(t, g, http.MethodPost)
			got := local.asked[len(local.asked)-1]
			if c.want == "waits" {
				if want := "e0 waits"; got != want && got != "e1 waits" && got != "e2 waits" {
					t.Errorf("asked: got %s, want an endpoint in whose queue it waits", got)
				}
				return
			}
			if got != c.want {
				t.Errorf("asked: got %s, want %s without waiting", got, c.want)
			}
		})
	}
}
