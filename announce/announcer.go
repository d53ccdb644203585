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

// Config is the announcer's section of the settings.
type Config struct {
	// Host is what is announced besides the endpoints.
	Host table.HostInfo
	// Retry is the time between the first attempts while the platform fails, RetryMost what it doubles up to.
	RetryInterval, MaxRetryInterval time.Duration
	// Timeout bounds one attempt.
	Timeout time.Duration
	// FirstDelay is how long the first write waits for an endpoint to announce itself.
	FirstDelay time.Duration
}

// gather is the wait that lets a burst of changes become one write.
const gather = 20 * time.Millisecond

// Announcer writes this host's line; it is a kernel component.
type Announcer struct {
	cfg   Config
	log   *zerolog.Logger
	table changes.Table
	wake  chan struct{}
	stop  context.CancelFunc
	done  chan struct{}

	mu sync.Mutex
	// want is the line as it should be.
	want table.HostInfo
	// withdrawn is set once the line is to be taken out.
	withdrawn bool
	// dirty is set while the line may not be as it should be.
	dirty bool
	// written is the version of the line as this process last wrote it, or found it to be as it should.
	written uint64
	// sure is set while the line is known to be at that version, with that value and that incarnation.
	sure        bool
	value       []byte
	incarnation uint64
	// loaded is closed once a snapshot shows what the store holds, or may hold nothing.
	loaded     chan struct{}
	loadedOnce sync.Once
}

// New returns an announcer that has written nothing.
func New(cfg Config, log *zerolog.Logger, t changes.Table) *Announcer {
	return &Announcer{cfg: cfg, log: log, table: t, want: cfg.Host, wake: make(chan struct{}, 1), done: make(chan struct{}), loaded: make(chan struct{})}
}

// Start keeps the line as it should be. With endpoints that announce themselves it is first written when one has, or
// after the first delay, so that a node's start is mostly one write.
func (a *Announcer) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	if a.cfg.FirstDelay == 0 {
		a.mark()
	} else {
		time.AfterFunc(a.cfg.FirstDelay, a.mark)
	}
	go a.run(ctx)
	return nil
}

// Stop ends the writing; it does not take the line out.
func (a *Announcer) Stop(context.Context) error {
	a.stop()
	<-a.done
	return nil
}

// Announce replaces the endpoints of the line.
func (a *Announcer) Announce(endpoints []table.Announced) {
	a.mu.Lock()
	a.want.Endpoints = endpoints
	a.mu.Unlock()
	a.mark()
}

// Withdraw takes the line out, because host and endpoint leave for good.
func (a *Announcer) Withdraw() {
	a.mu.Lock()
	a.withdrawn = true
	a.mu.Unlock()
	a.mark()
}

// Observe looks whether a snapshot in force shows the line as it was written; another node may have taken it out. Before the
// first write it takes what an earlier life of the node has left.
func (a *Announcer) Observe(snap *configsync.Snapshot) {
	a.mu.Lock()
	if a.written == 0 && snap.StoredAnnouncement.Version != 0 {
		a.found(snap.StoredAnnouncement, snap.StoredAnnouncement.Version)
	}
	shown := a.written != 0 && snap.State.Revisions()[table.SourceHosts] > a.written
	other := shown && (snap.StoredAnnouncement.Incarnation != a.incarnation || snap.StoredAnnouncement.Version > a.written)
	lost := other && !a.withdrawn
	if lost {
		a.sure = false
	}
	a.mu.Unlock()
	if lost {
		a.mark()
	}
	if snap.Ready {
		a.loadedOnce.Do(func() { close(a.loaded) })
	}
}

// found takes a line that stands in the store; the lock is held. One that differs in its incarnation alone is as good as the one
// that this process would write: a fleet that restarts at once would queue for seconds to say what the store knows, and each line
// wakes every reader.
func (a *Announcer) found(line table.HostInfo, version uint64) {
	line.Version = 0
	value, err := json.Marshal(line)
	if err != nil {
		return
	}
	a.written, a.value, a.incarnation, a.sure = version, value, line.Incarnation, true
}

// mark has the line written.
func (a *Announcer) mark() {
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
		if !sleep(ctx, gather) {
			return
		}
		failing := retry.Backoff{Initial: a.cfg.RetryInterval, Max: a.cfg.MaxRetryInterval}
		for a.write(ctx) != nil {
			if !sleep(ctx, failing.Next()) {
				return
			}
		}
	}
}

// awaitLoaded waits until it is known what the store holds of this host, as long as the first write may wait; false when the node
// stops.
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

// sleep waits; false when the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// next takes what is to be written; false when all is written.
func (a *Announcer) next() (write platform.Write, ok bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.dirty {
		return platform.Write{}, false, nil
	}
	a.dirty = false
	write = platform.Write{Key: configsync.HostPrefix + a.want.ID, Delete: a.withdrawn}
	if a.withdrawn {
		return write, true, nil
	}
	line := a.want
	if a.written != 0 {
		line.Incarnation = a.incarnation
	}
	write.Value, err = json.Marshal(line)
	if err != nil {
		err = fault.Wrap(err, fault.Internal, write.Key, "announcement cannot be encoded")
	}
	return write, true, err
}

// write makes one attempt to bring the line to what it should be.
//
// Invariant: each write names the version of the line that it replaces, so that one which the store does late, after
// its answer was lost, cannot undo a newer one.
func (a *Announcer) write(ctx context.Context) error {
	w, ok, err := a.next()
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

// stands tells whether the line is known to be as a write would make it.
func (a *Announcer) stands(w platform.Write) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sure && !w.Delete && bytes.Equal(a.value, w.Value)
}

// commit does one write, provided that the line is still at the version that it replaces.
func (a *Announcer) commit(ctx context.Context, w platform.Write) error {
	if a.stands(w) {
		return nil
	}
	ctx, cancel := context.WithTimeout(platform.WithReason(ctx, platform.ReasonLine), a.cfg.Timeout)
	defer cancel()
	a.mu.Lock()
	version := a.written
	a.mu.Unlock()
	reply, err := a.replace(ctx, w, version)
	if err == nil && !reply.Committed {
		reply, err = a.replaceFound(ctx, w, reply)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sure = err == nil
	if err != nil {
		return err
	}
	a.written, a.value = reply.Version, w.Value
	if a.incarnation == 0 {
		a.incarnation = a.cfg.Host.Incarnation
	}
	events.Announced.Log(a.log).Uint64("version", reply.Version).Bool("withdrawn", w.Delete).Send()
	return nil
}

// replaceFound writes once more over the line that a refusal has shown, unless that is what is to be written: a write of this
// process whose answer was lost.
func (a *Announcer) replaceFound(ctx context.Context, w platform.Write, refused platform.TxnReply) (platform.TxnReply, error) {
	found := refused.FoundAt(w.Key)
	if found.Version == 0 && w.Delete {
		return refused, nil
	}
	if !w.Delete && bytes.Equal(found.Value, w.Value) {
		return platform.TxnReply{Committed: true, Version: found.Version}, nil
	}
	reply, err := a.replace(ctx, w, found.Version)
	if err == nil && !reply.Committed {
		err = fault.New(fault.Conflict, w.Key, "line was written meanwhile")
	}
	return reply, err
}

// replace makes one write, provided that the line is at a version, 0 for not there.
func (a *Announcer) replace(ctx context.Context, w platform.Write, version uint64) (platform.TxnReply, error) {
	return a.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: w.Key, Version: version}}, Writes: []platform.Write{w},
	})
}
