package ingress

import (
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/clock"
)

// TestSuspensionReducesTimeLeft suspends the host between a request's arrival and a send. Endpoints must receive the
// time that is left for the caller, not the time until a deadline of the monotonic clock, which stood still.
func TestSuspensionReducesTimeLeft(t *testing.T) {
	suspended := time.Duration(0)
	c := clock.Clock(func() time.Time { return time.Now().Add(suspended) })
	x := &exchange{stopwatch: c.StartStopwatch()}
	deadline := time.Now().Add(4 * time.Second)
	for _, step := range []struct{ suspended, want time.Duration }{{0, 4 * time.Second}, {3 * time.Second, time.Second}, {9 * time.Second, 0}} {
		suspended = step.suspended
		if got := x.timeLeft(deadline).Round(100 * time.Millisecond); got != step.want {
			t.Errorf("left after %v of suspension: got %v, want %v", step.suspended, got, step.want)
		}
	}
}
