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
