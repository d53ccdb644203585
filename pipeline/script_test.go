package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/shutdown"
)

// fixture is a server whose handler's behavior depends on the request's path, and the connection of one caller.
type fixture struct {
	server   *Server
	conn     net.Conn
	reader   *bufio.Reader
	mu       sync.Mutex
	gates    map[string]chan struct{}
	began    chan string
	canceled chan string
	budget   *memory.Budget
	schedule *shutdown.Schedule
}

func (f *fixture) gate(name string) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gates[name] == nil {
		f.gates[name] = make(chan struct{})
	}
	return f.gates[name]
}

// ServeHTTP answers with the method, path and body. /gate/NAME waits until the gate is opened, /cut and /short end before
// the stated length, /long exceeds it, /panic panics, /stream flushes a part first.
func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.began <- r.URL.Path
	switch {
	case strings.HasPrefix(r.URL.Path, "/gate/"):
		select {
		case <-f.gate(strings.TrimPrefix(r.URL.Path, "/gate/")):
		case <-r.Context().Done():
			f.canceled <- r.URL.Path
			return
		}
	case r.URL.Path == "/cut":
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/long":
		w.Header().Set("Content-Length", "3")
	case r.URL.Path == "/panic":
		panic("a fault of the handler")
	case r.URL.Path == "/short":
		w.Header().Set("Content-Length", "100")
	case r.URL.Path == "/stream":
		_, _ = io.WriteString(w, "part,")
		_ = http.NewResponseController(w).Flush()
	}
	fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

func start(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{gates: make(map[string]chan struct{}), began: make(chan string, 100), canceled: make(chan string, 100)}
	limits := func() Limits {
		return Limits{HeaderBytes: 1024, BodyBytes: 64, Conns: 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute}
	}
	f.server = New("test", "127.0.0.1:0", limits, f, func(w http.ResponseWriter, _ http.Header, status int, err *fault.Error) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, string(err.Code))
	})
	f.schedule = shutdown.NewSchedule(shutdown.NewPlan(600*time.Millisecond, 100*time.Millisecond, 200*time.Millisecond), nil)
	f.server.StopBy(f.schedule)
	f.budget = memory.New(1 << 20)
	f.server.ReserveBodies(func(h http.Header) *memory.Reservation {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.budget.NewReservation(h.Get("Payer"))
	})
	if err := f.server.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.dial(t)
	return f
}

func (f *fixture) dial(t *testing.T) {
	t.Helper()
	c, err := net.Dial("tcp", f.server.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	f.conn, f.reader = c, bufio.NewReader(c)
	t.Cleanup(func() { _ = c.Close() })
}

// TestScripts runs the scenarios in testdata. Each line of a request is sent with CRLF at its end. Commands:
//
//	send            sends requests as written, with ~ as an additional CRLF
//	read [n=N]      reads N answers
//	began n=N       waits until N requests have reached the handler, and prints their paths
//	open NAME       opens a gate
//	leave           closes the caller's connection
//	gone            waits until a request is canceled because its caller has gone, and prints its path
//	dial            opens another connection
//	ahead n=N       waits until N requests have been read but not answered
//	working n=N     waits until N requests are in flight
//	conns n=N       waits until the server holds N connections
//	drain           begins the planned stop
//	room n=N        sets the memory for bodies to N bytes; those of one Payer (a header) may use as much as they leave free
//	held            prints how many bytes of that are used
//	refuse          refuses every request that is read from now on
//	blocked n=N     waits until the answers of N requests wait for earlier ones
//	release         ends the requests that hold up such answers
//	stop [until=P]  begins a planned stop by the clock, and waits until a point of it: "notice" or "settled"
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := start(t)
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = f.server.Stop(ctx)
		})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return f.step(t, d)
		})
	})
}

func (f *fixture) step(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	n := 1
	d.MaybeScanArgs(t, "n", &n)
	counts := map[string]func() int{
		"conns": func() int { return int(f.server.open.Load()) }, "ahead": f.ahead,
		"working": func() int { return int(f.server.InFlight()) },
		"blocked": func() int { return len(f.server.Blocked()) },
	}
	if count := counts[d.Cmd]; count != nil {
		return f.await(n, count)
	}
	commands := map[string]func(){
		"refuse": f.server.Refuse, "release": f.server.ReleaseBlocked, "drain": f.server.Drain, "stop": func() { f.stop(t, d) },
	}
	if command := commands[d.Cmd]; command != nil {
		command()
		return ""
	}
	switch d.Cmd {
	case "send":
		text := strings.ReplaceAll(d.Input, "\n", "\r\n")
		text = strings.ReplaceAll(text, "~", "\r\n")
		if _, err := io.WriteString(f.conn, text); err != nil {
			d.Fatalf(t, "%v", err)
		}
	case "read":
		return f.read(n)
	case "began":
		return receive(t, f.began, n)
	case "open":
		close(f.gate(d.CmdArgs[0].Key))
	case "leave":
		_ = f.conn.Close()
	case "gone":
		return receive(t, f.canceled, n)
	case "dial":
		f.dial(t)
	case "room":
		f.mu.Lock()
		defer f.mu.Unlock()
		f.budget = memory.New(int64(n))
	case "held":
		f.mu.Lock()
		defer f.mu.Unlock()
		return fmt.Sprintf("%d\n", f.budget.Usage().Used)
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return ""
}

// stop begins a planned stop by the clock and waits until a point of it.
func (f *fixture) stop(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	plan, until := f.schedule.Begin(), ""
	d.MaybeScanArgs(t, "until", &until)
	time.Sleep(time.Until(map[string]time.Time{"notice": plan.NoticeEnd(), "settled": plan.SettleAt()}[until]))
}

// await waits until count returns n.
func (f *fixture) await(n int, count func() int) string {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if count() == n {
			return ""
		}
	}
	return fmt.Sprintf("still %d\n", count())
}

func (f *fixture) ahead() int {
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	sum := 0
	for c := range f.server.conns {
		c.mu.Lock()
		sum += len(c.pending)
		c.mu.Unlock()
	}
	return sum
}

func receive(t *testing.T, c chan string, n int) string {
	t.Helper()
	var names []string
	for range n {
		select {
		case name := <-c:
			names = append(names, name)
		case <-time.After(10 * time.Second):
			t.Fatal("no request within 10s, want one")
		}
	}
	sort.Strings(names)
	return strings.Join(names, "\n") + "\n"
}

func (f *fixture) read(n int) string {
	var b strings.Builder
	for range n {
		resp, err := http.ReadResponse(f.reader, nil)
		if err != nil {
			return b.String() + "closed\n"
		}
		body, err := io.ReadAll(resp.Body)
		fmt.Fprintf(&b, "%d %q", resp.StatusCode, body)
		if resp.Close {
			b.WriteString(" close")
		}
		if err != nil {
			b.WriteString(" broken off")
		}
		b.WriteString("\n")
	}
	return b.String()
}
