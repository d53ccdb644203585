package configsync

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
		s := shared{now: time.Now}
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
		s := shared{now: time.Now}
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

// TestSuspendedHostIsNotFresh has the host suspended after the platform has answered: by a clock that stands still meanwhile, a reader
// answers its hall for half a second more that its configuration is the newest.
func TestSuspendedHostIsNotFresh(t *testing.T) {
	lost := time.Duration(0)
	s := shared{now: func() time.Time { return time.Now().Add(lost) }}
	s.Do(t.Context(), func(context.Context) bool { return true })
	if got, want := s.Fresh(time.Minute), true; got != want {
		t.Errorf("fresh: got %v, want %v", got, want)
	}
	lost = time.Hour
	if got, want := s.Fresh(time.Minute), false; got != want {
		t.Errorf("fresh after a suspension: got %v, want %v", got, want)
	}
}
