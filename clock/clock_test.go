package clock

import (
	"testing"
	"time"
)

// TestSuspended simulates a host that is suspended for a time which its monotonic clock doesn't count.
func TestSuspended(t *testing.T) {
	suspended := time.Duration(0)
	c := Clock(func() time.Time { return time.Now().Add(suspended) })
	watch := c.StartStopwatch()
	if got, want := watch.Suspended(), time.Duration(0); got != want {
		t.Errorf("suspended before: got %v, want %v", got, want)
	}
	suspended = 3 * time.Second
	if got, want := watch.Suspended().Round(time.Second), suspended; got != want {
		t.Errorf("suspended: got %v, want %v", got, want)
	}
	if got, want := c.StartStopwatch().Suspended(), time.Duration(0); got != want {
		t.Errorf("suspended after: got %v, want %v", got, want)
	}
}

// TestBootAdvances checks that Boot advances as fast as the monotonic clock while the host isn't suspended.
func TestBootAdvances(t *testing.T) {
	watch := Clock(Boot).StartStopwatch()
	before := Boot()
	time.Sleep(20 * time.Millisecond)
	if got, want := Boot().Sub(before), 20*time.Millisecond; got < want {
		t.Errorf("boot time that has passed: got %v, want at least %v", got, want)
	}
	if got, want := watch.Suspended(), time.Duration(0); got != want {
		t.Errorf("suspended: got %v, want %v", got, want)
	}
}

// BenchmarkBoot measures the cost of one reading.
func BenchmarkBoot(b *testing.B) {
	for range b.N {
		Boot()
	}
}
