package director

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// twoHallDirector returns a director in hall-1. Its service has one endpoint with a single slot in each of two halls.
func twoHallDirector(t *testing.T) *Director {
	t.Helper()
	service, err := table.NewRow(table.KindService, "desk", nil)
	if err != nil {
		t.Fatal(err)
	}
	rows := []table.Row{service}
	for i := 1; i <= 2; i++ {
		cells := []string{"desk", fmt.Sprintf("h%d", i), fmt.Sprintf("hall-%d", i), "127.0.0.1:1", "1"}
		row, err := table.NewRow(table.KindEndpoint, fmt.Sprintf("e%d", i), cells)
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, row)
	}
	s, err := table.NewState().With(table.Delta{Full: true, To: 1, Rows: rows})
	if err != nil {
		t.Fatal(err)
	}
	log := zerolog.Nop()
	d := New(Config{Hall: "hall-1"}, &log, func() *table.State { return s },
		func(string) bool { return false }, func(string) bool { return true })
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Stop(context.Background()) })
	return d
}

// pickKey returns the pick for some options, and the picked endpoint's key or the code of the error.
func pickKey(t *testing.T, d *Director, opts PickOptions) (Pick, string) {
	t.Helper()
	opts.Service = "desk"
	p, err := d.Pick(t.Context(), opts)
	if err != nil {
		return p, string(fault.CodeOf(err))
	}
	return p, p.Endpoint.Key
}

// TestLocalHallOnlyReportsBusy checks the errors of a pick in the own hall, by which the request decides whether to
// wait: Busy while the hall's endpoints only lack a free slot, NoEndpoint when they accept no such request.
func TestLocalHallOnlyReportsBusy(t *testing.T) {
	d := twoHallDirector(t)
	local := PickOptions{RequireFreeSlot: true, LocalHallOnly: true}
	first, got := pickKey(t, d, local)
	if want := "e1"; got != want {
		t.Fatalf("first: got %s, want %s", got, want)
	}
	if _, got := pickKey(t, d, local); got != string(fault.Busy) {
		t.Errorf("while its slot is taken: got %s, want %s", got, fault.Busy)
	}
	if _, got := pickKey(t, d, PickOptions{RequireFreeSlot: true}); got != "e2" {
		t.Errorf("without the restriction: got %s, want e2", got)
	}
	d.Done(Report{Service: "desk", Pick: first, Refused: true, Load: &peerpb.Load{Slots: 1, Trial: true}})
	if _, got := pickKey(t, d, local); got != string(fault.NoEndpoint) {
		t.Errorf("while it takes only trials: got %s, want %s", got, fault.NoEndpoint)
	}
}

// TestRefusalsOfOtherHallsLastLonger checks that after a refusal an endpoint of another hall is avoided for longer than
// one of the own hall, and that an endpoint without retry budget is avoided by retries only.
func TestRefusalsOfOtherHallsLastLonger(t *testing.T) {
	now := time.Now()
	target := newTarget()
	target.refusedAt.Store(now.UnixNano())
	later := now.Add(2 * refusedTTL)
	for _, c := range []struct{ otherHall, want bool }{{false, false}, {true, true}} {
		if got := target.refusing(later, PickOptions{Repeatable: true}, c.otherHall); got != c.want {
			t.Errorf("other hall=%v: got refusing %v, want %v", c.otherHall, got, c.want)
		}
	}
	target = newTarget()
	target.outOfRetriesAt.Store(now.UnixNano())
	for _, c := range []struct{ isRetry, want bool }{{false, false}, {true, true}} {
		if got := target.refusing(later, PickOptions{Repeatable: true, IsRetry: c.isRetry}, false); got != c.want {
			t.Errorf("without retry budget, retry=%v: got refusing %v, want %v", c.isRetry, got, c.want)
		}
	}
}
