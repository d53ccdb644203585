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
	// Get reads records by key, each at a moment of its own; a transaction's checks see whether they still hold.
	Get(ctx context.Context, keys ...string) ([]platform.Record, error)
	// Scan reads records in key order.
	Scan(ctx context.Context, prefix, after string, limit int) (platform.Records, error)
	// Commit runs a transaction.
	Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error)
}

// Edit is one row as the operator wants it.
type Edit struct {
	// Row is the wanted row; Deleted takes it out.
	Row table.Row
	// Expect is the version that the operator saw, 0 for a new row.
	ExpectedVersion uint64
}

// Change is a set of edits that is accepted whole or not at all.
type Change struct {
	// Op identifies the change; the same id is never accepted twice.
	Op string
	// Author is who makes the change.
	Author string
	// Source is the revision of the declarations, "" for an edit by hand.
	Source string
	// Edits are the rows, each named once.
	Edits []Edit
}

// ConflictError says that a row is not as the operator saw it.
type ConflictError struct {
	// Mine is the row that the operator wanted.
	Mine table.Row
	// Theirs is the row in the table; Deleted if there is none.
	Theirs table.Row
}

// Error shows both values of the row.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %s changed since you read it: yours %s, in the table %s (%s)",
		e.Mine.Kind, e.Mine.Key, describe(e.Mine), describe(e.Theirs), fault.Conflict)
}

// Unwrap gives the error its code.
func (e *ConflictError) Unwrap() error { return fault.New(fault.Conflict, e.Mine.Key, "row changed") }

func describe(row table.Row) string {
	if row.Deleted {
		return "[no row]"
	}
	return "[" + strings.Join(row.Cells, " ") + "]"
}

const retryPause = 50 * time.Millisecond

// Writer gets changes accepted.
type Writer struct {
	table Table
}

// NewWriter returns a writer on the platform's table.
func NewWriter(t Table) *Writer { return &Writer{table: t} }

// Accept returns the revision at which the change is accepted. It fails with a ConflictError when a row is not as
// expected, BadRow when a reference dangles, Unavailable when nothing was sent, and OutcomeUnknown when the change
// may yet be accepted: ask with Settle.
//
// Invariant: a change is reported accepted only once the table holds its operation record, and at most one
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
			return 0, giveUp(c.Op, sent, err)
		case <-time.After(retryPause):
		}
	}
}

func giveUp(op string, sent bool, cause error) error {
	if !sent {
		return fault.Wrap(cause, fault.Unavailable, op, "nothing was changed")
	}
	return fault.Wrap(cause, fault.OutcomeUnknown, op, "the change may or may not be accepted; ask again with this id")
}

// try makes one attempt; done is false when another may help.
func (w *Writer) try(ctx context.Context, c Change, sent *bool) (revision uint64, done bool, err error) {
	view, err := w.read(ctx, c)
	if err != nil {
		return 0, fault.CodeOf(err) == fault.Protocol || fault.CodeOf(err) == fault.Unauthorized, err
	}
	if view.op.Version != 0 {
		revision, err = acceptedAt(view.op)
		return revision, true, err
	}
	if err := view.check(c); err != nil {
		return 0, true, err
	}
	txn, revision, err := view.txn(c)
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
	// A refused transaction proves that the one before it, if any, is settled one way: the next read shows which.
	if !reply.Committed {
		return 0, false, fault.New(fault.Conflict, revisionKey, "another change came first")
	}
	return revision, true, nil
}

// Settle says for good whether an operation was accepted: an unknown one is voided, so that a write still on its
// way can never be. It returns the revision, 0 for an operation that was not accepted and never will be.
func (w *Writer) Settle(ctx context.Context, op string) (uint64, error) {
	void, err := encode(opPrefix+op, opRecord{Void: true})
	if err != nil {
		return 0, err
	}
	txn := platform.Txn{Checks: []platform.Check{{Key: opPrefix + op}}, Writes: []platform.Write{void}}
	if _, err := w.table.Commit(ctx, txn); err != nil {
		return 0, fault.Wrap(err, fault.OutcomeUnknown, op, "still unknown; ask again")
	}
	recs, err := w.table.Get(ctx, opPrefix+op)
	if err != nil {
		return 0, fault.Wrap(err, fault.OutcomeUnknown, op, "still unknown; ask again")
	}
	var rec opRecord
	if err := decode(recs[0], &rec); err != nil {
		return 0, err
	}
	return rec.Revision, nil
}

func acceptedAt(r platform.Record) (uint64, error) {
	var rec opRecord
	if err := decode(r, &rec); err != nil {
		return 0, err
	}
	if rec.Void {
		return 0, fault.New(fault.Conflict, r.Key, "this operation was voided; draw a new id")
	}
	return rec.Revision, nil
}
