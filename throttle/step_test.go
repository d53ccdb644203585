package throttle

import (
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/clock/stepped"
)

// TestResultsStayAcrossSteps guards against results that are dropped, or never leave the window, after the time of day was set.
func TestResultsStayAcrossSteps(t *testing.T) {
	now := time.Now()
	for _, by := range []time.Duration{-5 * time.Second, 5 * time.Second} {
		var x Throttle
		x.Record(now, Rejected, 0)
		x.Record(stepped.Step(now.Add(Window/2), by), Rejected, 0)
		if got, want := x.State(stepped.Step(now.Add(Window/2), by)).Requests, 2; got != want {
			t.Errorf("step by %v: got %d requests in the window, want %d", by, got, want)
		}
		if got, want := x.State(stepped.Step(now.Add(2*Window), by)).Requests, 0; got != want {
			t.Errorf("step by %v, later: got %d requests in the window, want %d", by, got, want)
		}
	}
}
