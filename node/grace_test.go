package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lynxplank/lynxplank/settings"
)

// TestStopCountsFromEarliestSignal guards against a planned stop that ends later than its node is killed, because the node was
// paused when the signal was sent: the guaranteed time counts from then, and the notice takes its part of what is left.
func TestStopCountsFromEarliestSignal(t *testing.T) {
	cfg := settings.Stop{
		Grace: settings.Duration(6 * time.Second), Margin: settings.Duration(time.Second), Notice: settings.Duration(2 * time.Second),
	}
	for _, c := range []struct{ signalAge, end, notice time.Duration }{
		{0, 5 * time.Second, 2 * time.Second},
		{2500 * time.Millisecond, 2500 * time.Millisecond, time.Second},
		{5 * time.Second, 0, 0},
		{time.Minute, -55 * time.Second, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := newGrace(cfg)
			plan, _, cancel := g.begin(c.signalAge)
			defer cancel()
			if got, want := time.Until(plan.GuaranteedEnd()), c.end; got != want {
				t.Errorf("signal sent %v ago: guaranteed end: got in %v, want in %v", c.signalAge, got, want)
			}
			if got, want := time.Until(plan.NoticeEnd()), c.notice; got != want {
				t.Errorf("signal sent %v ago: notice: got %v, want %v", c.signalAge, got, want)
			}
		})
	}
}
