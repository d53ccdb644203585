package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// parentID is the id of the request that makes the nested calls of these tests.
const parentID = "parent"

// phase is a state of an endpoint that begins at a time after the start of the test.
type phase struct {
	state string
	from  time.Duration
}

// phasedEndpoints simulates the endpoints of the called service. Each is full, suspect, dead or free by turns; what they
// were asked, what they ran and the failed calls of the parent are recorded.
type phasedEndpoints struct {
	start  time.Time
	phases map[string][]phase
	// random, unless nil, draws a state for each ask instead.
	random *rand.Rand
	// work is what Work returns, forRequest the request for which it has work.
	work       inflight.Snapshot
	forRequest string

	mu     sync.Mutex
	asked  int
	nested int
	ran    int
	failed []string
	gone   map[string]bool
}

// stateOf returns what the endpoint does with what it is asked now.
func (p *phasedEndpoints) stateOf(endpoint string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random != nil {
		states := []string{"full", "full", "suspect", "slow-full", "sheds", "down", "cold", "free", "cut"}
		return states[p.random.IntN(len(states))]
	}
	state := "free"
	for _, ph := range p.phases[endpoint] {
		if time.Since(p.start) >= ph.from {
			state = ph.state
		}
	}
	if p.gone[endpoint] {
		return "down"
	}
	if state == "dies" {
		p.gone[endpoint] = true
	}
	return state
}

// rejections are the states in which an endpoint rejects what it is asked without running it.
var rejections = map[string]fault.Code{
	"suspect": fault.Suspect, "cold": fault.Cold, "max_rate": fault.MaxRate, "late": fault.DeadlineTooShort, "down": fault.LinkDown,
	"sheds": fault.EndpointShed, "drains": fault.Draining, "fatal": fault.FatalRequest,
}

// Serve implements Local. An endpoint that dies does so 300 ms after it got the request.
func (p *phasedEndpoints) Serve(ctx context.Context, d *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
	if d.GetClaim().GetClaimOnly() {
		return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_CLAIMED}
	}
	state := p.stateOf(d.GetEndpoint())
	p.mu.Lock()
	p.asked++
	if d.GetNested() {
		p.nested++
	}
	p.mu.Unlock()
	if state == "slow-full" {
		time.Sleep(10 * time.Millisecond)
		state = "full"
	}
	switch code := rejections[state]; {
	case code != "":
		end := peer.NotRun(code, 0)
		end.Load = &peerpb.Load{Slots: 4, Trial: state == "suspect"}
		return end
	case state == "full" && d.GetWait():
		return peer.NotRun(fault.Overloaded, 0)
	case state == "full":
		return peer.NotRun(fault.Busy, 0)
	case !peer.AllowsDispatch(sink):
		return peer.NotRun(fault.Stopping, 0)
	}
	p.mu.Lock()
	p.ran++
	p.mu.Unlock()
	switch state {
	case "dies":
		time.Sleep(300 * time.Millisecond)
		return peer.Unknown(fault.LinkLost)
	case "cut":
		return peer.Unknown(fault.EndpointCut)
	case "fails":
		return serveAs(ctx, "fails", sink)
	}
	return serveAs(ctx, "ok", sink)
}

// Settle implements Local.
func (*phasedEndpoints) Settle(*peerpb.Settle) {}

// Work implements Local.
func (p *phasedEndpoints) Work(request string) inflight.Snapshot {
	work := p.work
	work.ForRequest = request != "" && request == p.forRequest
	return work
}

// NoteCallFailed implements Local.
func (p *phasedEndpoints) NoteCallFailed(request string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = append(p.failed, request)
}

// newPhasedEndpoints reads the endpoints' phases, one endpoint a line: KEY STATE[@FROM] ...
func newPhasedEndpoints(t testing.TB, lines string) *phasedEndpoints {
	t.Helper()
	p := &phasedEndpoints{
		start: time.Now(), phases: make(map[string][]phase), gone: make(map[string]bool), forRequest: parentID,
		work: inflight.Snapshot{Total: 1},
	}
	for line := range strings.Lines(lines) {
		words := strings.Fields(line)
		for _, word := range words[1:] {
			state, from, _ := strings.Cut(word, "@")
			p.phases[words[0]] = append(p.phases[words[0]], phase{state: state, from: parseDuration(t, from+"0ms")})
		}
	}
	return p
}

// nestedIngress returns an ingress with the setting nested_first before a fleet of so many endpoints, whose route has a
// latency target.
func nestedIngress(t testing.TB, endpoints int, target string, local Local) *Ingress {
	t.Helper()
	s := fleet(t, endpoints, 3)
	row, err := table.NewRow(table.KindRoute, "all", []string{"desk.example", "/", "desk", "", "", "3", "", target})
	if err != nil {
		t.Fatal(err)
	}
	// A row that is not newer would not replace the fleet's.
	row.Revision = 2
	if s, err = s.With(table.Delta{From: 1, To: 2, Rows: []table.Row{row}}); err != nil {
		t.Fatal(err)
	}
	if r, _ := s.Route("all"); time.Duration(r.Value.Aim) != parseDuration(t, target) {
		t.Fatalf("latency target: got %v, want %s", r.Value.Aim, target)
	}
	g := ingressWith(t, s, local)
	g.cfg.Contract, g.cfg.NestedFirst = namingContract{}, true
	return g
}

// keyed are the header fields of the first attempt under an idempotency key.
var keyed = map[string]string{header.IdempotencyKey: "k", header.Attempt: "1"}

// sendNamed sends a request with an id, and with other header fields if they are not nil, and returns the answer.
func sendNamed(ctx context.Context, g *Ingress, method, id string, fields map[string]string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, "http://desk.example/x", nil)
	r.RequestURI = "/x"
	r.Header.Set(header.RequestID, id)
	for name, value := range fields {
		r.Header.Set(name, value)
	}
	serveCaller(g, w, r.WithContext(ctx))
	return w
}

// TestNestedCalls runs testdata/nested. It guards against nested calls that are rejected although an endpoint becomes free
// before their deadline, calls that run twice or go on when nobody waits for them, parents that are not told of a failed
// call, and changes for requests that are not nested.
//
//	get|post [id=ID] [key] [off] [by-route] [limit=DURATION] [target=DURATION] [stop=DURATION] [cancel=DURATION]
//	ENDPOINT STATE[@FROM] ...
//
// The id names a call of the request in flight, unless another is given; key sends it under an idempotency key; off switches the setting off; with by-route, only
// the route tells whose call it is. stop and cancel stop the node, or have the caller leave, after a time. The output is
// the answer, how often endpoints ran the request, what it was sent as, whether it took more than one round, and the failed
// call that was noted.
func TestNestedCalls(t *testing.T) {
	datadriven.RunTest(t, "testdata/nested", func(t *testing.T, d *datadriven.TestData) string {
		id, limit, target, stop, cancelAfter := parentID+".1", "2s", "400ms", "", ""
		d.MaybeScanArgs(t, "id", &id)
		d.MaybeScanArgs(t, "limit", &limit)
		d.MaybeScanArgs(t, "target", &target)
		d.MaybeScanArgs(t, "stop", &stop)
		d.MaybeScanArgs(t, "cancel", &cancelAfter)
		local := newPhasedEndpoints(t, d.Input)
		g := nestedIngress(t, strings.Count(d.Input, "\n")+1, target, local)
		g.cfg.NestedFirst = !d.HasArg("off")
		if d.HasArg("by-route") {
			local.forRequest = ""
			for range minIdle {
				g.routeStats.countArrival("other", true)
			}
			for range minCalls {
				g.routeStats.countArrival("all", false)
			}
		}
		var text bytes.Buffer
		log := zerolog.New(&text)
		g.log = &log
		ctx, cancel := context.WithTimeout(t.Context(), parseDuration(t, limit))
		defer cancel()
		if stop != "" {
			time.AfterFunc(parseDuration(t, stop), func() { g.StopDispatchBefore(time.Now()) })
		}
		if cancelAfter != "" {
			time.AfterFunc(parseDuration(t, cancelAfter), cancel)
		}
		local.start = time.Now()
		var fields map[string]string
		if d.HasArg("key") {
			fields = keyed
		}
		w := sendNamed(ctx, g, strings.ToUpper(d.Cmd), id, fields)
		took := time.Since(local.start)
		if (stop != "" || cancelAfter != "") && took > time.Second {
			t.Errorf("%s: took %v after the stop or the caller's leave, want less than %v", d.Pos, took, time.Second)
		}
		return fmt.Sprintf("%d %q, runs %d, %s, failed calls %q\n", w.Code, bodyOf(w), local.ran, sentAs(local, text.String()), slices.Compact(local.failed))
	})
}

// sentAs describes the asks of a request and the fields of its log lines.
func sentAs(p *phasedEndpoints, log string) string {
	kind := "not nested"
	if p.nested > 0 {
		kind = "nested"
	}
	if p.nested > 0 && p.nested < p.asked {
		kind = fmt.Sprintf("nested at %d of %d asks", p.nested, p.asked)
	}
	switch {
	case !strings.Contains(log, `"rounds":`):
		return kind
	case strings.Contains(log, `"nested":true,"rounds":1,`) || strings.Contains(log, `"nested":true,"rounds":1}`):
		return kind + ", one round"
	}
	return kind + ", several rounds"
}

// TestNestedCallAsksBoundedEndpoints has a nested call look for capacity for 2 s at a service whose endpoints are all full.
// It guards against rounds that load a full service further: a call that is wanted within 2 s has at most 13 rounds, each of
// which asks at most maxOffers endpoints for a slot and maxWaits to let it wait.
func TestNestedCallAsksBoundedEndpoints(t *testing.T) {
	local := newPhasedEndpoints(t, "")
	var lines []string
	for i := range 20 {
		lines = append(lines, "e"+strconv.Itoa(i)+" full")
	}
	local.phases = newPhasedEndpoints(t, strings.Join(lines, "\n")).phases
	g := nestedIngress(t, len(lines), "400ms", local)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	w := sendNamed(ctx, g, http.MethodPost, parentID+".1", nil)
	if got, want := w.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if got, want := local.asked, 13*(maxOffers+maxWaits); got > want {
		t.Errorf("asked: got %d endpoints, want at most %d", got, want)
	}
	if got, want := local.asked, 3*maxWaits; got < want {
		t.Errorf("asked: got %d endpoints, want at least those of three rounds, %d", got, want)
	}
	t.Logf("asked %d endpoints in %v", local.asked, time.Since(local.start).Round(time.Millisecond))
}

// TestNestedCallNeverRunsTwice sends nested calls that may not be repeated to endpoints that reject, lose and run what they
// are asked at random. It guards against a round that sends again what ran or may have run, and against callers that are
// told not run of what ran.
func TestNestedCallNeverRunsTwice(t *testing.T) {
	const calls = 150
	var all sync.WaitGroup
	several := make([]bool, calls)
	for i := range calls {
		local := newPhasedEndpoints(t, "")
		local.random = rand.New(rand.NewPCG(20261203, uint64(i)))
		g := nestedIngress(t, 4, "200ms", local)
		all.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var fields map[string]string
			if i%2 == 1 {
				fields = keyed
			}
			w := sendNamed(ctx, g, http.MethodPost, parentID+".1", fields)
			if local.ran > 1 {
				t.Errorf("call %d: got %d runs, want at most one", i, local.ran)
			}
			if notRun := w.Header().Get(header.Outcome) == "not-run"; notRun != (local.ran == 0) {
				t.Errorf("call %d: told %q with %d runs", i, w.Header().Get(header.Outcome), local.ran)
			}
			several[i] = local.asked > maxOffers+maxWaits
		})
	}
	all.Wait()
	if n := len(slices.DeleteFunc(several, func(b bool) bool { return !b })); n == 0 {
		t.Errorf("calls of more than one round: got none of %d, want some", calls)
	}
}

// TestCallsOfParentAreBounded checks how many calls with the id of one request in flight are treated as nested at a time. It
// guards against an outside caller that names a request in flight and gains priority for any number of its own.
func TestCallsOfParentAreBounded(t *testing.T) {
	g := nestedIngress(t, 1, "400ms", newPhasedEndpoints(t, ""))
	add := func(parent string) *exchange {
		x := &exchange{g: g, call: call{nested: true, parent: parent}}
		g.inFlight.add(x)
		return x
	}
	var first *exchange
	for i := range maxCallsOfParent {
		x := add("a")
		if !x.call.nested {
			t.Errorf("call %d: got not nested, want nested", i)
		}
		first = x
	}
	beyond := add("a")
	if beyond.call.nested {
		t.Error("call beyond the bound: got nested, want not nested")
	}
	if !add("b").call.nested {
		t.Error("call of another request: got not nested, want nested")
	}
	g.inFlight.remove(beyond)
	if add("a").call.nested {
		t.Error("after the call beyond the bound has ended: got nested, want not nested")
	}
	g.inFlight.remove(first)
	if !add("a").call.nested {
		t.Error("after a nested call has ended: got not nested, want nested")
	}
}
