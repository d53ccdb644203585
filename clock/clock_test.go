package clock

import (
	"testing"
	"time"
)

// TestSuspended has a host suspended for a time that its steady clock does not count.
func TestSuspended(t *testing.T) {
	lost := time.Duration(0)
	c := Clock(func() time.Time { return time.Now().Add(lost) })
	watch := c.StartStopwatch()
	if got, want := watch.Suspended(), time.Duration(0); got != want {
		t.Errorf("suspended before: got %v, want %v", got, want)
	}
	lost = 3 * time.Second
	if got, want := watch.Suspended().Round(time.Second), lost; got != want {
		t.Errorf("suspended: got %v, want %v", got, want)
	}
	if got, want := c.StartStopwatch().Suspended(), time.Duration(0); got != want {
		t.Errorf("suspended after: got %v, want %v", got, want)
	}
}

// TestBootGoesOn checks that the clock of the host goes as fast as the steady one while nobody suspends it.
func TestBootGoesOn(t *testing.T) {
	watch := Clock(Boot).StartStopwatch()
	before := Boot()
	time.Sleep(20 * time.Millisecond)
	if got, least := Boot().Sub(before), 20*time.Millisecond; got < least {
		t.Errorf("boot time in %v: got %v, want no less", least, got)
	}
	if got, want := watch.Suspended(), time.Duration(0); got != want {
		t.Errorf("suspended: got %v, want %v", got, want)
	}
}

// BenchmarkBoot is what each look at the clock costs.
func BenchmarkBoot(b *testing.B) {
	for range b.N {
		Boot()
	}
}
