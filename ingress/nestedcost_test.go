package ingress

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkNestedCallAtFullService measures what a nested call costs its ingress that looks for capacity for 2 s in vain: the
// endpoints asked and the processor time, without links.
func BenchmarkNestedCallAtFullService(b *testing.B) {
	const calls, endpoints = 100, 20
	lines := make([]string, 0, endpoints)
	for i := range endpoints {
		lines = append(lines, "e"+strconv.Itoa(i)+" full")
	}
	for b.Loop() {
		local := newPhasedEndpoints(b, strings.Join(lines, "\n"))
		// More calls than one parent may have: only the route tells whose they are.
		local.forRequest = ""
		g := nestedIngress(b, endpoints, "400ms", local)
		for range minIdle {
			g.routeStats.countArrival("other", true)
		}
		for range minCalls {
			g.routeStats.countArrival("all", false)
		}
		before := processorTime(b)
		var all sync.WaitGroup
		for i := range calls {
			all.Go(func() {
				ctx, cancel := context.WithTimeout(b.Context(), 2*time.Second)
				defer cancel()
				sendNamed(ctx, g, http.MethodPost, parentID+"."+strconv.Itoa(i), nil)
			})
		}
		all.Wait()
		b.ReportMetric((processorTime(b)-before).Seconds()*1e6/calls, "processor-µs/call")
		b.ReportMetric(float64(local.asked)/calls, "asked/call")
	}
}
