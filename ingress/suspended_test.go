package ingress

import (
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/clock"
)

// TestSuspensionReducesTimeLeft suspends the host between a request's arrival and a send. Endpoints must receive the
// time that is left for the caller, not the time until a deadline of the monotonic clock, which stood still.
func TestSuspensionReducesTimeLeft(t *testing.T) {
	lost := time.Duration(0)
	c := clock.Clock(func() time.Time { return time.Now().Add(lost) })
	x := &exchange{stopwatch: c.Begin()}
	deadline := time.Now().Add(4 * time.Second)
	for _, step := range []struct{ lost, want time.Duration }{{0, 4 * time.Second}, {3 * time.Second, time.Second}, {9 * time.Second, 0}} {
		lost = step.lost
		if got := x.timeLeft(deadline).Round(100 * time.Millisecond); got != step.want {
			t.Errorf("left after %v of suspension: got %v, want %v", step.lost, got, step.want)
		}
	}
}
