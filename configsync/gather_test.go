package configsync

import (
	"testing"
	"time"
)

// TestGatheringLimitsReads simulates 2 s in which the announcements of a fleet arrive evenly, as during a common start
// or a rolling restart, and counts the reads of one reader: with ten times the hosts it reads less often, not more, and
// no change waits for long.
func TestGatheringLimitsReads(t *testing.T) {
	const length = 2 * time.Second
	for _, c := range []struct{ hosts, reads int }{{0, 1}, {10, 10}, {30, 10}, {100, 4}, {350, 4}, {3500, 4}} {
		reads, known := 0, 0
		for at := time.Duration(0); at < length; reads++ {
			stored := int(float64(c.hosts) * at.Seconds() / length.Seconds())
			if stored == known && c.hosts > 0 {
				// The store answers when the next announcement arrives.
				stored++
			}
			wait := gatherDelayFor(stored - known)
			if got, maximum := wait, maxGatherDelay; got > maximum {
				t.Errorf("wait after %d records: got %v, want at most %v", stored-known, got, maximum)
			}
			known = stored
			if wait == 0 {
				wait = length
			}
			at += wait
		}
		if got, maximum := reads, c.reads; got > maximum {
			t.Errorf("reads by a reader while %d hosts announce themselves: got %d, want at most %d", c.hosts, got, maximum)
		}
	}
}
