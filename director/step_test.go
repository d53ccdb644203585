package director

import (
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/clock/stepped"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// TestReportsAgeAcrossSteps guards against endpoints that count as busy, draining or cold for seconds too long, or too short, after the
// time of day was set.
func TestReportsAgeAcrossSteps(t *testing.T) {
	now := time.Now()
	for _, by := range []time.Duration{-5 * time.Second, 5 * time.Second} {
		x := newTarget()
		cold := (2 * time.Second).Microseconds()
		x.applyLoad(now, &peerpb.Load{Busy: 3, Leaving: true, ColdMicros: &cold})
		x.refusedAt.Store(clock.Nanos(now))
		before, after := stepped.Step(now.Add(time.Millisecond), by), stepped.Step(now.Add(time.Minute), by)
		if !x.refusing(before, PickOptions{}, false) || !x.draining(before) || x.outstanding(before) != 3 || x.warmupShare(before, 2*time.Second) == 1 {
			t.Errorf("step by %v: got the reports outdated after 1 ms, want them fresh", by)
		}
		if x.refusing(after, PickOptions{}, false) || x.draining(after) || x.outstanding(after) != 0 || x.warmupShare(after, 2*time.Second) != 1 {
			t.Errorf("step by %v: got the reports fresh after a minute, want them outdated", by)
		}
	}
}
