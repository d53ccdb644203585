package ingress

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/metrics"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/table"
)

// scriptedEndpoints simulates the endpoints beside this node. Each send takes the next behaviour; the sends and how
// they ended are recorded.
type scriptedEndpoints struct {
	mu         sync.Mutex
	behaviours []string
	sends      []string
	ended      chan struct{}
}

// Serve implements Local. The sends take the behaviours in their order, whichever endpoint they go to.
func (s *scriptedEndpoints) Serve(ctx context.Context, d *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
	s.mu.Lock()
	behaviour := "refuses"
	if len(s.behaviours) > 0 {
		behaviour, s.behaviours = s.behaviours[0], s.behaviours[1:]
	}
	s.mu.Unlock()
	defer func() { s.ended <- struct{}{} }()
	if d.GetTellDue() {
		sink.Due(10 * time.Millisecond)
	}
	end := serveAs(ctx, behaviour, sink)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends = append(s.sends, fmt.Sprintf("%s repeat=%v: %s", behaviour, d.GetRepeat(), endName(end)))
	return end
}

// crashesBefore is the number of endpoints that crashed, the same for every request.
type crashesBefore int

// Ends implements CrashCounter.
func (n crashesBefore) Ends(poison.Fingerprint) int { return int(n) }

func endName(end *peerpb.End) string {
	return strings.TrimSpace(strings.ToLower(strings.TrimPrefix(end.GetOutcome().String(), "OUTCOME_")) + " " + end.GetCode())
}

// plainOutcomes are the behaviours that end a send at once, without an answer.
var plainOutcomes = map[string]*peerpb.End{
	"spent":   peer.NotRun(fault.RetryBudget, 0),
	"refuses": peer.NotRun(fault.Busy, 0),
	"ends":    peer.Unknown(fault.EndpointCut),
	"hung":    peer.Unknown(fault.EndpointHung),
	"gone":    {Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Code: string(fault.EndpointCut), Ended: true},
	"barred":  peer.NotRun(fault.FatalRequest, 0),
}

func serveAs(ctx context.Context, behaviour string, sink peer.Sink) *peerpb.End {
	if end := plainOutcomes[behaviour]; end != nil {
		return proto.CloneOf(end)
	}
	switch behaviour {
	case "yields":
		// The run is ended for another request while its hedge runs.
		time.Sleep(40 * time.Millisecond)
		return peer.Unknown(fault.EndpointHung)
	case "nags":
		// The endpoint's node reports again that the answer is due, as it does when nothing there answers any more.
		time.Sleep(100 * time.Millisecond)
		sink.Due(0)
		fallthrough
	case "hangs":
		<-ctx.Done()
		return peer.Unknown(fault.Canceled)
	case "sheds":
		time.Sleep(100 * time.Millisecond)
		return peer.NotRun(fault.EndpointShed, 0)
	case "slow":
		time.Sleep(50 * time.Millisecond)
	case "breaks", "stops", "loses":
		// An answer without a length is passed on as it arrives. The endpoint breaks it off, a node stops, or the link is lost.
		if sink.Head(&peerpb.Head{Status: 200}, false) == nil && sink.Data([]byte("ha"), false) == nil {
			time.Sleep(50 * time.Millisecond)
		}
		return peer.Unknown(map[string]fault.Code{"breaks": fault.EndpointCut, "stops": fault.Stopping, "loses": fault.LinkLost}[behaviour])
	}
	status := uint32(200)
	if behaviour == "fails" {
		status = 500
	}
	if sink.Head(&peerpb.Head{Status: status, Headers: []*peerpb.Header{{Name: "Content-Length", Value: "2"}}}, true) != nil ||
		sink.Data([]byte("ok"), true) != nil {
		return peer.Unknown(fault.Canceled)
	}
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Complete: true}
}

// Settle implements Local.
func (*scriptedEndpoints) Settle(*peerpb.Settle) {}

// Work implements Local.
func (*scriptedEndpoints) Work(string) inflight.Snapshot { return inflight.Snapshot{} }

// NoteCallFailed implements Local.
func (*scriptedEndpoints) NoteCallFailed(string) {}

// fleet returns a table with one service, its endpoints, all beside this node, and a route to it.
func fleet(t testing.TB, endpoints, attempts int) *table.State {
	t.Helper()
	row := func(kind table.Kind, key string, cells ...string) table.Row {
		r, err := table.NewRow(kind, key, cells)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	rows := []table.Row{
		row(table.KindService, "desk"),
		row(table.KindRoute, "all", "desk.example", "/", "desk", "", "", strconv.Itoa(attempts)),
	}
	for i := range endpoints {
		rows = append(rows, row(table.KindEndpoint, fmt.Sprintf("e%d", i), "desk", "h1", "hall-1", "127.0.0.1:1"))
	}
	s, err := table.NewState().With(table.Delta{Full: true, To: 1, Rows: rows})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestHedgedSends runs the scenarios of testdata/hedge. Each request line lists the behaviours of the sends in their
// order. The output is the caller's status, and each send with how it ended.
//
//	get|post [endpoints=N] [attempts=N] [ends=N] [unused=N]
//	behaviour behaviour ...
//
// ends is the number of endpoints that crashed under the same request before, unused the number of behaviours that must
// not be used.
func TestHedgedSends(t *testing.T) {
	datadriven.RunTest(t, "testdata/hedge", func(t *testing.T, d *datadriven.TestData) string {
		endpoints, attempts, crashes, unused := 3, 2, 0, 0
		d.MaybeScanArgs(t, "unused", &unused)
		d.MaybeScanArgs(t, "ends", &crashes)
		d.MaybeScanArgs(t, "endpoints", &endpoints)
		d.MaybeScanArgs(t, "attempts", &attempts)
		behaviours := strings.Fields(d.Input)
		local := &scriptedEndpoints{behaviours: slices.Clone(behaviours), ended: make(chan struct{}, 1000)}
		g := ingressWith(t, fleet(t, endpoints, attempts), local)
		g.crashes = crashesBefore(crashes)
		w := httptest.NewRecorder()
		r := httptest.NewRequest(strings.ToUpper(d.Cmd), "http://desk.example/x", nil)
		r.RequestURI = "/x"
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		aborted := serveCaller(g, w, r.WithContext(ctx))
		cancel()
		for range behaviours[unused:] {
			select {
			case <-local.ended:
			case <-time.After(5 * time.Second):
				d.Fatalf(t, "not all behaviours were used")
			}
		}
		local.mu.Lock()
		defer local.mu.Unlock()
		out := slices.Clone(local.sends[:min(len(behaviours), len(local.sends))])
		slices.Sort(out)
		return fmt.Sprintf("%d %q%s\n%s\n", w.Code, bodyOf(w), aborted, strings.Join(out, "\n"))
	})
}

// serveCaller serves a request and reports whether its connection was aborted.
func serveCaller(g *Ingress, w http.ResponseWriter, r *http.Request) (aborted string) {
	defer func() {
		if p := recover(); p != nil {
			aborted = " and the connection broken off"
		}
	}()
	g.ServeHTTP(w, r)
	return ""
}

// bodyOf returns an endpoint's answer as the caller received it, or the code of a refusal.
func bodyOf(w *httptest.ResponseRecorder) string {
	var p Problem
	if json.Unmarshal(w.Body.Bytes(), &p) == nil {
		return string(p.Code)
	}
	return w.Body.String()
}

func ingressWith(t testing.TB, s *table.State, local Local, change ...func(*Config, *director.Config)) *Ingress {
	t.Helper()
	log := zerolog.Nop()
	state := func() *table.State { return s }
	cfg, directorConfig := Config{Host: "h1"}, director.Config{Hall: "hall-1"}
	for _, c := range change {
		c(&cfg, &directorConfig)
	}
	d := director.New(directorConfig, &log, state,
		func(string) bool { return false }, func(string) bool { return true })
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Stop(context.Background()) })
	m, err := metrics.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Stop(context.Background()) })
	snap := &configsync.Snapshot{State: s, Ready: true}
	return New(cfg, &log, func() *configsync.Snapshot { return snap }, d, nil, local, m)
}
