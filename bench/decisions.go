package bench

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/virtual"
)

// Faults are the faults of the decisions' table.
var Faults = []virtual.Fault{
	{Name: "fails_10", Fail: 0.1},
	{Name: "fails_30", Fail: 0.3},
	{Name: "fails_100", Fail: 1},
	{Name: "slow_3", Slow: 3},
	{Name: "slow_10", Slow: 10},
	{Name: "slow_30", Slow: 30},
	{Name: "flaps_1s", Fail: 1, Flap: time.Second},
	{Name: "flaps_10s", Fail: 1, Flap: 10 * time.Second},
	{Name: "half_answers", Fail: 0.5},
	{Name: "cut_one_way", Cut: true},
	{Name: "hall_slow_3", Slow: 3, Hall: true},
}

type namedPolicy struct {
	name string
	make virtual.NewPolicy
}

var policies = []namedPolicy{
	{"ours", virtual.NewLynxplank}, {"common", virtual.NewConventional}, {"round_robin", virtual.NewRoundRobin},
}

const (
	seeds       = 9
	faultLength = 60 * time.Second
	never       = -1
	parallel    = 8
	// baselinePart is how much shorter the baseline's healthy runs are.
	baselinePart = 20
)

// Decisions prints detection time, work begun until then, and what callers got, for each service, fault and policy:
// medians over the seeds. Detection "-1" means not within a minute.
func Decisions(out io.Writer) {
	for _, s := range virtual.Services {
		for _, f := range Faults {
			for _, p := range policies {
				results := runAll(seeds, func(seed uint64) virtual.Result {
					return virtual.Stream{Service: s, Policy: p.make, Fault: f, Seed: seed, Length: faultLength}.Run()
				})
				name := strings.Join([]string{s.Name, f.Name, p.name}, ".")
				measure(out, name+".detection", medianOf(results, detection), "s")
				measure(out, name+".begun", medianOf(results, begun), "requests")
				measure(out, name+".bad", medianOf(results, badShare), "%")
			}
		}
	}
}

func runAll(n int, run func(seed uint64) virtual.Result) []virtual.Result {
	results := make([]virtual.Result, n)
	slots := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = run(uint64(i + 1)) //nolint:gosec // a small index
		})
	}
	wg.Wait()
	return results
}

func detection(r virtual.Result) float64 {
	if r.DetectionTime < 0 {
		return math.Inf(1)
	}
	return r.DetectionTime.Seconds()
}

func begun(r virtual.Result) float64 {
	if r.DetectionTime < 0 {
		return math.Inf(1)
	}
	return float64(r.RequestsUntilDetection)
}

func badShare(r virtual.Result) float64 {
	const percent = 100
	return percent * float64(r.Failed) / float64(max(r.Requests, 1))
}

func medianOf(results []virtual.Result, value func(virtual.Result) float64) float64 {
	list := make([]float64, 0, len(results))
	for _, r := range results {
		list = append(list, value(r))
	}
	return middle(list)
}

// middle is the median, never where that is beyond all bounds.
func middle(list []float64) float64 {
	slices.Sort(list)
	m := list[len(list)/2]
	if math.IsInf(m, 1) {
		return never
	}
	return m
}

// Healthy prints false ejections in healthy hours with bursts, pauses and heavy-tailed times.
func Healthy(out io.Writer, endpointHours float64) {
	for _, s := range virtual.Services {
		for _, p := range policies[:2] {
			endpointHours := endpointHours
			if p.name != "ours" {
				// The common rule shows its rate in far less time.
				endpointHours /= baselinePart
			}
			hours := endpointHours / float64(s.Endpoints)
			const parts = parallel
			length := time.Duration(hours / parts * float64(time.Hour))
			results := runAll(parts, func(seed uint64) virtual.Result {
				return virtual.Stream{Service: s, Policy: p.make, Seed: seed, Length: length}.Run()
			})
			sum := 0
			for _, r := range results {
				sum += r.FalseEjections
			}
			name := strings.Join([]string{s.Name, "healthy", p.name}, ".")
			measure(out, name+".false_ejections", float64(sum), fmt.Sprintf("in_%.0f_endpoint_hours", endpointHours))
		}
	}
}

// Overload prints goodput, times and fairness of a service at a multiple of its slots.
func Overload(out io.Writer) {
	for _, s := range virtual.Services {
		for _, load := range []float64{1.2, 2} {
			for _, p := range policies {
				overloadOf(out, s, load, p)
			}
		}
		floodOf(out, s)
	}
}

// capacity is the requests a second that one endpoint's slots can do at the streams' mean service time.
func capacity(s virtual.Service) float64 {
	return float64(s.Slots) / virtual.MeanServiceTime().Seconds()
}

func overloadOf(out io.Writer, s virtual.Service, load float64, p namedPolicy) {
	rate := capacity(s) * load
	results := runAll(seeds, func(seed uint64) virtual.Result {
		return virtual.Stream{
			Service: s, Policy: p.make, Seed: seed, Length: faultLength, Rate: rate, FairQueue: p.name == "ours",
			Fault: virtual.Fault{Name: "overload"},
		}.Run()
	})
	name := fmt.Sprintf("%s.overload_%g.%s", s.Name, load, p.name)
	total := capacity(s) * float64(s.Endpoints) * faultLength.Seconds()
	measure(out, name+".goodput", medianOf(results, func(r virtual.Result) float64 { return 100 * float64(r.InTime) / total }), "%_of_capacity")
	measure(out, name+".p99", medianOf(results, func(r virtual.Result) float64 { return quantile(r.LatenciesMillis, 0.99) }), "ms")
	measure(out, name+".sends", medianOf(results, func(r virtual.Result) float64 { return float64(r.Sends) / float64(r.Requests) }), "sends/request")
	measure(out, name+".false_ejections", medianOf(results, func(r virtual.Result) float64 { return float64(r.FalseEjections) }), "endpoints")
}

// floodOf has one of ten customers send twenty times what each other sends, to twice the capacity in all.
func floodOf(out io.Writer, s virtual.Service) {
	const flood = 20
	for _, p := range policies {
		results := runAll(seeds, func(seed uint64) virtual.Result {
			return virtual.Stream{
				Service: s, Policy: p.make, Seed: seed, Length: faultLength, Rate: 2 * capacity(s), Flood: flood,
				FairQueue: p.name == "ours", Fault: virtual.Fault{Name: "overload"},
			}.Run()
		})
		name := strings.Join([]string{s.Name, "flood", p.name}, ".")
		measure(out, name+".others_lost", medianOf(results, func(r virtual.Result) float64 {
			return 100 * float64(r.CompliantFailed) / float64(max(r.CompliantRequests, 1))
		}), "%")
	}
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

// Curve prints detection time against false ejections for several settings of each rule, at booking-desk's size, for an
// endpoint that fails 30% of its work and one that answers three times slower.
func Curve(out io.Writer) {
	const hours = 50
	s := virtual.Services[2]
	for _, falsePerDay := range []float64{0.001, 0.05, 1, 24} {
		s.FalseEjections = falsePerDay
		curvePoint(out, s, fmt.Sprintf("ours_%g_a_day", falsePerDay), virtual.NewLynxplank, hours)
	}
	for _, limit := range []int{2, 3, 5} {
		curvePoint(out, s, fmt.Sprintf("in_row_%d", limit), virtual.NewConsecutiveFailures(limit), hours)
	}
	curvePoint(out, s, "common", virtual.NewConventional, hours)
}

func curvePoint(out io.Writer, s virtual.Service, name string, policy virtual.NewPolicy, hours float64) {
	for _, f := range []virtual.Fault{{Name: "fails_30", Fail: 0.3}, {Name: "slow_3", Slow: 3}} {
		results := runAll(seeds, func(seed uint64) virtual.Result {
			return virtual.Stream{Service: s, Policy: policy, Fault: f, Seed: seed, Length: faultLength}.Run()
		})
		measure(out, "curve."+name+"."+f.Name+".detection", medianOf(results, detection), "s")
	}
	length := time.Duration(hours / float64(s.Endpoints) / parallel * float64(time.Hour))
	sum := 0
	for _, r := range runAll(parallel, func(seed uint64) virtual.Result {
		return virtual.Stream{Service: s, Policy: policy, Seed: seed, Length: length}.Run()
	}) {
		sum += r.FalseEjections
	}
	measure(out, "curve."+name+".false_ejections", float64(sum)/hours*24, "an_endpoint_and_day")
}
