package director

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// shareOf returns the share of requests that an endpoint gets of many, the others being as good.
func shareOf(t *testing.T, d *Director, endpoint string) float64 {
	t.Helper()
	const tries = 4000
	n := 0
	for range tries {
		p, got := picked(t, d, PickOptions{Exclude: []string{"e-h0-00"}})
		if got == endpoint {
			n++
		}
		d.Done(Report{Service: "desk", Pick: p})
	}
	return float64(n) / tries
}

// TestColdEndpointGetsLess checks that an endpoint which says that it is cold gets a small share, and all of it once it says that it is not;
// and that one of a hall that was taken back counts as cold until it says otherwise.
func TestColdEndpointGetsLess(t *testing.T) {
	var state atomic.Pointer[table.State]
	state.Store(hallsState(t, 1, 5))
	d := directorIn(t, state.Load)
	even := shareOf(t, d, "e-h0-01")
	say := func(cold time.Duration) {
		p, _ := picked(t, d, PickOptions{Pinned: "e-h0-01"})
		micros := cold.Microseconds()
		d.Done(Report{Service: "desk", Pick: p, Load: &peerpb.Load{Slots: 4, ColdMicros: &micros}})
	}
	say(time.Minute)
	if got, most := shareOf(t, d, "e-h0-01"), even/3; got > most {
		t.Errorf("share while cold: got %v, want at most %v of %v", got, most, even)
	}
	say(0)
	if got, least := shareOf(t, d, "e-h0-01"), even/2; got < least {
		t.Errorf("share once warm: got %v, want at least %v of %v", got, least, even)
	}
	rt := &runtime{targets: map[string]*target{"e-h0-01": newTarget()}, evacuated: map[string]bool{"hall-0": true}}
	sv := table.ServiceView{Entry: table.Entry[table.Service]{Value: table.Service{Warmup: table.Duration(time.Second)}}}
	sv.Endpoints = []table.Entry[table.Endpoint]{{Key: "e-h0-01", Value: table.Endpoint{Hall: "hall-0"}}}
	now := time.Now()
	rt.noteHalls(now, state.Load(), sv)
	if got := rt.targets["e-h0-01"].warmth(now, time.Second); got != leastShare {
		t.Errorf("warmth in a hall that was taken back: got %v, want %v", got, leastShare)
	}
}
