package configsync

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestReadersTakeTurns checks that whenever the readers of a hall begin to read, one of them ends a read, and begins another on a
// new connection, within each period divided by their number.
func TestReadersTakeTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const period = 3 * time.Second
		readers := rapid.IntRange(1, 5).Draw(t, "readers")
		step := period / time.Duration(readers)
		looks := make(map[time.Duration]bool)
		for i := range readers {
			at := time.Duration(rapid.Int64Range(0, int64(period)).Draw(t, "begin"))
			for at < 4*period {
				wait := turnWait(at, period, i, readers)
				if wait <= 0 || wait > period+step/minTurn {
					t.Fatalf("wait of reader %d at %v: got %v, want it in (0, %v]", i, at, wait, period+step/minTurn)
				}
				at += wait
				looks[at] = true
			}
		}
		// By then each reader has begun its first read at a turn of its own.
		for from := 2 * period; from < 3*period; from += step / 10 {
			found := false
			for at := range looks {
				found = found || at > from && at <= from+step
			}
			if !found {
				t.Fatalf("looks at the store: got none within %v after %v, want one", step, from)
			}
		}
	})
}
