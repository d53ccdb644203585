package subset

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// hall holds the nodes and the endpoints of a hall; its lists are sorted.
type hall struct{ nodes, endpoints []string }

func newHall(nodes, endpoints int) hall {
	var h hall
	for i := range nodes {
		h.nodes = append(h.nodes, fmt.Sprintf("host-%04d", i))
	}
	for i := range endpoints {
		h.endpoints = append(h.endpoints, fmt.Sprintf("endpoint-%05d", i))
	}
	return h
}

// choices returns the names of the endpoints that each node chooses.
func (h hall) choices(size int) map[string][]string {
	out := make(map[string][]string, len(h.nodes))
	for _, n := range h.nodes {
		for _, i := range Choose(h.nodes, n, h.endpoints, size) {
			out[n] = append(out[n], h.endpoints[i])
		}
	}
	return out
}

// nodesPerEndpoint counts the nodes that chose each endpoint, in the order of the list.
func (h hall) nodesPerEndpoint(choices map[string][]string) []int {
	counts := make([]int, len(h.endpoints))
	for _, list := range choices {
		for _, e := range list {
			i, _ := slices.BinarySearch(h.endpoints, e)
			counts[i]++
		}
	}
	return counts
}

// moved counts the choices that a change of the hall has moved; choices of removed nodes do not count.
func moved(before, after map[string][]string) int {
	n := 0
	for node, list := range before {
		for _, e := range list {
			if _, stays := after[node]; stays && !slices.Contains(after[node], e) {
				n++
			}
		}
	}
	return n
}

// TestChoicesAreBalanced draws halls up to the planned size. Every node must choose as many different endpoints as
// asked for. The number of nodes that choose an endpoint may exceed the mean by at most an eighth and one, for the last
// choices, and must be at least a third of it.
func TestChoicesAreBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 170).Draw(t, "nodes")
		h := newHall(nodes, rapid.IntRange(1, 2*nodes).Draw(t, "endpoints"))
		size := rapid.SampledFrom([]int{8, 16, 24, 48}).Draw(t, "size")
		choices := h.choices(size)
		for node, list := range choices {
			sorted := slices.Compact(slices.Sorted(slices.Values(list)))
			if got, want := len(sorted), min(size, len(h.endpoints)); got != want {
				t.Fatalf("different endpoints of %s: got %d, want %d", node, got, want)
			}
		}
		counts := h.nodesPerEndpoint(choices)
		mean := float64(min(size, len(h.endpoints))*nodes) / float64(len(h.endpoints))
		if got, limit := slices.Max(counts), int(math.Ceil(mean*9/8))+1; got > limit {
			t.Fatalf("nodes of the most chosen endpoint: got %d, want at most %d", got, limit)
		}
		if got, limit := float64(slices.Min(counts)), math.Floor(mean/3); got < limit {
			t.Fatalf("nodes of the least chosen endpoint: got %v, want at least %v", got, limit)
		}
	})
}

// TestChangesMoveFewChoices removes a node or an endpoint from random halls: few more of the others' choices may change
// than have to.
func TestChangesMoveFewChoices(t *testing.T) {
	const size = 16
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(40, 120).Draw(t, "nodes")
		h := newHall(n, n)
		before := h.choices(size)
		i := rapid.IntRange(0, n-1).Draw(t, "removed")
		without := hall{nodes: h.nodes, endpoints: slices.Delete(slices.Clone(h.endpoints), i, i+1)}
		if got, limit := moved(before, without.choices(size)), n*size/6; got > limit {
			t.Fatalf("choices moved by the removal of an endpoint of %d: got %d of %d, want at most %d", n, got, n*size, limit)
		}
		fewer := hall{nodes: slices.Delete(slices.Clone(h.nodes), i, i+1), endpoints: h.endpoints}
		if got, limit := moved(before, fewer.choices(size)), n*size/6; got > limit {
			t.Fatalf("choices moved by the removal of a node of %d: got %d of %d, want at most %d", n, got, n*size, limit)
		}
	})
}

// TestEveryEndpointIsChosenDuringAChange gives each node one of two lists, from before and after some endpoints were
// added. Every endpoint that is in both lists must be chosen by some node.
func TestEveryEndpointIsChosenDuringAChange(t *testing.T) {
	const size = 16
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(30, 120).Draw(t, "nodes")
		after := newHall(n, n)
		before := hall{nodes: after.nodes, endpoints: after.endpoints[rapid.IntRange(1, n/4).Draw(t, "added"):]}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		chosen := make(map[string]int)
		for _, node := range after.nodes {
			view := after
			if random.IntN(2) == 0 {
				view = before
			}
			for _, i := range Choose(view.nodes, node, view.endpoints, size) {
				chosen[view.endpoints[i]]++
			}
		}
		for _, e := range before.endpoints {
			if got, limit := chosen[e], 1; got < limit {
				t.Fatalf("nodes that chose %s: got %d, want at least %d", e, got, limit)
			}
		}
	})
}

// TestTable prints, with -v, the balance of the choices and how many of them move, by the size of the subset and of the
// hall.
func TestTable(t *testing.T) {
	for _, n := range []int{30, 70, 167} {
		for _, size := range []int{8, 16, 24, 48} {
			h := newHall(n, n)
			before := h.choices(size)
			counts := h.nodesPerEndpoint(before)
			without := hall{nodes: h.nodes, endpoints: h.endpoints[1:]}
			fewer := hall{nodes: h.nodes[1:], endpoints: h.endpoints}
			mean := float64(min(size, n))
			t.Logf("nodes %3d size %2d: nodes per endpoint min %2d max %2d, max over mean %.2f; moved by an endpoint %.1f%%, by a node %.1f%%",
				n, size, slices.Min(counts), slices.Max(counts), float64(slices.Max(counts))/mean,
				percent(moved(before, without.choices(size)), n*size), percent(moved(before, fewer.choices(size)), n*size))
		}
	}
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(whole) }
