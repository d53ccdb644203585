package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestFleetEnforcesLimit runs testdata/fleets against simulated fleets. Commands:
//
//	draw fleets=N [stray] [suspend [steady]]    fleets of random sizes, limits, loads and faults; prints the seeds that pass more than the
//	                                            bound. stray: nodes may stay cut off for longer than changes of the hosts take to settle.
//	                                            suspend: hosts may be suspended. steady: with clocks that stop meanwhile
//	calm nodes=N rate=R share=S on=M [even]     a customer that sends S of its limit through M of the nodes, without faults. even: each node
//	                                            has an equal share
func TestFleetEnforcesLimit(t *testing.T) {
	datadriven.RunTest(t, "testdata/fleets", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "draw":
			count := 0
			d.ScanArgs(t, "fleets", &count)
			return drawFleets(count, d)
		case "calm":
			return calmFleet(t, d)
		}
		d.Fatalf(t, "unknown command")
		return ""
	})
}

func drawFleets(count int, d *datadriven.TestData) string {
	over, violating, usedAfterExpiry := 0, 0, 0
	out := ""
	for seed := range count {
		f, bound := drawnFleet(uint64(seed), d)
		got := float64(f.maxPassed())
		usedAfterExpiry += f.usedAfterExpiry
		if len(f.violations) > 0 {
			violating++
			out += fmt.Sprintf("seed %d: %s\n", seed, f.violations[0])
		}
		if bound += float64(f.staleSelfGrants); got > bound {
			over++
			out += fmt.Sprintf("seed %d: %v passed in a window, at most %.1f may\n", seed, got, bound)
		}
	}
	if d.HasArg("suspend") {
		out += fmt.Sprintf("%d passed by loans that had ended\n", usedAfterExpiry)
	}
	return fmt.Sprintf("%s%d of %d over the bound, %d break an invariant\n", out, over, count, violating)
}

// drawnFleet runs a random fleet for 1,200 ticks. It returns the fleet and the most that its nodes may pass in a
// window.
func drawnFleet(seed uint64, d *datadriven.TestData) (*simFleet, float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	nodes := OwnersPerCustomer + random.IntN(40)
	rate := math.Exp(random.Float64() * math.Log(400))
	limit := Limit{Rate: rate, Burst: rate * 2 * random.Float64()}
	fallback := random.IntN(12)
	f := newSimFleet(random, nodes, 1+random.IntN(4), limit, fallback)
	f.longCuts, f.suspends, f.clockStops = d.HasArg("stray"), d.HasArg("suspend"), d.HasArg("steady")
	highest := limit
	hotspot := f.nodes[random.IntN(nodes)]
	// Some fleets have no load for seconds at a time, so that their buckets are full when it returns; some get a new
	// list of hosts as soon as the previous one has settled; some have no faults.
	bursts, newLists, calm := random.IntN(2) == 0, random.IntN(3) == 0, random.IntN(3) == 0
	for tick := range 1200 {
		if !calm {
			f.injectFault()
		}
		if newLists {
			f.newList()
		}
		switch random.IntN(300) {
		case 0:
			hotspot = f.nodes[random.IntN(nodes)]
		case 1:
			// Limits fall and rise; the bound follows from the highest one.
			f.limit = limit.Share(1 + random.IntN(3))
		}
		load := rate * simTick.Seconds() * 10
		if !bursts {
			load *= random.Float64()
		} else if tick/300%2 == 0 {
			load = float64(random.IntN(2))
		}
		skewed := random.IntN(2) == 0
		f.step(load, func() *simNode {
			if skewed {
				return hotspot
			}
			return f.nodes[random.IntN(nodes)]
		})
	}
	return f, highest.MaxWithin(simWindow+DefaultHolderConfig().AllotmentDuration) + OwnersPerCustomer*minBurst + float64(fallback)
}

// calmFleet prints the share of a customer's requests that a fleet without faults refuses, and the messages between
// nodes per request.
func calmFleet(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	nodes, on, rate, share := 0, 0, 0.0, 0.0
	d.ScanArgs(t, "nodes", &nodes)
	d.ScanArgs(t, "on", &on)
	readFloat(t, d, "rate", &rate)
	readFloat(t, d, "share", &share)
	random := rand.New(rand.NewPCG(1, 2))
	f := newSimFleet(random, nodes, 3, Limit{Rate: rate, Burst: rate}, 0)
	f.evenShares = d.HasArg("even")
	for _, n := range f.nodes {
		f.restart(n)
	}
	idle := func() *simNode { return nil }
	for range 500 {
		f.step(0, idle)
	}
	for range 2000 {
		f.step(rate*share*simTick.Seconds(), func() *simNode { return f.nodes[random.IntN(on)] })
	}
	return fmt.Sprintf("%.1f%% of %d refused, %.2f of what may pass in a window, %.2f words a request\n",
		100*float64(f.refused)/float64(f.arrived), f.arrived, float64(f.maxPassed())/f.limit.MaxWithin(simWindow), messagesPerRequest(f))
}

func messagesPerRequest(f *simFleet) float64 {
	if f.evenShares {
		return 0
	}
	return float64(f.asked) / float64(f.arrived)
}

func readFloat(t *testing.T, d *datadriven.TestData, name string, to *float64) {
	t.Helper()
	text := ""
	d.ScanArgs(t, name, &text)
	if _, err := fmt.Sscan(text, to); err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
}
