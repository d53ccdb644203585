package latency

import (
	"testing"
	"time"
)

// TestMeanOfLognormal checks that the mean is that of the distribution, without the allowance for jitter, which would add up
// over the requests of a queue.
func TestMeanOfLognormal(t *testing.T) {
	var m Model
	if got, want := m.Mean(), time.Duration(0); got != want {
		t.Errorf("mean without observations: got %v, want %v", got, want)
	}
	for range maxSamples {
		m.Observe(10 * time.Millisecond)
	}
	if got, low, high := m.Mean(), 10*time.Millisecond, 11*time.Millisecond; got < low || got > high {
		t.Errorf("mean of equal times: got %v, want %v to %v", got, low, high)
	}
	if got, limit := Prior(time.Second).Mean(), time.Second; got < limit {
		t.Errorf("mean of a prior: got %v, want at least its usual time, %v", got, limit)
	}
}

// TestKnowsKind checks that a kind counts as known with its own observations, not with those of others.
func TestKnowsKind(t *testing.T) {
	k := NewModels()
	for i := range 2 * minSamples {
		if got, want := k.Knows("upload"), i >= minSamples; got != want {
			t.Errorf("after %d observations: got known %v, want %v", i, got, want)
		}
		k.Observe("upload", time.Second)
	}
	if got, want := k.Knows("lookup"), false; got != want {
		t.Errorf("unobserved kind: got known %v, want %v", got, want)
	}
}
