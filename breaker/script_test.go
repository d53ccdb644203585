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
//	new [slots=4]              creates a breaker with the default policy, with slow start if slots are given
//	ask repeatable|unrepeatable   prints whether such a request may run, without running it
//	run repeatable|unrepeatable how=ok|failed|broken|overdue   runs such a request with that result, if it may
//	begin id=a repeatable|unrepeatable [median=20ms]   begins such a request, if it may run
//	end id=a how=ok|failed|broken|overdue   reports the result of a request that was begun
//	cancel id=a                cancels the trial that was begun as such
//	room                       prints how many more trials may run, and the chance that the endpoint answers
//	last how=ok|failed|broken     reports the result of a last-resort request
//	likely                     prints whether a request is likely to succeed
//	suspect                    forces the breaker open
//	clear                      forces the breaker closed
//	wait for=40ms              lets time pass
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/breakers", func(t *testing.T, path string) {
		b := New(DefaultConfig())
		now := time.Unix(1000, 0)
		begun := make(map[string]TrialID)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			repeatable := d.HasArg("repeatable")
			switch d.Cmd {
			case "new":
				b = newScripted(t, d)
				clear(begun)
			case "begin":
				ok, id := b.Allow(now, Request{Repeatable: repeatable, MedianTime: duration(t, d, "median")})
				if !ok {
					return fmt.Sprintln("refused", b.State())
				}
				begun[argument(t, d, "id")] = id
				return fmt.Sprintf("began trial=%v %v\n", id != 0, b.State())
			case "end":
				b.Report(now, results[argument(t, d, "how")], begun[argument(t, d, "id")])
			case "cancel":
				b.CancelTrial(begun[argument(t, d, "id")])
			case "room":
				return fmt.Sprintf("room=%d chance=%.2f %v\n", b.TrialRoom(now), b.SuccessChance(now), b.State())
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
				now = now.Add(duration(t, d, "for"))
				return ""
			default:
				d.Fatalf(t, "no such command")
			}
			return fmt.Sprintln(b.State())
		})
	})
}

// newScripted returns the breaker that a new command asks for.
func newScripted(t *testing.T, d *datadriven.TestData) *Breaker {
	t.Helper()
	cfg, slots := DefaultConfig(), 0
	if d.HasArg("slots") {
		d.ScanArgs(t, "slots", &slots)
		cfg.SlowStart = true
	}
	b := New(cfg)
	b.SetSlots(slots)
	return b
}

// argument returns a text argument of a command.
func argument(t *testing.T, d *datadriven.TestData, name string) string {
	t.Helper()
	var text string
	d.ScanArgs(t, name, &text)
	return text
}

// duration returns a duration argument of a command, 0 if it is not given.
func duration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	t.Helper()
	if !d.HasArg(name) {
		return 0
	}
	span, err := time.ParseDuration(argument(t, d, name))
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return span
}

func run(t *testing.T, d *datadriven.TestData, b *Breaker, now time.Time, repeatable bool) string {
	t.Helper()
	var how string
	d.ScanArgs(t, "how", &how)
	ok, id := b.Allow(now, Request{Repeatable: repeatable})
	if !ok {
		return fmt.Sprintln("refused", b.State())
	}
	b.Report(now, results[how], id)
	return fmt.Sprintf("ran trial=%v %v\n", id != 0, b.State())
}
