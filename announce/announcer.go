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

	// onRecord is called with what the store holds of this host, WithRecordHook says when.
	onRecord func(record table.HostInfo, complete bool)

	mu sync.Mutex
	// desired is the announcement that the store should hold; generation counts its changes.
	desired    table.HostInfo
	generation uint64
	// storedGeneration is the last generation that the store has held, stored is closed and replaced when it or confirmed
	// changes. recordKnown is set once the store has shown this process what it held of the host.
	storedGeneration uint64
	stored           chan struct{}
	recordKnown      bool
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

// Option configures an Announcer in New.
type Option func(*Announcer)

// WithRecordHook has f called with announcements of this host that this process has not written: with the one that the
// store holds as complete, once it is known (zero if there is none), and with any other as incomplete, as another node
// has passed it on. f may call Announce. No such announcement is overwritten before f has returned.
func WithRecordHook(f func(record table.HostInfo, complete bool)) Option {
	return func(a *Announcer) { a.onRecord = f }
}

// New returns an announcer that has not written anything yet.
func New(cfg Config, log *zerolog.Logger, t changes.Table, opts ...Option) *Announcer {
	a := &Announcer{
		cfg: cfg, log: log, table: t, onRecord: func(table.HostInfo, bool) {}, desired: cfg.Host, stored: make(chan struct{}),
		wake: make(chan struct{}, 1), done: make(chan struct{}), loaded: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
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

// Announce replaces the endpoints in the announcement, and their earlier incarnations.
func (a *Announcer) Announce(endpoints []table.Announced, past table.PastIncarnations) {
	a.mu.Lock()
	a.desired.Endpoints, a.desired.PastIncarnations = endpoints, past
	a.generation++
	a.mu.Unlock()
	a.scheduleWrite()
}

// AwaitStored waits until the store holds the announcement as it is now, or a later one; Unavailable if ctx or the
// announcer ends first.
func (a *Announcer) AwaitStored(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for want := a.generation; a.withdrawn || !a.confirmed || a.storedGeneration < want; {
		stored := a.stored
		a.mu.Unlock()
		var err error
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-a.done:
			err = context.Canceled
		case <-stored:
		}
		a.mu.Lock()
		if err != nil {
			return fault.Wrap(err, fault.Unavailable, configsync.HostPrefix+a.desired.ID, "announcement is not stored")
		}
	}
	return nil
}

// setConfirmed records whether the store is known to hold the announcement, up to a generation; the caller holds the lock.
func (a *Announcer) setConfirmed(confirmed bool, generation uint64) {
	a.confirmed = confirmed
	if confirmed {
		a.storedGeneration = max(a.storedGeneration, generation)
	}
	close(a.stored)
	a.stored = make(chan struct{})
}

// Withdraw deletes the announcement, because host and endpoints are removed for good.
func (a *Announcer) Withdraw() {
	a.mu.Lock()
	a.withdrawn = true
	a.mu.Unlock()
	a.scheduleWrite()
}

// Observe compares an active snapshot with the announcement last written, and schedules a write if they differ: another
// node may have removed the announcement, or the store may have applied a late write of a previous process. If the first
// read of the store shows an announcement that a previous process of this node has left, Observe adopts it.
func (a *Announcer) Observe(snap *configsync.Snapshot) {
	o := a.compare(snap)
	if o.first {
		logRecord(a.log, snap.StoredAnnouncement)
	}
	if o.first || o.foreign {
		a.onRecord(snap.StoredAnnouncement, o.first)
	}
	if o.restore {
		a.scheduleWrite()
	}
	if snap.Ready {
		a.loadedOnce.Do(func() { close(a.loaded) })
	}
}

// observation is what a snapshot shows of this host's announcement.
type observation struct {
	// first is set if the snapshot is the first to show what the store holds.
	first bool
	// foreign is set if this process may not have written the announcement.
	foreign bool
	// restore is set if the announcement must be written again.
	restore bool
}

// compare compares a snapshot with the announcement last written, and adopts the one that the first read of the store shows.
//
// Invariant: an announcement that a peer has passed on is not adopted. It may be one that a process of this node had not
// stored, under the version of the stored one.
func (a *Announcer) compare(snap *configsync.Snapshot) (o observation) {
	found := snap.StoredAnnouncement
	a.mu.Lock()
	defer a.mu.Unlock()
	o.first = snap.HostsRead && !a.recordKnown
	o.foreign = found.Version != 0 && !a.recordKnown
	a.recordKnown = a.recordKnown || o.first
	if o.first && found.Version != 0 {
		a.adopt(found, found.Version)
	}
	newer := a.storedVersion != 0 && snap.State.Revisions()[table.SourceHosts] > a.storedVersion
	if newer && (found.Incarnation != a.incarnation || found.Version > a.storedVersion) {
		a.setConfirmed(false, 0)
		o.foreign, o.restore = true, !a.withdrawn
	}
	return o
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
	a.storedVersion, a.storedValue, a.incarnation = version, value, found.Incarnation
	a.setConfirmed(true, 0)
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

// dueWrite is a write that is due.
type dueWrite struct {
	platform.Write
	// announcement is what it stores, generation the generation of that.
	announcement table.HostInfo
	generation   uint64
	// version is the version of the announcement that it replaces, 0 for none.
	version uint64
}

// nextWrite returns the write that is due and clears the dirty mark; ok is false if none is due.
func (a *Announcer) nextWrite() (write dueWrite, ok bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.dirty {
		return dueWrite{}, false, nil
	}
	a.dirty = false
	write = dueWrite{generation: a.generation, version: a.storedVersion}
	write.Key, write.Delete = configsync.HostPrefix+a.desired.ID, a.withdrawn
	if a.withdrawn {
		return write, true, nil
	}
	write.announcement = a.desired
	if a.incarnation != 0 {
		write.announcement.Incarnation = a.incarnation
	}
	write.Value, err = json.Marshal(write.announcement)
	if err != nil {
		err = fault.Wrap(err, fault.Internal, write.Key, "announcement cannot be encoded")
	}
	return write, true, err
}

// write makes one attempt to store the desired announcement, or to delete a withdrawn one. A refused write is tried once
// more on the version that the refusal has shown.
//
// Invariant: each write names the version of the announcement that it replaces. So a write whose answer was lost and
// which the store applies late cannot overwrite a newer one.
func (a *Announcer) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(platform.WithReason(ctx, platform.ReasonLine), a.cfg.Timeout)
	defer cancel()
	refused, err := a.commitNext(ctx)
	if err == nil && refused {
		refused, err = a.commitNext(ctx)
	}
	if err == nil && refused {
		err = fault.New(fault.Conflict, configsync.HostPrefix+a.cfg.Host.ID, "announcement was changed by another write in the meantime")
	}
	if err != nil {
		a.mu.Lock()
		a.dirty = true
		a.setConfirmed(false, 0)
		a.mu.Unlock()
		events.AnnounceFailed.Log(a.log).Err(err).Send()
	}
	return err
}

// upToDate reports whether the store is known to hold already what the write would store.
func (a *Announcer) upToDate(w dueWrite) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.confirmed || w.Delete || !bytes.Equal(a.storedValue, w.Value) {
		return false
	}
	a.setConfirmed(true, w.generation)
	return true
}

// commitNext sends the write that is due, which the store accepts only if the announcement is still at the version that
// the write replaces. If it is refused, another write is due that replaces the announcement which the refusal has shown.
func (a *Announcer) commitNext(ctx context.Context) (refused bool, err error) {
	w, ok, err := a.nextWrite()
	if err != nil || !ok || a.upToDate(w) {
		return false, err
	}
	reply, err := a.replace(ctx, w.Write, w.version)
	if err != nil {
		return false, err
	}
	found := reply.FoundAt(w.Key)
	switch {
	case reply.Committed:
		a.recordWritten(w, reply.Version)
	case found.Version == 0 && w.Delete:
		a.recordWritten(w, reply.Version)
	case !w.Delete && bytes.Equal(found.Value, w.Value):
		// An earlier write of this process was applied and its answer lost.
		a.recordWritten(w, found.Version)
	default:
		a.recordFound(found)
		return true, nil
	}
	return false, nil
}

// recordWritten records that the store holds what a write has stored.
func (a *Announcer) recordWritten(w dueWrite, version uint64) {
	a.mu.Lock()
	a.storedVersion, a.storedValue = version, w.Value
	if a.incarnation == 0 {
		a.incarnation = a.cfg.Host.Incarnation
	}
	a.setConfirmed(true, w.generation)
	first := !a.recordKnown
	a.recordKnown = true
	a.mu.Unlock()
	events.Announced.Log(a.log).Uint64("version", version).Bool("withdrawn", w.Delete).
		Int("endpoints", len(w.announcement.Endpoints)).Int("draining", drainingCount(w.announcement.Endpoints)).Send()
	if first {
		// The store held nothing that this process did not know.
		a.onRecord(table.HostInfo{}, true)
	}
}

// recordFound records the announcement that a refused write has shown, one that this process did not know. One that
// cannot be decoded counts as none.
func (a *Announcer) recordFound(found platform.Record) {
	var h table.HostInfo
	if err := json.Unmarshal(found.Value, &h); found.Version != 0 && err != nil {
		events.AnnounceFailed.Log(a.log).Err(fault.Wrap(err, fault.BadRow, found.Key, "cannot decode announcement")).Send()
	}
	h.Version = found.Version
	a.mu.Lock()
	if found.Version == 0 {
		a.storedVersion = 0
	} else {
		a.adopt(h, found.Version)
	}
	a.dirty = true
	first := !a.recordKnown
	a.recordKnown = true
	a.mu.Unlock()
	if first {
		logRecord(a.log, h)
	}
	a.onRecord(h, true)
}

// replace sends one write, which the store accepts only if the announcement is at the given version; 0 means that there
// is none.
func (a *Announcer) replace(ctx context.Context, w platform.Write, version uint64) (platform.TxnReply, error) {
	return a.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: w.Key, Version: version}}, Writes: []platform.Write{w},
	})
}
