package ingress

import (
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/clock"
)

// TestSuspendedHostHasLessTimeLeft has the host suspended between a request's arrival and a send: endpoints are told what is left for
// the caller, and not what the deadline of a clock says that stood still.
func TestSuspendedHostHasLessTimeLeft(t *testing.T) {
	lost := time.Duration(0)
	c := clock.Clock(func() time.Time { return time.Now().Add(lost) })
	x := &exchange{watch: c.StartStopwatch()}
	deadline := time.Now().Add(4 * time.Second)
	for _, step := range []struct{ lost, want time.Duration }{{0, 4 * time.Second}, {3 * time.Second, time.Second}, {9 * time.Second, 0}} {
		lost = step.lost
		if got := x.left(deadline).Round(100 * time.Millisecond); got != step.want {
			t.Errorf("left after %v of suspension: got %v, want %v", step.lost, got, step.want)
		}
	}
}
