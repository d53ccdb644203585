package bench

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/standin/backend"
)

const (
	// slowCallers is how many callers read or send slowly at one node.
	slowCallers = 200
	// slowLarge is the length of a large answer or body, in bytes.
	slowLarge = 4 << 20
	// slowRate is how many bytes a second a slow caller reads.
	slowRate = 2000
	// slowPause is how long a slow endpoint waits after each 16 KiB of a body, in milliseconds.
	slowPause = 200
	// slowPath begins the paths of requests to the slow endpoint.
	slowPath     = "/upload"
	memoryLooks  = 100 * time.Millisecond
	slowSlots    = 64
	slowSettling = time.Second
)

// Slow measures what callers who read large answers slowly, and endpoints that read large bodies slowly, cost a node in memory and
// everybody else in time; each beside nobody slow, in a fleet of its own.
func Slow(bin string, out io.Writer) error {
	readers := demo.SlowCalls{Path: backend.PathLarge + "/x", Rate: slowRate}
	bodies := demo.SlowCalls{Path: slowPath + "/x", Rate: slowRate, Body: slowLarge}
	if err := slowFleet(bin, out, "slow_readers", readers); err != nil {
		return err
	}
	return slowFleet(bin, out, "slow_endpoint", bodies)
}

// slowFleet measures one kind of slow calls. The first member's node takes callers, the endpoint beside the second serves them, that
// beside the third takes large bodies.
func slowFleet(bin string, out io.Writer, name string, calls demo.SlowCalls) error {
	dir, err := os.MkdirTemp("", "lynxplank-bench-")
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "temporary directory", "cannot be made")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := demo.NewFleet(bin, dir, 3, 1, "log: {level: warn}\n")
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Start("bench", backend.Behaviour{WorkMillis: 2, LargeBytes: slowLarge}, "queue: 100"); err != nil {
		return err
	}
	if err := arrangeSlow(f); err != nil {
		return err
	}
	openLoop(f.Members[0].Callers, warmTime)
	measureOthers(f, out, name+"_none", nil)
	slow := demo.NewSlowCallers(f.Members[0].Callers, calls)
	defer slow.Close()
	if err := slow.Start(slowCallers); err != nil {
		return err
	}
	time.Sleep(slowSettling)
	measureOthers(f, out, name, slow)
	return nil
}

// arrangeSlow gives paths that begin with slowPath an endpoint of their own, which reads slowly.
func arrangeSlow(f *demo.Fleet) error {
	for _, args := range [][]string{
		{"delete", "endpoint", f.Members[0].Key()},
		{"set", "endpoint", f.Members[1].Key(), fmt.Sprintf("slots=%d", slowSlots)},
		{"set", "service", "uploads", "queue=100"},
		{"set", "endpoint", f.Members[2].Key(), fmt.Sprintf("slots=%d", slowSlots), "service=uploads"},
		{"set", "route", "uploads", "service=uploads", "prefix=" + slowPath},
	} {
		if text, err := f.Ctl(args...); err != nil {
			return fault.Wrap(err, fault.Internal, "lynxplankctl", text)
		}
	}
	time.Sleep(slowSettling)
	return f.Members[2].Behave(backend.Behaviour{ReadPauseMillis: slowPause})
}

// measureOthers measures an open loop's times beside slow callers, nil for none, and the most memory of each node.
func measureOthers(f *demo.Fleet, out io.Writer, name string, slow *demo.SlowCallers) {
	done := make(chan struct{})
	most := make([]float64, len(f.Members))
	var wg sync.WaitGroup
	wg.Go(func() { watchMemory(f, most, done) })
	h := openLoop(f.Members[0].Callers, pathTime)
	close(done)
	wg.Wait()
	for _, q := range []float64{50, 99} {
		measure(out, fmt.Sprintf("%s_p%.0f", name, q), millis(h.ValueAtQuantile(q)), "ms")
	}
	measure(out, name+"_served", float64(h.TotalCount()), "requests")
	for i, m := range most {
		measure(out, fmt.Sprintf("%s_memory_%d", name, i+1), m, "MiB")
	}
	if slow != nil {
		fmt.Fprintf(out, "# %s: answers begun by status: %v\n", name, slow.Statuses())
	}
}

// watchMemory keeps the most memory of each member's node until done.
func watchMemory(f *demo.Fleet, most []float64, done <-chan struct{}) {
	tick := time.NewTicker(memoryLooks)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			for i, m := range f.Members {
				most[i] = max(most[i], memory(m.NodePID()))
			}
		}
	}
}
