package ingress

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/ratelimit"
	"github.com/lynxplank/lynxplank/throttle"
)

// uniformEndpoints ends every send in the same way and counts them.
type uniformEndpoints struct {
	mu    sync.Mutex
	end   func() *peerpb.End
	sends int
	// parent is the request id of which the endpoint handles a request.
	parent string
}

// Serve implements Local.
func (s *uniformEndpoints) Serve(_ context.Context, _ *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends++
	end := s.end()
	if end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN {
		head := &peerpb.Head{Status: http.StatusOK, Headers: []*peerpb.Header{{Name: "Content-Length", Value: "2"}}}
		if sink.Head(head, true) != nil || sink.Data([]byte("ok"), true) != nil {
			return peer.Unknown(fault.Canceled)
		}
	}
	return end
}

// Settle implements Local.
func (*uniformEndpoints) Settle(*peerpb.Settle) {}

// NoteCallFailed implements Local.
func (*uniformEndpoints) NoteCallFailed(string) {}

// Work implements Local.
func (s *uniformEndpoints) Work(request string) inflight.Snapshot {
	if request != "" && request == s.parent {
		return inflight.Snapshot{Total: 1, ForRequest: true}
	}
	return inflight.Snapshot{}
}

func (s *uniformEndpoints) sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sends
}

func accepts() *peerpb.End {
	return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, Complete: true}
}

func refuses() *peerpb.End { return peer.NotRun(fault.Busy, 400*time.Millisecond) }

// throttlingIngress returns an ingress with early refusal, and its log.
func throttlingIngress(t *testing.T, local Local) (*Ingress, *bytes.Buffer) {
	g := ingressWith(t, fleet(t, 1, 1), local)
	g.cfg.EarlyRefusal = true
	g.cfg.Contract = namingContract{}
	log := &bytes.Buffer{}
	logger := zerolog.New(log)
	g.log = &logger
	return g, log
}

// fill records n rejections of the route "all" of the service "desk".
func fill(g *Ingress, n int) {
	for range n {
		g.early.table.Get(throttle.Key{Service: "desk", Route: "all"}).Record(g.early.now(), throttle.Rejected, 400*time.Millisecond)
	}
}

func request(method string, fields ...string) *http.Request {
	r := httptest.NewRequest(method, "http://desk.example/x", nil)
	r.RequestURI = "/x"
	for i := 0; i+1 < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	return r
}

// throttledOnce sends requests until one is throttled, and returns its answer.
func throttledOnce(t *testing.T, g *Ingress, method string, fields ...string) (*httptest.ResponseRecorder, Problem) {
	t.Helper()
	for range 200 {
		w := httptest.NewRecorder()
		g.ServeHTTP(w, request(method, fields...))
		var p Problem
		if json.Unmarshal(w.Body.Bytes(), &p) == nil && p.Code == fault.Throttled {
			return w, p
		}
	}
	t.Fatal("got no throttled request of 200, want three quarters")
	return nil, Problem{}
}

// TestThrottledAnswer guards against a refusal that callers cannot act upon: its status, outcome, delay and request id.
func TestThrottledAnswer(t *testing.T) {
	g, _ := throttlingIngress(t, &uniformEndpoints{end: refuses})
	fill(g, 100000)
	w, p := throttledOnce(t, g, http.MethodGet, header.RequestID, "r1")
	if got, want := w.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if got, want := p.Outcome+" "+w.Header().Get(header.Outcome), "not-run not-run"; got != want {
		t.Errorf("outcome: got %q, want %q", got, want)
	}
	if got, want := p.RequestID+" "+w.Header().Get(header.RequestID), "r1 r1"; got != want {
		t.Errorf("request id: got %q, want %q", got, want)
	}
	if got, lo, hi := p.RetryAfterMillis, int64(300), int64(700); got < lo || got > hi {
		t.Errorf("retry after: got %d ms, want %d to %d", got, lo, hi)
	}
	if got, want := w.Header().Get("Retry-After"), "1"; got != want {
		t.Errorf("Retry-After: got %q, want %q", got, want)
	}
}

// TestThrottledResendIsUnknown guards against a re-send that is reported as not run although an earlier attempt under its
// key may have run.
func TestThrottledResendIsUnknown(t *testing.T) {
	g, _ := throttlingIngress(t, &uniformEndpoints{end: refuses})
	fill(g, 100000)
	for _, c := range []struct{ attempt, want string }{{"1", "not-run"}, {"2", "unknown"}} {
		w, p := throttledOnce(t, g, http.MethodPost, header.IdempotencyKey, "k", header.Attempt, c.attempt)
		if got := p.Outcome; got != c.want || w.Code != http.StatusServiceUnavailable {
			t.Errorf("attempt %s: got %d %s, want %d %s", c.attempt, w.Code, got, http.StatusServiceUnavailable, c.want)
		}
	}
}

// TestThrottledAsksNobody guards against work for a throttled request: no permit of its customer's limit is taken and no
// endpoint is asked. A quarter of the requests is still tried.
func TestThrottledAsksNobody(t *testing.T) {
	local := &uniformEndpoints{end: refuses}
	g, _ := throttlingIngress(t, local)
	limits := &countingLimits{}
	g.limits = limits
	fill(g, 100000)
	const requests = 1000
	throttled := 0
	for range requests {
		w := httptest.NewRecorder()
		g.ServeHTTP(w, request(http.MethodPost))
		if bodyOf(w) == string(fault.Throttled) {
			throttled++
		}
	}
	if got, want := throttled, requests*3/4; got < want-100 || got > want+100 {
		t.Errorf("throttled: got %d of %d, want about %d", got, requests, want)
	}
	if got, want := limits.taken, requests-throttled; got != want {
		t.Errorf("permits asked for: got %d, want %d", got, want)
	}
}

// countingLimits counts the permits that are asked for.
type countingLimits struct{ taken int }

// Take implements Limits.
func (c *countingLimits) Take(context.Context, string) (ratelimit.Permit, time.Duration, bool) {
	c.taken++
	return ratelimit.Permit{}, 0, true
}

// TestNestedCallsAreNotThrottled guards against the loss of a parent's work by a throttled call: one whose id names a
// request in flight at the endpoint beside the node, and one of a route that only this endpoint's calls use.
func TestNestedCallsAreNotThrottled(t *testing.T) {
	local := &uniformEndpoints{end: accepts, parent: "p"}
	g, _ := throttlingIngress(t, local)
	fill(g, 100000)
	const calls = 100
	for i := range calls {
		w := httptest.NewRecorder()
		g.ServeHTTP(w, request(http.MethodPost, header.RequestID, fmt.Sprintf("p.%d", i)))
		if got, want := w.Code, http.StatusOK; got != want {
			t.Fatalf("call %d: got %d %s, want %d", i, got, bodyOf(w), want)
		}
	}
	if got, want := local.sent(), calls; got != want {
		t.Errorf("sends: got %d, want %d", got, want)
	}
	g.routeStats = newRouteStats()
	for range minCalls {
		g.routeStats.countArrival("all", false)
	}
	busy := call{id: "other", route: route{}}
	busy.route.Key = "all"
	if got, want := g.isNested(&busy), false; got != want {
		t.Errorf("call on a node whose endpoint was never idle: got nested %v, want %v", got, want)
	}
	for range minIdle {
		g.routeStats.countArrival("other", true)
	}
	c := call{id: "other", route: route{}}
	c.route.Key = "all"
	if got, want := g.isNested(&c), true; got != want {
		t.Errorf("call of a route that only the endpoint uses: got nested %v, want %v", got, want)
	}
}

// TestEarlyRefusalIsOffByDefault guards against throttling where the setting is off.
func TestEarlyRefusalIsOffByDefault(t *testing.T) {
	g, _ := throttlingIngress(t, &uniformEndpoints{end: refuses})
	g.cfg.EarlyRefusal = false
	now := time.Now()
	g.early.now = func() time.Time { return now }
	fill(g, 1000)
	for range 50 {
		w := httptest.NewRecorder()
		g.ServeHTTP(w, request(http.MethodPost))
		if got, want := bodyOf(w), string(fault.Throttled); got == want {
			t.Fatal("got a throttled request, want none")
		}
	}
	counted := 0
	for _, th := range g.Throttles("desk") {
		counted += th.Requests
	}
	if got, want := counted, 1000; got != want {
		t.Errorf("results counted: got %d, want %d", got, want)
	}
}

// TestWhatSpeaksOfCapacity guards against a throttle that takes a stop, a caller that left or a customer's limit for a
// want of capacity, or that counts as accepted what a failed nested call has lost.
func TestWhatSpeaksOfCapacity(t *testing.T) {
	rejected := []fault.Code{
		fault.Busy, fault.Overloaded, fault.DeadlineTooShort, fault.Suspect, fault.Cold, fault.MaxRate, fault.EndpointShed, fault.NoEndpoint,
	}
	for _, code := range rejected {
		if got, want := capacityResult(peer.NotRun(code, 0)), throttle.Rejected; got != want {
			t.Errorf("not run, %s: got %d, want %d", code, got, want)
		}
		if got, want := capacityResult(peer.Unknown(code)), throttle.Inconclusive; got != want {
			t.Errorf("unknown outcome, %s: got %d, want %d", code, got, want)
		}
	}
	for _, code := range []fault.Code{
		fault.Canceled, fault.Stopping, fault.LinkDown, fault.Stale, fault.CustomerLimit, fault.Throttled, fault.FatalRequest, fault.Draining, "",
	} {
		if got, want := capacityResult(peer.NotRun(code, 0)), throttle.Inconclusive; got != want {
			t.Errorf("not run, %s: got %d, want %d", code, got, want)
		}
	}
	if got, want := capacityResult(accepts()), throttle.Accepted; got != want {
		t.Errorf("ran: got %d, want %d", got, want)
	}
	if got, want := capacityResult(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN, NestedFailed: true}), throttle.Lost; got != want {
		t.Errorf("ran, and a nested call failed: got %d, want %d", got, want)
	}
}

// TestResultsAreCounted guards against results of served requests that never reach the throttle.
func TestResultsAreCounted(t *testing.T) {
	local := &uniformEndpoints{end: accepts}
	g, _ := throttlingIngress(t, local)
	for range 5 {
		g.ServeHTTP(httptest.NewRecorder(), request(http.MethodPost))
	}
	local.mu.Lock()
	local.end = refuses
	local.mu.Unlock()
	for range 3 {
		g.ServeHTTP(httptest.NewRecorder(), request(http.MethodPost))
	}
	got := g.Throttles("desk")
	want := Throttle{Service: "desk", Route: "all", State: throttle.State{Requests: 8, Accepted: 5}}
	if len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := g.Throttles("hub"); len(got) != 0 {
		t.Errorf("another service: got %+v, want none", got)
	}
}

// beyondLimit refuses every request.
type beyondLimit struct{}

// Take implements Limits.
func (beyondLimit) Take(context.Context, string) (ratelimit.Permit, time.Duration, bool) {
	return ratelimit.Permit{}, 150 * time.Millisecond, false
}

// countedLine is a log line that stands for several refusals.
type countedLine struct {
	Event      int     `json:"event"`
	Code       string  `json:"code"`
	Request    string  `json:"request"`
	Customer   string  `json:"customer"`
	Service    string  `json:"service"`
	Route      string  `json:"route"`
	Count      int     `json:"count"`
	Share      float64 `json:"share"`
	Requests   int     `json:"requests"`
	Accepted   int     `json:"accepted"`
	RetryAfter float64 `json:"retry_after"`
}

func linesOf(t *testing.T, log *bytes.Buffer) (out []countedLine) {
	t.Helper()
	for line := range strings.Lines(log.String()) {
		var l countedLine
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			t.Fatal(err)
		}
		out = append(out, l)
	}
	log.Reset()
	return out
}

// TestOneLineForRefusalsBeyondTheLimit guards against a log line for each refused request of a customer, and against
// refusals that no line tells.
func TestOneLineForRefusalsBeyondTheLimit(t *testing.T) {
	g, log := throttlingIngress(t, &uniformEndpoints{end: accepts})
	g.limits = beyondLimit{}
	for i := range 5 {
		g.ServeHTTP(httptest.NewRecorder(), request(http.MethodPost, header.RequestID, "r"+strconv.Itoa(i), header.Customer, "acme"))
	}
	g.ServeHTTP(httptest.NewRecorder(), request(http.MethodPost, header.RequestID, "b0", header.Customer, "bolt"))
	number := events.RequestRefused.Number
	first := countedLine{Event: number, Code: "customer_limit", Request: "r0", Customer: "acme", Count: 1, RetryAfter: 150}
	other := countedLine{Event: number, Code: "customer_limit", Request: "b0", Customer: "bolt", Count: 1, RetryAfter: 150}
	if got, want := fmt.Sprint(linesOf(t, log)), fmt.Sprint([]countedLine{first, other}); got != want {
		t.Errorf("lines: got %s, want %s", got, want)
	}
	g.SampleThrottles()
	if got := linesOf(t, log); len(got) != 0 {
		t.Errorf("lines within the second: got %+v, want none", got)
	}
	later := time.Now().Add(time.Second)
	g.early.now = func() time.Time { return later }
	g.SampleThrottles()
	rest := countedLine{Event: number, Code: "customer_limit", Customer: "acme", Count: 4}
	if got, want := fmt.Sprint(linesOf(t, log)), fmt.Sprint([]countedLine{rest}); got != want {
		t.Errorf("lines after a second: got %s, want %s", got, want)
	}
}

// TestOneLineForThrottledRequests guards against a log line for each throttled request, and against counts that operators
// cannot check the share by.
func TestOneLineForThrottledRequests(t *testing.T) {
	g, log := throttlingIngress(t, &uniformEndpoints{end: accepts})
	fill(g, 100000)
	throttled := 0
	for range 100 {
		w := httptest.NewRecorder()
		g.ServeHTTP(w, request(http.MethodPost))
		if bodyOf(w) == string(fault.Throttled) {
			throttled++
		}
	}
	later := time.Now().Add(time.Second)
	g.early.now = func() time.Time { return later }
	g.SampleThrottles()
	lines := linesOf(t, log)
	var first countedLine
	told := 0
	for _, l := range lines {
		if l.Event == events.RequestRefused.Number || l.Event == events.RequestsThrottled.Number && (l.Service != "desk" || l.Route != "all") {
			t.Errorf("got line %+v, want none of event 500 and 420 with service and route", l)
		}
		if l.Event == events.RequestsThrottled.Number {
			if told == 0 {
				first = l
			}
			told += l.Count
		}
	}
	if got, want := told, throttled; got != want || throttled == 0 {
		t.Errorf("throttled requests in lines: got %d, want %d", got, want)
	}
	if got := first; got.Share != throttle.MaxShare || got.Requests < 100000 || got.Accepted > 100 {
		t.Errorf("first line: got %+v, want the share and the counts", got)
	}
}
