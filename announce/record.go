package announce

import (
	"encoding/json"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

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
