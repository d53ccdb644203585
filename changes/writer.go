package changes

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// Table is the part of the platform's table that this package uses.
type Table interface {
	// Get reads records by key. The records are not read atomically: a transaction's checks show whether they have
	// changed.
	Get(ctx context.Context, keys ...string) ([]platform.Record, error)
	// Scan reads up to limit records whose keys start with prefix and come after the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) (platform.Records, error)
	// Commit applies the writes of a transaction if all its checks hold.
	Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error)
}

// Edit is an operator's new content for one row.
type Edit struct {
	// Row is the new row; a row marked Deleted is removed.
	Row table.Row
	// ExpectedVersion is the version of the row that the operator has seen, 0 for a new row.
	ExpectedVersion uint64
}

// Change is a set of edits that is accepted as a whole or not at all.
type Change struct {
	// Op is the operation id of the change. An id is never accepted twice.
	Op string
	// Author names the person or tool that makes the change.
	Author string
	// Source is the version-control revision of the declarations, "" for an edit by hand.
	Source string
	// Edits holds at most one edit per row.
	Edits []Edit
}

// ConflictError reports that a row has changed since the operator read it.
type ConflictError struct {
	// Mine is the row that the operator wanted to write.
	Mine table.Row
	// Theirs is the row in the table, marked Deleted if there is none.
	Theirs table.Row
}

// Error returns a message that shows both values of the row.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %s changed since you read it: yours %s, in the table %s (%s)",
		e.Mine.Kind, e.Mine.Key, describe(e.Mine), describe(e.Theirs), fault.Conflict)
}

// Unwrap returns an error with the code Conflict.
func (e *ConflictError) Unwrap() error { return fault.New(fault.Conflict, e.Mine.Key, "row changed") }

func describe(row table.Row) string {
	if row.Deleted {
		return "[no row]"
	}
	return "[" + strings.Join(row.Cells, " ") + "]"
}

// retryInterval is the time between two attempts to get a change accepted.
const retryInterval = 50 * time.Millisecond

// Writer commits changes to the platform's table.
type Writer struct {
	table Table
}

// NewWriter returns a writer on the platform's table.
func NewWriter(t Table) *Writer { return &Writer{table: t} }

// Accept commits a change and returns the revision at which it was accepted. It fails with a ConflictError if a row
// does not have the expected version, with BadRow if an edit refers to a service that does not exist or the change is
// too large, with Conflict if Settle has voided the operation, with Unavailable if the context ended before a
// transaction was sent, and with OutcomeUnknown if it ended later and the change may still be accepted. Settle then
// determines the outcome.
//
// Invariant: a change is reported as accepted only once the table holds its operation record, and at most one
// transaction with that record ever commits.
func (w *Writer) Accept(ctx context.Context, c Change) (uint64, error) {
	sent := false
	for {
		revision, done, err := w.try(ctx, c, &sent)
		if done {
			return revision, err
		}
		select {
		case <-ctx.Done():
			return 0, abandonError(c.Op, sent, err)
		case <-time.After(retryInterval):
		}
	}
}

// abandonError returns the error of a change whose context has ended.
func abandonError(op string, sent bool, cause error) error {
	if !sent {
		return fault.Wrap(cause, fault.Unavailable, op, "nothing was changed")
	}
	return fault.Wrap(cause, fault.OutcomeUnknown, op, "the change may or may not be accepted; ask again with this id")
}

// try makes one attempt. It returns done as false if another attempt may succeed, and sets sent before it sends a
// transaction.
func (w *Writer) try(ctx context.Context, c Change, sent *bool) (revision uint64, done bool, err error) {
	set, err := w.read(ctx, c)
	if err != nil {
		return 0, fault.CodeOf(err) == fault.Protocol || fault.CodeOf(err) == fault.Unauthorized, err
	}
	if set.op.Version != 0 {
		revision, err = acceptedAt(set.op)
		return revision, true, err
	}
	if err := set.check(c); err != nil {
		return 0, true, err
	}
	txn, revision, err := set.txn(c)
	if err != nil {
		return 0, true, err
	}
	if txn.Entries() > platform.MostEntries {
		return 0, true, fault.New(fault.BadRow, c.Op, "the platform takes no more than about 40 rows in one change: apply it in parts")
	}
	*sent = true
	reply, err := w.table.Commit(ctx, txn)
	if err != nil {
		return 0, false, err
	}
	// After a refusal the outcome of any earlier attempt is certain: the next read shows whether it was accepted.
	if !reply.Committed {
		return 0, false, fault.New(fault.Conflict, revisionKey, "another change was accepted first")
	}
	return revision, true, nil
}

// Settle determines finally whether an operation was accepted. It voids an operation that has no record, so that a
// transaction of it that is still in flight can no longer commit. It returns the revision at which the operation was
// accepted, 0 for an operation that was not and never will be.
func (w *Writer) Settle(ctx context.Context, op string) (uint64, error) {
	void, err := encode(opPrefix+op, opRecord{Void: true})
	if err != nil {
		return 0, err
	}
	txn := platform.Txn{Checks: []platform.Check{{Key: opPrefix + op}}, Writes: []platform.Write{void}}
	if _, err := w.table.Commit(ctx, txn); err != nil {
		return 0, fault.Wrap(err, fault.OutcomeUnknown, op, "still unknown whether the change was accepted; ask again")
	}
	recs, err := w.table.Get(ctx, opPrefix+op)
	if err != nil {
		return 0, fault.Wrap(err, fault.OutcomeUnknown, op, "still unknown whether the change was accepted; ask again")
	}
	var rec opRecord
	if err := decode(recs[0], &rec); err != nil {
		return 0, err
	}
	return rec.Revision, nil
}

// acceptedAt returns the revision at which the operation of a record was accepted.
func acceptedAt(r platform.Record) (uint64, error) {
	var rec opRecord
	if err := decode(r, &rec); err != nil {
		return 0, err
	}
	if rec.Void {
		return 0, fault.New(fault.Conflict, r.Key, "this operation was voided; use a new operation id")
	}
	return rec.Revision, nil
}
