package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/poison"
)

// TestFleetBlocksPoisonRequests runs testdata/fleets against simulated fleets. Commands:
//
//	draw fleets=N nodes=MIN-MAX [alone] [calm]    fleets of random sizes with random faults, in which one to ten poison requests arrive singly
//	                                              and in bursts of copies at any node for half a minute. Prints the seeds in which more than
//	                                              three copies of a request begin to run after they should have been blocked, and how many
//	                                              run of each. alone: each node counts only the crashes of its own endpoint. calm: no faults
//	innocent fleets=N nodes=MIN-MAX [mute]        fleets whose endpoints crash by themselves: prints how many harmless requests are blocked.
//	                                              mute: nodes at which the requests succeeded do not report that
func TestFleetBlocksPoisonRequests(t *testing.T) {
	datadriven.RunTest(t, "testdata/fleets", func(t *testing.T, d *datadriven.TestData) string {
		fleets, nodes := 0, ""
		d.ScanArgs(t, "fleets", &fleets)
		d.ScanArgs(t, "nodes", &nodes)
		var minNodes, maxNodes int
		if _, err := fmt.Sscanf(nodes, "%d-%d", &minNodes, &maxNodes); err != nil {
			d.Fatalf(t, "nodes: %v", err)
		}
		if d.Cmd == "innocent" {
			return drawInnocent(d, fleets, minNodes, maxNodes)
		}
		out, over, requests, runs, maxCrashes := "", 0, 0, 0, 0
		for seed := range fleets {
			f := drawnFleet(uint64(seed), minNodes, maxNodes, d)
			exceeded := false
			for c, late := range f.late {
				if late > poison.BlockThreshold {
					exceeded = true
					out += fmt.Sprintf("seed %d: %d begin past the bound\n", seed, late)
				}
				maxCrashes = max(maxCrashes, len(f.crashedAt[c]))
			}
			if exceeded {
				over++
			}
			for c := range f.crashedAt {
				maxCrashes = max(maxCrashes, len(f.crashedAt[c]))
			}
			requests += len(f.crashedAt)
			runs += f.ran
		}
		if d.HasArg("alone") {
			out = ""
		}
		return fmt.Sprintf("%s%d of %d over the bound; %.1f runs of each, %d ends at most\n", out, over, fleets, float64(runs)/float64(max(1, requests)), maxCrashes)
	})
}

// drawnFleet runs a random fleet for half a minute.
func drawnFleet(seed uint64, minNodes, maxNodes int, d *datadriven.TestData) *simFleet {
	random := rand.New(rand.NewPCG(seed, 7))
	f := newSimFleet(random, minNodes+random.IntN(maxNodes-minNodes+1))
	f.alone = d.HasArg("alone")
	var fingerprints []poison.Fingerprint
	for i := range 1 + random.IntN(10) {
		fingerprints = append(fingerprints, poison.FingerprintOf("", "GET", "", fmt.Sprint(i), nil))
	}
	interval := 50 + random.IntN(950)
	for f.now < 30*time.Second {
		if !d.HasArg("calm") {
			f.injectFault()
		}
		for _, c := range fingerprints {
			copies := 0
			if random.IntN(interval) < int(simTick/time.Millisecond) {
				copies = 1
			}
			if random.IntN(2000) == 0 {
				copies = 1 + random.IntN(10)
			}
			for range copies {
				f.arrive(f.nodes[random.IntN(len(f.nodes))], c)
			}
		}
		f.step()
	}
	return f
}
