package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// TestPlanCountsFromSignal draws stops whose signal was sent some time ago: nothing ends later than it would have if the signal had
// been noticed at once, but for a notice that is over; and none is open in the later half of the grace.
func TestPlanCountsFromSignal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := func(name string, least, most int64) time.Duration {
			return time.Duration(rapid.Int64Range(least, most).Draw(t, name)) * time.Millisecond
		}
		grace := millis("grace", 1, 60_000)
		margin := min(millis("margin", 0, 60_000), grace-time.Millisecond)
		guaranteed := grace - margin
		notice := min(millis("notice", 0, 60_000), guaranteed)
		age := millis("age", 0, 90_000)
		now := time.Unix(1000, 0)
		sent := now.Add(-age)
		p := NewPlan(grace, margin, notice).WithSignal(now, age)
		checkEnd(t, p, sent.Add(guaranteed), now, margin, grace)
		if at := NewPlan(grace, margin, notice).WithSignal(now, 0); !at.GuaranteedEnd().Equal(now.Add(guaranteed)) {
			t.Errorf("guaranteed end of a signal noticed at once: got %v, want %v", at.GuaranteedEnd(), now.Add(guaranteed))
		}
		intakeEnd := sent.Add(grace / 2)
		if got, latest := p.NoticeEnd(), now.Add(notice); got.Before(now) && got.Before(intakeEnd) || got.After(latest) {
			t.Errorf("end of the notice: got %v, want it from %v to %v", got, now, latest)
		}
		if got, want := p.NoticeEnd(), intakeEnd; got.After(want) {
			t.Errorf("end of the notice: got %v, want it within half of the grace, %v", got, want)
		}
		if got := p.NoticeEnd(); age < guaranteed && got.After(p.GuaranteedEnd()) {
			t.Errorf("end of the notice: got %v, want it before the guaranteed end %v", got, p.GuaranteedEnd())
		}
		work := millis("work", 0, 60_000)
		if early, late := DispatchEnd(p.GuaranteedEnd(), work, false), DispatchEnd(p.GuaranteedEnd(), work, true); early.After(late) {
			t.Errorf("end of dispatch: got %v, want at the latest %v, that after an interruption", early, late)
		}
	})
}

// checkEnd checks the end of the plan of a node whose signal is received now and was sent guaranteed before end at the earliest.
func checkEnd(t *rapid.T, p Plan, end, now time.Time, margin, grace time.Duration) {
	most := end.Add(margin / 2)
	if got := p.GuaranteedEnd(); got.Before(end) || got.After(most) {
		t.Errorf("guaranteed end: got %v, want it from %v to %v", got, end, most)
	}
	// The signal may have been sent at any time up to now, so that work ends too early by what is before that.
	early, allows := now.Add(grace*5/6), grace-margin-settleLead >= grace*5/6
	if got := p.SettleAt(); allows && got.Before(early) && p.GuaranteedEnd().Before(most) {
		t.Errorf("settling: got %v, want it at %v, as the margin allows", got, early)
	}
	if got, want := p.SettleAt(), p.GuaranteedEnd().Add(-settleLead); !got.Equal(want) {
		t.Errorf("settling: got %v, want %v", got, want)
	}
}
