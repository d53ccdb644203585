package ingress

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// TestRounds runs testdata/rounds. It guards against a nested call that is rejected although capacity may become free in
// time, one that asks on when it can no longer be served, and one that starts over although it may have run.
//
//	end code=CODE [outcome=not-run|ran|unknown] [may-have-run] [restarts=N] [left=DURATION] [usual=DURATION]
//	rounds left=DURATION usual=DURATION
//
// end prints the decision after one round, rounds all pauses of a call whose rounds take no time and find no capacity.
func TestRounds(t *testing.T) {
	outcomes := map[string]peerpb.Outcome{
		"not-run": peerpb.Outcome_OUTCOME_NOT_RUN, "ran": peerpb.Outcome_OUTCOME_RAN, "unknown": peerpb.Outcome_OUTCOME_UNKNOWN,
	}
	datadriven.RunTest(t, "testdata/rounds", func(t *testing.T, d *datadriven.TestData) string {
		code, outcome, left, usual, r := "busy", "not-run", "1s", "100ms", rounds{}
		d.MaybeScanArgs(t, "code", &code)
		d.MaybeScanArgs(t, "outcome", &outcome)
		d.MaybeScanArgs(t, "left", &left)
		d.MaybeScanArgs(t, "usual", &usual)
		d.MaybeScanArgs(t, "restarts", &r.restarts)
		end := rejection{
			code: fault.Code(code), outcome: outcomes[outcome], mayHaveRun: d.HasArg("may-have-run"),
			left: parseDuration(t, left), usual: parseDuration(t, usual),
		}
		var out strings.Builder
		for {
			next, pause, ok := r.next(end)
			if !ok {
				fmt.Fprintf(&out, "ends after round %d with %s left\n", r.count(), end.left)
				return out.String()
			}
			fmt.Fprintf(&out, "round %d after %s\n", next.count(), pause)
			if d.Cmd == "end" {
				return out.String()
			}
			r, end.left = next, end.left-pause
		}
	})
}

func parseDuration(t testing.TB, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
