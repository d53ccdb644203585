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

// halls returns a director in hall-1 of a service with one endpoint of a slot in each of two halls.
func halls(t *testing.T) *Director {
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

// picked returns the endpoint that a wish gets, or the code of its refusal.
func picked(t *testing.T, d *Director, w PickOptions) (Pick, string) {
	t.Helper()
	w.Service = "desk"
	p, err := d.Pick(t.Context(), w)
	if err != nil {
		return p, string(fault.CodeOf(err))
	}
	return p, p.Endpoint.Key
}

// TestNearWaitsForABusyHall checks that a request which may wait in its own hall is told when that is only out of slots, and
// when it has nobody.
func TestNearWaitsForABusyHall(t *testing.T) {
	d := halls(t)
	near := PickOptions{RequireFreeSlot: true, LocalHallOnly: true}
	first, got := picked(t, d, near)
	if want := "e1"; got != want {
		t.Fatalf("first: got %s, want %s", got, want)
	}
	if _, got := picked(t, d, near); got != string(fault.Busy) {
		t.Errorf("while its slot is taken: got %s, want %s", got, fault.Busy)
	}
	if _, got := picked(t, d, PickOptions{RequireFreeSlot: true}); got != "e2" {
		t.Errorf("without the restriction: got %s, want e2", got)
	}
	d.Done(Report{Service: "desk", Pick: first, Refused: true, Load: &peerpb.Load{Slots: 1, Trial: true}})
	if _, got := picked(t, d, near); got != string(fault.NoEndpoint) {
		t.Errorf("while it takes only trials: got %s, want %s", got, fault.NoEndpoint)
	}
}

// TestFarRefusalsAreBelievedLonger checks that an endpoint of another hall which has just refused is not asked again as soon
// as one of the own hall.
func TestFarRefusalsAreBelievedLonger(t *testing.T) {
	now := time.Now()
	target := newTarget()
	target.declinedAt.Store(now.UnixNano())
	later := now.Add(2 * declinedLife)
	for _, c := range []struct{ far, want bool }{{false, false}, {true, true}} {
		if got := target.declining(later, PickOptions{Repeatable: true}, c.far); got != c.want {
			t.Errorf("far=%v: got declining %v, want %v", c.far, got, c.want)
		}
	}
	target = newTarget()
	target.spentAt.Store(now.UnixNano())
	for _, c := range []struct{ again, want bool }{{false, false}, {true, true}} {
		if got := target.declining(later, PickOptions{Repeatable: true, IsRetry: c.again}, false); got != c.want {
			t.Errorf("without retries left, again=%v: got declining %v, want %v", c.again, got, c.want)
		}
	}
}
