package breaker

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

var results = map[string]Result{"ok": OK, "failed": Failed, "broken": Broken, "overdue": Overdue}

// TestScripts runs the scenarios of testdata. Commands:
//
//	new                        a breaker with the default policy
//	ask repeatable|unrepeatable   whether such a request may run; asking twice changes nothing
//	run repeatable|unrepeatable how=ok|failed|broken|overdue   asks, and if it may, runs it with that result
//	last how=ok|failed|broken     the result of a request that ran as a last resort
//	likely                     whether most trials went well
//	suspect                    opens it for other evidence
//	clear                      closes it: that evidence has proved wrong
//	wait for=40ms
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/breakers", func(t *testing.T, path string) {
		b := New(DefaultConfig())
		now := time.Unix(1000, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			repeatable := d.HasArg("repeatable")
			switch d.Cmd {
			case "new":
				b = New(DefaultConfig())
			case "suspect":
				return fmt.Sprintln(b.ForceOpen(now), b.State())
			case "clear":
				b.ForceClose(now)
			case "ask":
				return fmt.Sprintln(b.WouldAllow(now, repeatable), b.State())
			case "last":
				var how string
				d.ScanArgs(t, "how", &how)
				b.ReportLastResort(results[how])
				return fmt.Sprintln(b.LikelyToSucceed(), b.State())
			case "likely":
				return fmt.Sprintln(b.LikelyToSucceed(), b.State())
			case "run":
				return run(t, d, b, now, repeatable)
			case "wait":
				var text string
				d.ScanArgs(t, "for", &text)
				span, err := time.ParseDuration(text)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				now = now.Add(span)
				return ""
			default:
				d.Fatalf(t, "no such command")
			}
			return fmt.Sprintln(b.State())
		})
	})
}

func run(t *testing.T, d *datadriven.TestData, b *Breaker, now time.Time, repeatable bool) string {
	t.Helper()
	var how string
	d.ScanArgs(t, "how", &how)
	ok, trial := b.Allow(now, repeatable)
	if !ok {
		return fmt.Sprintln("refused", b.State())
	}
	b.Report(now, results[how], trial)
	return fmt.Sprintf("ran trial=%v %v\n", trial, b.State())
}
