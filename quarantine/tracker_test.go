package quarantine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

// maxClusterReports bounds the reports that a cluster delivers: without it, reports that spread without end would take all
// memory before a test fails.
const maxClusterReports = 10_000

// cluster is a group of trackers on one store, each of which receives the reports of the others.
type cluster struct {
	store *store.Store
	mu    sync.Mutex
	all   []*Tracker
	// deaf are the trackers that receive no reports.
	deaf map[*Tracker]bool
	// reports counts the calls of SendPoisonReport.
	reports int
}

// trackerLinks implements Links for one tracker.
type trackerLinks struct {
	c    *cluster
	self **Tracker
}

// SendPoisonReport implements Links.
func (l trackerLinks) SendPoisonReport(report *peerpb.Ended, maxPeers int) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	if l.c.reports++; l.c.reports > maxClusterReports {
		return
	}
	for i, tracker := range l.c.all {
		if tracker != *l.self && !l.c.deaf[tracker] && (maxPeers < 0 || i < maxPeers) {
			go tracker.HandleReport(report)
		}
	}
}

func newCluster(t *testing.T, trackers int) *cluster {
	t.Helper()
	c := &cluster{store: store.New(), deaf: make(map[*Tracker]bool)}
	log := zerolog.Nop()
	snap := &configsync.Snapshot{State: table.NewState()}
	for i := range trackers {
		host := fmt.Sprint("h", i)
		snap.Hosts = append(snap.Hosts, table.HostInfo{ID: host})
		var tracker *Tracker
		cfg := Config{Host: host, RetryInterval: 10 * time.Millisecond, MaxRetryInterval: 50 * time.Millisecond, Timeout: time.Second}
		tracker = New(cfg, &log, store.NewLocal(c.store), trackerLinks{c, &tracker}, func() *configsync.Snapshot { return snap })
		c.all = append(c.all, tracker)
		if err := tracker.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = tracker.Stop(context.Background()) })
	}
	return c
}

// rows returns the rows in the store.
func (c *cluster) rows(t *testing.T) []platform.Record {
	t.Helper()
	recs, err := store.NewLocal(c.store).Scan(t.Context(), poison.KeyPrefix, "", 100)
	if err != nil {
		t.Fatal(err)
	}
	return recs.Records
}

// show passes the rows in the store to a tracker, as an active snapshot does.
func (c *cluster) show(t *testing.T, tracker *Tracker) {
	t.Helper()
	tracker.Observe(snapshotOf(t, c.rows(t), uint64(time.Now().UnixNano())))
}

// snapshotOf returns a snapshot that has rows of the store active, at a revision.
func snapshotOf(t rapid.TB, recs []platform.Record, revision uint64) *configsync.Snapshot {
	t.Helper()
	d := table.Delta{Source: table.SourcePoison, Full: true, To: revision}
	for _, rec := range recs {
		row, err := poison.RowOf(rec)
		if err != nil {
			t.Fatal(err)
		}
		d.Rows = append(d.Rows, row)
	}
	state, err := table.NewState().With(d)
	if err != nil {
		t.Fatal(err)
	}
	return &configsync.Snapshot{State: state}
}

// eventually waits until condition returns true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not the case after 10 s", what)
		}
	}
}

// waitForCrashesInStore waits until the store has one row, which lists that many crashes.
func (c *cluster) waitForCrashesInStore(t *testing.T, want int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d crashes in the store", want), func() bool {
		recs := c.rows(t)
		if len(recs) != 1 {
			return false
		}
		f, err := poison.Decode(recs[0])
		return err == nil && len(f.Ends.List()) == want
	})
}

var deadly = poison.FingerprintOf("", "GET", "", "/deadly", nil)

// TestCrashesAddUp has the endpoints beside three nodes crash while they run the same request, two of them at the same
// moment. Each node learns of all crashes from reports, the store holds all of them, and a node that starts learns of
// them from the store.
func TestCrashesAddUp(t *testing.T) {
	c := newCluster(t, 4)
	c.all[0].EndedHere("e0", "docket-desk", []poison.Fingerprint{deadly})
	for _, tracker := range c.all {
		eventually(t, "report of one crash", func() bool { return tracker.Ends(deadly) == 1 })
	}
	go c.all[1].EndedHere("e1", "docket-desk", []poison.Fingerprint{deadly})
	c.all[2].EndedHere("e2", "docket-desk", []poison.Fingerprint{deadly})
	for _, tracker := range c.all {
		eventually(t, "report of three crashes", func() bool { return tracker.Blocked(deadly) })
	}
	c.waitForCrashesInStore(t, 3)
	restarted := newCluster(t, 1)
	restarted.store = c.store
	restarted.show(t, restarted.all[0])
	if got, want := restarted.all[0].Blocked(deadly), true; got != want {
		t.Errorf("blocked at a node that starts: got %v, want %v", got, want)
	}
}

// TestReportsStopSpreading has more endpoints crash on one request than a row lists. Once the request is blocked, nodes
// must not forward any more reports: they forwarded each report without end when they took the crashes that the row
// cannot list for new.
func TestReportsStopSpreading(t *testing.T) {
	c := newCluster(t, 5)
	for i := range 40 {
		c.all[i%5].EndedHere(fmt.Sprint("e", i), "docket-desk", []poison.Fingerprint{deadly})
	}
	eventually(t, "blocked everywhere", func() bool {
		for _, tracker := range c.all {
			if !tracker.Blocked(deadly) {
				return false
			}
		}
		return true
	})
	reports := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.reports
	}
	last := -1
	eventually(t, "no more reports", func() bool {
		count := reports()
		same := count == last
		last = count
		time.Sleep(20 * time.Millisecond)
		return same
	})
	if got, limit := last, 40*5; got > limit {
		t.Errorf("reports: got %d, want at most %d", got, limit)
	}
}

// TestStoreDown has an endpoint crash while the store is down. The report still spreads between nodes, and the row is
// written once the store is up again, although the store's first answers are lost.
func TestStoreDown(t *testing.T) {
	c := newCluster(t, 2)
	c.store.SetFaults(store.Faults{Down: true})
	c.all[0].EndedHere("e0", "docket-desk", []poison.Fingerprint{deadly})
	eventually(t, "report", func() bool { return c.all[1].Ends(deadly) == 1 })
	c.store.SetFaults(store.Faults{LoseReplies: 2})
	c.waitForCrashesInStore(t, 1)
}

// TestPeerTakesOverWrite stops the node that observed a crash before it has written the row: another node that received
// the report writes it.
func TestPeerTakesOverWrite(t *testing.T) {
	c := newCluster(t, 3)
	c.store.SetFaults(store.Faults{Down: true})
	c.all[0].EndedHere("e0", "docket-desk", []poison.Fingerprint{deadly})
	eventually(t, "report", func() bool { return c.all[1].Ends(deadly) == 1 && c.all[2].Ends(deadly) == 1 })
	if err := c.all[0].Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	c.store.SetFaults(store.Faults{})
	c.waitForCrashesInStore(t, 1)
}

// TestWhatRanWellIsCleared has one request succeed at a node after an endpoint crashed on it at another, and a second
// request succeed just before endpoints crash on it elsewhere. In both cases every node clears the request.
func TestWhatRanWellIsCleared(t *testing.T) {
	c := newCluster(t, 3)
	c.all[0].EndedHere("e0", "docket-desk", []poison.Fingerprint{deadly})
	c.waitForCrashesInStore(t, 1)
	for _, tracker := range c.all {
		c.show(t, tracker)
	}
	c.all[1].Ran(deadly)
	for _, tracker := range c.all {
		eventually(t, "cleared", func() bool { return tracker.Ends(deadly) == 0 })
	}
	eventually(t, "row removed", func() bool { return len(c.rows(t)) == 0 })

	popular := poison.FingerprintOf("", "GET", "", "/popular", nil)
	c.all[2].Ran(popular)
	for i := range 3 {
		c.all[i%2].EndedHere(fmt.Sprint("e", i), "docket-desk", []poison.Fingerprint{popular})
	}
	for _, tracker := range c.all {
		eventually(t, "cleared by the node at which it succeeded", func() bool { return tracker.Ends(popular) == 0 })
	}
}

// TestRemovedRowStaysCleared has an operator remove the row: late reports of the same crashes change nothing, while new
// crashes count.
func TestRemovedRowStaysCleared(t *testing.T) {
	c := newCluster(t, 2)
	reports := []*peerpb.Ended{
		{End: "a@1", Service: "docket-desk", Contents: [][]byte{deadly[:]}, AtMillis: 1},
		{End: "b@2", Service: "docket-desk", Contents: [][]byte{deadly[:]}, AtMillis: 2},
		{End: "c@3", Service: "docket-desk", Contents: [][]byte{deadly[:]}, AtMillis: 3},
	}
	tracker := c.all[0]
	for _, w := range reports {
		tracker.HandleReport(w)
	}
	c.waitForCrashesInStore(t, 3)
	c.show(t, tracker)
	key := poison.KeyOf(deadly)
	if _, err := store.NewLocal(c.store).Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: key, Delete: true}}}); err != nil {
		t.Fatal(err)
	}
	c.show(t, tracker)
	if got, want := tracker.Ends(deadly), 0; got != want {
		t.Errorf("crashes after the row was removed: got %d, want %d", got, want)
	}
	for _, w := range reports {
		tracker.HandleReport(w)
	}
	if got, want := tracker.Ends(deadly), 0; got != want {
		t.Errorf("crashes after late reports: got %d, want %d", got, want)
	}
	tracker.EndedHere("e9", "docket-desk", []poison.Fingerprint{deadly})
	if got, want := tracker.Ends(deadly), 1; got != want {
		t.Errorf("crashes after a new one: got %d, want %d", got, want)
	}
}

// TestMalformedReports checks that malformed reports change nothing.
func TestMalformedReports(t *testing.T) {
	c := newCluster(t, 1)
	tracker := c.all[0]
	tooMany := make([][]byte, maxFingerprints+1)
	for i := range tooMany {
		tooMany[i] = deadly[:]
	}
	for _, w := range []*peerpb.Ended{
		{},
		{End: "a@1", Contents: [][]byte{deadly[:]}},
		{Service: "s", Contents: [][]byte{deadly[:]}},
		{End: "a@1", Service: "s", Contents: [][]byte{{1, 2, 3}}},
		{End: "a@1", Service: "s", Contents: tooMany},
	} {
		tracker.HandleReport(w)
		if got, want := tracker.Ends(deadly), 0; got != want {
			t.Errorf("crashes after %v: got %d, want %d", w, got, want)
		}
	}
}

// TestSuccessReportOfOlderVersion checks that a report of a success which names no crashes, as nodes of an older version
// send it, clears the request of those known to the receiver, and that a named crash stays cleared when it is reported
// later.
func TestSuccessReportOfOlderVersion(t *testing.T) {
	c := newCluster(t, 1)
	tracker := c.all[0]
	report := func(id string) *peerpb.Ended {
		return &peerpb.Ended{End: id, Service: "docket-desk", Contents: [][]byte{deadly[:]}, AtMillis: 1}
	}
	tracker.HandleReport(report("a@1"))
	tracker.HandleReport(&peerpb.Ended{Contents: [][]byte{deadly[:]}, Ran: true})
	if got, want := tracker.Ends(deadly), 0; got != want {
		t.Errorf("crashes after a success without names: got %d, want %d", got, want)
	}
	tracker.HandleReport(&peerpb.Ended{Contents: [][]byte{deadly[:]}, Ran: true, Answered: []string{"b@2"}})
	answer := tracker.HandleReport(report("b@2"))
	if got, want := tracker.Ends(deadly), 0; got != want {
		t.Errorf("crashes after a late report: got %d, want %d", got, want)
	}
	if got, want := answer.GetAnswered(), []string{"b@2"}; !slices.Equal(got, want) {
		t.Errorf("answer to the late report: got %v, want %v", got, want)
	}
	if tracker.HandleReport(report("c@3")) != nil || tracker.Ends(deadly) != 1 {
		t.Errorf("crashes after a new one: got %d, want 1 and no answer", tracker.Ends(deadly))
	}
}

// TestStaleRowIsCorrected guards against a row that keeps a request suspected after a node that had missed the success has
// written it: a node that knows of the success takes the cleared crash out and leaves the other one.
func TestStaleRowIsCorrected(t *testing.T) {
	c := newCluster(t, 1)
	tracker := c.all[0]
	tracker.HandleReport(&peerpb.Ended{Contents: [][]byte{deadly[:]}, Ran: true, Answered: []string{"a@1"}})
	value, err := poison.Encode(poison.WithCrashes(table.PoisonRequest{}, "docket-desk", []string{"a@1", "b@2"}, time.Now()))
	if err != nil {
		t.Fatal(err)
	}
	txn := platform.Txn{Writes: []platform.Write{{Key: poison.KeyOf(deadly), Value: value}}}
	if _, err := store.NewLocal(c.store).Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
	c.show(t, tracker)
	if got, want := tracker.Ends(deadly), 1; got != want {
		t.Errorf("crashes: got %d, want %d", got, want)
	}
	c.waitForCrashesInStore(t, 1)
}
