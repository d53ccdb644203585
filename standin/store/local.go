package store

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
)

// Local answers the product's calls inside the process, with the same faults as over HTTP.
type Local struct {
	store *Store
}

// NewLocal returns a local client of a store.
func NewLocal(s *Store) Local { return Local{store: s} }

// enter counts a call and has it meet the faults first.
func (l Local) enter(ctx context.Context, write bool) error {
	down, delay := l.store.enter(write, "")
	select {
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Unavailable, "platform", "no answer in time")
	case <-time.After(delay):
	}
	if down {
		return fault.New(fault.Unavailable, "platform", "down")
	}
	return nil
}

// Get reads records by key.
func (l Local) Get(ctx context.Context, keys ...string) ([]platform.Record, error) {
	if err := l.enter(ctx, false); err != nil {
		return nil, err
	}
	out := make([]platform.Record, 0, len(keys))
	for _, key := range keys {
		rec := platform.Record{Key: key}
		page := l.store.read(query{table: platform.TableOwn, from: key, to: platform.KeyAfter(key), limit: 1})
		if len(page.Rows) == 1 {
			rec = record(page.Rows[0])
		}
		out = append(out, rec)
	}
	return out, nil
}

func record(r platform.WireRow) platform.Record {
	return platform.Record{Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Removed}
}

// Scan reads records in key order.
func (l Local) Scan(ctx context.Context, prefix, after string, limit int) (platform.Records, error) {
	if err := l.enter(ctx, false); err != nil {
		return platform.Records{}, err
	}
	from := prefix
	if after != "" {
		from = max(prefix, platform.KeyAfter(after))
	}
	page := l.store.read(query{table: platform.TableOwn, from: from, limit: limit})
	out := records(page)
	i := slices.IndexFunc(out.Records, func(r platform.Record) bool { return !strings.HasPrefix(r.Key, prefix) })
	if i >= 0 {
		out.Records, out.More = out.Records[:i], false
	}
	return out, nil
}

// Commit runs a transaction; its reply may be lost.
func (l Local) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	if err := l.enter(ctx, true); err != nil {
		return platform.TxnReply{}, err
	}
	wire := platform.WireOf(txn)
	if lost, late := l.store.loseReply(); lost {
		if late == 0 {
			l.store.commit(wire)
		} else {
			time.AfterFunc(late, func() { l.store.commit(wire) })
		}
		return platform.TxnReply{}, fault.New(fault.Unavailable, "platform", "reply lost")
	}
	done, ok := l.store.commit(wire)
	return platform.TxnReplyOf(done, ok), nil
}

// All reads every record of a table.
func (l Local) All(ctx context.Context, table string) (platform.Records, error) {
	if err := l.enter(ctx, false); err != nil {
		return platform.Records{}, err
	}
	return records(l.store.read(query{table: table, limit: math.MaxInt})), nil
}

// Feed returns what changed in a table after a version, waiting for the first change.
func (l Local) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Records, error) {
	if err := l.enter(ctx, false); err != nil {
		return platform.Records{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply, gone, down := l.store.feed(ctx, table, after, "")
	switch {
	case gone:
		return platform.Records{}, fault.New(fault.Gone, "platform", "history is gone")
	case down:
		return platform.Records{}, fault.New(fault.Unavailable, "platform", "down")
	}
	return records(reply), nil
}

func records(r platform.WireReply) platform.Records {
	out := platform.Records{Version: r.Version, More: r.More, Now: time.Duration(r.Now * float64(time.Second))}
	for _, row := range r.Rows {
		out.Records = append(out.Records, record(row))
	}
	return out
}
