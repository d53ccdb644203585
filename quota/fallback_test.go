package quota

import (
	"testing"
	"time"
)

// TestRestartsDoNotRenewFallback guards against a node that reaches no owner and passes its share of the fallback allotment
// again after each restart.
func TestRestartsDoNotRenewFallback(t *testing.T) {
	const window, share, customers = 5 * time.Second, 3, 2
	now := time.Now()
	// passed has when requests of each customer passed, in all lives of the node.
	var passed [customers][]time.Time
	for life := range 40 {
		f := NewFallback(now, window)
		// Lives of a tenth of a window to four windows.
		for end := now.Add(time.Duration(1+life) * window / 10); now.Before(end); now = now.Add(window / 20) {
			for c := range customers {
				if f.Use(now, string(rune('a'+c)), share) {
					passed[c] = append(passed[c], now)
				}
			}
		}
	}
	for c, times := range passed {
		for i, at := range times {
			if i >= share && at.Before(times[i-share].Add(window)) {
				t.Errorf("customer %d: got %d requests in %v, want at most %d in a window", c, share+1, at.Sub(times[i-share]), share)
			}
		}
		if got, want := len(times), 10*share; got < want {
			t.Errorf("customer %d: got %d requests, want at least %d", c, got, want)
		}
	}
}
