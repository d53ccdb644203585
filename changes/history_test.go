package changes_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

// edit is the input of one operation on the row: a compare-and-set of its queue cell, or a read.
type edit struct {
	read     bool
	old, new string
}

// result is the output of one operation on the row.
type result struct {
	// value is the cell that a read returned.
	value string
	// set is the result of a compare-and-set: "accepted", "conflict" or "unknown".
	set string
}

// rowModel models the row as a register with reads and compare-and-set. An operation with an unknown result may or may
// not have taken effect.
var rowModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		in, out, now := input.(edit), output.(result), state.(string)
		switch {
		case in.read:
			if now == out.value {
				return []any{now}
			}
		case out.set == "accepted" && now == in.old:
			return []any{in.new}
		case out.set == "conflict" && now != in.old:
			return []any{now}
		case out.set == "unknown":
			if now == in.old {
				return []any{now, in.new}
			}
			return []any{now}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// acceptor gets an operator's change accepted. A test replaces it by a faulty one to show that the check can fail.
type acceptor func(ctx context.Context, w *changes.Writer, s *store.Store, c changes.Change) (uint64, error)

// acceptWithOneID uses the writer as intended.
func acceptWithOneID(ctx context.Context, w *changes.Writer, _ *store.Store, c changes.Change) (uint64, error) {
	return w.Accept(ctx, c)
}

// acceptWithNewIDs makes the mistake that operation ids are to prevent: it treats a lost reply as a failure and retries
// under a new id.
func acceptWithNewIDs(ctx context.Context, _ *changes.Writer, s *store.Store, c changes.Change) (uint64, error) {
	for i := 0; ; i++ {
		short, cancel := context.WithCancel(ctx)
		w := changes.NewWriter(cancelOnError{store.NewLocal(s), cancel})
		revision, err := w.Accept(short, c)
		cancel()
		if fault.CodeOf(err) != fault.OutcomeUnknown {
			return revision, err
		}
		c.Op = fmt.Sprintf("%s again %d", c.Op, i)
	}
}

// cancelOnError is a store client that cancels the change at the first lost reply.
type cancelOnError struct {
	store.Local
	cancel func()
}

func (c cancelOnError) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	reply, err := c.Local.Commit(ctx, txn)
	if err != nil {
		c.cancel()
	}
	return reply, err
}

// runOperators runs several operators that edit one row concurrently while replies get lost. It returns the history of
// their operations and the store.
func runOperators(t *testing.T, seed uint64, accept acceptor) ([]porcupine.Operation, *store.Store) {
	t.Helper()
	const operators, steps = 4, 15
	s := store.New()
	client := store.NewLocal(s)
	writer, reader := changes.NewWriter(client), changes.NewReader(client)
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for o := range operators {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(o)))
			for step := range steps {
				if r.IntN(4) == 0 {
					s.SetFaults(store.Faults{LoseReplies: 1 + r.IntN(2)})
				}
				ops := editOnce(t, o, step, accept, writer, reader, s, start)
				mu.Lock()
				history = append(history, ops...)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return history, s
}

// editOnce reads the row and edits it, and returns both operations.
func editOnce(
	t *testing.T, o, step int, accept acceptor, w *changes.Writer, r *changes.Reader, s *store.Store, start time.Time,
) []porcupine.Operation {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	called := time.Since(start).Nanoseconds()
	row, err := r.Row(ctx, table.KindService, "dd")
	if err != nil {
		t.Errorf("read: got %v, want a row", err)
		return nil
	}
	read := porcupine.Operation{ClientId: o, Input: edit{read: true}, Call: called, Output: result{value: queueOf(row)}}
	read.Return = time.Since(start).Nanoseconds()
	value := fmt.Sprint(o*1000 + step + 1)
	next, err := table.NewRow(table.KindService, "dd", []string{"", "", "", "", value})
	if err != nil {
		t.Errorf("row: got %v, want none", err)
		return nil
	}
	set := porcupine.Operation{ClientId: o, Input: edit{old: queueOf(row), new: value}, Call: time.Since(start).Nanoseconds()}
	_, err = accept(ctx, w, s, changes.Change{
		Op: fmt.Sprintf("op %d %d", o, step), Author: "test",
		Edits: []changes.Edit{{Row: next, ExpectedVersion: row.Version}},
	})
	set.Output = result{set: resultOf(err)}
	set.Return = time.Since(start).Nanoseconds()
	return []porcupine.Operation{read, set}
}

// queueOf returns the queue cell of the row.
func queueOf(row table.Row) string {
	if row.Deleted {
		return ""
	}
	return row.Cells[4]
}

func resultOf(err error) string {
	var conflict *changes.ConflictError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &conflict):
		return "conflict"
	}
	return "unknown"
}

// TestConcurrentEditsAreLinearizable checks the history of concurrent operators with lost replies against the model: no
// accepted edit is lost, and the later of two conflicting edits fails with a conflict.
func TestConcurrentEditsAreLinearizable(t *testing.T) {
	for seed := range uint64(5) {
		history, s := runOperators(t, seed, acceptWithOneID)
		if got, want := porcupine.CheckOperations(rowModel, history), true; got != want {
			t.Errorf("seed %d: linearizable: got %v, want %v", seed, got, want)
		}
		checkLog(t, s)
	}
}

// TestCheckFindsBlindRetries shows that the check finds retries under a new id after a lost reply: the change is in the
// table, but its author gets a conflict with the author's own edit.
func TestCheckFindsBlindRetries(t *testing.T) {
	failed := false
	for seed := range uint64(20) {
		history, _ := runOperators(t, seed, acceptWithNewIDs)
		failed = failed || !porcupine.CheckOperations(rowModel, history)
	}
	if got, want := failed, true; got != want {
		t.Errorf("some history with blind retries breaks the model: got %v, want %v", got, want)
	}
}

// checkLog reads the table's state as a node does and compares it with the row.
func checkLog(t *testing.T, s *store.Store) {
	t.Helper()
	s.SetFaults(store.Faults{})
	reader := changes.NewReader(store.NewLocal(s))
	state, err := reader.Advance(t.Context(), table.NewState())
	if err != nil {
		t.Fatalf("advance: got %v, want none", err)
	}
	row, err := reader.Row(t.Context(), table.KindService, "dd")
	if err != nil {
		t.Fatalf("row: got %v, want none", err)
	}
	active, _ := state.Row(table.KindService, "dd")
	if got, want := queueOf(active), queueOf(row); got != want {
		t.Errorf("active cell: got %q, want %q", got, want)
	}
}

// TestConflictShowsBothRows checks that the later of two conflicting operators sees both values of the row.
func TestConflictShowsBothRows(t *testing.T) {
	w := changes.NewWriter(store.NewLocal(store.New()))
	first, _ := table.NewRow(table.KindService, "dd", []string{"50%"})
	second, _ := table.NewRow(table.KindService, "dd", []string{"70%"})
	if _, err := w.Accept(t.Context(), changes.Change{Op: "1", Edits: []changes.Edit{{Row: first}}}); err != nil {
		t.Fatalf("first: got %v, want none", err)
	}
	_, err := w.Accept(t.Context(), changes.Change{Op: "2", Edits: []changes.Edit{{Row: second}}})
	var conflict *changes.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("second: got %v, want a conflict", err)
	}
	if got, want := conflict.Mine.Cells[0]+" "+conflict.Theirs.Cells[0], "70% 50%"; got != want {
		t.Errorf("values shown: got %q, want %q", got, want)
	}
}

// TestLostReply loses the reply to a change and checks that the change is still reported as accepted, and only once. It
// also checks that an operation that never reached the table is voided by Settle and refused when it arrives later.
func TestLostReply(t *testing.T) {
	s := store.New()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	w := changes.NewWriter(store.NewLocal(s))
	row, _ := table.NewRow(table.KindService, "dd", nil)
	s.SetFaults(store.Faults{LoseReplies: 1})
	got, err := w.Accept(ctx, changes.Change{Op: "1", Edits: []changes.Edit{{Row: row}}})
	if want := uint64(1); err != nil || got != want {
		t.Errorf("lost reply: got revision %d and %v, want %d", got, err, want)
	}
	if got, err := w.Settle(ctx, "1"); err != nil || got != 1 {
		t.Errorf("settle: got %d and %v, want 1", got, err)
	}
	if got, err := w.Settle(ctx, "2"); err != nil || got != 0 {
		t.Errorf("settle of an operation that never came: got %d and %v, want 0", got, err)
	}
	_, err = w.Accept(ctx, changes.Change{Op: "2", Edits: []changes.Edit{{Row: row, ExpectedVersion: 1}}})
	if got, want := fault.CodeOf(err), fault.Conflict; got != want {
		t.Errorf("a voided change that comes late: got %q, want %q", got, want)
	}
}
