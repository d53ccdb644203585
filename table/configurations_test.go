package table

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The incident: after a silence of the store a node that held the newest configuration by its number still sent requests as
// only the one before allowed. Configurations in quick succession reach some nodes one by one and others not at all; a node
// that went past one does not know what it had changed, and told a peer that held just that one only what it had seen change
// itself. What was changed and changed back, or added and dropped, stayed there. The nodes below, which read and tell each
// other in any order, proved it.

// release is one configuration of the operators.
type release struct {
	version uint64
	rows    []Row
}

// drawRelease returns a configuration of a few routes, each of which may be missing or go to one of two services.
func drawRelease(t *rapid.T, version uint64) release {
	r := release{version: version}
	for _, name := range []string{"a", "b"} {
		service := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "service of "+name)
		if service == "" {
			continue
		}
		row, err := NewRow(KindRoute, name, []string{"*", "/" + name + "/", service})
		if err != nil {
			t.Fatal(err)
		}
		row.Meta = Meta{Revision: version, Source: SourceConfig}
		r.rows = append(r.rows, row)
	}
	return r
}

// routesOf is what decides where requests go.
func routesOf(rows []Row) map[string]string {
	out := make(map[string]string)
	for _, r := range rows {
		out[r.Key] = fmt.Sprint(r.Cells)
	}
	return out
}

// held is what a state holds of the configuration.
func held(s *State) map[string]string {
	var rows []Row
	s.RowsFrom(SourceConfig, func(r Row) { rows = append(rows, r) })
	return routesOf(rows)
}

// TestConfigurationsArriveInAnyOrder checks that whatever nodes read from the store and tell each other, at any moment and
// however late, whoever holds a configuration by its number holds just what is in it.
func TestConfigurationsArriveInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := map[uint64]release{}
		newest := uint64(0)
		nodes := []*State{NewState(), NewState(), NewState()}
		told := make([][]Delta, len(nodes))
		node := func(t *rapid.T, what string) int { return rapid.IntRange(0, len(nodes)-1).Draw(t, what) }
		take := func(t *rapid.T, i int, d Delta) {
			next, err := nodes[i].With(d)
			if err != nil {
				return
			}
			nodes[i] = next
			version := next.Revisions()[SourceConfig]
			if got, want := held(next), routesOf(history[version].rows); !maps.Equal(got, want) {
				t.Fatalf("configuration %d: got %v, want %v", version, got, want)
			}
		}
		actions := []func(){
			func() { // The operators write.
				newest += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
				history[newest] = drawRelease(t, newest)
			},
			func() { // A node reads the store.
				i := node(t, "reader")
				if r, ok := history[newest]; ok && newest > nodes[i].Revisions()[SourceConfig] {
					take(t, i, nodes[i].DeltaTo(SourceConfig, r.version, r.rows))
				}
			},
			func() { // A node asks another for what it lacks.
				i, j := node(t, "asker"), node(t, "asked")
				from, to := nodes[i].Revisions()[SourceConfig], nodes[j].Revisions()[SourceConfig]
				if to > from {
					told[i] = append(told[i], nodes[j].DeltaSince(SourceConfig, from))
				}
			},
			func() { // It gets one of the answers that are under way.
				i := node(t, "asker")
				if len(told[i]) == 0 {
					return
				}
				k := rapid.IntRange(0, len(told[i])-1).Draw(t, "answer")
				d := told[i][k]
				told[i] = slices.Delete(told[i], k, k+1)
				take(t, i, d)
			},
			func() { // A node is started anew.
				i := node(t, "restarted")
				nodes[i], told[i] = NewState(), nil
			},
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			// Restarts are seldom, or nobody would ever be behind.
			actions[rapid.SampledFrom([]int{0, 0, 1, 1, 2, 2, 3, 3, 2, 3, 1, 4}).Draw(t, "action")]()
		}
	})
}
