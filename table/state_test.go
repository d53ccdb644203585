package table

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/fault"
)

// TestScripts runs the scenarios of testdata. Commands:
//
//	apply from=N to=N [full]      rows as "KIND KEY CELL..." or "KIND KEY -" for a deleted one, "_" for an empty cell; the kind
//	                              "later" is one that this program does not know
//	match host=H path=P
//	since from=N
//	service key=K
//	unread                        the rows that cannot be read
//	row KIND KEY
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := NewState()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "apply":
				next, err := s.With(readDelta(t, d))
				if err != nil {
					return fmt.Sprintf("%s, still at %d\n", err, s.Revision())
				}
				s = next
				return fmt.Sprintf("revision %d\n", s.Revision()) + showUnread(s)
			case "row":
				sheet, err := SheetNamed(d.CmdArgs[0].Key)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				r, ok := s.Row(sheet.Kind, d.CmdArgs[1].Key)
				return fmt.Sprintf("%v revision %d %q\n", ok, r.Revision, r.Cells)
			case "match":
				var host, path string
				d.ScanArgs(t, "host", &host)
				d.ScanArgs(t, "path", &path)
				r, ok := s.Match(host, path)
				if r.Value.Closed {
					return fmt.Sprintln(ok, r.Key, "closed")
				}
				return fmt.Sprintln(ok, r.Key)
			case "since":
				return showSince(s, readNumber(t, d, "from"))
			case "service":
				key := ""
				d.ScanArgs(t, "key", &key)
				return showService(s, key)
			}
			d.Fatalf(t, "no such command")
			return ""
		})
	})
}

func showUnread(s *State) string {
	var lines []string
	s.UndecodableRows(func(u UndecodableRow) {
		lines = append(lines, fmt.Sprintf("unread %s %s %q: %s\n", u.Kind, u.Key, u.Cells, u.Detail))
	})
	slices.Sort(lines)
	return strings.Join(lines, "")
}

func readNumber(t *testing.T, d *datadriven.TestData, name string) uint64 {
	t.Helper()
	var n uint64
	d.MaybeScanArgs(t, name, &n)
	return n
}

// laterKind is a kind of row that only a later program knows.
var laterKind = Kind(200)

func readDelta(t *testing.T, d *datadriven.TestData) Delta {
	t.Helper()
	out := Delta{From: readNumber(t, d, "from"), To: readNumber(t, d, "to"), Full: d.HasArg("full")}
	for line := range strings.Lines(d.Input) {
		words := strings.Fields(line)
		kind := laterKind
		if words[0] != "later" {
			sheet, err := SheetNamed(words[0])
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			kind = sheet.Kind
		}
		row := Row{Kind: kind, Key: words[1], Meta: Meta{Revision: out.To}, Deleted: len(words) == 3 && words[2] == "-"}
		for _, cell := range words[2:] {
			if !row.Deleted {
				row.Cells = append(row.Cells, strings.Trim(cell, "_"))
			}
		}
		out.Rows = append(out.Rows, row)
	}
	return out
}

func showSince(s *State, from uint64) string {
	rows, ok := s.Since(SourceRows, from)
	lines := []string{fmt.Sprintln("known", ok)}
	for _, r := range rows {
		lines = append(lines, fmt.Sprintln(r.Revision, r.Kind, r.Key, r.Deleted))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

func showService(s *State, key string) string {
	v, ok := s.Service(key)
	var b strings.Builder
	fmt.Fprintln(&b, "known", ok)
	for _, e := range v.Endpoints {
		fmt.Fprintln(&b, e.Key, e.Value.Address, s.EndpointPhase(e))
	}
	return b.String()
}

// TestDeltasAgree is a state-machine test: a leader applies random changes one by one; followers get deltas in any
// order, twice, or whole tables. A follower's revision never goes down and at the end it holds what the leader holds.
func TestDeltasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []*State{NewState()}
		follower := NewState()
		leader := func() *State { return states[len(states)-1] }
		deliver := func(t *rapid.T, from *State, to *State) {
			before := follower.Revision()
			next, err := follower.With(deltaBetween(from.Revision(), to))
			if err != nil && fault.CodeOf(err) != fault.Protocol {
				t.Fatalf("delivery: got %v, want a protocol error at most", err)
			}
			follower = next
			if got, want := follower.Revision(), before; got < want {
				t.Fatalf("revision: got %d, want at least %d", got, want)
			}
		}
		pick := func(t *rapid.T) *State { return rapid.SampledFrom(states).Draw(t, "state") }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				to := leader().Revision() + 1
				next, err := leader().With(Delta{From: to - 1, To: to, Rows: []Row{drawRow(t, to)}})
				if err != nil {
					t.Fatalf("change: got %v, want none", err)
				}
				states = append(states, next)
			},
			"deliver": func(t *rapid.T) { deliver(t, pick(t), pick(t)) },
			"catch up": func(t *rapid.T) {
				deliver(t, follower, leader())
				if got, want := dump(follower), dump(leader()); !maps.Equal(got, want) {
					t.Fatalf("rows: got %v, want %v", got, want)
				}
			},
		})
	})
}

func deltaBetween(from uint64, to *State) Delta {
	d := Delta{From: from, To: to.Revision()}
	rows, ok := to.Since(SourceRows, from)
	if ok {
		d.Rows = rows
		return d
	}
	d.Full = true
	to.Rows(func(r Row) { d.Rows = append(d.Rows, r) })
	return d
}

func drawRow(t *rapid.T, revision uint64) Row {
	kind := rapid.SampledFrom([]Kind{KindService, KindEndpoint, KindRoute, KindHost, KindCustomer, laterKind}).Draw(t, "kind")
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	if rapid.Bool().Draw(t, "delete") {
		return Row{Kind: kind, Key: key, Deleted: true, Meta: Meta{Revision: revision}}
	}
	if kind == laterKind || rapid.IntRange(0, 3).Draw(t, "readable") == 0 {
		return unreadableRow(t, kind, key, revision)
	}
	word := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "word")
	cells := map[Kind][]string{
		KindService:  {"60%"},
		KindEndpoint: {word, word, word, "127.0.0.1:1"},
		KindRoute:    {word, "/" + word, word},
		KindHost:     {rapid.SampledFrom(phaseNames).Draw(t, "phase")},
		KindCustomer: {"2", "5"},
	}
	row, err := NewRow(kind, key, cells[kind])
	if err != nil {
		t.Fatalf("row: %v", err)
	}
	row.Revision = revision
	return row
}

// unreadableRow draws a row with a cell that cannot be read, or more cells than this program knows columns.
func unreadableRow(t *rapid.T, kind Kind, key string, revision uint64) Row {
	cells := map[Kind][]string{
		KindService: {"odd", "0.5"}, KindEndpoint: {"a", "b", "c", "127.0.0.1:1", "odd"}, KindRoute: {"a", "/a", "a", "odd"},
		KindHost: {"odd"}, KindCustomer: {"odd"}, laterKind: {"x"},
	}[kind]
	if rapid.Bool().Draw(t, "long") {
		cells = append(append(slices.Clone(cells), make([]string, 20)...), "later")
	}
	return Row{Kind: kind, Key: key, Meta: Meta{Revision: revision}, Cells: cells}
}

func dump(s *State) map[string]string {
	out := make(map[string]string)
	s.Rows(func(r Row) { out[r.Kind.String()+" "+r.Key] = strings.Join(r.Cells, " ") })
	s.UndecodableRows(func(u UndecodableRow) { out["unread "+u.Kind.String()+" "+u.Key] = u.Detail })
	for _, key := range []string{"a", "b", "c"} {
		c, ok := s.Customer(key)
		out["customer "+key] = fmt.Sprint(ok, c.Value)
		out["host "+key] = s.HostPhase(key).String()
	}
	for _, key := range []string{"a", "b"} {
		v, _ := s.Service(key)
		out["endpoints of "+key] = fmt.Sprint(v.Endpoints)
		r, ok := s.Match("a", "/"+key)
		out["route "+key] = fmt.Sprint(ok, r.Key, r.Value.Closed)
	}
	return out
}
