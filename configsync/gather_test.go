package configsync

import (
	"testing"
	"time"
)

// TestReadersAskLessOftenForMore steps through 2 s in which the lines of a fleet come evenly, as at a common start or in a roll, and
// counts how often a reader looks: a fleet ten times the size has it look less often, not more, and nothing waits for long.
func TestReadersAskLessOftenForMore(t *testing.T) {
	const length = 2 * time.Second
	for _, c := range []struct{ hosts, looks int }{{0, 1}, {10, 10}, {30, 10}, {100, 4}, {350, 4}, {3500, 4}} {
		looks, seen := 0, 0
		for at := time.Duration(0); at < length; looks++ {
			shown := int(float64(c.hosts) * at.Seconds() / length.Seconds())
			if shown == seen && c.hosts > 0 {
				// The store answers with the next line.
				shown++
			}
			wait := gatherFor(shown - seen)
			if got, most := wait, mostGather; got > most {
				t.Errorf("wait after %d lines: got %v, want at most %v", shown-seen, got, most)
			}
			seen = shown
			if wait == 0 {
				wait = length
			}
			at += wait
		}
		if got, most := looks, c.looks; got > most {
			t.Errorf("looks of a reader while %d hosts announce themselves: got %d, want at most %d", c.hosts, got, most)
		}
	}
}
