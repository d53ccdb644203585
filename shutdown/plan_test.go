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
// been noticed at once, but for a notice that is over.
func TestPlanCountsFromSignal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := func(name string, least, most int64) time.Duration {
			return time.Duration(rapid.Int64Range(least, most).Draw(t, name)) * time.Millisecond
		}
		guaranteed := millis("guaranteed", 1, 60_000)
		notice := min(millis("notice", 0, 60_000), guaranteed)
		age := millis("age", 0, 90_000)
		now := time.Unix(1000, 0)
		sent := now.Add(-age)
		p := NewPlan(guaranteed, notice).WithSignal(now, age)
		if got, want := p.GuaranteedEnd(), sent.Add(guaranteed); !got.Equal(want) {
			t.Errorf("guaranteed end: got %v, want %v", got, want)
		}
		if got, want := p.SettleAt(), sent.Add(guaranteed-settleLead); !got.Equal(want) {
			t.Errorf("settling: got %v, want %v", got, want)
		}
		if got, latest := p.NoticeEnd(), now.Add(notice); got.Before(now) || got.After(latest) {
			t.Errorf("end of the notice: got %v, want it from %v to %v", got, now, latest)
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
