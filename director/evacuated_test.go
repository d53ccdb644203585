package director

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
)

// stateWithHalls returns a state of one service with the given number of endpoints in each hall; some halls are
// evacuated.
func stateWithHalls(t testing.TB, halls, each int, evacuated ...int) *table.State {
	t.Helper()
	service, err := table.NewRow(table.KindService, "desk", []string{"90%"})
	if err != nil {
		t.Fatal(err)
	}
	rows := []table.Row{service}
	for h := range halls {
		for i := range each {
			name := fmt.Sprintf("h%d-%02d", h, i)
			row, err := table.NewRow(table.KindEndpoint, "e-"+name, []string{"desk", name, fmt.Sprintf("hall-%d", h), "127.0.0.1:1", "4"})
			if err != nil {
				t.Fatal(err)
			}
			rows = append(rows, row)
		}
	}
	for _, h := range evacuated {
		rows = append(rows, table.Encode(table.KindHall, fmt.Sprintf("hall-%d", h), table.Meta{}, table.Hall{Evacuated: true}))
	}
	s, err := table.NewState().With(table.Delta{Full: true, To: 1, Rows: rows})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// startDirector returns a started director of a host in hall-0.
func startDirector(t testing.TB, state func() *table.State) *Director {
	t.Helper()
	log := zerolog.Nop()
	d := New(Config{Host: "h0-00", Hall: "hall-0", HallHosts: func() []string { return []string{"h0-00", "h0-01"} }}, &log, state,
		func(string) bool { return false }, func(string) bool { return true })
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Stop(context.Background()) })
	return d
}

// TestEvacuatedHallsGetNothing evacuates the own hall, another hall, two of three halls and all halls. No request may
// go to an evacuated hall, not even one that is pinned to an endpoint there. The members must be made up from the
// remaining halls, and if none is left, the pick must fail with NoEndpoint.
func TestEvacuatedHallsGetNothing(t *testing.T) {
	for _, c := range []struct {
		name      string
		evacuated []int
		want      int
	}{{"own", []int{0}, 40}, {"another", []int{1}, 40}, {"two", []int{0, 2}, 20}, {"all", []int{0, 1, 2}, 0}} {
		t.Run(c.name, func(t *testing.T) {
			s := stateWithHalls(t, 3, 20, c.evacuated...)
			d := startDirector(t, func() *table.State { return s })
			seen := make(map[string]bool)
			for range 2000 {
				p, got := pickKey(t, d, PickOptions{})
				if got == string(fault.NoEndpoint) {
					break
				}
				if s.Evacuated(p.Endpoint.Value.Hall) {
					t.Fatalf("picked: got %s of an evacuated hall", got)
				}
				seen[got] = true
				d.Done(Report{Service: "desk", Pick: p})
			}
			if got, limit := len(seen), min(c.want, localMembers); got < limit {
				t.Errorf("endpoints picked: got %d, want at least %d", got, limit)
			}
			for _, h := range c.evacuated {
				if _, got := pickKey(t, d, PickOptions{Pinned: fmt.Sprintf("e-h%d-07", h)}); got != string(fault.NoEndpoint) {
					t.Errorf("pinned to an endpoint of an evacuated hall: got %s, want %s", got, fault.NoEndpoint)
				}
			}
		})
	}
}

// TestExplainNamesTheEvacuation checks that the explanation of an endpoint in an evacuated hall names the operator
// who ordered the evacuation and the time when it began.
func TestExplainNamesTheEvacuation(t *testing.T) {
	s := stateWithHalls(t, 2, 2)
	row := table.Encode(table.KindHall, "hall-1", table.Meta{Revision: 2}, table.Hall{Evacuated: true, Since: 7000, By: "ann"})
	next, err := s.With(table.Delta{From: 1, To: 2, Rows: []table.Row{row}})
	if err != nil {
		t.Fatal(err)
	}
	var state atomic.Pointer[table.State]
	state.Store(next)
	d := startDirector(t, state.Load)
	pickKey(t, d, PickOptions{})
	for _, e := range d.Explain("desk") {
		in := e.Endpoint == "e-h1-00" || e.Endpoint == "e-h1-01"
		if e.Evacuated != in || e.Open == in || in && (e.EvacuatedBy != "ann" || e.EvacuatedSince.UnixMilli() != 7000) {
			t.Errorf("explanation of %s: got %+v, want evacuated %v by ann since 7 s", e.Endpoint, e, in)
		}
	}
}
