package retry

import (
	"slices"
	"testing"
	"time"
)

// TestBackoffDoublesUpToMost checks the waits after failures, and that a success begins anew.
func TestBackoffDoublesUpToMost(t *testing.T) {
	b := Backoff{Initial: 250 * time.Millisecond, Max: time.Second}
	var got []time.Duration
	for i := range 6 {
		if i == 5 {
			b.Reset()
		}
		got = append(got, b.Next()/time.Millisecond)
	}
	if want := []time.Duration{250, 500, 1000, 1000, 1000, 250}; !slices.Equal(got, want) {
		t.Errorf("waits in ms: got %v, want %v", got, want)
	}
	b = Backoff{Initial: time.Second}
	for range 3 {
		if got, want := b.Next(), time.Second; got != want {
			t.Errorf("without a longest wait: got %v, want %v", got, want)
		}
	}
}
