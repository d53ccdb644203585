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
}

// NewReader returns a reader on the platform's table.
func NewReader(t Table) *Reader { return &Reader{table: t} }

// Advance returns the state with every change that the table holds after it; at most one read when there is none.
// A row that cannot be read fails the whole step with BadRow and leaves the state as it was.
func (r *Reader) Advance(ctx context.Context, s *table.State) (*table.State, error) {
	if s.Revision() == 0 {
		return r.load(ctx)
	}
	return r.follow(ctx, s)
}

// follow applies the log's entries behind the state's revision.
func (r *Reader) follow(ctx context.Context, s *table.State) (*table.State, error) {
	for {
		page, err := r.table.Scan(ctx, logPrefix, logKey(s.Revision()), scanPage)
		if err != nil {
			return s, err
		}
		for _, rec := range page.Records {
			next, err := applyEntry(s, rec)
			if fault.CodeOf(err) == fault.Protocol {
				return r.load(ctx)
			}
			if err != nil {
				return s, err
			}
			s = next
		}
		if !page.More {
			return s, nil
		}
	}
}

// applyEntry applies one log record; Protocol when entries are missing before it.
func applyEntry(s *table.State, rec platform.Record) (*table.State, error) {
	var entry Entry
	if err := decode(rec, &entry); err != nil {
		return s, err
	}
	d := table.Delta{From: entry.Revision - 1, To: entry.Revision}
	for _, raw := range entry.Rows {
		row, err := fromRecord(raw, rec.Version)
		if err != nil {
			return s, err
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
	return r.follow(ctx, s)
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
			row, err := decodeRow(rec)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
			after = rec.Key
		}
		if !page.More {
			return rows, nil
		}
	}
}
