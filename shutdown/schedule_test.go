package shutdown

import (
	"context"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lynxplank/lynxplank/signals"
)

// TestLateSignalBarsRequest guards against a request that is taken although it was sent in the later half of the grace, because its
// reader runs before the stop signal is received: the reader waits until the signal or a later probe has come.
func TestLateSignalBarsRequest(t *testing.T) {
	const grace = 6 * time.Second
	for _, c := range []struct {
		name     string
		signaled bool
		blocked  time.Duration
		want     bool
	}{
		{"signal", true, 4 * time.Second, false},
		{"no signal", false, 4 * time.Second, true},
		{"signal, early request", true, 2 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				path, out := make(chan os.Signal, 100), make(chan os.Signal, 100)
				r := signals.NewReceiverOf(out, func() error { path <- syscall.SIGWINCH; return nil })
				go r.Run(ctx)
				s := NewSchedule(NewPlan(grace, 600*time.Millisecond, 2800*time.Millisecond), r)
				out <- <-path
				time.Sleep(50 * time.Millisecond)
				if c.signaled {
					path <- syscall.SIGTERM
				}
				time.Sleep(c.blocked)
				// The request is read before the signals that have waited.
				readAt, accepted := time.Now(), make(chan bool, 1)
				go func() { accepted <- s.Accepts(ctx, readAt) }()
				time.Sleep(10 * time.Millisecond)
				go func() {
					for {
						select {
						case sig := <-path:
							out <- sig
						case <-ctx.Done():
							return
						}
					}
				}()
				if got, want := <-accepted, c.want; got != want {
					t.Errorf("accepted: got %v, want %v", got, want)
				}
			})
		})
	}
}

// TestScheduleWithoutSignalsBeginsOnce checks that a stop that no signal began counts from its first call.
func TestScheduleWithoutSignalsBeginsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSchedule(NewPlan(6*time.Second, time.Second, 2*time.Second), nil)
		if s.Begun() || s.NoticeOver() || !s.Accepts(t.Context(), time.Now()) {
			t.Error("before the stop: got bounds of a stop, want none")
		}
		first := s.Begin()
		time.Sleep(2 * time.Second)
		if got, want := s.Begin(), first; got != want {
			t.Errorf("got %v, want the plan of the first call, %v", got, want)
		}
		if !s.NoticeOver() || s.Accepts(t.Context(), time.Now()) || s.Settled() {
			t.Error("at the end of the notice: want nothing taken and nothing settled")
		}
	})
}

// TestPausesBringEndForward guards against answers that are due while the process does not run and that the kill then cuts: in a
// process that was paused just now they are due earlier by as long, but no work ends before five sixths of the grace.
func TestPausesBringEndForward(t *testing.T) {
	const grace, margin, work = 6 * time.Second, 600 * time.Millisecond, time.Second
	for _, c := range []struct{ pause, settle, dispatch, resend time.Duration }{
		{0, 5300 * time.Millisecond, 4400 * time.Millisecond, 5300 * time.Millisecond},
		{200 * time.Millisecond, 5100 * time.Millisecond, 4200 * time.Millisecond, 5100 * time.Millisecond},
		{2 * time.Second, 5 * time.Second, 2400 * time.Millisecond, 5 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := NewSchedule(NewPlan(grace, margin, 0), nil, WithPauses(func() time.Duration { return c.pause }))
			begin, plan := time.Now(), s.Begin()
			if got, want := s.DispatchEnd(plan, work, false).Sub(begin), c.dispatch; got != want {
				t.Errorf("paused for %v: dispatch ends after %v, want %v", c.pause, got, want)
			}
			if got, want := s.DispatchEnd(plan, work, true).Sub(begin), c.resend; got != want {
				t.Errorf("paused for %v: dispatch after an interruption ends after %v, want %v", c.pause, got, want)
			}
			time.Sleep(c.settle - time.Millisecond)
			if s.Settled() {
				t.Errorf("paused for %v: settled before %v", c.pause, c.settle)
			}
			time.Sleep(time.Millisecond)
			if !s.Settled() {
				t.Errorf("paused for %v: not settled after %v", c.pause, c.settle)
			}
		})
	}
}
