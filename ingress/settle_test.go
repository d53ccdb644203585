package ingress

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lynxplank/lynxplank/shutdown"
)

// TestSettleLasts guards against requests without an answer at the end of a planned stop whose link breaks, or whose endpoint
// fails, only after the node has settled its answers.
func TestSettleLasts(t *testing.T) {
	p, send := new(progress), new(answer)
	running, cancel := context.WithCancel(t.Context())
	send.cancel = cancel
	if !p.beginDispatch(send) {
		t.Fatal("dispatch: got refused, want allowed")
	}
	p.settle()
	if running.Err() != nil {
		t.Error("a run without a held answer beside it: got canceled, want running")
	}
	recovery, done := p.whileRecoverable(t.Context(), new(answer))
	defer done()
	if recovery.Err() == nil {
		t.Error("a recovery that begins after the settling: got waiting, want canceled")
	}
	p.holdAnswer()
	if running.Err() == nil {
		t.Error("a run beside an answer that is held after the settling: got running, want canceled")
	}
}

// TestClockEndsDispatchAndWaits guards against requests that are dispatched, or wait for what the caller need not wait for, after
// the time for that in a planned stop, because whoever stops the node is late: nobody calls StopDispatchBefore or Settle here.
func TestClockEndsDispatchAndWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work = time.Second
		stop := shutdown.NewSchedule(shutdown.NewPlan(6*time.Second, 600*time.Millisecond, 2800*time.Millisecond), nil)
		p := &progress{stop: stop, typicalWork: func() time.Duration { return work }}
		defer p.end()
		held := new(answer)
		running, cancel := context.WithCancel(t.Context())
		held.cancel = cancel
		if !p.beginDispatch(held) {
			t.Fatal("before the stop: dispatch refused, want allowed")
		}
		plan := stop.Begin()
		time.Sleep(time.Until(shutdown.DispatchEnd(plan.GuaranteedEnd(), work, false)) - time.Millisecond)
		if !p.beginDispatch(new(answer)) || p.isClosed() {
			t.Error("before the end of dispatch: refused, want allowed")
		}
		// The timer is late, too.
		p.closeTimer.Stop()
		time.Sleep(time.Millisecond)
		if p.beginDispatch(new(answer)) || !p.isClosed() {
			t.Error("at the end of dispatch: allowed, want refused")
		}
		p.interrupt()
		if !p.beginDispatch(new(answer)) {
			t.Error("after an interruption: dispatch refused, want allowed")
		}
		recovery, done := p.whileRecoverable(t.Context(), new(answer))
		defer done()
		if recovery.Err() != nil {
			t.Error("a recovery before the settling: canceled, want waiting")
		}
		time.Sleep(time.Until(plan.SettleAt()))
		p.holdAnswer()
		if recovery.Err() == nil || running.Err() == nil {
			t.Error("a recovery, and a run beside a held answer, after the settling: waiting, want canceled")
		}
	})
}
