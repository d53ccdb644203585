package ingress

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHallWaitLeavesTimeForWork checks that no request waits for its own hall beyond the time to spare, that larger
// requests wait longer, and that a route without samples does not wait.
func TestHallWaitLeavesTimeForWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		work := time.Duration(rapid.IntRange(1, 2000).Draw(t, "work in ms")) * time.Millisecond
		left := time.Duration(rapid.IntRange(0, 5000).Draw(t, "left in ms")) * time.Millisecond
		size := rapid.IntRange(0, 100000).Draw(t, "bytes")
		r := newRouteStats()
		if got, want := r.hallWait("a", left), time.Duration(0); got != want {
			t.Fatalf("of an unknown route: got %v, want %v", got, want)
		}
		for range 20 {
			r.record("a", work, size)
			r.record("b", work, 2*size)
		}
		got := r.hallWait("a", left)
		if limit := max(0, left-work); got < 0 || got > limit {
			t.Fatalf("with %v left for work of %v: got %v, want 0 to %v", left, work, got, limit)
		}
		if larger := r.hallWait("b", left); larger < got {
			t.Fatalf("of twice the size: got %v, want at least %v", larger, got)
		}
	})
}

// TestOriginOfRoutes checks that calls, which arrive only while the endpoint beside the node works, are distinguished
// from callers' requests, which arrive at any time.
func TestOriginOfRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idleOneIn := rapid.IntRange(2, 10).Draw(t, "idle one in")
		n := rapid.IntRange(100, 500).Draw(t, "requests")
		r := newRouteStats()
		var calls, requests origin
		for i := range n {
			calls = r.countArrival("calls", false)
			requests = r.countArrival("requests", i%idleOneIn == 0)
		}
		if got, want := calls, fromEndpoint; got != want {
			t.Fatalf("calls: got %v, want %v", got, want)
		}
		if got, want := requests, fromCallers; got != want {
			t.Fatalf("requests: got %v, want %v", got, want)
		}
	})
}
