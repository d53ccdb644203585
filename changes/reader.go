package changes

import (
	"context"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

const scanPage = platform.MostRows

// Reader reads accepted changes in their order.
type Reader struct {
	table Table
	onBad func(key string, err error)
}

// Option changes a reader under construction.
type Option func(*Reader)

// WithBad has f told of each record that cannot be read and is left out.
func WithSkipHandler(f func(key string, err error)) Option { return func(r *Reader) { r.onBad = f } }

// NewReader returns a reader on the platform's table.
func NewReader(t Table, opts ...Option) *Reader {
	r := &Reader{table: t, onBad: func(string, error) {}}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Advance returns the state with every change that the table holds after it; at most one read when there is none.
// A record that cannot be read is left out, and all others stand; a row with cells that cannot be read is the state's to set aside.
func (r *Reader) Advance(ctx context.Context, s *table.State) (*table.State, error) {
	if s.Revision() == 0 {
		return r.load(ctx)
	}
	s, whole, err := r.follow(ctx, s)
	if err == nil && !whole {
		return r.load(ctx)
	}
	return s, err
}

// follow applies the log's entries behind the state's revision; whole is false when some of them cannot be read or are not there.
func (r *Reader) follow(ctx context.Context, s *table.State) (next *table.State, whole bool, err error) {
	for {
		page, err := r.table.Scan(ctx, logPrefix, logKey(s.Revision()), scanPage)
		if err != nil {
			return s, false, err
		}
		for _, rec := range page.Records {
			next, err := r.applyEntry(s, rec)
			if err != nil {
				r.onBad(rec.Key, err)
				return s, false, nil
			}
			s = next
		}
		if !page.More {
			return s, true, nil
		}
	}
}

// applyEntry applies one log record; Protocol when it cannot be read, or entries are missing before it.
func (r *Reader) applyEntry(s *table.State, rec platform.Record) (*table.State, error) {
	var entry Entry
	if err := decode(rec, &entry); err != nil {
		return s, err
	}
	if rec.Key != logKey(entry.Revision) {
		return s, fault.New(fault.Protocol, rec.Key, "want the entry of this revision")
	}
	d := table.Delta{From: entry.Revision - 1, To: entry.Revision}
	for _, raw := range entry.Rows {
		row, err := fromRecord(raw, rec.Version)
		if err != nil {
			r.onBad(rec.Key, err)
			continue
		}
		d.Rows = append(d.Rows, row)
	}
	return s.With(d)
}

// load reads the whole table while it may be changing: the rows as they come, then the log from the revision that
// stood before the first of them, so that the result is the table at one revision.
func (r *Reader) load(ctx context.Context) (*table.State, error) {
	recs, err := r.table.Get(ctx, revisionKey)
	if err != nil || recs[0].Version == 0 {
		return table.NewState(), err
	}
	var at revisionRecord
	if err := decode(recs[0], &at); err != nil {
		return table.NewState(), err
	}
	d := table.Delta{Full: true, To: at.Revision}
	if d.Rows, err = r.Rows(ctx, rowPrefix); err != nil {
		return table.NewState(), err
	}
	s, err := table.NewState().With(d)
	if err != nil {
		return s, err
	}
	// What comes behind and cannot be read is left until the table has gone past it: the rows show what it did.
	s, _, err = r.follow(ctx, s)
	return s, err
}

// Sheet returns every row of a kind, with versions, in key order.
func (r *Reader) Sheet(ctx context.Context, kind table.Kind) ([]table.Row, error) {
	return r.Rows(ctx, rowPrefix+kind.String()+"/")
}

// Row returns one row with its version; a row that is not there is Deleted with version 0.
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

// Rows returns the rows whose records start with a prefix.
func (r *Reader) Rows(ctx context.Context, prefix string) ([]table.Row, error) {
	var rows []table.Row
	after := ""
	for {
		page, err := r.table.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return nil, err
		}
		for _, rec := range page.Records {
			after = rec.Key
			row, err := decodeRow(rec)
			if err != nil {
				r.onBad(rec.Key, err)
				continue
			}
			rows = append(rows, row)
		}
		if !page.More {
			return rows, nil
		}
	}
}
