package changes

import (
	"context"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// readSet holds the records that a change depends on. They are not read atomically; the checks of the change's
// transaction fail if any of them has changed since.
type readSet struct {
	// op is the record of the change's operation.
	op       platform.Record
	revision platform.Record
	// rows are the records of the edited rows, in the order of the edits.
	rows []platform.Record
	// services are the records of the services that the edits refer to, by name.
	services map[string]platform.Record
}

// read reads the records that the change depends on.
func (w *Writer) read(ctx context.Context, c Change) (readSet, error) {
	references := referencedServices(c)
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
		return readSet{}, err
	}
	set := readSet{op: recs[0], revision: recs[1], rows: recs[2 : 2+len(c.Edits)], services: make(map[string]platform.Record)}
	for i, name := range references {
		set.services[name] = recs[2+len(c.Edits)+i]
	}
	return set, nil
}

// referencedServices lists the services that the edits refer to but do not write themselves.
func referencedServices(c Change) []string {
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

// serviceOf returns the service that a row refers to, "" if none.
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

// check compares the versions of the edited rows with the expected ones, and checks that the referenced services exist.
func (set readSet) check(c Change) error {
	for i, e := range c.Edits {
		if set.rows[i].Version == e.ExpectedVersion {
			continue
		}
		theirs := table.Row{Kind: e.Row.Kind, Key: e.Row.Key, Deleted: true}
		if set.rows[i].Version != 0 {
			var err error
			if theirs, err = decodeRow(set.rows[i]); err != nil {
				return err
			}
		}
		return &ConflictError{Mine: e.Row, Theirs: theirs}
	}
	for name, rec := range set.services {
		if rec.Version == 0 {
			return fault.New(fault.BadRow, name, "no such service")
		}
	}
	return nil
}

// txn builds the transaction that accepts the change at the next revision.
//
// Invariant: every accepted change checks and rewrites the revision record, so changes commit one after the other and
// no two of them get the same revision.
func (set readSet) txn(c Change) (platform.Txn, uint64, error) {
	var current revisionRecord
	if set.revision.Version != 0 {
		if err := decode(set.revision, &current); err != nil {
			return platform.Txn{}, 0, err
		}
	}
	next := current.Revision + 1
	txn := platform.Txn{Checks: []platform.Check{
		{Key: opPrefix + c.Op},
		{Key: revisionKey, Version: set.revision.Version},
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
		txn.Checks = append(txn.Checks, platform.Check{Key: write.Key, Version: set.rows[i].Version})
		txn.Writes = append(txn.Writes, write)
		entry.Rows = append(entry.Rows, rec)
	}
	for name, rec := range set.services {
		txn.Checks = append(txn.Checks, platform.Check{Key: rowKey(table.KindService, name), Version: rec.Version})
	}
	return set.addRecords(txn, entry)
}

// addRecords adds the writes of the revision record, the log entry and the operation record to a transaction.
func (set readSet) addRecords(txn platform.Txn, entry Entry) (platform.Txn, uint64, error) {
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
