package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/inflight"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// keyedNode is a node whose configuration changes, with an endpoint that records the dispatches it gets.
type keyedNode struct {
	t     *testing.T
	g     *Ingress
	state *table.State
	// newest is the configuration that the platform has, nil while it does not answer.
	newest *table.State
	// onArrival runs when an endpoint is asked, before it answers.
	onArrival  func()
	dispatched []string
}

// Serve implements Local.
func (k *keyedNode) Serve(ctx context.Context, d *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
	if k.onArrival != nil {
		k.onArrival()
		k.onArrival = nil
	}
	if revision := k.state.Revision(); d.GetRevision() < revision {
		return peer.NotRun(fault.Stale, 0)
	}
	name := "nobody's"
	if d.GetKeyed() {
		name = d.GetCustomer()
	}
	received := []string{fmt.Sprintf("%s rank %d", name, d.GetPriority())}
	for _, h := range d.GetHeaders() {
		if h.GetName() != "X-Forwarded-For" {
			received = append(received, h.GetName()+"="+h.GetValue())
		}
	}
	slices.Sort(received[1:])
	k.dispatched = append(k.dispatched, strings.Join(received, " "))
	return serveAs(ctx, "ok", sink)
}

// Settle implements Local.
func (*keyedNode) Settle(*peerpb.Settle) {}

// Work implements Local.
func (*keyedNode) Work(string) inflight.Snapshot { return inflight.Snapshot{} }

// NoteCallFailed implements Local.
func (*keyedNode) NoteCallFailed(string) {}

// rows parses lines of "KIND KEY COLUMN=VALUE ..." or "KIND KEY -".
func (k *keyedNode) rows(lines string, from *table.State) *table.State {
	d := table.Delta{From: from.Revision(), To: from.Revision() + 1}
	for line := range strings.Lines(lines) {
		words := strings.Fields(line)
		sheet, err := table.SheetNamed(words[0])
		if err != nil {
			k.t.Fatal(err)
		}
		row := k.row(sheet, words)
		row.Revision = d.To
		d.Rows = append(d.Rows, row)
	}
	next, err := from.With(d)
	if err != nil {
		k.t.Fatal(err)
	}
	return next
}

// row parses the words of one line.
func (k *keyedNode) row(sheet table.Sheet, words []string) table.Row {
	cells := make([]string, len(sheet.Columns))
	for _, word := range words[2:] {
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return table.Row{Kind: sheet.Kind, Key: words[1], Deleted: true}
		}
		i, err := sheet.Column(name)
		if err != nil {
			k.t.Fatal(err)
		}
		cells[i] = value
	}
	row, err := table.NewRow(sheet.Kind, words[1], cells)
	if err != nil {
		k.t.Fatal(err)
	}
	return row
}

// TestCustomerKeys runs testdata/keys. Commands:
//
//	rows
//	accepted
//	away
//	request [path=P] [changes]
//
// rows changes the active configuration and the platform's, accepted only the platform's. After away, the platform does
// not answer. request sends a request with header lines; with changes, the platform's configuration becomes active when
// the endpoint is asked. The output is the status and code, and what the endpoint received.
func TestCustomerKeys(t *testing.T) {
	k := newKeyedNode(t)
	datadriven.RunTest(t, "testdata/keys", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "rows":
			k.state = k.rows(d.Input, k.state)
			k.newest = k.state
		case "accepted":
			k.newest = k.rows(d.Input, k.state)
		case "away":
			k.newest = nil
		case "request":
			return k.request(d)
		default:
			d.Fatalf(t, "no such command")
		}
		return ""
	})
}

func newKeyedNode(t *testing.T) *keyedNode {
	k := &keyedNode{t: t, state: fleet(t, 1, 1)}
	k.newest = k.state
	k.g = ingressWith(t, k.state, k)
	k.g.snapshot = func() *configsync.Snapshot { return &configsync.Snapshot{State: k.state, Ready: true} }
	k.g.configIsNewest = func(context.Context) bool {
		if k.newest == nil {
			return false
		}
		k.state = k.newest
		return true
	}
	return k
}

func (k *keyedNode) request(d *datadriven.TestData) string {
	path := "/x"
	d.MaybeScanArgs(k.t, "path", &path)
	if d.HasArg("changes") {
		k.onArrival = func() { k.state = k.newest }
	}
	k.dispatched = nil
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "http://desk.example"+path, nil)
	r.RequestURI = path
	for line := range strings.Lines(d.Input) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		r.Header.Add(name, value)
	}
	k.g.ServeHTTP(w, r)
	out := fmt.Sprint(w.Code)
	if _, rest, ok := strings.Cut(w.Body.String(), `"code":"`); ok {
		code, _, _ := strings.Cut(rest, `"`)
		out += " " + code
	}
	if len(k.dispatched) > 0 {
		out += ", endpoint told: " + strings.Join(k.dispatched, "; ")
	}
	return out + "\n"
}

// TestRemovedKeyKeepsCallUnchanged removes the key of a request that is in flight. The request cannot be updated to the
// newer configuration, and whatever is still sent for it keeps its customer's name. A hedge was once sent without a
// customer.
func TestRemovedKeyKeepsCallUnchanged(t *testing.T) {
	k := newKeyedNode(t)
	k.state = k.rows("listener callers keys=yes\ncustomer acme keys=plain:k1", k.state)
	r := httptest.NewRequest(http.MethodGet, "http://desk.example/x", nil)
	r.RequestURI = "/x"
	r.Header.Set("Authorization", "Token k1")
	c, failure := k.g.parse(k.g.snapshot(), r)
	if failure != nil {
		t.Fatal(failure)
	}
	k.state = k.rows("customer acme keys=plain:k2", k.state)
	x := &exchange{g: k.g, call: c}
	if got, want := x.adoptConfig(), false; got != want {
		t.Errorf("adopted a configuration without its key: got %v, want %v", got, want)
	}
	if x.call.customer != "acme" || !x.call.hasCustomerKey || x.call.revision != c.revision {
		t.Errorf("call: got customer %q, hasCustomerKey %v, revision %d, want it as it was", x.call.customer, x.call.hasCustomerKey, x.call.revision)
	}
}
