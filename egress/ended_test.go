package egress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/table"
)

// endings notes what an egress tells of ends, and knows of some before.
type endings struct {
	mu     sync.Mutex
	before map[poison.Fingerprint]int
	ended  []poison.Fingerprint
	ran    []poison.Fingerprint
	told   chan struct{}
}

// Ends implements Endings.
func (n *endings) Ends(c poison.Fingerprint) int { return n.before[c] }

// Ran implements Endings.
func (n *endings) Ran(c poison.Fingerprint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ran = append(n.ran, c)
}

// EndedHere implements Endings.
func (n *endings) EndedHere(_, _ string, contents []poison.Fingerprint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = append(n.ended, contents...)
	n.told <- struct{}{}
}

// asks is a request for a path.
func asks(path string) *peerpb.Dispatch {
	c := poison.FingerprintOf("", http.MethodGet, "", path, nil)
	return &peerpb.Dispatch{
		RequestId: path, Endpoint: "e1", Service: "desk", Method: http.MethodGet, Target: path, Repeatable: true,
		BudgetMicros: (5 * time.Second).Microseconds(), Content: c[:],
	}
}

func contentsOf(paths ...string) []poison.Fingerprint {
	var out []poison.Fingerprint
	for _, path := range paths {
		out = append(out, contentOf(asks(path)))
	}
	return out
}

// mortal listens as an endpoint whose connections all break once so many requests are under way; with ends it takes none after that.
func mortal(t *testing.T, requests int, ends bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var mu sync.Mutex
	var under []net.Conn
	take := func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if under = append(under, c); len(under) < requests {
			return
		}
		if ends {
			_ = l.Close()
		}
		for _, o := range under {
			_ = o.Close()
		}
		under = nil
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go take(c)
		}
	}()
	return l.Addr().String()
}

func watched(t *testing.T, address string, phase table.Phase) (*Egress, *endings) {
	t.Helper()
	e, n := at(t, address, phase), &endings{told: make(chan struct{}, 10)}
	e.endings = n
	return e, n
}

// TestEndIsTold has an endpoint end with three requests: all of them are told, once. One that lets go of the same three and lives on, and
// an answer that says that the work failed, tell nothing.
func TestEndIsTold(t *testing.T) {
	paths := []string{"/a", "/b", "/c"}
	for _, ends := range []bool{true, false} {
		e, n := watched(t, mortal(t, len(paths), ends), table.Active)
		var wg sync.WaitGroup
		// The table may change while an end is told: the soak, seed 7, met a race with that.
		stop := make(chan struct{})
		var table sync.WaitGroup
		table.Go(func() { observeUntil(e, stop) })
		for _, path := range paths {
			wg.Go(func() { serve(t, e, asks(path)) })
		}
		wg.Wait()
		if ends {
			<-n.told
		}
		if err := e.flight.Wait(t.Context(), "egress"); err != nil {
			t.Fatal(err)
		}
		close(stop)
		table.Wait()
		n.mu.Lock()
		slices.SortFunc(n.ended, func(a, b poison.Fingerprint) int { return strings.Compare(string(a[:]), string(b[:])) })
		var want []poison.Fingerprint
		if ends {
			want = contentsOf(paths...)
			slices.SortFunc(want, func(a, b poison.Fingerprint) int { return strings.Compare(string(a[:]), string(b[:])) })
		}
		if got := n.ended; !slices.Equal(got, want) {
			t.Errorf("told with ends=%v: got %v, want %v", ends, got, want)
		}
		n.mu.Unlock()
	}
}

// observeUntil has the egress take its endpoints from the table again and again.
func observeUntil(e *Egress, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
			_, _ = e.find(asks("/x"))
		}
	}
}

// TestVerdictOfBrokenWork checks which of the work that broke off is answered for by a look at the endpoint: an endpoint that refused a
// connection has ended at all of it, one that took it has not at what broke off before.
func TestVerdictOfBrokenWork(t *testing.T) {
	looked := time.Now()
	for _, ended := range []bool{true, false} {
		l := new(local)
		before := brokenWork{at: looked.Add(-time.Millisecond), verdict: make(chan bool, 1)}
		after := brokenWork{at: looked.Add(time.Millisecond), verdict: make(chan bool, 1)}
		l.broken = []brokenWork{before, after}
		l.tellVerdict(looked, ended)
		if got := <-before.verdict; got != ended {
			t.Errorf("broke off before the look: got ended=%v, want %v", got, ended)
		}
		if got := len(after.verdict) > 0; got != ended {
			t.Errorf("broke off after the look: got told=%v, want %v", got, ended)
		}
	}
}

// TestWorkThatBeganLaterIsNotTold checks that only what was under way at the end is told: a kept connection takes a request for a moment
// after its endpoint has ended.
func TestWorkThatBeganLaterIsNotTold(t *testing.T) {
	start := time.Now()
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	broken := []brokenWork{
		{request: "long", began: after(0), at: after(100)},
		{request: "later", began: after(101), at: after(102)},
		{request: "short", began: after(90), at: after(101)},
	}
	var got []string
	for _, b := range underWay(broken) {
		got = append(got, b.request)
	}
	if want := []string{"long", "short"}; !slices.Equal(got, want) {
		t.Errorf("under way: got %q, want %q", got, want)
	}
}

// TestBarredIsRefused checks that the endpoint's node refuses a request that is kept from all, whoever sends it, and that good work is told.
func TestBarredIsRefused(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	t.Cleanup(server.Close)
	e, n := watched(t, strings.TrimPrefix(server.URL, "http://"), table.Active)
	n.before = map[poison.Fingerprint]int{contentsOf("/deadly")[0]: poison.BlockThreshold}
	end := serve(t, e, asks("/deadly"))
	if got, want := end.GetCode(), string(fault.FatalRequest); got != want || end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("barred: got %v, want not run, %s", end, want)
	}
	if end := serve(t, e, asks("/good")); end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN {
		t.Errorf("good: got %v, want it to run", end)
	}
	if got, want := n.ran, contentsOf("/good"); !slices.Equal(got, want) {
		t.Errorf("ran well: got %v, want %v", got, want)
	}
}
