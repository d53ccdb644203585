package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/header"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/pipeline"
	"github.com/lynxplank/lynxplank/ratelimit"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// benchPart names the environment variable that tells a process started by a benchmark which part to play.
	benchPart    = "LYNXPLANK_BENCH_PART"
	partCaller   = "caller"
	partEndpoint = "endpoint"
	// benchHosts is the number of hosts of the fleet for which a limit is enforced.
	benchHosts = 3500
	// requestText is the request that the benchmarks send: a lookup with the fields that a caller usually sends.
	requestText = "GET /x HTTP/1.1\r\nHost: desk.example\r\nUser-Agent: bench\r\nAccept: application/json\r\n" +
		header.Customer + ": acme\r\n" + header.Deadline + ": 5s\r\n\r\n"
)

// playPart is the main function of the processes that a benchmark starts, so that the processor time of the caller and
// of the endpoint is not counted as the node's.
func playPart(part string) {
	var err error
	if part == partCaller {
		err = playCaller(os.Args[1])
	} else {
		err = playEndpoint()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, part, err)
		os.Exit(1)
	}
}

// playCaller sends as many requests, one at a time, as each line of the standard input says, and then writes a line with
// the number of answers of each status.
func playCaller(address string) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	r := bufio.NewReader(c)
	for {
		var n int
		if _, err := fmt.Scanln(&n); err != nil {
			return nil //nolint:nilerr // the benchmark has closed the input
		}
		statuses := make(map[int]int)
		for range n {
			if _, err := io.WriteString(c, requestText); err != nil {
				return err
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
			statuses[resp.StatusCode]++
		}
		fmt.Println(statuses)
	}
}

// playEndpoint answers requests until its input is closed; it writes its address first.
func playEndpoint() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"answer":"ok"}`)
	})}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		_ = s.Close()
	}()
	_ = s.Serve(l)
	return nil
}

// child is a process that plays a part.
type child struct {
	in  io.WriteCloser
	out *bufio.Reader
}

func startChild(b *testing.B, part string, args ...string) child {
	b.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), benchPart+"="+part)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = in.Close()
		_ = cmd.Wait()
	})
	return child{in: in, out: bufio.NewReader(out)}
}

func (c child) line(b *testing.B) string {
	b.Helper()
	line, err := c.out.ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return line[:len(line)-1]
}

// processorTime returns the user and system time of this process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// listenerWith starts the callers' listener and returns its address.
func listenerWith(b *testing.B, h http.Handler) string {
	b.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := free.Addr().String()
	_ = free.Close()
	limits := func() pipeline.Limits {
		return pipeline.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, Conns: 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	}
	s := pipeline.New("callers", address, limits, h, RefuseUnread(contract.Native{}))
	if err := s.Start(b.Context()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = s.Stop(context.Background()) })
	return address
}

// noPeers reaches no peer.
type noPeers struct{}

// Session implements ratelimit.Links.
func (noPeers) Session(context.Context, string) (*peer.Session, error) {
	return nil, fault.New(fault.LinkDown, "", "no peer can be reached")
}

// Usable implements ratelimit.Links.
func (noPeers) Usable(string) bool { return false }

// exhausted returns the limits of a large fleet whose owners have nothing to grant for the customer acme.
func exhausted(b *testing.B, g *Ingress) Limits {
	b.Helper()
	row, err := table.NewRow(table.KindCustomer, "acme", []string{"", "0.000001"})
	if err != nil {
		b.Fatal(err)
	}
	s, err := table.NewState().With(table.Delta{Full: true, To: 1, Rows: []table.Row{row}})
	if err != nil {
		b.Fatal(err)
	}
	snap := &configsync.Snapshot{State: s, Ready: true, ByID: make(map[string]table.HostInfo)}
	for i := range benchHosts {
		h := table.HostInfo{ID: fmt.Sprint("h", i), Hall: fmt.Sprint("hall-", i%21), Address: "127.0.0.1:1"}
		snap.Hosts, snap.ByID[h.ID] = append(snap.Hosts, h), h
	}
	cfg := ratelimit.Config{Host: "h1", Hall: "hall-1", Policy: ratelimit.PolicyAllotments, Settle: time.Hour, Window: time.Minute}
	l := ratelimit.New(cfg, g.log, func() *configsync.Snapshot { return snap }, noPeers{}, g.metrics)
	l.Observe(snap)
	return l
}

// BenchmarkCost measures the processor time that the node takes for a request through the callers' listener: with an
// empty handler, throttled, beyond the customer's limit in a fleet of 3,500 hosts, and served by an endpoint beside the
// node. The caller sends one request at a time; caller and endpoint are other processes.
func BenchmarkCost(b *testing.B) {
	endpoint := startChild(b, partEndpoint).line(b)
	s := fleet(b, 0, 3)
	row, err := table.NewRow(table.KindEndpoint, "e0", []string{"desk", "h1", "hall-1", endpoint})
	if err != nil {
		b.Fatal(err)
	}
	if s, err = s.With(table.Delta{From: 1, To: 2, Rows: []table.Row{row}}); err != nil {
		b.Fatal(err)
	}
	ingress := func(b *testing.B) *Ingress {
		g := ingressWith(b, s, egressWith(s, contract.Native{}))
		log := zerolog.New(io.Discard)
		g.log = &log
		return g
	}
	for _, c := range []struct {
		name   string
		status int
		node   func(b *testing.B) http.Handler
	}{
		{"empty", http.StatusOK, func(*testing.B) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
		}},
		{"throttled", http.StatusServiceUnavailable, func(b *testing.B) http.Handler {
			g := ingress(b)
			g.cfg.EarlyRefusal = true
			// The window stays as it is, and each request is throttled.
			now := time.Now()
			g.early.now, g.early.draw = func() time.Time { return now }, func() float64 { return 0 }
			fill(g, 1000)
			return g
		}},
		{"beyond limit", http.StatusTooManyRequests, func(b *testing.B) http.Handler {
			g := ingress(b)
			g.limits = exhausted(b, g)
			return g
		}},
		{"served", http.StatusOK, func(b *testing.B) http.Handler { return ingress(b) }},
	} {
		b.Run(c.name, func(b *testing.B) { measureCost(b, c.node(b), c.status) })
	}
}

// measureCost reports the processor time of this process for a request that is answered with the status.
func measureCost(b *testing.B, h http.Handler, status int) {
	caller := startChild(b, partCaller, listenerWith(b, h))
	send := func(n int) {
		fmt.Fprintln(caller.in, n)
		if got, want := caller.line(b), fmt.Sprint(map[int]int{status: n}); got != want {
			b.Fatalf("statuses: got %s, want %s", got, want)
		}
	}
	send(1)
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime(b)
	send(b.N)
	used := processorTime(b) - before
	b.StopTimer()
	b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/op")
}
