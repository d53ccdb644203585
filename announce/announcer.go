package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/table"
)

// Config holds the announcer's settings.
type Config struct {
	// Host is the announcement without its endpoints.
	Host table.HostInfo
	// RetryInterval is the time before the first retry of a failed write; it doubles up to MaxRetryInterval while the
	// platform keeps failing.
	RetryInterval, MaxRetryInterval time.Duration
	// Timeout bounds one attempt to write.
	Timeout time.Duration
	// FirstDelay bounds how long the first write waits for an endpoint to announce itself.
	FirstDelay time.Duration
}

// batchDelay is the time between the first of several changes and the write that covers them all.
const batchDelay = 20 * time.Millisecond

// Announcer writes this host's announcement to the store. It is a kernel component.
type Announcer struct {
	cfg   Config
	log   *zerolog.Logger
	table changes.Table
	wake  chan struct{}
	stop  context.CancelFunc
	done  chan struct{}

	mu sync.Mutex
	// desired is the announcement that the store should hold.
	desired table.HostInfo
	// withdrawn is set once the announcement is to be deleted.
	withdrawn bool
	// dirty is set while the stored announcement may differ from the desired one.
	dirty bool
	// storedVersion is the version of the announcement that this process last wrote or adopted, 0 before either.
	storedVersion uint64
	// confirmed is set while the store is known to hold the announcement at storedVersion, with storedValue and
	// incarnation.
	confirmed   bool
	storedValue []byte
	incarnation uint64
	// loaded is closed at the first ready snapshot: it shows this host's announcement if the store has one.
	loaded     chan struct{}
	loadedOnce sync.Once
}

// New returns an announcer that has not written anything yet.
func New(cfg Config, log *zerolog.Logger, t changes.Table) *Announcer {
	return &Announcer{cfg: cfg, log: log, table: t, desired: cfg.Host, wake: make(chan struct{}, 1), done: make(chan struct{}), loaded: make(chan struct{})}
}

// Start begins to maintain the announcement. Where endpoints announce themselves, the first write waits until one of
// them has, or for FirstDelay, so that the start of a node usually costs one write.
func (a *Announcer) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	if a.cfg.FirstDelay == 0 {
		a.scheduleWrite()
	} else {
		time.AfterFunc(a.cfg.FirstDelay, a.scheduleWrite)
	}
	go a.run(ctx)
	return nil
}

// Stop ends the writing; it does not delete the announcement.
func (a *Announcer) Stop(context.Context) error {
	a.stop()
	<-a.done
	return nil
}

// Announce replaces the endpoints in the announcement.
func (a *Announcer) Announce(endpoints []table.Announced) {
	a.mu.Lock()
	a.desired.Endpoints = endpoints
	a.mu.Unlock()
	a.scheduleWrite()
}

// Withdraw deletes the announcement, because host and endpoints are removed for good.
func (a *Announcer) Withdraw() {
	a.mu.Lock()
	a.withdrawn = true
	a.mu.Unlock()
	a.scheduleWrite()
}

// Observe compares an active snapshot with the announcement last written, and schedules a write if they differ: another
// node may have removed the announcement. Before the first write, Observe adopts the announcement that a previous
// process of this node has left.
func (a *Announcer) Observe(snap *configsync.Snapshot) {
	a.mu.Lock()
	if a.storedVersion == 0 && snap.StoredAnnouncement.Version != 0 {
		a.adopt(snap.StoredAnnouncement, snap.StoredAnnouncement.Version)
	}
	newer := a.storedVersion != 0 && snap.State.Revisions()[table.SourceHosts] > a.storedVersion
	changed := newer && (snap.StoredAnnouncement.Incarnation != a.incarnation || snap.StoredAnnouncement.Version > a.storedVersion)
	restore := changed && !a.withdrawn
	if restore {
		a.confirmed = false
	}
	a.mu.Unlock()
	if restore {
		a.scheduleWrite()
	}
	if snap.Ready {
		a.loadedOnce.Do(func() {
			logRecord(a.log, snap.StoredAnnouncement)
			close(a.loaded)
		})
	}
}

// logRecord logs what the store holds of this host when the process first reads it.
func logRecord(log *zerolog.Logger, h table.HostInfo) {
	events.HostRecordFound.Log(log).Uint64("version", h.Version).
		Int("endpoints", len(h.Endpoints)).Int("draining", drainingCount(h.Endpoints)).Send()
}

// drainingCount returns how many of the endpoints drain or leave.
func drainingCount(endpoints []table.Announced) (n int) {
	for _, e := range endpoints {
		if e.Value.Phase != table.Active {
			n++
		}
	}
	return n
}

// adopt records an announcement that is already in the store as if this process had written it, with the incarnation
// that it has there. The caller holds the lock. An announcement that differs only in its incarnation need not be
// written again: the nodes of a fleet that restarts all at once would queue for seconds to write what the store already
// holds, and each write wakes every reader.
func (a *Announcer) adopt(found table.HostInfo, version uint64) {
	found.Version = 0
	value, err := json.Marshal(found)
	if err != nil {
		return
	}
	a.storedVersion, a.storedValue, a.incarnation, a.confirmed = version, value, found.Incarnation, true
}

// scheduleWrite marks the announcement as changed and wakes the writing goroutine.
func (a *Announcer) scheduleWrite() {
	a.mu.Lock()
	a.dirty = true
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Announcer) run(ctx context.Context) {
	defer close(a.done)
	if !a.awaitLoaded(ctx) {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		if !sleep(ctx, batchDelay) {
			return
		}
		backoff := retry.Backoff{Initial: a.cfg.RetryInterval, Max: a.cfg.MaxRetryInterval}
		for a.write(ctx) != nil {
			if !sleep(ctx, backoff.Next()) {
				return
			}
		}
	}
}

// awaitLoaded waits, for FirstDelay at most, until a snapshot shows what the store holds for this host. It returns false
// if the node stops first.
func (a *Announcer) awaitLoaded(ctx context.Context) bool {
	wait := time.NewTimer(a.cfg.FirstDelay)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-a.loaded:
	case <-wait.C:
	}
	return true
}

// sleep waits for d and returns true, or false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// nextWrite returns the write that is due and clears the dirty mark; ok is false if none is due.
func (a *Announcer) nextWrite() (write platform.Write, ok bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.dirty {
		return platform.Write{}, false, nil
	}
	a.dirty = false
	write = platform.Write{Key: configsync.HostPrefix + a.desired.ID, Delete: a.withdrawn}
	if a.withdrawn {
		return write, true, nil
	}
	announcement := a.desired
	if a.storedVersion != 0 {
		announcement.Incarnation = a.incarnation
	}
	write.Value, err = json.Marshal(announcement)
	if err != nil {
		err = fault.Wrap(err, fault.Internal, write.Key, "announcement cannot be encoded")
	}
	return write, true, err
}

// write makes one attempt to store the desired announcement, or to delete a withdrawn one.
//
// Invariant: each write names the version of the announcement that it replaces. So a write whose answer was lost and
// which the store applies late cannot overwrite a newer one.
func (a *Announcer) write(ctx context.Context) error {
	w, ok, err := a.nextWrite()
	if !ok {
		return nil
	}
	if err == nil {
		err = a.commit(ctx, w)
	}
	if err != nil {
		a.mu.Lock()
		a.dirty = true
		a.mu.Unlock()
		events.AnnounceFailed.Log(a.log).Err(err).Send()
	}
	return err
}

// upToDate reports whether the store is known to hold already what the write would store.
func (a *Announcer) upToDate(w platform.Write) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.confirmed && !w.Delete && bytes.Equal(a.storedValue, w.Value)
}

// commit sends one write, which the store accepts only if the announcement is still at the version that the write
// replaces. A refused write is tried once more on the version that the refusal has shown.
func (a *Announcer) commit(ctx context.Context, w platform.Write) error {
	if a.upToDate(w) {
		return nil
	}
	ctx, cancel := context.WithTimeout(platform.WithReason(ctx, platform.ReasonLine), a.cfg.Timeout)
	defer cancel()
	a.mu.Lock()
	version := a.storedVersion
	a.mu.Unlock()
	reply, err := a.replace(ctx, w, version)
	if err == nil && !reply.Committed {
		reply, err = a.overwriteFound(ctx, w, reply)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirmed = err == nil
	if err != nil {
		return err
	}
	a.storedVersion, a.storedValue = reply.Version, w.Value
	var written table.HostInfo
	_ = json.Unmarshal(w.Value, &written) // for the log only; a withdrawn announcement has no value
	if a.incarnation == 0 {
		a.incarnation = a.cfg.Host.Incarnation
	}
	events.Announced.Log(a.log).Uint64("version", reply.Version).Bool("withdrawn", w.Delete).
		Int("endpoints", len(written.Endpoints)).Int("draining", drainingCount(written.Endpoints)).Send()
	return nil
}

// overwriteFound repeats a refused write on the version that the refusal has shown. It doesn't write if the store holds
// the wanted state already, because an earlier write of this process was applied and its answer lost.
func (a *Announcer) overwriteFound(ctx context.Context, w platform.Write, refused platform.TxnReply) (platform.TxnReply, error) {
	found := refused.FoundAt(w.Key)
	if found.Version == 0 && w.Delete {
		return refused, nil
	}
	if !w.Delete && bytes.Equal(found.Value, w.Value) {
		return platform.TxnReply{Committed: true, Version: found.Version}, nil
	}
	reply, err := a.replace(ctx, w, found.Version)
	if err == nil && !reply.Committed {
		err = fault.New(fault.Conflict, w.Key, "announcement was changed by another write in the meantime")
	}
	return reply, err
}

// replace sends one write, which the store accepts only if the announcement is at the given version; 0 means that there
// is none.
func (a *Announcer) replace(ctx context.Context, w platform.Write, version uint64) (platform.TxnReply, error) {
	return a.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: w.Key, Version: version}}, Writes: []platform.Write{w},
	})
}
