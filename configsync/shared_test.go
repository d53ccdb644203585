package configsync

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestConcurrentChecksAreShared starts many calls at the same moment, while a check is running: they share one run that
// begins after they were made.
func TestConcurrentChecksAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedCheck{now: time.Now}
		var runs atomic.Int64
		var began []time.Time
		check := func(context.Context) bool {
			runs.Add(1)
			began = append(began, time.Now())
			time.Sleep(10 * time.Millisecond)
			return true
		}
		var wg sync.WaitGroup
		wg.Go(func() { s.Do(t.Context(), check) })
		time.Sleep(5 * time.Millisecond)
		late := time.Now()
		for range 50 {
			wg.Go(func() {
				if got, want := s.Do(t.Context(), check), true; got != want {
					t.Errorf("answer: got %v, want %v", got, want)
				}
			})
		}
		wg.Wait()
		if got, want := runs.Load(), int64(2); got != want {
			t.Errorf("runs: got %d, want %d", got, want)
		}
		if got := began[1]; got.Before(late) {
			t.Errorf("run for the later calls began at %v, want not before %v", got, late)
		}
	})
}

// TestSharedCheckOutlivesFirstCaller checks that a run continues for the other callers when the first caller gives up.
func TestSharedCheckOutlivesFirstCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharedCheck{now: time.Now}
		check := func(ctx context.Context) bool {
			time.Sleep(10 * time.Millisecond)
			return ctx.Err() == nil
		}
		first, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() {
			if got, want := s.Do(first, check), false; got != want {
				t.Errorf("caller that gave up: got %v, want %v", got, want)
			}
		})
		synctest.Wait()
		cancel()
		wg.Go(func() {
			if got, want := s.Do(t.Context(), check), true; got != want {
				t.Errorf("caller that stayed: got %v, want %v", got, want)
			}
		})
		wg.Wait()
		time.Sleep(time.Second)
	})
}

// TestSuspensionExpiresCheck suspends the host after the platform has answered: with a clock that stops during the
// suspension, a reader would confirm an old configuration as the newest to its hall for another half second.
func TestSuspensionExpiresCheck(t *testing.T) {
	suspended := time.Duration(0)
	s := sharedCheck{now: func() time.Time { return time.Now().Add(suspended) }}
	s.Do(t.Context(), func(context.Context) bool { return true })
	if got, want := s.SucceededWithin(time.Minute), true; got != want {
		t.Errorf("recent success: got %v, want %v", got, want)
	}
	suspended = time.Hour
	if got, want := s.SucceededWithin(time.Minute), false; got != want {
		t.Errorf("recent success after a suspension: got %v, want %v", got, want)
	}
}
