package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestSharedQuestions has many ask at the same moment, while a question is under way: they share one that begins after they
// asked.
func TestSharedQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s shared
		var asked atomic.Int64
		var began []time.Time
		ask := func(context.Context) bool {
			asked.Add(1)
			began = append(began, time.Now())
			time.Sleep(10 * time.Millisecond)
			return true
		}
		var wg sync.WaitGroup
		wg.Go(func() { s.Do(t.Context(), ask) })
		time.Sleep(5 * time.Millisecond)
		late := time.Now()
		for range 50 {
			wg.Go(func() {
				if got, want := s.Do(t.Context(), ask), true; got != want {
					t.Errorf("answer: got %v, want %v", got, want)
				}
			})
		}
		wg.Wait()
		if got, want := asked.Load(), int64(2); got != want {
			t.Errorf("questions: got %d, want %d", got, want)
		}
		if got := began[1]; got.Before(late) {
			t.Errorf("question for those who came later began at %v, want not before %v", got, late)
		}
	})
}

// TestSharedQuestionIsNobodysOwn checks that a question goes on for the others when the one who asked first leaves.
func TestSharedQuestionIsNobodysOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s shared
		ask := func(ctx context.Context) bool {
			time.Sleep(10 * time.Millisecond)
			return ctx.Err() == nil
		}
		first, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() {
			if got, want := s.Do(first, ask), false; got != want {
				t.Errorf("who left: got %v, want %v", got, want)
			}
		})
		synctest.Wait()
		cancel()
		wg.Go(func() {
			if got, want := s.Do(t.Context(), ask), true; got != want {
				t.Errorf("who stayed: got %v, want %v", got, want)
			}
		})
		wg.Wait()
		time.Sleep(time.Second)
	})
}
