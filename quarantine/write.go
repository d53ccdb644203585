package quarantine

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
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
	// resendInterval is the time between two reports of what a fingerprint's row does not say.
	resendInterval = 5 * time.Second
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
			t.maintain(t.now())
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

// maintain drops what has expired, takes over the writing of crashes that the node that observed them has not written,
// because that node may be down, and tells peers what the rows do not say.
func (t *Tracker) maintain(now time.Time) {
	hosts := t.snapshot().Hosts
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.clearedHere, func(_ poison.Fingerprint, at time.Time) bool { return now.Sub(at) > poison.SuspicionDuration })
	maps.DeleteFunc(t.unsettledSince, func(f poison.Fingerprint, _ time.Time) bool { return t.view.isSettled(f) })
	if t.view.isEmpty() {
		return
	}
	t.view.dropExpired(now)
	for f, row := range t.view.rows {
		if poison.Expired(row.Value, now) && t.rank(f, hosts) == 0 {
			t.expired[f] = true
		}
	}
	for f, r := range t.view.reports {
		if rank := t.rank(f, hosts); rank < maxWriters && now.Sub(r.firstReportedAt) > time.Duration(1+rank)*maintenanceInterval {
			t.toWrite[f] = true
		}
	}
	t.correctRows()
	t.resendUnsettled(now)
	t.publish()
}

// resendUnsettled reports again what rows have not said for resendInterval: reports may have been lost, and a node that
// cleared a crash answers the report of it.
func (t *Tracker) resendUnsettled(now time.Time) {
	resend := func(f poison.Fingerprint) {
		if t.view.isSettled(f) {
			return
		}
		if since, ok := t.unsettledSince[f]; ok && now.Sub(since) < resendInterval {
			return
		} else if ok {
			t.sendUnsettled(f)
		}
		t.unsettledSince[f] = now
	}
	for f := range t.view.rows {
		resend(f)
	}
	for f := range t.view.reports {
		resend(f)
	}
}

// sendUnsettled reports the crashes of a fingerprint that its row does not list, and those that it lists although they were
// cleared.
func (t *Tracker) sendUnsettled(f poison.Fingerprint) {
	if cleared := t.view.clearedIn(f, t.view.rows[f].Value.Ends.List()); len(cleared) > 0 {
		t.links.SendPoisonReport(successReport(f, cleared), gossipFanout)
	}
	r := t.view.reports[f]
	for _, id := range r.Ends.List() {
		t.links.SendPoisonReport(&peerpb.Ended{
			End: id, Service: r.Service, AtMillis: int64(r.At), Contents: [][]byte{f[:]},
		}, gossipFanout)
	}
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

// edit is a change of one row.
type edit struct {
	fingerprint poison.Fingerprint
	// add has the crashes to be listed, cleared those that must not be.
	add     table.PoisonRequest
	cleared []string
	// expired is set for a row that is to be removed unless it has changed.
	expired bool
	// value is the new content of the row; remove is set to remove the row instead.
	value  table.PoisonRequest
	remove bool
	// version is the version of the row that this edit replaces, 0 if there is no row.
	version uint64
}

// on returns the edit of a row that has this content and version, and whether it changes anything.
func (e edit) on(current table.PoisonRequest, version uint64) (edit, bool) {
	e.version = version
	e.value = current
	e.value.Ends = table.NamesOf(slices.DeleteFunc(current.Ends.List(), func(id string) bool { return slices.Contains(e.cleared, id) }))
	if e.add.Ends != "" {
		e.value = poison.WithCrashes(e.value, e.add.Service, e.add.Ends.List(), e.add.At.Time())
	}
	e.remove = e.expired || e.value.Ends == ""
	return e, e.remove && version != 0 || !e.remove && e.value.Ends != current.Ends
}

// edits returns the rows to be written or removed now. What changes nothing is dropped.
func (t *Tracker) edits() []edit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []edit
	for f := range t.expired {
		if e, changes := (edit{fingerprint: f, expired: true}).on(t.view.rows[f].Value, t.view.rows[f].Version); changes {
			out = append(out, e)
		} else {
			delete(t.expired, f)
		}
	}
	for f := range t.toWrite {
		row := t.view.rows[f]
		e := edit{fingerprint: f, add: t.view.reports[f].PoisonRequest, cleared: t.view.clearedIn(f, row.Value.Ends.List())}
		if e, changes := e.on(row.Value, row.Version); changes {
			out = append(out, e)
		} else {
			delete(t.toWrite, f)
		}
	}
	return out[:min(len(out), maxRows)]
}

// write writes and removes the rows that this node is responsible for.
//
// Invariant: each write checks the version of the row that it replaces, and lists every crash that the row listed and that
// was not cleared. So no crash is lost, and a write that the store carries out late undoes nothing.
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

// rebase returns the edits on top of the rows in the reply to a conflicting transaction. An expired row that has changed
// is not removed, because it lists another crash by now.
func rebase(edits []edit, conflict platform.TxnReply) ([]edit, error) {
	var out []edit
	for _, e := range edits {
		found := conflict.FoundAt(poison.KeyOf(e.fingerprint))
		if found.Version == e.version {
			out = append(out, e)
			continue
		}
		if e.expired {
			continue
		}
		var current table.PoisonRequest
		if found.Version != 0 {
			var err error
			if current, err = poison.Decode(found); err != nil {
				return nil, err
			}
		}
		if e, changes := e.on(current, found.Version); changes {
			out = append(out, e)
		}
	}
	return out, nil
}

// markWritten records that edits have been committed.
func (t *Tracker) markWritten(edits []edit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range edits {
		delete(t.expired, e.fingerprint)
		delete(t.toWrite, e.fingerprint)
		events.CrashesWritten.Log(t.log).Stringer("content", e.fingerprint).Str("service", e.value.Service).
			Strs("ends", e.value.Ends.List()).Bool("taken_out", e.remove).Send()
	}
}
