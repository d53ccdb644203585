package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// settleRounds is how many seconds a healed fleet has to agree, quietRounds how many of the last ones must pass without
	// a report.
	settleRounds, quietRounds = 60, 10
	// maxMessages bounds the reports that one second of a healed fleet may take: more are taken for reports without end.
	maxMessages = 100_000
)

// message is a report on its way to a node.
type message struct {
	from, to *orderNode
	report   *peerpb.Ended
}

// orderNode is a tracker that is driven by the test. It implements Links.
type orderNode struct {
	*Tracker
	fleet *orderFleet
	// cut is set while the node reaches neither peers nor the store.
	cut bool
}

// SendPoisonReport implements Links.
func (n *orderNode) SendPoisonReport(report *peerpb.Ended, maxPeers int) {
	peers := slices.DeleteFunc(slices.Clone(n.fleet.nodes), func(o *orderNode) bool { return o == n })
	n.fleet.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if maxPeers < 0 {
		maxPeers = simLinks
	}
	for _, to := range peers[:min(maxPeers, len(peers))] {
		n.fleet.pending = append(n.fleet.pending, message{n, to, report})
	}
}

// orderFleet is a fleet whose reports, reads and writes take place in an order that the test draws, in virtual time.
type orderFleet struct {
	random  *rand.Rand
	now     time.Time
	store   *store.Store
	snap    *configsync.Snapshot
	nodes   []*orderNode
	pending []message
	reads   uint64
}

func newOrderFleet(seed uint64, size int) *orderFleet {
	f := &orderFleet{
		random: rand.New(rand.NewPCG(seed, 3)), now: simStart, store: store.New(), snap: &configsync.Snapshot{State: table.NewState()},
	}
	for i := range size {
		f.snap.Hosts = append(f.snap.Hosts, table.HostInfo{ID: fmt.Sprint("h", i)})
		f.nodes = append(f.nodes, &orderNode{fleet: f})
		f.restart(i)
	}
	return f
}

// restart replaces a node's tracker by one that knows nothing.
func (f *orderFleet) restart(i int) {
	log := zerolog.Nop()
	cfg := Config{Host: f.snap.Hosts[i].ID, RetryInterval: time.Second, MaxRetryInterval: time.Second, Timeout: time.Second}
	f.nodes[i].Tracker = New(cfg, &log, store.NewLocal(f.store), f.nodes[i], func() *configsync.Snapshot { return f.snap })
	f.nodes[i].now = func() time.Time { return f.now }
}

// deliver passes a pending report on, unless a cut loses it. The answer becomes a pending report.
func (f *orderFleet) deliver(m message) {
	if m.from.cut || m.to.cut {
		return
	}
	if answer := m.to.HandleReport(m.report); answer != nil {
		f.pending = append(f.pending, message{m.to, m.from, answer})
	}
}

func (f *orderFleet) take(i int) message {
	m := f.pending[i]
	f.pending = slices.Delete(f.pending, i, i+1)
	return m
}

// read shows the rows in the store to a node.
func (f *orderFleet) read(t rapid.TB, n *orderNode) {
	if n.cut {
		return
	}
	recs, err := store.NewLocal(f.store).Scan(context.Background(), poison.KeyPrefix, "", 100)
	if err != nil {
		t.Fatal(err)
	}
	f.reads++
	n.Observe(snapshotOf(t, recs.Records, f.reads))
}

// writeRows lets a node do what it does each second.
func (f *orderFleet) writeRows(t rapid.TB, n *orderNode) {
	n.maintain(f.now)
	if n.cut {
		return
	}
	if err := n.write(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// step draws one thing that happens.
func (f *orderFleet) step(t *rapid.T, requests []poison.Fingerprint) {
	i := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")
	n, request := f.nodes[i], rapid.SampledFrom(requests).Draw(t, "request")
	f.now = f.now.Add(time.Millisecond)
	switch rapid.SampledFrom([]string{"deliver", "crash", "success", "repeat", "lose", "read", "write", "wait", "cut", "restart"}).Draw(t, "step") {
	case "crash":
		n.EndedHere("e-"+n.cfg.Host, simService, []poison.Fingerprint{request})
	case "success":
		n.Ran(request)
	case "read":
		f.read(t, n)
	case "write":
		f.writeRows(t, n)
	case "wait":
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
	case "cut":
		n.cut = !n.cut
	case "restart":
		f.restart(i)
	case "deliver", "repeat", "lose":
		f.stepMessage(t)
	}
}

// stepMessage draws what happens to a pending report.
func (f *orderFleet) stepMessage(t *rapid.T) {
	if len(f.pending) == 0 {
		return
	}
	m := f.take(rapid.IntRange(0, len(f.pending)-1).Draw(t, "message"))
	fate := rapid.IntRange(0, 9).Draw(t, "fate")
	if fate == 0 {
		return
	}
	if fate == 1 {
		f.pending = append(f.pending, m)
	}
	f.deliver(m)
}

// settle heals the fleet, lets it run, and returns how many reports came in the last rounds.
func (f *orderFleet) settle(t rapid.TB) (late int) {
	for _, n := range f.nodes {
		n.cut = false
	}
	for round := range settleRounds {
		f.now = f.now.Add(time.Second)
		for _, n := range f.nodes {
			f.read(t, n)
			f.writeRows(t, n)
		}
		delivered := 0
		for ; len(f.pending) > 0; delivered++ {
			if delivered > maxMessages {
				t.Fatalf("second %d: got over %d reports, want an end", round, maxMessages)
			}
			f.deliver(f.take(0))
		}
		if round >= settleRounds-quietRounds {
			late += delivered
		}
	}
	return late
}

// TestReportsInAnyOrder guards against requests that stay suspected, at one node or at all of them, although an endpoint has
// run them well: reports of crashes and of successes come in any order, are repeated and lost, nodes are cut off and restart,
// and rows are read late. Once all is healed, all nodes must count the same crashes of each request, and none that
// a node has cleared.
func TestReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newOrderFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 60).Draw(t, "nodes"))
		requests := []poison.Fingerprint{poison.FingerprintOf("", "GET", "", "/1", nil), poison.FingerprintOf("", "GET", "", "/2", nil)}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.step(t, requests)
		}
		if got := f.settle(t); got > 0 {
			t.Errorf("reports in the last %d s: got %d, want none", quietRounds, got)
		}
		for _, request := range requests {
			f.check(t, request)
		}
	})
}

// check compares the nodes' views of a request.
func (f *orderFleet) check(t rapid.TB, request poison.Fingerprint) {
	crashes := func(n *orderNode) []string { return slices.Sorted(slices.Values(n.view.get(request).Ends.List())) }
	want := crashes(f.nodes[0])
	for _, n := range f.nodes {
		if got := crashes(n); !slices.Equal(got, want) {
			t.Errorf("crashes of a request: got %v at %s, want %v as at %s", got, n.cfg.Host, want, f.nodes[0].cfg.Host)
		}
		if got, want := n.Ends(request), len(want); got != want {
			t.Errorf("count at %s: got %d, want %d", n.cfg.Host, got, want)
		}
		for cr := range n.view.cleared {
			if cr.fingerprint == request && slices.Contains(want, cr.id) {
				t.Errorf("crash %s: got it counted, want it cleared as at %s", cr.id, n.cfg.Host)
			}
		}
	}
}

// TestMissedSuccessReport guards against a node that counts a crash for ever because it was cut off when its peers learned
// of the success: the row has come and gone meanwhile, and nobody reports either again.
func TestMissedSuccessReport(t *testing.T) {
	f := newOrderFleet(1, 12)
	i := slices.IndexFunc(f.nodes, func(n *orderNode) bool { return n.rank(deadly, f.snap.Hosts) >= maxWriters })
	missing := f.nodes[i]
	observer := f.nodes[(i+1)%len(f.nodes)]
	observer.EndedHere("e1", simService, []poison.Fingerprint{deadly})
	for len(f.pending) > 0 {
		f.deliver(f.take(0))
	}
	missing.cut = true
	f.nodes[(i+2)%len(f.nodes)].Ran(deadly)
	for len(f.pending) > 0 {
		f.deliver(f.take(0))
	}
	if got, want := missing.Ends(deadly), 1; got != want {
		t.Fatalf("crashes at the node that was cut off: got %d, want %d", got, want)
	}
	f.settle(t)
	if got, want := missing.Ends(deadly), 0; got != want {
		t.Errorf("crashes at the node that was cut off: got %d, want %d", got, want)
	}
	f.check(t, deadly)
}

// BenchmarkCapacityReports measures what a crash and the success that answers it cost a node in a fleet of the planned size:
// the reports that it sends, their bytes, and what it holds afterwards.
func BenchmarkCapacityReports(b *testing.B) {
	const nodes = 3500
	sent, bytes := 0, 0
	f := newOrderFleet(1, nodes)
	for i := range b.N {
		request := poison.FingerprintOf("", "GET", "", fmt.Sprint(i), nil)
		f.nodes[i%nodes].EndedHere(fmt.Sprint("endpoint-", i), simService, []poison.Fingerprint{request})
		f.nodes[(i+1)%nodes].Ran(request)
		f.nodes[(i+2)%nodes].Ran(request)
		for len(f.pending) > 0 {
			m := f.take(len(f.pending) - 1)
			sent, bytes = sent+1, bytes+proto.Size(m.report)
			f.deliver(m)
		}
	}
	held := 0
	for _, n := range f.nodes {
		held += len(n.view.cleared) + len(n.view.reports)
	}
	b.ReportMetric(float64(sent)/float64(b.N)/nodes, "reports/node/crash")
	b.ReportMetric(float64(bytes)/float64(b.N)/nodes, "B/node/crash")
	b.ReportMetric(float64(held)/float64(b.N)/nodes, "held/node/crash")
}
