package announce

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/fault"
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
