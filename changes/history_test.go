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

// edit is one operator's step on one row: a compare-and-set of the queue cell, or a read.
type edit struct {
	read     bool
	old, new string
}

type result struct {
	value string
	// set is "accepted", "conflict" or "unknown".
	set string
}

// cell is the model of one row: a register that a compare-and-set changes. What ended unknown may have happened.
var cell = (&porcupine.NondeterministicModel{
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

// acceptor is how an operator gets a change accepted; tests replace it to show that the check can fail.
type acceptor func(ctx context.Context, w *changes.Writer, s *store.Store, c changes.Change) (uint64, error)

func honest(ctx context.Context, w *changes.Writer, _ *store.Store, c changes.Change) (uint64, error) {
	return w.Accept(ctx, c)
}

// blind is the mistake that the mechanism is there for: it takes a lost reply for a failure and tries again under a
// new id.
func blind(ctx context.Context, _ *changes.Writer, s *store.Store, c changes.Change) (uint64, error) {
	for i := 0; ; i++ {
		short, cancel := context.WithCancel(ctx)
		w := changes.NewWriter(impatient{store.NewLocal(s), cancel})
		revision, err := w.Accept(short, c)
		cancel()
		if fault.CodeOf(err) != fault.OutcomeUnknown {
			return revision, err
		}
		c.Op = fmt.Sprintf("%s again %d", c.Op, i)
	}
}

// impatient gives up at the first reply that is lost.
type impatient struct {
	store.Local
	giveUp func()
}

func (i impatient) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	reply, err := i.Local.Commit(ctx, txn)
	if err != nil {
		i.giveUp()
	}
	return reply, err
}

// operate lets operators race on one row while replies are lost, and returns the history and the store.
func operate(t *testing.T, seed uint64, accept acceptor) ([]porcupine.Operation, *store.Store) {
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
				ops := oneStep(t, o, step, accept, writer, reader, s, start)
				mu.Lock()
				history = append(history, ops...)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return history, s
}

func oneStep(
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
	set.Output = result{set: setResult(err)}
	set.Return = time.Since(start).Nanoseconds()
	return []porcupine.Operation{read, set}
}

func queueOf(row table.Row) string {
	if row.Deleted {
		return ""
	}
	return row.Cells[4]
}

func setResult(err error) string {
	var conflict *changes.ConflictError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &conflict):
		return "conflict"
	}
	return "unknown"
}

// TestOperatorsRace holds the history of racing operators with lost replies against the model: nobody's accepted edit
// is lost, and whoever came second is told of the conflict.
func TestOperatorsRace(t *testing.T) {
	for seed := range uint64(5) {
		history, s := operate(t, seed, honest)
		if got, want := porcupine.CheckOperations(cell, history), true; got != want {
			t.Errorf("seed %d: linearizable: got %v, want %v", seed, got, want)
		}
		checkLog(t, s)
	}
}

// TestRaceCheckCanFail shows that the check finds the mistake of trying again blindly under a new id: the change is in
// the table, but its author is told of a conflict with his own edit.
func TestRaceCheckCanFail(t *testing.T) {
	failed := false
	for seed := range uint64(20) {
		history, _ := operate(t, seed, blind)
		failed = failed || !porcupine.CheckOperations(cell, history)
	}
	if got, want := failed, true; got != want {
		t.Errorf("some history of blind operators breaks the model: got %v, want %v", got, want)
	}
}

// checkLog reads the log as a node does and compares the result with the table.
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
	inForce, _ := state.Row(table.KindService, "dd")
	if got, want := queueOf(inForce), queueOf(row); got != want {
		t.Errorf("cell in force: got %q, want %q", got, want)
	}
}

// TestConflictShowsBoth checks that the second of two operators sees both values.
func TestConflictShowsBoth(t *testing.T) {
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

// TestLostReply loses the reply and checks that the change is reported accepted, once; and that a change given up as
// unknown can be settled for good.
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
		t.Errorf("settle of what never came: got %d and %v, want 0", got, err)
	}
	_, err = w.Accept(ctx, changes.Change{Op: "2", Edits: []changes.Edit{{Row: row, ExpectedVersion: 1}}})
	if got, want := fault.CodeOf(err), fault.Conflict; got != want {
		t.Errorf("a voided change that comes late: got %q, want %q", got, want)
	}
}
