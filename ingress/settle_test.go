package ingress

import (
	"context"
	"testing"
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
