package throttle

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

const (
	// tick is the step of simulated time.
	tick = 10 * time.Millisecond
	// queueTime is the load that a simulated service queues, in time at its capacity.
	queueTime = 100 * time.Millisecond
	// simulatedRetryAfter is the Retry-After of a simulated rejection.
	simulatedRetryAfter = 400 * time.Millisecond
)

// class is the load of one route: requests that arrive at a constant rate. The service takes those of the lowest rank
// first.
type class struct {
	name string
	rank int
	rate float64
	// beyondLimit is the share of the requests that are refused as beyond a customer's limit once they are let through.
	beyondLimit float64
	outstanding float64
	tally
}

// tally counts the requests of one second by how they ended.
type tally struct{ arrived, throttled, beyond, rejected, served int }

// service simulates a service that runs as many requests as its capacity allows and rejects the others at once.
type service struct {
	now      time.Time
	capacity float64
	free     float64
	table    *Table
	draws    *rand.Rand
}

// step simulates one tick.
func (s *service) step(classes []*class) {
	s.now = s.now.Add(tick)
	s.free = min(s.free+s.capacity*tick.Seconds(), max(1, s.capacity*queueTime.Seconds()))
	for _, c := range classes {
		for c.outstanding += c.rate * tick.Seconds(); c.outstanding >= 1; c.outstanding-- {
			c.arrived++
			s.handle(c)
		}
	}
}

func (s *service) handle(c *class) {
	th := s.table.Get(Key{Service: "desk", Route: c.name})
	switch {
	case th.Throttles(s.now, s.draws.Float64()):
		th.RecordThrottled(s.now, s.draws.Float64())
		c.throttled++
	case s.draws.Float64() < c.beyondLimit:
		th.Record(s.now, Inconclusive, 0)
		c.beyond++
	case s.free >= 1:
		s.free--
		th.Record(s.now, Accepted, 0)
		c.served++
	default:
		th.Record(s.now, Rejected, simulatedRetryAfter)
		c.rejected++
	}
}

// TestLoads runs the loads of testdata/loads. The output is what became of the requests of each class that arrived in each
// second, and its throttled share at the end of that second.
//
//	run seconds=N capacity=RATE
//	CLASS RANK RATE BEYOND-LIMIT
//
// The counts of one run are those with which the next one begins.
func TestLoads(t *testing.T) {
	datadriven.Walk(t, "testdata/loads", func(t *testing.T, path string) {
		s := &service{now: time.Unix(0, 0), table: NewTable(), draws: rand.New(rand.NewPCG(1, 1))}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var seconds int
			d.ScanArgs(t, "seconds", &seconds)
			var capacity int
			d.ScanArgs(t, "capacity", &capacity)
			s.capacity = float64(capacity)
			var classes []*class
			for line := range strings.Lines(d.Input) {
				c := &class{}
				if _, err := fmt.Sscan(line, &c.name, &c.rank, &c.rate, &c.beyondLimit); err != nil {
					d.Fatalf(t, "%q: %v", line, err)
				}
				classes = append(classes, c)
			}
			slices.SortStableFunc(classes, func(a, b *class) int { return cmp.Compare(a.rank, b.rank) })
			var b strings.Builder
			for second := range seconds {
				for range time.Second / tick {
					s.step(classes)
				}
				for _, c := range classes {
					share := s.table.Get(Key{Service: "desk", Route: c.name}).Share(s.now)
					fmt.Fprintf(&b, "%d s: %s: %d arrived, %d throttled, %d beyond limit, %d rejected, %d served, share %.2f\n",
						second+1, c.name, c.arrived, c.throttled, c.beyond, c.rejected, c.served, share)
					c.tally = tally{}
				}
			}
			return b.String()
		})
	})
}

// TestShareIsBounded guards against a class that is shut out, and against requests that are throttled although the
// service rejects none: of any sequence, at least a quarter is let through in expectation of uniform draws, and all of
// one without rejections.
func TestShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var th Throttle
		now := time.Unix(0, 0)
		rejecting := rapid.Bool().Draw(t, "rejecting")
		results := []Result{Inconclusive, Accepted}
		if rejecting {
			results = append(results, Rejected, Lost)
		}
		expected, requests := 0.0, rapid.IntRange(1, 200).Draw(t, "requests")
		for range requests {
			now = now.Add(time.Duration(rapid.IntRange(-50, 300).Draw(t, "ms")) * time.Millisecond)
			expected += 1 - th.Share(now)
			draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
			if !th.Throttles(now, draw) {
				th.Record(now, rapid.SampledFrom(results).Draw(t, "result"), time.Duration(rapid.IntRange(0, 900).Draw(t, "after"))*time.Millisecond)
				continue
			}
			if !rejecting {
				t.Fatal("throttled: got a request of a service that rejects none, want none")
			}
			got := th.RecordThrottled(now, rapid.Float64Range(0, 0.999).Draw(t, "jitter"))
			if lo, hi := time.Duration(minJitter*float64(MinRetryDelay)), time.Duration(maxJitter*float64(time.Second)); got < lo || got > hi {
				t.Fatalf("retry delay: got %s, want %s to %s", got, lo, hi)
			}
		}
		if got, want := expected, float64(requests)*(1-MaxShare)-1e-9; got < want {
			t.Fatalf("let through in expectation: got %.2f of %d, want at least %.2f", got, requests, want)
		}
	})
}

// TestWindowForgets guards against counts that stay after the window, or that are lost within it.
func TestWindowForgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var th Throttle
		now := time.Unix(1000, 0)
		var at []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "results") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			th.Record(now, Rejected, 0)
			at = append(at, now)
			within, surely := 0, 0
			for _, earlier := range at {
				if now.Sub(earlier) < Window {
					within++
				}
				if now.Sub(earlier) <= Window-sliceDuration {
					surely++
				}
			}
			if got := th.State(now).Requests; got < surely || got > within {
				t.Fatalf("requests in the window: got %d, want %d to %d", got, surely, within)
			}
		}
	})
}

// TestRetryDelayIsThatOfTheRejections guards against throttled callers that are told another delay than the service's.
func TestRetryDelayIsThatOfTheRejections(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		delays []time.Duration
		draw   float64
		want   time.Duration
	}{
		{nil, 0.25, time.Second},
		{[]time.Duration{0, 0}, 0.25, time.Second},
		{[]time.Duration{300 * time.Millisecond, 0, 500 * time.Millisecond}, 0.25, 400 * time.Millisecond},
		{[]time.Duration{400 * time.Millisecond}, 0, 300 * time.Millisecond},
		{[]time.Duration{10 * time.Millisecond}, 0.25, 100 * time.Millisecond},
	} {
		var th Throttle
		for _, d := range c.delays {
			th.Record(now, Rejected, d)
		}
		if got := th.RecordThrottled(now, c.draw); got != c.want {
			t.Errorf("delays %v, draw %g: got %s, want %s", c.delays, c.draw, got, c.want)
		}
	}
}

// TestTableIsBounded guards against memory that grows with the number of routes or customers that a node meets.
func TestTableIsBounded(t *testing.T) {
	table, lines := NewTable(), NewLines[string]()
	for i := range 50000 {
		table.Get(Key{Service: "desk", Route: fmt.Sprint(i)})
		lines.Add(time.Unix(0, 0), fmt.Sprint(i))
	}
	got := 0
	table.Each(func(Key, *Throttle) { got++ })
	if want := maxKeys; got != want {
		t.Errorf("throttles: got %d, want %d", got, want)
	}
	if got, want := lines.counts.Len(), maxLines; got != want {
		t.Errorf("line counts: got %d, want %d", got, want)
	}
}

// TestLinesTellEveryRefusal guards against a line for each request, and against refusals that no line tells.
func TestLinesTellEveryRefusal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLines[string]()
		now := time.Unix(0, 0)
		added, told := map[string]int{}, map[string]int{}
		lastLine := map[string]time.Time{}
		line := func(name string, n int) {
			if last, ok := lastLine[name]; ok && now.Sub(last) < time.Second {
				t.Fatalf("%s: got a line %s after the last, want at least a second", name, now.Sub(last))
			}
			told[name] += n
			lastLine[name] = now
		}
		for range rapid.IntRange(1, 100).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			added[name]++
			if n := l.Add(now, name); n > 0 {
				line(name, n)
			}
			if rapid.Bool().Draw(t, "due") {
				l.Due(now, line)
			}
		}
		now = now.Add(time.Second)
		l.Due(now, line)
		for name, want := range added {
			if got := told[name]; got != want {
				t.Errorf("%s: got %d refusals in lines, want %d", name, got, want)
			}
		}
	})
}

// BenchmarkThrottle measures the decision and the count of one request.
func BenchmarkThrottle(b *testing.B) {
	table := NewTable()
	now := time.Now()
	k := Key{Service: "desk", Route: "all"}
	b.ReportAllocs()
	for b.Loop() {
		th := table.Get(k)
		if !th.Throttles(now, 0.9) {
			th.Record(now, Rejected, simulatedRetryAfter)
		}
	}
}

// BenchmarkCapacity measures the memory that the state takes after requests of 50,000 routes and refusals of 220,000
// customers.
func BenchmarkCapacity(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		table, throttled, customers := NewTable(), NewLines[Key](), NewLines[string]()
		now := time.Unix(0, 0)
		for i := range 220000 {
			k := Key{Service: "desk", Route: fmt.Sprint("route-", i%50000)}
			table.Get(k).Record(now, Rejected, 0)
			throttled.Add(now, k)
			customers.Add(now, fmt.Sprint("customer-", i))
		}
		b.ReportMetric(float64(heapBytes()-before)/1000, "kB")
		runtime.KeepAlive(table)
		runtime.KeepAlive(throttled)
		runtime.KeepAlive(customers)
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
