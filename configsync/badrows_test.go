package configsync

import (
	"context"
	"testing"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/skipped"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

// acceptHost gets an operator's row of a host accepted.
func acceptHost(t *testing.T, s *store.Store, op, host string) {
	t.Helper()
	row, err := table.NewRow(table.KindHost, host, []string{"draining"})
	if err != nil {
		t.Fatal(err)
	}
	w := changes.NewWriter(store.NewLocal(s))
	if _, err := w.Accept(t.Context(), changes.Change{Op: op, Edits: []changes.Edit{{Row: row}}}); err != nil {
		t.Fatalf("accept %s: %v", op, err)
	}
}

func draining(host string) func(*Snapshot) bool {
	return func(s *Snapshot) bool { return s.State.HostPhase(host) == table.Draining }
}

// TestRowsOfOtherWriters has other writers put among the operators' own rows what no program of ours writes: rows of a sheet that is not
// known, cells that cannot be read, log entries that are none. What operators change behind is in force, also for a node that starts
// then, and each entry is told.
func TestRowsOfOtherWriters(t *testing.T) {
	s := store.New()
	f := startFollower(t, s)
	configure(t, s, "7", "a")
	acceptHost(t, s, "1", "h1")
	wait(t, f, "the first change", draining("h1"))
	for _, c := range []struct{ key, value string }{
		{"row/route/r1", "\x00\xff not text"},
		{"row/rack/r1", `{"kind":"rack","key":"r1","revision":2,"cells":{"power":"on"}}`},
		{"row/host/h8", `{"kind":"host","key":"h8","revision":1,"cells":{"phase":"asleep"}}`},
		{"log/0000000000000002", `[]`},
	} {
		commit(t, s, platform.Write{Key: c.key, Value: []byte(c.value)})
	}
	wait(t, f, "the unreadable entry told", func(*Snapshot) bool { return len(f.leftOut.Entries()) > 0 })
	commit(t, s, platform.Write{Key: "log/0000000000000002", Delete: true})
	acceptHost(t, s, "2", "h2")
	wait(t, f, "the change behind", draining("h2"))
	late := startFollower(t, s)
	wait(t, late, "a node that starts then", func(s *Snapshot) bool { return draining("h2")(s) && draining("h8")(s) && draining("h1")(s) })
	sources := make(map[skipped.Source]int)
	for _, e := range late.leftOut.Entries() {
		sources[e.Source]++
	}
	if got, want := sources, 2; got[skipped.Records] != want || got[skipped.Table] != 1 {
		t.Errorf("left out: got %v, want %d records and 1 row of the table", late.leftOut.Entries(), want)
	}
}

// TestWordsOfLaterPrograms gives a node what a peer of a later program tells: a part that this one does not have, a row of another kind,
// one with more cells, a host without a hall. What it knows is in force all the same, and it tells on what it cannot read.
func TestWordsOfLaterPrograms(t *testing.T) {
	s := store.New()
	f := startFollower(t, s)
	configure(t, s, "7", "a")
	wait(t, f, "first", routed("/a/", true))
	parts := []*peerpb.Delta{
		{Plane: 99, To: 3, Full: true, Rows: []*peerpb.Row{{Kind: 1, Key: "x"}}},
		{Plane: uint32(table.SourceRows), From: 5, To: 6, Rows: []*peerpb.Row{{Kind: 5, Key: "h6", Revision: 6, Cells: []string{"draining"}}}},
		{Plane: uint32(table.SourceConfig), From: 7, To: 8, Rows: []*peerpb.Row{
			{Kind: 77, Key: "k", Revision: 8, Cells: []string{"a"}},
			{Kind: 3, Key: "b", Revision: 8, Cells: []string{"x", "/b/", "desk", "yes"}},
			{Kind: 3, Key: "c", Revision: 8, Cells: append([]string{"x", "/c/", "desk", "yes"}, append(make([]string, 20), "later")...)},
		}},
		{Plane: uint32(table.SourceHosts), HostsRevision: 1000, HostsBase: 1000, Hosts: []*peerpb.Host{
			{Id: "h1", Address: "127.0.0.1:1", Version: 1}, {Id: "h2", Hall: "hall-1", Address: "127.0.0.1:2", Version: 2},
		}},
	}
	applied := make(chan error, 1)
	f.deliver(applyNow{parts: parts, done: applied})
	if err := <-applied; fault.CodeOf(err) != fault.Protocol {
		t.Errorf("a delta past what is in force: got %v, want a protocol error", err)
	}
	snap := f.Snapshot()
	if _, ok := snap.State.Match("x", "/b/1"); !ok {
		t.Error("route beside the others: got none, want it in force")
	}
	if r, ok := snap.State.Match("x", "/c/1"); !ok || !bool(r.Value.Closed) {
		t.Errorf("route with more cells: got %+v, want it closed", r)
	}
	if _, ok := snap.ByID["h2"]; !ok || len(snap.Hosts) != 1 {
		t.Errorf("hosts: got %v, want h2 alone", snap.Hosts)
	}
	told := 0
	for _, p := range Deltas(snap, table.Revisions{}, true) {
		for _, r := range p.GetRows() {
			if r.GetKind() == 77 || r.GetKey() == "c" && r.GetCells()[len(r.GetCells())-1] == "later" {
				told++
			}
		}
	}
	if got, want := told, 2; got != want {
		t.Errorf("rows told on as they came: got %d, want %d", got, want)
	}
}

// applyNow puts a peer's parts in force.
type applyNow struct {
	parts []*peerpb.Delta
	done  chan error
}

func (m applyNow) apply(_ context.Context, f *Follower) { m.done <- f.applyParts(m.parts) }

// applyDelta puts a delta in force.
type applyDelta struct {
	delta table.Delta
	done  chan error
}

func (m applyDelta) apply(_ context.Context, f *Follower) { m.done <- f.apply(m.delta) }
