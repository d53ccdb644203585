package clock

import (
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/clock/stepped"
)

// TestNanosIgnoreStepsOfTheTimeOfDay guards against ages that are wrong by seconds after the time of day was set.
func TestNanosIgnoreStepsOfTheTimeOfDay(t *testing.T) {
	now := time.Now()
	for _, by := range []time.Duration{-5 * time.Second, 0, 5 * time.Second} {
		later := stepped.Step(now.Add(time.Second), by)
		if got, want := later.Round(0).Sub(now.Round(0)), by+time.Second; got != want {
			t.Fatalf("step by %v: got a time of day ahead by %v, want %v", by, got, want)
		}
		if got, want := Nanos(later)-Nanos(now), int64(time.Second); got != want {
			t.Errorf("step by %v: got %d ns, want %d", by, got, want)
		}
		if got, want := At(Nanos(now)).Sub(later), -time.Second; got != want {
			t.Errorf("time after a step by %v: got %v, want %v", by, got, want)
		}
	}
	past := time.Unix(0, 12345)
	if got, want := Nanos(past), int64(12345); got != want {
		t.Errorf("time without a monotonic reading: got %d, want %d", got, want)
	}
}
