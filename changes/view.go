package changes

import (
	"context"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// view is everything a change depends on, read at one moment.
type view struct {
	op       platform.Record
	revision platform.Record
	rows     []platform.Record
	services map[string]platform.Record
}

func (w *Writer) read(ctx context.Context, c Change) (view, error) {
	references := outsideServices(c)
	keys := make([]string, 0, 2+len(c.Edits)+len(references))
	keys = append(keys, opPrefix+c.Op, revisionKey)
	for _, e := range c.Edits {
		keys = append(keys, rowKey(e.Row.Kind, e.Row.Key))
	}
	for _, name := range references {
		keys = append(keys, rowKey(table.KindService, name))
	}
	recs, err := w.table.Get(ctx, keys...)
	if err != nil {
		return view{}, err
	}
	v := view{op: recs[0], revision: recs[1], rows: recs[2 : 2+len(c.Edits)], services: make(map[string]platform.Record)}
	for i, name := range references {
		v.services[name] = recs[2+len(c.Edits)+i]
	}
	return v, nil
}

// outsideServices lists the services that the edits refer to and do not themselves write.
func outsideServices(c Change) []string {
	written := make(map[string]bool)
	for _, e := range c.Edits {
		if e.Row.Kind == table.KindService {
			written[e.Row.Key] = true
		}
	}
	var names []string
	for _, e := range c.Edits {
		name := serviceOf(e.Row)
		if name == "" || written[name] {
			continue
		}
		written[name] = true
		names = append(names, name)
	}
	return names
}

func serviceOf(row table.Row) string {
	if row.Deleted {
		return ""
	}
	sheet, err := table.SheetOf(row.Kind)
	if err != nil {
		return ""
	}
	i, err := sheet.Column("service")
	if err != nil {
		return ""
	}
	return row.Cells[i]
}

func (v view) check(c Change) error {
	for i, e := range c.Edits {
		if v.rows[i].Version == e.ExpectedVersion {
			continue
		}
		theirs := table.Row{Kind: e.Row.Kind, Key: e.Row.Key, Deleted: true}
		if v.rows[i].Version != 0 {
			var err error
			if theirs, err = decodeRow(v.rows[i]); err != nil {
				return err
			}
		}
		return &ConflictError{Mine: e.Row, Theirs: theirs}
	}
	for name, rec := range v.services {
		if rec.Version == 0 {
			return fault.New(fault.BadRow, name, "no such service")
		}
	}
	return nil
}

// txn builds the one transaction that accepts the change at the next revision.
//
// Invariant: every accepted change checks and rewrites the revision record, so revisions are taken one at a time.
func (v view) txn(c Change) (platform.Txn, uint64, error) {
	var current revisionRecord
	if v.revision.Version != 0 {
		if err := decode(v.revision, &current); err != nil {
			return platform.Txn{}, 0, err
		}
	}
	next := current.Revision + 1
	txn := platform.Txn{Checks: []platform.Check{
		{Key: opPrefix + c.Op},
		{Key: revisionKey, Version: v.revision.Version},
	}}
	entry := Entry{Revision: next, Op: c.Op, Author: c.Author, Source: c.Source}
	for i, e := range c.Edits {
		row := e.Row
		row.Revision = next
		rec, err := toRecord(row)
		if err != nil {
			return platform.Txn{}, 0, err
		}
		write, err := encode(rowKey(row.Kind, row.Key), rec)
		if err != nil {
			return platform.Txn{}, 0, err
		}
		write.Delete = row.Deleted
		txn.Checks = append(txn.Checks, platform.Check{Key: write.Key, Version: v.rows[i].Version})
		txn.Writes = append(txn.Writes, write)
		entry.Rows = append(entry.Rows, rec)
	}
	for name, rec := range v.services {
		txn.Checks = append(txn.Checks, platform.Check{Key: rowKey(table.KindService, name), Version: rec.Version})
	}
	return v.seal(txn, entry)
}

func (v view) seal(txn platform.Txn, entry Entry) (platform.Txn, uint64, error) {
	records := []struct {
		key   string
		value any
	}{
		{revisionKey, revisionRecord{Revision: entry.Revision}},
		{logKey(entry.Revision), entry},
		{opPrefix + entry.Op, opRecord{Revision: entry.Revision}},
	}
	for _, r := range records {
		write, err := encode(r.key, r.value)
		if err != nil {
			return platform.Txn{}, 0, err
		}
		txn.Writes = append(txn.Writes, write)
	}
	return txn, entry.Revision, nil
}
