package changes

import (
	"context"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// scanPageSize is the number of records read at a time.
const scanPageSize = platform.MostRows

// Reader reads accepted changes in the order of their revisions.
type Reader struct {
	table  Table
	onSkip func(key string, err error)
}

// Option changes a reader under construction.
type Option func(*Reader)

// WithSkipHandler sets a function that is called for each record that cannot be decoded and is skipped.
func WithSkipHandler(f func(key string, err error)) Option { return func(r *Reader) { r.onSkip = f } }

// NewReader returns a reader on the platform's table.
func NewReader(t Table, opts ...Option) *Reader {
	r := &Reader{table: t, onSkip: func(string, error) {}}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Advance returns the state with all later changes in the table applied. If there are none, this takes at most one read.
// A record that cannot be decoded is skipped, and all others are applied. A row with cells that cannot be decoded is
// passed on; the state sets it aside.
func (r *Reader) Advance(ctx context.Context, s *table.State) (*table.State, error) {
	if s.Revision() == 0 {
		return r.load(ctx)
	}
	s, complete, err := r.applyLog(ctx, s)
	if err == nil && !complete {
		return r.load(ctx)
	}
	return s, err
}

// applyLog applies the log entries after the state's revision. It returns complete as false if an entry cannot be
// decoded or is missing.
func (r *Reader) applyLog(ctx context.Context, s *table.State) (next *table.State, complete bool, err error) {
	for {
		page, err := r.table.Scan(ctx, logPrefix, logKey(s.Revision()), scanPageSize)
		if err != nil {
			return s, false, err
		}
		for _, rec := range page.Records {
			next, err := r.applyEntry(s, rec)
			if err != nil {
				r.onSkip(rec.Key, err)
				return s, false, nil
			}
			s = next
		}
		if !page.More {
			return s, true, nil
		}
	}
}

// applyEntry applies one log record. It fails with Protocol if the record cannot be decoded, or if entries before it
// are missing.
func (r *Reader) applyEntry(s *table.State, rec platform.Record) (*table.State, error) {
	var entry Entry
	if err := decode(rec, &entry); err != nil {
		return s, err
	}
	if rec.Key != logKey(entry.Revision) {
		return s, fault.New(fault.Protocol, rec.Key, "the log entry has another revision than its key")
	}
	d := table.Delta{From: entry.Revision - 1, To: entry.Revision}
	for _, raw := range entry.Rows {
		row, err := fromRecord(raw, rec.Version)
		if err != nil {
			r.onSkip(rec.Key, err)
			continue
		}
		d.Rows = append(d.Rows, row)
	}
	return s.With(d)
}

// load reads the whole table, which may change during the reads. It reads the current revision, then the rows, then the
// log from that revision on, so that the result is the table at one revision.
func (r *Reader) load(ctx context.Context) (*table.State, error) {
	recs, err := r.table.Get(ctx, revisionKey)
	if err != nil || recs[0].Version == 0 {
		return table.NewState(), err
	}
	var current revisionRecord
	if err := decode(recs[0], &current); err != nil {
		return table.NewState(), err
	}
	d := table.Delta{Full: true, To: current.Revision}
	if d.Rows, err = r.Rows(ctx, rowPrefix); err != nil {
		return table.NewState(), err
	}
	s, err := table.NewState().With(d)
	if err != nil {
		return s, err
	}
	// A log entry that cannot be decoded ends the load at the revision before it. Once the table has later revisions,
	// the next load starts past that entry, and the rows show its effect.
	s, _, err = r.applyLog(ctx, s)
	return s, err
}

// Sheet returns every row of a kind with its version, in key order.
func (r *Reader) Sheet(ctx context.Context, kind table.Kind) ([]table.Row, error) {
	return r.Rows(ctx, rowPrefix+kind.String()+"/")
}

// Row returns one row with its version. For a row that does not exist it returns a deleted row with version 0.
func (r *Reader) Row(ctx context.Context, kind table.Kind, key string) (table.Row, error) {
	recs, err := r.table.Get(ctx, rowKey(kind, key))
	if err != nil {
		return table.Row{}, err
	}
	if recs[0].Version == 0 {
		return table.Row{Kind: kind, Key: key, Deleted: true}, nil
	}
	return decodeRow(recs[0])
}

// Rows returns the rows whose records' keys start with a prefix.
func (r *Reader) Rows(ctx context.Context, prefix string) ([]table.Row, error) {
	var rows []table.Row
	after := ""
	for {
		page, err := r.table.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		for _, rec := range page.Records {
			after = rec.Key
			row, err := decodeRow(rec)
			if err != nil {
				r.onSkip(rec.Key, err)
				continue
			}
			rows = append(rows, row)
		}
		if !page.More {
			return rows, nil
		}
	}
}
