package ingress

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/table"
)

// TestSplitSharesHold checks that of any number of requests through any number of nodes, each part of a split gets its
// share to within a few requests a node.
func TestSplitSharesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 100), 2, 4).Draw(t, "weights")
		parts := make([]table.Part, 0, len(weights))
		total := 0
		for i, w := range weights {
			total += w
			parts = append(parts, table.Part{Service: string(rune('a' + i)), Weight: float64(w)})
		}
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		each := rapid.IntRange(1, 200).Draw(t, "requests")
		counts := make(map[string]int)
		for range nodes {
			s := newSplits()
			for range each {
				counts[s.choose("r", parts)]++
			}
		}
		for i, p := range parts {
			want := float64(nodes*each) * float64(weights[i]) / float64(total)
			if got := float64(counts[p.Service]); math.Abs(got-want) > float64(2*nodes) {
				t.Fatalf("%s: got %v of %d, want %v to within %d", p.Service, got, nodes*each, want, 2*nodes)
			}
		}
	})
}

// TestChangedSplitTakesEffectAtOnce checks that new weights apply from the first request on.
func TestChangedSplitTakesEffectAtOnce(t *testing.T) {
	s := newSplits()
	for range 50 {
		s.choose("r", []table.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}})
	}
	for range 50 {
		got := s.choose("r", []table.Part{{Service: "a", Weight: 0}, {Service: "b", Weight: 10}})
		if want := "b"; got != want {
			t.Fatalf("after the change: got %q, want %q", got, want)
		}
	}
}
