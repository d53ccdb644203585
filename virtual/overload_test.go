package virtual

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"
)

var overloadSeeds = flag.Int("overload.seeds", 0, "the number of seeds over which TestOverloadTables prints the tables of docs/OVERLOAD.md")

// overloadLoads are the demands, as multiples of the capacity, for which docs/OVERLOAD.md has figures.
var overloadLoads = []float64{0.8, 1, 1.5, 2.3}

// overloadParts are the parts that are on, by the names in the data file.
var overloadParts = map[string]Parts{
	"off": {},
	"on":  {NestedFirst: true, ReclaimSlots: true, EarlyRefusal: true, SuspectRoom: true},
}

// overloadOn returns the results of one seed with all parts on, which two tests use.
var overloadOn = sync.OnceValue(func() []*OverloadResult { return runOverload(overloadParts["on"], 1) })

// runOverload returns the results by load of seeds from 1 on.
func runOverload(parts Parts, seeds int) []*OverloadResult {
	var out []*OverloadResult
	for _, load := range overloadLoads {
		r := new(OverloadResult)
		for seed := range seeds {
			Overload{Load: load, Seed: uint64(seed + 1), Parts: parts}.Run(r)
		}
		out = append(out, r)
	}
	return out
}

// overloadTable formats results as a table; the shares are of requests served by their deadline.
func overloadTable(results []*OverloadResult) string {
	var b strings.Builder
	fmt.Fprintln(&b, "| load | requests | served | in time | goodput, s/s | booking | lookup | report | busy customer | worst other | calls | offers | runs | ran twice | hung slots |")
	fmt.Fprintln(&b, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for i, r := range results {
		fmt.Fprintf(&b, "| %.1f | %d | %d | %d | %.1f |", overloadLoads[i], r.All.Requests, r.All.Served, r.All.InTime, r.All.Goodput(r.Runs))
		for _, name := range []string{"booking", "lookup", "report", "customer 0"} {
			fmt.Fprintf(&b, " %.3f |", r.group(name).ServedShare())
		}
		worst := 1.0
		for c := 1; c < customers; c++ {
			worst = min(worst, r.group(fmt.Sprintf("customer %d", c)).ServedShare())
		}
		requests := float64(r.All.Requests)
		fmt.Fprintf(&b, " %.3f | %.3f | %.2f | %.2f | %d | %.1f |\n", worst, r.Calls.ServedShare(), float64(r.Offers)/requests, float64(r.Begun)/requests,
			r.RanTwice, r.HungSeconds/overloadMeasured.Seconds()/float64(r.Runs))
	}
	return b.String()
}

// overloadGroups formats results by load, class and customer.
func overloadGroups(results []*OverloadResult) string {
	var b strings.Builder
	for i, r := range results {
		for _, name := range slices.Sorted(maps.Keys(r.Groups)) {
			g := r.Groups[name]
			fmt.Fprintf(&b, "load %.1f %s: requests %d served %d in time %d goodput %.1f\n", overloadLoads[i], name, g.Requests, g.Served, g.InTime, g.Goodput(r.Runs))
		}
	}
	return b.String()
}

// TestOverload compares the figures of one seed with testdata/overload, so that a change of the stream or of a decision
// module under overload shows in review. Command:
//
//	run parts=off|on
func TestOverload(t *testing.T) {
	datadriven.RunTest(t, "testdata/overload", func(t *testing.T, d *datadriven.TestData) string {
		parts := ""
		d.ScanArgs(t, "parts", &parts)
		results := overloadOn()
		if parts == "off" {
			results = runOverload(overloadParts[parts], 1)
		}
		return overloadTable(results) + overloadGroups(results)
	})
}

// The bounds of docs/OVERLOAD.md: goodput beyond the capacity as a share of that at the capacity, and the served share
// of a class or customer as a share of that of all requests.
const (
	minGoodputShare = 0.95
	minServedShare  = 0.25
)

// TestOverloadBounds guards against goodput that falls as demand rises, a class or customer that starves, and a
// non-repeatable request that runs twice, with all parts on.
func TestOverloadBounds(t *testing.T) {
	results := overloadOn()
	for i, load := range overloadLoads {
		if load <= 1 {
			continue
		}
		t.Run(fmt.Sprintf("goodput_at_%.1f", load), func(t *testing.T) {
			atCapacity := results[slices.Index(overloadLoads, 1)].All.Goodput(1)
			if got, want := results[i].All.Goodput(1), minGoodputShare*atCapacity; got < want {
				t.Errorf("goodput: got %.2f s/s, want at least %.2f, %v of the %.2f at 1.0", got, want, minGoodputShare, atCapacity)
			}
		})
	}
	for kind, isCustomer := range map[string]bool{"class": false, "customer": true} {
		t.Run("served_share_by_"+kind, func(t *testing.T) {
			for i, r := range results {
				for _, name := range slices.Sorted(maps.Keys(r.Groups)) {
					got, want := r.Groups[name].ServedShare(), minServedShare*r.All.ServedShare()
					if strings.HasPrefix(name, "customer") == isCustomer && got < want {
						t.Errorf("load %.1f, %s: served share: got %.3f, want at least %.3f", overloadLoads[i], name, got, want)
					}
				}
			}
		})
	}
	t.Run("non_repeatable_once", func(t *testing.T) {
		for i, r := range results {
			if got, want := r.RanTwice, 0; got != want {
				t.Errorf("load %.1f: non-repeatable requests that ran more than once: got %d, want %d", overloadLoads[i], got, want)
			}
		}
	})
}

// TestOverloadTables prints the tables of docs/OVERLOAD.md if the flag -overload.seeds is set.
func TestOverloadTables(t *testing.T) {
	if *overloadSeeds == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(overloadParts)) {
		t.Logf("parts %s\n%s", name, overloadTable(runOverload(overloadParts[name], *overloadSeeds)))
	}
}
