package signals

import (
	"context"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// TestReceiverOfProcess sends this process real signals: the path of signals becomes clear by itself, a stop signal is received as
// sent after that, and another one is passed on too.
func TestReceiverOfProcess(t *testing.T) {
	r := NewReceiver()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go r.Run(ctx)
	begin := time.Now()
	for r.ClearUntil().Before(begin) {
		<-r.Check()
	}
	if _, got := r.Received(); got {
		t.Error("received a stop signal, want none")
	}
	clear, sent := r.ClearUntil(), time.Now()
	for range 2 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		stop := <-r.Stops()
		if got := stop.SentAfter; got.Before(clear) || got.After(sent) {
			t.Errorf("sent after %v, want it between %v and %v", got, clear, sent)
		}
	}
	if first, got := r.Received(); !got || first.ReceivedAt.Before(sent) {
		t.Errorf("first stop signal received %v at %v, want it after %v", got, first.ReceivedAt, sent)
	}
}

// TestReloadSignalAtStartEndsNothing guards against a process that a SIGHUP ends because it comes before the settings are watched.
func TestReloadSignalAtStartEndsNothing(t *testing.T) {
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if got, want := <-Reloads(), os.Signal(syscall.SIGHUP); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestLostProbeIsSentAgain guards against a receiver that knows nothing more once one of its probes is lost.
func TestLostProbeIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := make(chan os.Signal, queueSize)
		sent := 0
		r := NewReceiverOf(c, func() error {
			if sent++; sent != 2 {
				c <- probeSignal
			}
			return nil
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		time.Sleep(3 * resendAfter)
		synctest.Wait()
		if got, most := time.Since(r.ClearUntil()), 3*probeInterval; got > most {
			t.Errorf("clear until %v ago, want at most %v", got, most)
		}
	})
}
