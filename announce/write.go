package announce

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

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

// replace sends one write, which the store accepts only if the announcement is at the given version; 0 means that there
// is none.
func (a *Announcer) replace(ctx context.Context, w platform.Write, version uint64) (platform.TxnReply, error) {
	return a.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: w.Key, Version: version}}, Writes: []platform.Write{w},
	})
}
