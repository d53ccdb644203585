package eject

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestObserveCountsEqualsSingleObservations checks that a report of many results of other nodes leaves the same scores
// as the results one by one. It holds because an endpoint's own results are no part of what it is compared with.
func TestObserveCountsEqualsSingleObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counted, single := NewDetector(DefaultConfig()), NewDetector(DefaultConfig())
		list := drawEndpoints(t)
		now := time.Unix(0, 0)
		counted.SetEndpoints(now, list)
		single.SetEndpoints(now, list)
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			e := rapid.SampledFrom(list).Draw(t, "on")
			finished := rapid.Uint64Range(1, 64).Draw(t, "finished")
			failed := rapid.Uint64Range(0, finished).Draw(t, "failed")
			if ejected(single.Verdict(e.Key).Phase) {
				// Reports about an ejected endpoint are ignored.
				continue
			}
			now = now.Add(time.Second)
			counted.ObserveCounts(now, e.Key, finished, failed)
			o := single.byKey[e.Key]
			for i := range finished {
				o.countRate(now)
				o.tests.observeFailure(i < failed, single.healthyFailures(o))
				o.observeFailure(i < failed)
			}
			single.applyThreshold(now, o)
			if got, want := counted.Verdict(e.Key), single.Verdict(e.Key); got != want {
				t.Fatalf("after a report of %d, %d failed: got %+v, want %+v", finished, failed, got, want)
			}
		}
	})
}
