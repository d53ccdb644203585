package demo

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/operator"
	"github.com/lynxplank/lynxplank/settings"
	"github.com/lynxplank/lynxplank/standin/backend"
	"github.com/lynxplank/lynxplank/standin/relay"
	"github.com/lynxplank/lynxplank/standin/store"
)

var binaries string

// TestMain builds the programs once, with the race detector, for the scenarios to run as processes.
func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "lynxplank-bin-")
		if err != nil {
			fmt.Println(err)
			return 1
		}
		defer func() { _ = os.RemoveAll(dir) }()
		build := exec.Command("go", "build", "-race", "-o", dir, "../cmd/lynxplankd", "../cmd/lynxplankctl", "../cmd/lynxplank-standin")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Println(string(out))
			return 1
		}
		binaries = dir
		return m.Run()
	}())
}

// TestScenarios runs the scenarios of testdata/scenarios, each with a fleet of real processes of its own. Commands:
//
//	fleet nodes=N [halls=N] [work=4] [service=(CELL: VALUE, ...)] [settings=(...)]
//	send kind=lookup|booking|payment n=N [to=h1] [deadline=3s] [sends=N]      waits for the answers and prints them counted
//	hold (as send)                                                  sends in the background
//	held                                                            waits for what hold sent and prints it
//	warm n=N to=h1                                                  opens N connections and keeps them, for the next "hold kept=yes"
//	closed                                                          waits as held does, and prints how many connections closed without an answer
//	signal on=h1                                                    begins a planned stop and does not wait for its end
//	ended on=h1                                                     waits for the end of the node's process
//	pause for=500ms                                                 lets time pass
//	endpoint on=h1 [work=N] [fail=P] [half=P] [slow=X] [shed=N] [leaving] [large=BYTES] [pause=N]    pause is after each 16 KiB of a body
//	         [max-rate=TEXT] [quiet-probe]                          states a rate; its probe does not say that it is leaving
//	load rate=N for=6s [least=N]                                    sends at a rate; prints whether 99 in 100 were served; with least, whether as
//	                                                                many were, and all others refused because of what endpoints state
//	kept on=h1                                                      whether the endpoint got no more than it stated, from 3 s on
//	slowly n=N to=h1 path=/large|/upload [body=BYTES] told=N       callers who read 2,000 bytes a second; waits until N have begun to be told
//	memory on=h1                                                    whether the node's live heap is under half of its host's memory
//	ejected on=h1                                                   waits until every node that serves keeps work from it
//	begun on=h1 n=N                                                 waits until the endpoint has begun N requests in all
//	mark on=h1, new on=h1                                           work begun since the mark
//	kill, start, freeze, thaw on=h1
//	stop on=h1 [signals=N] [gap=4s]                                 signals to stop in series; waits for the exit and prints its code
//	cut, heal on=h1 way=to|from                                     one direction of every link dialed to the node
//	slow on=h1 ms=N                                                 delays every link dialed to the node, both ways
//	silence                                                         open connections of the nodes to each other, and to the store of a relayed fleet,
//	                                                                go silent without a reset; new ones work
//	platform up|down
//	leaving on=h1                                                   the operator drains the host; waits until all know
//	hall name=hall-1 evacuated=yes|no [but=h1]                      waits until every running node, but for one, knows so
//	ctl ARGS...                                                     the operators' tool; prints "ok" or the exit
//	inforce                                                         waits until every running node holds the same revision
//	inforce after=down                                              the same, without asking the platform
//	fatal name=N [down=500] [ends=N] [for=3s] [n=N]                 a request that ends the endpoints that run it comes again and again, at each
//	                                                                node in turn: until endpoints have ended N times, then for some time, then
//	                                                                N times, of which it prints how many began to run, if more than three
//	arrival name=N                                                  such a request comes once; prints how many endpoints have begun to run it,
//	                                                                if more than two
//	lift                                                            the operator lets every request that is kept from all run again
//	check                                                           holds answers against the endpoints' records
func TestScenarios(t *testing.T) {
	runScenarios(t, "testdata/scenarios/*")
}

// TestPlannedStops runs the scenarios of testdata/stops: nodes that are stopped under work which lasts.
func TestPlannedStops(t *testing.T) {
	runScenarios(t, "testdata/stops/*")
}

// TestFatalRequests runs the scenarios of testdata/fatal: requests that end the endpoints that run them.
func TestFatalRequests(t *testing.T) {
	runScenarios(t, "testdata/fatal/*")
}

func runScenarios(t *testing.T, pattern string) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("scenarios: got %v and %v, want some", files, err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			s := &scenario{proxies: make(map[string]*relay.Proxy), marks: make(map[string]int), ratesStatedAt: make(map[string]time.Time)}
			datadriven.RunTest(t, path, s.run)
		})
	}
}

type scenario struct {
	fleet   *Fleet
	how     backend.Behaviour
	proxies map[string]*relay.Proxy
	// stores is before the store for all nodes, nil unless the fleet is relayed.
	stores  *relay.Proxy
	loads   []*Load
	sent    int
	held    sync.WaitGroup
	mu      sync.Mutex
	results []Result
	marks   map[string]int
	// warmed keeps the connections of the last "warm".
	warmed *Load
	// ratesStatedAt is when the endpoints of hosts began to state a rate.
	ratesStatedAt map[string]time.Time
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	steps := map[string]func(*testing.T, *datadriven.TestData) string{
		"fleet": s.start, "send": s.send, "hold": s.hold, "held": s.wait, "endpoint": s.endpoint,
		"ejected": s.ejected, "begun": s.begun, "mark": s.mark, "new": s.newWork, "ctl": s.ctl,
		"kill": s.process, "start": s.process, "stop": s.process, "freeze": s.process, "thaw": s.process,
		"warm": s.warm, "closed": s.closed, "signal": s.signal, "ended": s.ended, "pause": s.pause,
		"cut": s.link, "heal": s.link, "slow": s.slow, "platform": s.platform, "leaving": s.leaving, "hall": s.hall,
		"slowly": s.slowly, "memory": s.memory, "inforce": s.inForce, "fatal": s.fatal, "arrival": s.arrival, "lift": s.lift, "check": s.check,
		"load": s.runLoad, "kept": s.kept, "silence": s.silence,
	}
	step := steps[d.Cmd]
	if step == nil {
		d.Fatalf(t, "no such command")
	}
	return step(t, d)
}

func word(t *testing.T, d *datadriven.TestData, name, value string) string {
	t.Helper()
	d.MaybeScanArgs(t, name, &value)
	return value
}

func number(t *testing.T, d *datadriven.TestData, name string, value int) int {
	t.Helper()
	d.MaybeScanArgs(t, name, &value)
	return value
}

func must(t *testing.T, d *datadriven.TestData, err error) {
	t.Helper()
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
}

func (s *scenario) start(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	f, err := NewFleet(binaries, t.TempDir(), number(t, d, "nodes", 3), number(t, d, "halls", 2), d.Input)
	must(t, d, err)
	t.Cleanup(f.Close)
	for _, m := range f.Members {
		p, err := relay.New(m.Peers)
		must(t, d, err)
		t.Cleanup(p.Close)
		s.proxies[m.Host] = p
	}
	f.PeerAddress = func(m *Member) string { return s.proxies[m.Host].Address() }
	s.fleet = f
	if d.HasArg("relayed") {
		s.relayStore(t, d)
	}
	s.how = backend.Behaviour{WorkMillis: float64(number(t, d, "work", 4))}
	cells := "floor: 50%, false_ejections: 1"
	if queue := word(t, d, "queue", ""); queue != "" {
		cells += ", queue: " + queue
	}
	must(t, d, f.Start(service, s.how, cells))
	return "ready\n"
}

// relayStore has the nodes find the store behind a relay.
func (s *scenario) relayStore(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	p, err := relay.New(s.fleet.PlatformAddress())
	must(t, d, err)
	t.Cleanup(p.Close)
	s.stores = p
	s.fleet.StoreAddress = func(*Member) string { return p.Address() }
}

// silence makes all open connections of the nodes to each other and to the store silent.
func (s *scenario) silence(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	if s.stores != nil {
		must(t, d, s.stores.Silence())
	}
	for _, p := range s.proxies {
		must(t, d, p.Silence())
	}
	return ""
}

func (s *scenario) member(t *testing.T, d *datadriven.TestData) *Member {
	t.Helper()
	name := word(t, d, "on", "")
	i := slices.IndexFunc(s.fleet.Members, func(m *Member) bool { return m.Host == name })
	if i < 0 {
		d.Fatalf(t, "no such member %q", name)
	}
	return s.fleet.Members[i]
}

// load returns a load of its own for each step, so that a node that is gone keeps no connections of the next.
func (s *scenario) load(t *testing.T, d *datadriven.TestData) (*Load, Kind, int, int) {
	t.Helper()
	var targets []string
	to := word(t, d, "to", "")
	for _, m := range s.fleet.Members {
		if to == "" || m.Host == to {
			targets = append(targets, m.Callers)
		}
	}
	kind := slices.Index(kindNames[:], word(t, d, "kind", "lookup"))
	l := NewLoad(targets)
	l.Deadline = word(t, d, "deadline", "3s")
	l.Sends = number(t, d, "sends", l.Sends)
	n := number(t, d, "n", 1)
	first := s.sent
	s.sent += n
	if s.warmed != nil && d.HasArg("kept") {
		l.client = s.warmed.client
	}
	s.loads = append(s.loads, l)
	return l, Kind(kind), first, n
}

func (s *scenario) send(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	l, kind, first, n := s.load(t, d)
	return summary(l.Send(kind, first, n))
}

func (s *scenario) hold(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	l, kind, first, n := s.load(t, d)
	s.held.Go(func() {
		results := l.Send(kind, first, n)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.results = append(s.results, results...)
	})
	return ""
}

func (s *scenario) wait(*testing.T, *datadriven.TestData) string {
	s.held.Wait()
	out := summary(s.results)
	s.results = nil
	return out
}

// summary counts the answers by what the caller was told and the status.
func summary(results []Result) string {
	counts := make(map[string]int)
	for _, r := range results {
		line := r.Told
		if r.Told == "ran" {
			line += " " + strconv.Itoa(r.Status)
		}
		if r.Told == "unknown" {
			line += " " + r.Code
		}
		if r.Told == "not-run" {
			line += fmt.Sprintf(" %s comes-back=%v", r.Code, r.ComesBack)
		}
		counts[line]++
	}
	lines := make([]string, 0, len(counts))
	for line, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d\n", line, n))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

func (s *scenario) endpoint(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	how := s.how
	how.WorkMillis = float64(number(t, d, "work", int(how.WorkMillis)))
	how.FailPercent = number(t, d, "fail", 0)
	how.HalfPercent = number(t, d, "half", 0)
	how.SlowFactor = float64(number(t, d, "slow", 0))
	how.ShedAbove = number(t, d, "shed", 0)
	how.Leaving = d.HasArg("leaving")
	how.LargeBytes = number(t, d, "large", 0)
	how.ReadPauseMillis = number(t, d, "pause", 0)
	how.QuietProbe = d.HasArg("quiet-probe")
	how.MaxRate = word(t, d, "max-rate", "")
	if host := s.member(t, d).Host; how.MaxRate == "" {
		delete(s.ratesStatedAt, host)
	} else if s.ratesStatedAt[host].IsZero() {
		s.ratesStatedAt[host] = time.Now()
	}
	must(t, d, s.member(t, d).Behave(how))
	return ""
}

func (s *scenario) ejected(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	key := s.member(t, d).Key()
	must(t, d, waitFor(key+" ejected", func() bool {
		l := NewLoad(s.targets())
		s.loads = append(s.loads, l)
		l.Send(Lookup, s.sent, 2*len(s.fleet.Members))
		s.sent += 2 * len(s.fleet.Members)
		return s.fleet.ejectedEverywhere(key)
	}))
	return "ejected\n"
}

func (s *scenario) targets() []string {
	var out []string
	for _, m := range s.fleet.Members {
		out = append(out, m.Callers)
	}
	return out
}

func (s *scenario) started(t *testing.T, d *datadriven.TestData) int {
	t.Helper()
	runs, err := s.member(t, d).Runs()
	must(t, d, err)
	sum := 0
	for _, r := range runs {
		sum += r.Started
	}
	return sum
}

func (s *scenario) begun(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	want := number(t, d, "n", 1)
	must(t, d, waitFor("work begun", func() bool { return s.started(t, d) >= want }))
	return ""
}

func (s *scenario) mark(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	s.marks[word(t, d, "on", "")] = s.started(t, d)
	return ""
}

func (s *scenario) newWork(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	return fmt.Sprintf("%d\n", s.started(t, d)-s.marks[word(t, d, "on", "")])
}

func (s *scenario) process(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	m := s.member(t, d)
	switch d.Cmd {
	case "kill":
		must(t, d, m.KillNode())
	case "stop":
		return s.stop(t, d, m)
	case "start":
		must(t, d, s.fleet.StartNode(m))
		must(t, d, s.fleet.WaitReady())
		return "ready\n"
	case "freeze":
		must(t, d, m.Pause(true))
	case "thaw":
		must(t, d, m.Pause(false))
	}
	return ""
}

func (s *scenario) stop(t *testing.T, d *datadriven.TestData, m *Member) string {
	t.Helper()
	gap, err := time.ParseDuration(word(t, d, "gap", "0s"))
	must(t, d, err)
	for range number(t, d, "signals", 1) - 1 {
		must(t, d, m.Signal(syscall.SIGTERM))
		time.Sleep(gap)
	}
	if err := m.StopNode(); err != nil {
		return "exit 1\n"
	}
	return "exit 0\n"
}

func (s *scenario) link(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	way := map[string]relay.Direction{"to": relay.To, "from": relay.From}[word(t, d, "way", "to")]
	s.proxies[s.member(t, d).Host].Hold(way, d.Cmd == "cut")
	return ""
}

func (s *scenario) slow(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	s.proxies[s.member(t, d).Host].Slow(time.Duration(number(t, d, "ms", 0)) * time.Millisecond)
	return ""
}

// slowRate is how many bytes a second a slow caller reads.
const slowRate = 2000

func (s *scenario) slowly(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	i := slices.IndexFunc(s.fleet.Members, func(m *Member) bool { return m.Host == word(t, d, "to", "") })
	calls := SlowCalls{Path: word(t, d, "path", ""), Body: number(t, d, "body", 0), Rate: slowRate}
	slow := NewSlowCallers(s.fleet.Members[i].Callers, calls)
	t.Cleanup(slow.Close)
	must(t, d, slow.Start(number(t, d, "n", 1)))
	want := number(t, d, "told", 1)
	must(t, d, waitFor("slow callers told", func() bool {
		told := 0
		for _, n := range slow.Statuses() {
			told += n
		}
		return told >= want
	}))
	return ""
}

func (s *scenario) memory(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	status, err := s.member(t, d).Status()
	must(t, d, err)
	if half := uint64(settings.DefaultDaemon().Memory.Host) / 2; status.Process.HeapBytes > half {
		return fmt.Sprintf("%d bytes\n", status.Process.HeapBytes)
	}
	return "under half\n"
}

func (s *scenario) platform(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	must(t, d, s.fleet.SetFaults(store.Faults{Down: d.HasArg("down"), DelayMillis: number(t, d, "delay", 0)}))
	return ""
}

func (s *scenario) leaving(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	_, err := s.fleet.Ctl("drain", "host", word(t, d, "on", ""))
	must(t, d, err)
	key := s.member(t, d).Key()
	must(t, d, waitFor("drain known", func() bool { return !s.openAnywhere(key) }))
	return ""
}

func (s *scenario) hall(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	name, want, but := word(t, d, "name", ""), word(t, d, "evacuated", "yes"), word(t, d, "but", "")
	must(t, d, waitFor("hall known", func() bool {
		for _, m := range s.fleet.Members {
			var row operator.Row
			if m.Running() && m.Host != but &&
				(get(m.Operators+operator.PathRow+"?kind=hall&key="+name, &row) != nil || row.Cells["evacuated"] != want) {
				return false
			}
		}
		return true
	}))
	return ""
}

func (s *scenario) openAnywhere(key string) bool {
	for _, m := range s.fleet.Members {
		var list []struct {
			Endpoint string `json:"endpoint"`
			Open     bool   `json:"open"`
		}
		if m.Running() && get(m.Operators+operator.PathExplain+"?service="+service, &list) != nil {
			return true
		}
		for _, e := range list {
			if e.Endpoint == key && e.Open {
				return true
			}
		}
	}
	return false
}

func (s *scenario) ctl(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var args []string
	for _, a := range d.CmdArgs {
		args = append(args, a.String())
	}
	if _, err := s.fleet.Ctl(args...); err != nil {
		return "refused\n"
	}
	return "ok\n"
}

func (s *scenario) inForce(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	want := uint64(number(t, d, "revision", 0))
	must(t, d, s.fleet.WaitRevision(want))
	return "in force\n"
}

func (s *scenario) check(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	s.held.Wait()
	var results []Result
	for _, l := range s.loads {
		results = append(results, l.Results()...)
	}
	var records []map[string]backend.Run
	for _, m := range s.fleet.Members {
		runs, err := m.Runs()
		must(t, d, err)
		records = append(records, runs)
	}
	var doubled, cut, falsely int
	for _, c := range Check(results, records) {
		doubled, cut, falsely = doubled+c.Doubled, cut+c.Cut, falsely+c.FalseNotRun
	}
	return fmt.Sprintf("doubled %d, cut %d, falsely not run %d\n", doubled, cut, falsely)
}
