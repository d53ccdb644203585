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

// scripted stands for the endpoints beside this node: each does what its word says, and what became of each send is noted.
type scripted struct {
	mu    sync.Mutex
	words []string
	asked []string
	ended chan struct{}
}

// Serve implements Local: the sends take the words in their order, whichever endpoint they go to.
func (s *scripted) Serve(ctx context.Context, d *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
	s.mu.Lock()
	word := "refuses"
	if len(s.words) > 0 {
		word, s.words = s.words[0], s.words[1:]
	}
	s.mu.Unlock()
	defer func() { s.ended <- struct{}{} }()
	if d.GetTellDue() {
		sink.Due(10 * time.Millisecond)
	}
	end := serveAs(ctx, word, sink)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, fmt.Sprintf("%s repeat=%v: %s", word, d.GetRepeat(), endName(end)))
	return end
}

// endsBefore is how many endpoints have ended under any request.
type endsBefore int

// Ends implements Fatal.
func (n endsBefore) Ends(poison.Fingerprint) int { return int(n) }

func endName(end *peerpb.End) string {
	return strings.TrimSpace(strings.ToLower(strings.TrimPrefix(end.GetOutcome().String(), "OUTCOME_")) + " " + end.GetCode())
}

// plainEnds are the words of sends that end at once, without an answer.
var plainEnds = map[string]*peerpb.End{
	"spent":   peer.NotRun(fault.RetryBudget, 0),
	"refuses": peer.NotRun(fault.Busy, 0),
	"ends":    peer.Unknown(fault.EndpointCut),
	"gone":    {Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Code: string(fault.EndpointCut), Ended: true},
	"barred":  peer.NotRun(fault.FatalRequest, 0),
}

func serveAs(ctx context.Context, word string, sink peer.Sink) *peerpb.End {
	if end := plainEnds[word]; end != nil {
		return proto.CloneOf(end)
	}
	switch word {
	case "nags":
		// The endpoint's node says once more that the answer is due, as it does when all that it has there is silent.
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
	case "breaks":
		// An answer without a length is passed on as it comes.
		if sink.Head(&peerpb.Head{Status: 200}, false) == nil && sink.Data([]byte("ha"), false) == nil {
			time.Sleep(50 * time.Millisecond)
		}
		return peer.Unknown(fault.EndpointCut)
	}
	status := uint32(200)
	if word == "fails" {
		status = 500
	}
	if sink.Head(&peerpb.Head{Status: status, Headers: []*peerpb.Header{{Name: "Content-Length", Value: "2"}}}, true) != nil ||
		sink.Data([]byte("ok"), true) != nil {
		return peer.Unknown(fault.Canceled)
	}
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Complete: true}
}

// Settle implements Local.
func (*scripted) Settle(*peerpb.Settle) {}

// Work implements Local.
func (*scripted) Work(string) inflight.Snapshot { return inflight.Snapshot{} }

// fleet returns a state with a service of some endpoints, all beside this node, and a route to it.
func fleet(t *testing.T, endpoints, attempts int) *table.State {
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

// TestSecondSends runs the scenarios of testdata/hedge. Each request line gives the words of the sends in their order; it
// prints the caller's status, and each send with what became of it.
//
//	get|post [endpoints=N] [attempts=N] [ends=N] [unused=N]    so many endpoints have ended under the same request before; so many words
//	                                                           are not to be used
//	word word ...
func TestSecondSends(t *testing.T) {
	datadriven.RunTest(t, "testdata/hedge", func(t *testing.T, d *datadriven.TestData) string {
		endpoints, attempts, before, unused := 3, 2, 0, 0
		d.MaybeScanArgs(t, "unused", &unused)
		d.MaybeScanArgs(t, "ends", &before)
		d.MaybeScanArgs(t, "endpoints", &endpoints)
		d.MaybeScanArgs(t, "attempts", &attempts)
		words := strings.Fields(d.Input)
		local := &scripted{words: slices.Clone(words), ended: make(chan struct{}, 1000)}
		g := ingressWith(t, fleet(t, endpoints, attempts), local)
		g.fatal = endsBefore(before)
		w := httptest.NewRecorder()
		r := httptest.NewRequest(strings.ToUpper(d.Cmd), "http://desk.example/x", nil)
		r.RequestURI = "/x"
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		aborted := serveCaller(g, w, r.WithContext(ctx))
		cancel()
		for range words[unused:] {
			select {
			case <-local.ended:
			case <-time.After(5 * time.Second):
				d.Fatalf(t, "not all words were used")
			}
		}
		local.mu.Lock()
		defer local.mu.Unlock()
		out := slices.Clone(local.asked[:min(len(words), len(local.asked))])
		slices.Sort(out)
		return fmt.Sprintf("%d %q%s\n%s\n", w.Code, bodyOf(w), aborted, strings.Join(out, "\n"))
	})
}

// serveCaller serves a request and tells whether its connection was broken off.
func serveCaller(g *Ingress, w http.ResponseWriter, r *http.Request) (aborted string) {
	defer func() {
		if p := recover(); p != nil {
			aborted = " and the connection broken off"
		}
	}()
	g.ServeHTTP(w, r)
	return ""
}

// bodyOf is an endpoint's answer as the caller got it, or the code of the system's own.
func bodyOf(w *httptest.ResponseRecorder) string {
	var p Problem
	if json.Unmarshal(w.Body.Bytes(), &p) == nil {
		return string(p.Code)
	}
	return w.Body.String()
}

func ingressWith(t *testing.T, s *table.State, local Local) *Ingress {
	t.Helper()
	log := zerolog.Nop()
	state := func() *table.State { return s }
	d := director.New(director.Config{Hall: "hall-1"}, &log, state,
		func(string) bool { return false }, func(string) bool { return true })
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Stop(context.Background()) })
	m, err := metrics.New()
	if err != nil {
		t.Fatal(err)
	}
	snap := &configsync.Snapshot{State: s, Ready: true}
	return New(Config{Host: "h1"}, &log, func() *configsync.Snapshot { return snap }, d, nil, local, m)
}
