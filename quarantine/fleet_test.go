package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/poison"
)

// TestFleetBarsFatalRequests runs testdata/fleets. Commands:
//
//	draw fleets=N nodes=LEAST-MOST [alone] [calm]    fleets of drawn sizes and troubles, in which one to ten requests that end endpoints come
//	                                                 alone and in bursts of copies at any node for half a minute. Prints the seeds in which more
//	                                                 than three begin to run past the bound, and how many run of each; alone has each node count
//	                                                 for itself.
//	innocent fleets=N nodes=LEAST-MOST [mute]        fleets whose endpoints end by themselves: prints what is held back of requests that do no
//	                                                 harm; mute has nodes that have seen them run well not say so
func TestFleetBarsFatalRequests(t *testing.T) {
	datadriven.RunTest(t, "testdata/fleets", func(t *testing.T, d *datadriven.TestData) string {
		fleets, nodes := 0, ""
		d.ScanArgs(t, "fleets", &fleets)
		d.ScanArgs(t, "nodes", &nodes)
		var least, most int
		if _, err := fmt.Sscanf(nodes, "%d-%d", &least, &most); err != nil {
			d.Fatalf(t, "nodes: %v", err)
		}
		if d.Cmd == "innocent" {
			return drawInnocent(d, fleets, least, most)
		}
		out, over, contents, ran, worst := "", 0, 0, 0, 0
		for seed := range fleets {
			f := drawnFleet(uint64(seed), least, most, d)
			broken := false
			for c, late := range f.late {
				if late > poison.BlockThreshold {
					broken = true
					out += fmt.Sprintf("seed %d: %d begin past the bound\n", seed, late)
				}
				worst = max(worst, len(f.ends[c]))
			}
			if broken {
				over++
			}
			for c := range f.ends {
				worst = max(worst, len(f.ends[c]))
			}
			contents += len(f.ends)
			ran += f.ran
		}
		if d.HasArg("alone") {
			out = ""
		}
		return fmt.Sprintf("%s%d of %d over the bound; %.1f runs of each, %d ends at most\n", out, over, fleets, float64(ran)/float64(max(1, contents)), worst)
	})
}

// drawnFleet lives for half a minute.
func drawnFleet(seed uint64, least, most int, d *datadriven.TestData) *simFleet {
	random := rand.New(rand.NewPCG(seed, 7))
	f := newSimFleet(random, least+random.IntN(most-least+1))
	f.alone = d.HasArg("alone")
	var contents []poison.Fingerprint
	for i := range 1 + random.IntN(10) {
		contents = append(contents, poison.FingerprintOf("", "GET", "", fmt.Sprint(i), nil))
	}
	every := 50 + random.IntN(950)
	for f.now < 30*time.Second {
		if !d.HasArg("calm") {
			f.trouble()
		}
		for _, c := range contents {
			copies := 0
			if random.IntN(every) < int(simTick/time.Millisecond) {
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
