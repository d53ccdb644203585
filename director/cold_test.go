package director

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// shareOf returns the share of many requests that an endpoint gets among equally good ones.
func shareOf(t *testing.T, d *Director, endpoint string) float64 {
	t.Helper()
	const tries = 4000
	n := 0
	for range tries {
		p, got := pickKey(t, d, PickOptions{Exclude: []string{"e-h0-00"}})
		if got == endpoint {
			n++
		}
		d.Done(Report{Service: "desk", Pick: p})
	}
	return float64(n) / tries
}

// TestColdEndpointGetsLess checks that an endpoint which reports that it is cold gets a small share of the requests,
// and its full share again once it reports that it is warm. An endpoint of a hall whose evacuation has ended counts as
// cold until it reports otherwise.
func TestColdEndpointGetsLess(t *testing.T) {
	var state atomic.Pointer[table.State]
	state.Store(stateWithHalls(t, 1, 5))
	d := startDirector(t, state.Load)
	even := shareOf(t, d, "e-h0-01")
	reportCold := func(cold time.Duration) {
		p, _ := pickKey(t, d, PickOptions{Pinned: "e-h0-01"})
		micros := cold.Microseconds()
		d.Done(Report{Service: "desk", Pick: p, Load: &peerpb.Load{Slots: 4, ColdMicros: &micros}})
	}
	reportCold(time.Minute)
	if got, limit := shareOf(t, d, "e-h0-01"), even/3; got > limit {
		t.Errorf("share while cold: got %v, want at most %v of %v", got, limit, even)
	}
	reportCold(0)
	if got, limit := shareOf(t, d, "e-h0-01"), even/2; got < limit {
		t.Errorf("share once warm: got %v, want at least %v of %v", got, limit, even)
	}
	rt := &runtime{targets: map[string]*target{"e-h0-01": newTarget()}, evacuated: map[string]bool{"hall-0": true}}
	sv := table.ServiceView{Entry: table.Entry[table.Service]{Value: table.Service{Warmup: table.Duration(time.Second)}}}
	sv.Endpoints = []table.Entry[table.Endpoint]{{Key: "e-h0-01", Value: table.Endpoint{Hall: "hall-0"}}}
	now := time.Now()
	rt.markRestoredHallsCold(now, state.Load(), sv)
	if got := rt.targets["e-h0-01"].warmupShare(now, time.Second); got != minColdShare {
		t.Errorf("warm-up share after the hall's evacuation has ended: got %v, want %v", got, minColdShare)
	}
}
