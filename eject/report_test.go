package eject

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestReportIsItsPieces checks that a report of many pieces of others' work leaves the same evidence as its pieces one by one:
// an endpoint's own work is no part of what it is compared with.
func TestReportIsItsPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, pieces := NewDetector(DefaultConfig()), NewDetector(DefaultConfig())
		list := drawEndpoints(t)
		now := time.Unix(0, 0)
		whole.SetEndpoints(now, list)
		pieces.SetEndpoints(now, list)
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			e := rapid.SampledFrom(list).Draw(t, "on")
			finished := rapid.Uint64Range(1, 64).Draw(t, "finished")
			failed := rapid.Uint64Range(0, finished).Draw(t, "failed")
			if out(pieces.Verdict(e.Key).Phase) {
				// Of such an endpoint reports say nothing.
				continue
			}
			now = now.Add(time.Second)
			whole.ObserveCounts(now, e.Key, finished, failed)
			o := pieces.byKey[e.Key]
			for i := range finished {
				o.countRate(now)
				o.tests.failure(i < failed, pieces.healthyFailures(o))
				o.noteFailure(i < failed)
			}
			pieces.judge(now, o)
			if got, want := whole.Verdict(e.Key), pieces.Verdict(e.Key); got != want {
				t.Fatalf("after a report of %d, %d failed: got %+v, want %+v", finished, failed, got, want)
			}
		}
	})
}
