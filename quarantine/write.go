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
	// mostMerges bounds how often a write is made anew over what others have written meanwhile: with two nodes that see an end of
	// the same content at once, one of them writes twice.
	mostMerges = 8
	// mostTurns is how many nodes in turn take on a row that nobody has written.
	mostTurns = 4
	// mostRows bounds the rows of one transaction.
	mostRows = platform.MostEntries / 2
)

// run keeps the rows as they should be until the node stops.
func (k *Tracker) run(ctx context.Context) {
	defer close(k.done)
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	failing := retry.Backoff{Initial: k.cfg.RetryInterval, Max: k.cfg.MaxRetryInterval}
	var again <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-again:
		case <-tick.C:
			k.tidy(time.Now())
		}
		again = nil
		if err := k.write(ctx); err != nil {
			events.CrashesNotWritten.Log(k.log).Err(err).Send()
			again = time.After(failing.Next())
			continue
		}
		failing.Reset()
	}
}

// tidy drops what no longer counts, and takes it on to write what whoever saw it has not written: that node may be gone.
func (k *Tracker) tidy(now time.Time) {
	hosts := k.snapshot().Hosts
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known.empty() && len(k.clear) == 0 {
		return
	}
	k.known.forget(now)
	maps.DeleteFunc(k.own, func(c poison.Fingerprint, _ bool) bool { return k.known.word[c].Ends == "" })
	maps.DeleteFunc(k.clear, func(_ poison.Fingerprint, at time.Time) bool { return now.Sub(at) > ranWithin })
	for c, row := range k.known.rows {
		if poison.Forgotten(row.Value, now) && k.rank(c, hosts) == 0 {
			k.clear[c] = now
		}
	}
	for c, h := range k.known.word {
		if turn := k.rank(c, hosts); turn < mostTurns && now.Sub(h.since) > time.Duration(1+turn)*lookEvery {
			k.own[c] = true
		}
	}
	k.publish()
}

// rank is this node's place among those that tend a content's row, 0 for the first: whatever the size of the fleet few nodes write, one
// after the other, and two views of who is first cost a write.
func (k *Tracker) rank(c poison.Fingerprint, hosts []table.HostInfo) int {
	place := func(host string) uint64 { return xxhash.Sum64String(host + "\x00" + string(c[:])) }
	own, before := place(k.cfg.Host), 0
	for _, h := range hosts {
		if !h.Leaving && place(h.ID) > own {
			before++
		}
	}
	return before
}

// edit is one row as it should be.
type edit struct {
	content poison.Fingerprint
	// value is what is known of it, gone is set to take it out.
	value table.PoisonRequest
	gone  bool
	// version is the row's as it is known here, 0 for none.
	version uint64
}

// edits returns what is to be written now.
func (k *Tracker) edits() []edit {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []edit
	for c, at := range k.clear {
		// A row that has not come here yet will be looked at then.
		if row, ok := k.known.rows[c]; ok && !row.Value.At.Time().After(at) {
			out = append(out, edit{content: c, gone: true, version: row.Version})
		}
	}
	for c := range k.known.word {
		if k.own[c] {
			out = append(out, edit{content: c, value: k.known.of(c), version: k.known.rows[c].Version})
		}
	}
	return out[:min(len(out), mostRows)]
}

// write brings the rows to what is known here, as far as this node has seen it.
//
// Invariant: each write names the version of the row that it replaces, and holds every end that the row held: none is lost, and a
// write that the store does late undoes nothing.
func (k *Tracker) write(ctx context.Context) error {
	edits := k.edits()
	for range mostMerges {
		if len(edits) == 0 {
			return nil
		}
		reply, err := k.commit(ctx, edits)
		if err != nil {
			return err
		}
		if reply.Committed {
			k.written(edits)
			return nil
		}
		if edits, err = merged(edits, reply); err != nil {
			return err
		}
	}
	return fault.New(fault.Conflict, poison.KeyPrefix, "rows were written by others again and again")
}

func (k *Tracker) commit(ctx context.Context, edits []edit) (platform.TxnReply, error) {
	ctx, cancel := context.WithTimeout(platform.WithReason(ctx, platform.ReasonFatal), k.cfg.Timeout)
	defer cancel()
	var txn platform.Txn
	for _, e := range edits {
		key := poison.KeyOf(e.content)
		txn.Checks = append(txn.Checks, platform.Check{Key: key, Version: e.version})
		w := platform.Write{Key: key, Delete: e.gone}
		if !e.gone {
			value, err := poison.Encode(e.value)
			if err != nil {
				return platform.TxnReply{}, err
			}
			w.Value = value
		}
		txn.Writes = append(txn.Writes, w)
	}
	return k.table.Commit(ctx, txn)
}

// merged returns the edits over the rows that a refusal has shown. A row that has changed meanwhile is not taken out: it says more by
// now.
func merged(edits []edit, refused platform.TxnReply) ([]edit, error) {
	var out []edit
	for _, e := range edits {
		found := refused.FoundAt(poison.KeyOf(e.content))
		if found.Version == e.version {
			out = append(out, e)
			continue
		}
		if e.gone {
			continue
		}
		if found.Version != 0 {
			held, err := poison.Decode(found)
			if err != nil {
				return nil, err
			}
			e.value = poison.WithCrashes(held, e.value.Service, e.value.Ends.List(), e.value.At.Time())
			if e.value == held {
				continue
			}
		}
		e.version = found.Version
		out = append(out, e)
	}
	return out, nil
}

// written notes that rows are as they should be.
func (k *Tracker) written(edits []edit) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range edits {
		delete(k.clear, e.content)
		delete(k.own, e.content)
		events.CrashesWritten.Log(k.log).Stringer("content", e.content).Str("service", e.value.Service).
			Strs("ends", e.value.Ends.List()).Bool("taken_out", e.gone).Send()
	}
}
