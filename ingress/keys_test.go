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

// keyed is a node whose configuration changes, with an endpoint that tells what it was told.
type keyed struct {
	t     *testing.T
	g     *Ingress
	state *table.State
	// newest is the configuration that the platform holds, nil while it does not answer.
	newest *table.State
	// arriving runs when an endpoint is asked, before it answers.
	arriving func()
	told     []string
}

// Serve implements Local.
func (k *keyed) Serve(ctx context.Context, d *peerpb.Dispatch, _ io.Reader, sink peer.Sink) *peerpb.End {
	if k.arriving != nil {
		k.arriving()
		k.arriving = nil
	}
	if revision := k.state.Revision(); d.GetRevision() < revision {
		return peer.NotRun(fault.Stale, 0)
	}
	name := "nobody's"
	if d.GetKeyed() {
		name = d.GetCustomer()
	}
	told := []string{fmt.Sprintf("%s rank %d", name, d.GetPriority())}
	for _, h := range d.GetHeaders() {
		if h.GetName() != "X-Forwarded-For" {
			told = append(told, h.GetName()+"="+h.GetValue())
		}
	}
	slices.Sort(told[1:])
	k.told = append(k.told, strings.Join(told, " "))
	return serveAs(ctx, "ok", sink)
}

// Settle implements Local.
func (*keyed) Settle(*peerpb.Settle) {}

// Work implements Local.
func (*keyed) Work(string) inflight.Snapshot { return inflight.Snapshot{} }

// rows reads lines of "KIND KEY COLUMN=VALUE ..." or "KIND KEY -".
func (k *keyed) rows(lines string, from *table.State) *table.State {
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

// row reads the words of one line.
func (k *keyed) row(sheet table.Sheet, words []string) table.Row {
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

// TestKeys runs testdata/keys. Commands:
//
//	rows        changes what is in force, and what the platform holds
//	accepted    changes what the platform holds alone
//	away        the platform does not answer from now on
//	request [path=P] [changes]    a request with header lines; what the platform holds comes in force as the endpoint is asked
//
// It prints the status and code, and what the endpoint was told.
func TestKeys(t *testing.T) {
	k := newKeyed(t)
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

func newKeyed(t *testing.T) *keyed {
	k := &keyed{t: t, state: fleet(t, 1, 1)}
	k.newest = k.state
	k.g = ingressWith(t, k.state, k)
	k.g.snapshot = func() *configsync.Snapshot { return &configsync.Snapshot{State: k.state, Ready: true} }
	k.g.confirm = func(context.Context) bool {
		if k.newest == nil {
			return false
		}
		k.state = k.newest
		return true
	}
	return k
}

func (k *keyed) request(d *datadriven.TestData) string {
	path := "/x"
	d.MaybeScanArgs(k.t, "path", &path)
	if d.HasArg("changes") {
		k.arriving = func() { k.state = k.newest }
	}
	k.told = nil
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
	if len(k.told) > 0 {
		out += ", endpoint told: " + strings.Join(k.told, "; ")
	}
	return out + "\n"
}

// TestLostKeyLeavesTheCall takes the key of a request away while it is under way: it cannot be brought to the newer configuration, and
// whatever is still sent for it keeps its customer's name. A second send once went out as nobody's.
func TestLostKeyLeavesTheCall(t *testing.T) {
	k := newKeyed(t)
	k.state = k.rows("listener callers keys=yes\ncustomer acme keys=plain:k1", k.state)
	r := httptest.NewRequest(http.MethodGet, "http://desk.example/x", nil)
	r.RequestURI = "/x"
	r.Header.Set("Authorization", "Token k1")
	c, bad := k.g.parse(k.g.snapshot(), r)
	if bad != nil {
		t.Fatal(bad)
	}
	k.state = k.rows("customer acme keys=plain:k2", k.state)
	x := &exchange{g: k.g, call: c}
	if got, want := x.adopt(), false; got != want {
		t.Errorf("brought to a configuration without its key: got %v, want %v", got, want)
	}
	if x.call.customer != "acme" || !x.call.keyed || x.call.revision != c.revision {
		t.Errorf("call: got customer %q, keyed %v, revision %d, want it as it was", x.call.customer, x.call.keyed, x.call.revision)
	}
}
