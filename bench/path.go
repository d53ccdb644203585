package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/standin/backend"
)

const (
	// pathRate is the open-loop rate on each path, requests a second.
	pathRate     = 500
	pathTime     = 8 * time.Second
	warmTime     = 2 * time.Second
	workers      = 32
	loadTime     = 6 * time.Second
	longest      = 10 * time.Second
	clockTicks   = 100
	bytesPerMiB  = 1 << 20
	idleSettling = 2 * time.Second
)

func measure(out io.Writer, name string, value float64, unit string) {
	fmt.Fprintf(out, "measure %s %s %s\n", name, strconv.FormatFloat(value, 'f', 3, 64), unit)
}

// Path measures what the way through two nodes adds to a direct call of the same endpoint in the same run, and what
// the nodes use for it.
func Path(bin string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "lynxplank-bench-")
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "temporary directory", "cannot be made")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := demo.NewFleet(bin, dir, 2, 1, "log: {level: warn}\n")
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Start("bench", backend.Behaviour{WorkMillis: 2}, "queue: 100"); err != nil {
		return err
	}
	// Only the second member's endpoint serves, and the callers ask the first: every request crosses the link.
	if _, err := f.Ctl("delete", "endpoint", f.Members[0].Key()); err != nil {
		return err
	}
	if _, err := f.Ctl("set", "endpoint", f.Members[1].Key(), "slots=64"); err != nil {
		return err
	}
	time.Sleep(idleSettling)
	ingress, egress := f.Members[0], f.Members[1]
	measure(out, "memory_idle", memory(ingress.NodePID()), "MiB")
	addedLatency(ingress.Callers, egress.Endpoint, out)
	if err := egress.Behave(backend.Behaviour{}); err != nil {
		return err
	}
	return perCore(ingress, egress, out)
}

// addedLatency asks both ways at the same time at the same rate.
func addedLatency(through, direct string, out io.Writer) {
	openLoop(through, warmTime)
	var wg sync.WaitGroup
	var a, b *hdrhistogram.Histogram
	wg.Go(func() { a = openLoop(direct, pathTime) })
	wg.Go(func() { b = openLoop(through, pathTime) })
	wg.Wait()
	for _, q := range []float64{50, 99, 99.9} {
		name := strings.ReplaceAll(strconv.FormatFloat(q, 'f', -1, 64), ".", "_")
		da, db := millis(a.ValueAtQuantile(q)), millis(b.ValueAtQuantile(q))
		measure(out, "direct_p"+name, da, "ms")
		measure(out, "through_p"+name, db, "ms")
		measure(out, "added_p"+name, db-da, "ms")
	}
}

func millis(us int64) float64 { return float64(us) / 1000 }

// openLoop sends at a fixed rate whatever the answers do, and times each from when it was due.
func openLoop(address string, d time.Duration) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, longest.Microseconds(), 3)
	var mu sync.Mutex
	client := newClient()
	tick := time.NewTicker(time.Second / pathRate)
	defer tick.Stop()
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		due := <-tick.C
		wg.Go(func() {
			if !ask(client, address) {
				return
			}
			us := time.Since(due).Microseconds()
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(us)
		})
	}
	wg.Wait()
	return h
}

func newClient() *http.Client {
	return &http.Client{Timeout: longest, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

func ask(c *http.Client, address string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil) //nolint:noctx // the client's limit
	if err != nil {
		return false
	}
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Body.Close() == nil && err == nil && resp.StatusCode == http.StatusOK
}

// perCore drives the path as hard as it goes and divides by the processor time of its nodes.
func perCore(ingress, egress *demo.Member, out io.Writer) error {
	before, err := ingress.Status()
	if err != nil {
		return err
	}
	cpuIn, cpuOut := processor(ingress.NodePID()), processor(egress.NodePID())
	done := closedLoop(ingress.Callers)
	cpuIn, cpuOut = processor(ingress.NodePID())-cpuIn, processor(egress.NodePID())-cpuOut
	after, err := ingress.Status()
	if err != nil {
		return err
	}
	measure(out, "throughput", done/loadTime.Seconds(), "requests/s")
	measure(out, "ingress_per_core", done/cpuIn, "requests/s/core")
	measure(out, "egress_per_core", done/cpuOut, "requests/s/core")
	measure(out, "memory_loaded", memory(ingress.NodePID()), "MiB")
	measure(out, "ingress_allocations", float64(after.Process.Allocations-before.Process.Allocations)/done, "objects/request")
	return nil
}

func closedLoop(address string) float64 {
	ctx, cancel := context.WithTimeout(context.Background(), loadTime)
	defer cancel()
	var done atomic.Int64
	var wg sync.WaitGroup
	client := newClient()
	for range workers {
		wg.Go(func() {
			for ctx.Err() == nil {
				if ask(client, address) {
					done.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return float64(done.Load())
}

// processor returns the processor time of a process in seconds, 0 if it is gone.
func processor(pid int) float64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	const user, system = 11, 12
	fields := strings.Fields(rest)
	u, _ := strconv.ParseFloat(fields[user], 64)
	s, _ := strconv.ParseFloat(fields[system], 64)
	return (u + s) / clockTicks
}

// memory returns the resident memory of a process in MiB, 0 if it is gone.
func memory(pid int) float64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	return pages * float64(os.Getpagesize()) / bytesPerMiB
}
