package director

import (
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// TestSaidLeavingIsRemembered guards against an endpoint that gets new work from a node that has forgotten, after some
// seconds, that the endpoint is leaving. The key of an endpoint that announces itself names one life; behind another key
// a new process may answer, and its node is told what was said.
func TestSaidLeavingIsRemembered(t *testing.T) {
	now := time.Now()
	announced := entry{endpoint: table.Entry[table.Endpoint]{Key: "a", Meta: table.Meta{Source: table.SourceHosts}}, target: newTarget()}
	row := entry{endpoint: table.Entry[table.Endpoint]{Key: "b"}, target: newTarget()}
	for _, e := range []*entry{&announced, &row} {
		e.target.applyLoad(now, &peerpb.Load{Leaving: true})
		// An answer that was reported before and comes later.
		e.target.applyLoad(now.Add(time.Millisecond), &peerpb.Load{})
	}
	later := now.Add(time.Hour)
	for _, c := range []struct {
		name      string
		got, want bool
	}{
		{"announced, at once", announced.drains(now.Add(time.Second)), true},
		{"row, at once", row.drains(now.Add(time.Second)), true},
		{"announced, after an hour", announced.drains(later), true},
		{"row, after an hour", row.drains(later), false},
		{"row, what its node is told", row.target.saidLeaving(), true},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, c.got, c.want)
		}
	}
	row.target.applyLoad(later, &peerpb.Load{})
	if got := row.target.saidLeaving(); got {
		t.Error("row, once its node says that it takes requests: got true, want false")
	}
}

// TestStatedRateLowersWeight checks that choosers weigh an endpoint by the rate that it states, and for how long.
func TestStatedRateLowersWeight(t *testing.T) {
	now, x := time.Now(), newTarget()
	x.applyLoad(now, &peerpb.Load{MaxRate: &peerpb.MaxRate{Rate: 2, WaitMicros: 300_000}})
	for _, c := range []struct {
		name      string
		got, want float64
	}{
		{"share of 4 slots with work of 200 ms", x.rateShare(now, 4, 200*time.Millisecond), 0.1},
		{"share with work of 4 s", x.rateShare(now, 4, 4*time.Second), 1},
		{"share while the work is unknown", x.rateShare(now, 4, 0), 1},
		{"share after its time", x.rateShare(now.Add(maxRateTTL+1), 4, 200*time.Millisecond), 1},
		{"wait, ms", float64(x.rateWait(now.Add(100 * time.Millisecond)).Milliseconds()), 200},
		{"wait once it is over", float64(x.rateWait(now.Add(time.Second))), 0},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, c.got, c.want)
		}
	}
	if got := x.statedRate(now.Add(maxRateMemory), maxRateMemory).GetRate(); got != 2 {
		t.Errorf("what its node is told: got %v, want 2", got)
	}
	x.applyLoad(now, &peerpb.Load{})
	if got := x.statedRate(now, maxRateMemory); got != nil {
		t.Errorf("once it states none: got %v, want none", got)
	}
}
