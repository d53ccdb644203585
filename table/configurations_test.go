package table

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// These tests guard against an incident: after an outage of the store, a node that had the revision of the newest
// configuration still routed requests by the one before. Of configurations written in quick succession some nodes read
// each and others skip some. A node that has skipped a configuration does not know what changed in it. To a peer at just
// that configuration it sent only the changes that it had seen itself, so that rows changed and changed back, or added
// and removed, stayed wrong at the peer. The simulated nodes below, which read the store and exchange deltas in any order,
// reproduced the fault.

// configuration is one revision of the configuration that the platform's operators write.
type configuration struct {
	version uint64
	rows    []Row
}

// routePrefixes are those of the drawn routes, of which several may have the same one.
var routePrefixes = []string{"/a/", "/b/", "/a/b/"}

// drawConfiguration draws a configuration of up to two routes, each of which leads from one of the prefixes to one of two services.
func drawConfiguration(t *rapid.T, version uint64) configuration {
	r := configuration{version: version}
	for _, name := range []string{"a", "b"} {
		service := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "service of "+name)
		if service == "" {
			continue
		}
		prefix := rapid.SampledFrom(routePrefixes).Draw(t, "prefix of "+name)
		row, err := NewRow(KindRoute, name, []string{"*", prefix, service})
		if err != nil {
			t.Fatal(err)
		}
		row.Meta = Meta{Revision: version, Source: SourceConfig}
		r.rows = append(r.rows, row)
	}
	return r
}

// cellsByKey returns the cells of rows as text, by key.
func cellsByKey(rows []Row) map[string]string {
	out := make(map[string]string)
	for _, r := range rows {
		out[r.Key] = fmt.Sprint(r.Cells)
	}
	return out
}

// configRoutes returns the cells of a state's rows from SourceConfig, by key.
func configRoutes(s *State) map[string]string {
	var rows []Row
	s.RowsFrom(SourceConfig, func(r Row) { rows = append(rows, r) })
	return cellsByKey(rows)
}

// routeOf returns the route and the service by which a state routes a request, "" for none.
func routeOf(s *State, path string) string {
	r, ok := s.Match("x", path)
	if !ok {
		return ""
	}
	return r.Key + " " + r.Value.Service
}

// TestConfigurationsArriveInAnyOrder checks that a node at a given revision of the configuration has exactly the rows
// of that revision, and routes requests by them, whatever the order and delay in which nodes read the store and exchange deltas.
func TestConfigurationsArriveInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := map[uint64]configuration{}
		newest := uint64(0)
		nodes := []*State{NewState(), NewState(), NewState()}
		sent := make([][]Delta, len(nodes))
		node := func(t *rapid.T, role string) int { return rapid.IntRange(0, len(nodes)-1).Draw(t, role) }
		apply := func(t *rapid.T, i int, d Delta) {
			next, err := nodes[i].With(d)
			if err != nil {
				return
			}
			nodes[i] = next
			version := next.Revisions()[SourceConfig]
			if got, want := configRoutes(next), cellsByKey(history[version].rows); !maps.Equal(got, want) {
				t.Fatalf("configuration %d: got %v, want %v", version, got, want)
			}
			fresh, err := NewState().With(Delta{Source: SourceConfig, To: version, Full: true, Rows: history[version].rows})
			if err != nil {
				t.Fatal(err)
			}
			for _, prefix := range routePrefixes {
				if got, want := routeOf(next, prefix), routeOf(fresh, prefix); got != want {
					t.Fatalf("configuration %d: request for %s: got route and service %q, want %q", version, prefix, got, want)
				}
			}
		}
		actions := []func(){
			func() { // The operators write a configuration.
				newest += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
				history[newest] = drawConfiguration(t, newest)
			},
			func() { // A node reads the store.
				i := node(t, "reader")
				if r, ok := history[newest]; ok && newest > nodes[i].Revisions()[SourceConfig] {
					apply(t, i, nodes[i].DeltaTo(SourceConfig, r.version, r.rows))
				}
			},
			func() { // A node requests a delta from another node.
				i, j := node(t, "asker"), node(t, "asked")
				from, to := nodes[i].Revisions()[SourceConfig], nodes[j].Revisions()[SourceConfig]
				if to > from {
					sent[i] = append(sent[i], nodes[j].DeltaSince(SourceConfig, from))
				}
			},
			func() { // A node receives one of the deltas that it has requested.
				i := node(t, "asker")
				if len(sent[i]) == 0 {
					return
				}
				k := rapid.IntRange(0, len(sent[i])-1).Draw(t, "answer")
				d := sent[i][k]
				sent[i] = slices.Delete(sent[i], k, k+1)
				apply(t, i, d)
			},
			func() { // A node restarts.
				i := node(t, "restarted")
				nodes[i], sent[i] = NewState(), nil
			},
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			// Restarts are rare; otherwise no node would ever be at an older configuration.
			actions[rapid.SampledFrom([]int{0, 0, 1, 1, 2, 2, 3, 3, 2, 3, 1, 4}).Draw(t, "action")]()
		}
	})
}
