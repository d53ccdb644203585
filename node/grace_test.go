package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lynxplank/lynxplank/settings"
	"github.com/lynxplank/lynxplank/signals"
)

// signalAt is a stop signal that was received at a time.
type signalAt struct{ signals.Stop }

// Received implements shutdown.Signals.
func (s signalAt) Received() (signals.Stop, bool) { return s.Stop, true }

// ClearUntil implements shutdown.Signals.
func (s signalAt) ClearUntil() time.Time { return s.SentAfter }

// Check implements shutdown.Signals.
func (signalAt) Check() <-chan struct{} { return nil }

// TestStopCountsFromEarliestSignal guards against a planned stop that ends later than its node is killed, because the node was
// paused when the signal was sent: the guaranteed time counts from then, with up to half of the margin for a signal that was sent
// later, and the notice takes its part of what is left, up to half of the grace.
func TestStopCountsFromEarliestSignal(t *testing.T) {
	cfg := settings.Stop{
		Grace: settings.Duration(6 * time.Second), Margin: settings.Duration(time.Second), Notice: settings.Duration(2 * time.Second),
	}
	for _, c := range []struct{ signalAge, end, notice time.Duration }{
		{0, 5 * time.Second, 2 * time.Second},
		{200 * time.Millisecond, 5 * time.Second, 1920 * time.Millisecond},
		{2500 * time.Millisecond, 3 * time.Second, 500 * time.Millisecond},
		{5 * time.Second, 500 * time.Millisecond, -2 * time.Second},
		{time.Minute, -54500 * time.Millisecond, -57 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			now := time.Now()
			plan := newSchedule(cfg, signalAt{signals.Stop{SentAfter: now.Add(-c.signalAge), ReceivedAt: now}}).Begin()
			if got, want := time.Until(plan.GuaranteedEnd()), c.end; got != want {
				t.Errorf("signal sent %v ago: guaranteed end: got in %v, want in %v", c.signalAge, got, want)
			}
			if got, want := time.Until(plan.NoticeEnd()), c.notice; got != want {
				t.Errorf("signal sent %v ago: notice: got %v, want %v", c.signalAge, got, want)
			}
		})
	}
}
