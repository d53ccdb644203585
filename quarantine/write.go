package quarantine

import (
	"context"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// maxMerges bounds how often a write is retried after a conflict with the write of another node. If two nodes write
	// a crash of the same fingerprint at once, one of them writes twice.
	maxMerges = 8
	// maxWriters is how many nodes, one after the other, may take over a row that the node that observed the crash has
	// not written.
	maxWriters = 4
	// maxRows bounds the rows in one transaction, each of which takes a check and a write.
	maxRows = platform.MostEntries / 2
)

// run writes and removes rows until the node stops.
func (t *Tracker) run(ctx context.Context) {
	defer close(t.done)
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	backoff := retry.Backoff{Initial: t.cfg.RetryInterval, Max: t.cfg.MaxRetryInterval}
	var retryDue <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-retryDue:
		case <-tick.C:
			t.maintain(time.Now())
		}
		retryDue = nil
		if err := t.write(ctx); err != nil {
			events.CrashesNotWritten.Log(t.log).Err(err).Send()
			retryDue = time.After(backoff.Next())
			continue
		}
		backoff.Reset()
	}
}

// maintain drops what has expired, and takes over the writing of crashes that the node that observed them has not
// written: that node may be down.
func (t *Tracker) maintain(now time.Time) {
	hosts := t.snapshot().Hosts
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view.isEmpty() && len(t.toRemove) == 0 {
		return
	}
	t.view.dropExpired(now)
	maps.DeleteFunc(t.toWrite, func(f poison.Fingerprint, _ bool) bool { return t.view.reports[f].Ends == "" })
	maps.DeleteFunc(t.toRemove, func(_ poison.Fingerprint, at time.Time) bool { return now.Sub(at) > recentSuccessWindow })
	for f, row := range t.view.rows {
		if poison.Expired(row.Value, now) && t.rank(f, hosts) == 0 {
			t.toRemove[f] = now
		}
	}
	for f, r := range t.view.reports {
		if rank := t.rank(f, hosts); rank < maxWriters && now.Sub(r.firstReportedAt) > time.Duration(1+rank)*maintenanceInterval {
			t.toWrite[f] = true
		}
	}
	t.publish()
}

// rank returns this node's rank among the nodes that may take over a fingerprint's row, 0 for the first (rendezvous
// hashing). The ranks keep the number of nodes that write the row small, whatever the size of the fleet. If two nodes
// both take themselves for the first, that costs one more write.
func (t *Tracker) rank(f poison.Fingerprint, hosts []table.HostInfo) int {
	score := func(host string) uint64 { return xxhash.Sum64String(host + "\x00" + string(f[:])) }
	own, before := score(t.cfg.Host), 0
	for _, h := range hosts {
		if !h.Leaving && score(h.ID) > own {
			before++
		}
	}
	return before
}

// edit is one row to be written or removed.
type edit struct {
	fingerprint poison.Fingerprint
	// value is the new content of the row; remove is set to remove the row instead.
	value  table.PoisonRequest
	remove bool
	// version is the version of the row that this edit replaces, 0 if there is no row.
	version uint64
}

// edits returns the rows to be written or removed now.
func (t *Tracker) edits() []edit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []edit
	for f, at := range t.toRemove {
		// A row that has not reached this node yet is handled once it does.
		if row, ok := t.view.rows[f]; ok && !row.Value.At.Time().After(at) {
			out = append(out, edit{fingerprint: f, remove: true, version: row.Version})
		}
	}
	for f := range t.view.reports {
		if t.toWrite[f] {
			out = append(out, edit{fingerprint: f, value: t.view.get(f), version: t.view.rows[f].Version})
		}
	}
	return out[:min(len(out), maxRows)]
}

// write writes and removes the rows that this node is responsible for.
//
// Invariant: each write checks the version of the row that it replaces, and lists every crash that the row listed. So
// no crash is lost, and a write that the store carries out late undoes nothing.
func (t *Tracker) write(ctx context.Context) error {
	edits := t.edits()
	for range maxMerges {
		if len(edits) == 0 {
			return nil
		}
		reply, err := t.commit(ctx, edits)
		if err != nil {
			return err
		}
		if reply.Committed {
			t.markWritten(edits)
			return nil
		}
		if edits, err = rebase(edits, reply); err != nil {
			return err
		}
	}
	return fault.New(fault.Conflict, poison.KeyPrefix, "rows of poison requests changed during every attempt to write them")
}

func (t *Tracker) commit(ctx context.Context, edits []edit) (platform.TxnReply, error) {
	ctx, cancel := context.WithTimeout(platform.WithReason(ctx, platform.ReasonFatal), t.cfg.Timeout)
	defer cancel()
	var txn platform.Txn
	for _, e := range edits {
		key := poison.KeyOf(e.fingerprint)
		txn.Checks = append(txn.Checks, platform.Check{Key: key, Version: e.version})
		w := platform.Write{Key: key, Delete: e.remove}
		if !e.remove {
			value, err := poison.Encode(e.value)
			if err != nil {
				return platform.TxnReply{}, err
			}
			w.Value = value
		}
		txn.Writes = append(txn.Writes, w)
	}
	return t.table.Commit(ctx, txn)
}

// rebase returns the edits on top of the rows in the reply to a conflicting transaction. A row that has changed is not
// removed, because it lists another crash by now.
func rebase(edits []edit, conflict platform.TxnReply) ([]edit, error) {
	var out []edit
	for _, e := range edits {
		found := conflict.FoundAt(poison.KeyOf(e.fingerprint))
		if found.Version == e.version {
			out = append(out, e)
			continue
		}
		if e.remove {
			continue
		}
		if found.Version != 0 {
			current, err := poison.Decode(found)
			if err != nil {
				return nil, err
			}
			e.value = poison.WithCrashes(current, e.value.Service, e.value.Ends.List(), e.value.At.Time())
			if e.value == current {
				continue
			}
		}
		e.version = found.Version
		out = append(out, e)
	}
	return out, nil
}

// markWritten records that edits have been committed.
func (t *Tracker) markWritten(edits []edit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range edits {
		delete(t.toRemove, e.fingerprint)
		delete(t.toWrite, e.fingerprint)
		events.CrashesWritten.Log(t.log).Stringer("content", e.fingerprint).Str("service", e.value.Service).
			Strs("ends", e.value.Ends.List()).Bool("taken_out", e.remove).Send()
	}
}
