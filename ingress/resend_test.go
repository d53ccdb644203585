package ingress

import (
	"testing"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
)

// TestResendWhoseTimeRanOutIsUnknown has the time of a request run out before an owner of its key was asked. Only the
// first attempt under a key is known not to have run before. One run of the soak (seed 25, six nodes, half of them
// paused, killed or cut off) had a booking reported as not run at its fourth send although it had run.
func TestResendWhoseTimeRanOutIsUnknown(t *testing.T) {
	for _, code := range []fault.Code{fault.DeadlineExceeded, fault.Canceled, fault.LinkDown, fault.KeyRefused} {
		for attempt, want := range []peerpb.Outcome{
			peerpb.Outcome_OUTCOME_UNKNOWN, peerpb.Outcome_OUTCOME_NOT_RUN, peerpb.Outcome_OUTCOME_UNKNOWN,
		} {
			x := &exchange{call: call{key: "k", attempt: uint32(attempt)}}
			if got := x.withKeyedOutcome(peer.NotRun(code, 0)).GetOutcome(); got != want {
				t.Errorf("attempt %d that ends as %s: got %v, want %v", attempt, code, got, want)
			}
		}
	}
	x := &exchange{call: call{key: "k", attempt: 2}}
	if got, want := x.withKeyedOutcome(peer.NotRun(fault.Overloaded, 0)).GetOutcome(), peerpb.Outcome_OUTCOME_NOT_RUN; got != want {
		t.Errorf("a resend that its owner granted and that found no capacity: got %v, want %v", got, want)
	}
}
