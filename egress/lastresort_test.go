package egress

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// resettingEndpoint returns the address of an endpoint that accepts connections and resets each of them once a
// request arrives.
func resettingEndpoint(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestLastResortIsRefusedWhereTrialsFail checks that an endpoint whose trials fail refuses a payment that no other
// endpoint accepts as not run, with a time to come back, but that a repeatable request is tried there all the same.
func TestLastResortIsRefusedWhereTrialsFail(t *testing.T) {
	e := newTestEgress(t, resettingEndpoint(t), table.Active)
	if got, want := serve(t, e, payment()).GetOutcome(), peerpb.Outcome_OUTCOME_UNKNOWN; got != want {
		t.Fatalf("first: got %v, want %v", got, want)
	}
	trial := payment()
	trial.Canary, trial.Repeatable = true, true
	for range 2 {
		time.Sleep(100 * time.Millisecond)
		serve(t, e, trial)
	}
	last := payment()
	last.LastResort, last.LikelyOnly = true, true
	end := serve(t, e, last)
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN || end.GetCode() != string(fault.Suspect) || end.GetRetryAfterMillis() == 0 {
		t.Errorf("payment: got %v, want not run, %s, with a time to come back", end, fault.Suspect)
	}
	last.LikelyOnly = false
	if got, want := serve(t, e, last).GetOutcome(), peerpb.Outcome_OUTCOME_UNKNOWN; got != want {
		t.Errorf("repeatable request: got %v, want it tried: %v", got, want)
	}
}

// TestSilentEndpointIsSuspected has an endpoint accept requests and never answer: after two payments whose deadlines
// passed, a third one is refused as not run instead of being lost there too.
func TestSilentEndpointIsSuspected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := newTestEgress(t, l.Addr().String(), table.Active)
	for i, want := range []peerpb.Outcome{
		peerpb.Outcome_OUTCOME_UNKNOWN, peerpb.Outcome_OUTCOME_UNKNOWN, peerpb.Outcome_OUTCOME_NOT_RUN,
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		end := e.Serve(ctx, payment(), strings.NewReader(""), discardSink{})
		cancel()
		if got := end.GetOutcome(); got != want {
			t.Errorf("payment %d: got %v, want %v", i+1, end, want)
		}
	}
}
