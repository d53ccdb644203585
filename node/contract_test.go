package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/httpclient"
	"github.com/lynxplank/lynxplank/kernel"
	"github.com/lynxplank/lynxplank/node"
	"github.com/lynxplank/lynxplank/operator"
	"github.com/lynxplank/lynxplank/settings"
	"github.com/lynxplank/lynxplank/standin/backend"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/tablefile"
)

// fixture is a node in this process with a stand-in endpoint and a stand-in platform.
type fixture struct {
	node     *node.Node
	callers  string
	operator string
	backend  *backend.Backend
	store    *store.Store
	logs     *bytes.Buffer
	stops    []func()
}

func start(t *testing.T, declarations string, extra ...string) *fixture {
	t.Helper()
	httpclient.Tune()
	ports, err := demo.FreePorts(5)
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{store: store.New(), backend: backend.New("e1", backend.Behaviour{WorkMillis: 1}, 1), callers: ports[0], operator: ports[2], logs: new(bytes.Buffer)}
	f.run(t, store.NewServer(f.store, netip.MustParseAddrPort(ports[3])))
	f.run(t, backend.NewPort(f.backend, netip.MustParseAddrPort(ports[4])))
	cfg := settings.DefaultDaemon()
	text := fmt.Sprintf("node: {id: h1, hall: hall-1}\ncallers: {listen: %q, body_bytes: 1KiB}\npeers: {listen: %q}\noperators: {listen: %q, token: secret}\nplatform: {address: %q}\n", ports[0], ports[1], ports[2], ports[3])
	text += strings.Join(extra, "\n")
	if err := settings.Parse("test.yaml", []byte(text), &cfg); err != nil {
		t.Fatal(err)
	}
	if f.node, err = node.New(cfg, events.NewLimitedWriter(zerolog.SyncWriter(f.logs), time.Now)); err != nil {
		t.Fatal(err)
	}
	if err := f.node.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.waitReady(t)
	f.declare(t, strings.ReplaceAll(declarations, "ENDPOINT", ports[4]))
	f.waitRevision(t)
	return f
}

type component interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

func (f *fixture) run(t *testing.T, c component) {
	t.Helper()
	if err := c.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.stops = append(f.stops, func() { _ = c.Stop(context.Background()) })
}

func (f *fixture) stop(t *testing.T) {
	t.Helper()
	if err := f.node.Stop(); err != nil {
		t.Errorf("stop: got %v, want none", err)
	}
	for _, stop := range f.stops {
		stop()
	}
	http.DefaultClient.CloseIdleConnections()
}

func (f *fixture) declare(t *testing.T, text string) {
	t.Helper()
	lines, err := tablefile.ReadYAML("rows.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var edits []changes.Edit
	for _, l := range lines {
		edits = append(edits, changes.Edit{Row: l.Row})
	}
	if _, err := changes.NewWriter(store.NewLocal(f.store)).Accept(t.Context(), changes.Change{Op: "rows", Edits: edits}); err != nil {
		t.Fatal(err)
	}
}

func (f *fixture) waitReady(t *testing.T) {
	t.Helper()
	for range 500 {
		resp, err := http.Get("http://" + f.operator + operator.PathHealth)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("node did not become ready")
}

func (f *fixture) waitRevision(t *testing.T) {
	t.Helper()
	follower, err := kernel.Lookup[*configsync.Follower](f.node.Kernel(), node.Follower)
	if err != nil {
		t.Fatal(err)
	}
	for range 500 {
		if follower.State().Revision() == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the declarations did not become active")
}

// TestCallersContract runs the requests of testdata/callers against a node. Commands:
//
//	endpoint [fail] [half] [long] [chunked] [shed] [slow]
//	request method=M path=P [host=H] [body=TEXT] [bytes=N] [repeat=N]     header fields in the input, one a line
//
// The output is the status, the outcome, the product's error code, and the header fields of the contract in the answer.
func TestCallersContract(t *testing.T) {
	f := start(t, `
service: {desk: {queue: 0}, slow: {timeout: 500ms}}
endpoint: {e1: {service: desk, host: h1, hall: hall-1, address: "ENDPOINT", slots: 1}, e2: {service: slow, host: h1, hall: hall-1, address: "ENDPOINT"}}
route: {all: {service: desk}, slow: {prefix: /slow, service: slow}, pay: {prefix: /pay, service: desk, repeatable: "no"}, named: {host: desk.example, prefix: /only, service: desk}, lost: {prefix: /lost, service: desk, repeatable: "yes"}}
customer: {limited: {limit: 0.01}}
`)
	defer f.stop(t)
	datadriven.RunTest(t, "testdata/callers", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "endpoint" {
			behaviour := backend.Behaviour{WorkMillis: 1}
			if d.HasArg("fail") {
				behaviour.FailPercent = 100
			}
			if d.HasArg("half") {
				behaviour.HalfPercent = 100
			}
			if d.HasArg("long") {
				behaviour.HalfLength = 4 << 20
			}
			behaviour.HalfChunked = d.HasArg("chunked")
			if d.HasArg("slow") {
				behaviour.WorkMillis = 60000
			}
			if d.HasArg("shed") {
				behaviour.ShedAbove = -1
			}
			f.backend.Set(behaviour)
			return ""
		}
		repeat := 1
		d.MaybeScanArgs(t, "repeat", &repeat)
		out := ""
		for range repeat {
			out = f.request(t, d)
		}
		return out
	})
}

func (f *fixture) request(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	method, path, host, body, size := "GET", "/", "", "", 0
	d.MaybeScanArgs(t, "method", &method)
	d.MaybeScanArgs(t, "path", &path)
	d.MaybeScanArgs(t, "host", &host)
	d.MaybeScanArgs(t, "body", &body)
	d.MaybeScanArgs(t, "bytes", &size)
	req, err := http.NewRequest(method, "http://"+f.callers+path, io.NopCloser(strings.NewReader(body+strings.Repeat("x", size))))
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	req.ContentLength = int64(len(body) + size)
	req.Host = host
	for line := range strings.Lines(d.Input) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "connection broken\n"
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Sprintf("%d %s, body broken off\n", resp.StatusCode, resp.Header.Get("Lynxplank-Outcome"))
	}
	return describe(resp, text)
}

func describe(resp *http.Response, text []byte) string {
	var p struct{ Code, Outcome string }
	_ = json.Unmarshal(text, &p)
	out := fmt.Sprintf("%d %s %s", resp.StatusCode, resp.Header.Get("Lynxplank-Outcome"), p.Code)
	var fields []string
	for name := range resp.Header {
		if name == "Retry-After" || name == "Lynxplank-Replayed" {
			fields = append(fields, name+": "+resp.Header.Get(name))
		}
	}
	sort.Strings(fields)
	return strings.TrimSpace(out+" "+strings.Join(fields, " ")) + "\n"
}

// TestOperatorsListener checks the operators' listener: the token, the reports and the metrics.
func TestOperatorsListener(t *testing.T) {
	f := start(t, `
service: {desk: {}}
endpoint: {e1: {service: desk, host: h1, hall: hall-1, address: "ENDPOINT"}}
route: {all: {service: desk}}
customer: {limited: {limit: 0.01}}
`)
	defer f.stop(t)
	f.requestBeyondLimit(t)
	if _, err := http.Get("http://" + f.callers + "/x"); err != nil {
		t.Fatal(err)
	}
	get := func(path, token string) (int, string) {
		req, err := http.NewRequest(http.MethodGet, "http://"+f.operator+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	if got, _ := get(operator.PathStatus, "wrong"); got != http.StatusUnauthorized {
		t.Errorf("wrong token: got %d, want %d", got, http.StatusUnauthorized)
	}
	wants := map[string]string{
		operator.PathStatus:                         `"revision":1`,
		operator.PathExplain + "?service=desk":      `"phase":"serving"`,
		operator.PathThrottles + "?service=desk":    `[]`,
		operator.PathRow + "?kind=service&key=desk": `"floor":"60%"`,
		operator.PathCustomers:                      `"customer":"limited","limit":0.01,"burst":0.01,"passed":0,"refused":1`,
	}
	for path, want := range wants {
		if code, got := get(path, "secret"); code != http.StatusOK || !strings.Contains(got, want) {
			t.Errorf("%s: got %d %s, want %s", path, code, got, want)
		}
	}
	for range 300 {
		if _, got := get(operator.PathMetrics, "secret"); strings.Contains(got, `lynxplank_request_seconds_bucket{service="desk",le="`) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("metrics: got no histogram of the service, want one")
}

// TestNothingLeft checks that a stopped node leaves no goroutine behind.
func TestNothingLeft(t *testing.T) {
	before := goleak.IgnoreCurrent()
	// go-zero keeps one goroutine per listener until its own process shutdown, which never happens here.
	listener := goleak.IgnoreAnyFunction("github.com/zeromicro/go-zero/core/proc.(*listenerManager).addListener.func2")
	f := start(t, "service: {desk: {}}\n")
	f.stop(t)
	goleak.VerifyNone(t, before, listener)
}
