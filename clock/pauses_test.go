package clock

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// TestPauseScripts runs testdata/pauses. Commands, times in ms since the start of the process:
//
//	start           a process that has not ticked
//	ticks to=N      ticks at the usual interval until a time
//	resume at=N     a tick after a pause; prints how long the process was paused
//	recent at=N     prints how long the latest pause was if it is under way or ended a short time before
//	signal at=N     prints how long ago a signal that is received then may have been sent
func TestPauseScripts(t *testing.T) {
	start := time.Unix(1000, 0)
	now, p := start, pauses{}
	datadriven.RunTest(t, "testdata/pauses", func(t *testing.T, d *datadriven.TestData) string {
		n := 0
		switch d.Cmd {
		case "start":
			now, p = start, pauses{lastTick: start}
			return ""
		case "ticks":
			d.ScanArgs(t, "to", &n)
			for end := start.Add(time.Duration(n) * time.Millisecond); now.Before(end); {
				now = now.Add(tickInterval)
				p, _, _ = p.withTick(now)
			}
			return ""
		case "resume":
			d.ScanArgs(t, "at", &n)
			now = start.Add(time.Duration(n) * time.Millisecond)
			next, ended, ok := p.withTick(now)
			p = next
			return fmt.Sprintf("paused %v: %v\n", ok, ended.Duration())
		case "recent":
			d.ScanArgs(t, "at", &n)
			return fmt.Sprintln(p.recent(start.Add(time.Duration(n) * time.Millisecond)))
		case "signal":
			d.ScanArgs(t, "at", &n)
			return fmt.Sprintln(p.receiptDelay(start.Add(time.Duration(n) * time.Millisecond)))
		}
		d.Fatalf(t, "no such command")
		return ""
	})
}

// TestReceiptDelayCoversPauses draws processes that are paused again and again, and a signal sent at any time, which the
// process receives a little after it runs again: the signal never counts as sent later than it was, but for about the longest
// gap between two ticks, and it counts as sent now if there was no pause.
func TestReceiptDelayCoversPauses(t *testing.T) {
	const maxDelay = 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		millis := func(name string, least, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(least.Milliseconds(), most.Milliseconds()).Draw(t, name)) * time.Millisecond
		}
		start := time.Unix(1000, 0)
		var paused []Pause
		end := start
		for range rapid.IntRange(0, 4).Draw(t, "pauses") {
			from := end.Add(millis("run", tickInterval, 2*time.Second))
			end = from.Add(millis("pause", 1*time.Millisecond, 4*time.Second))
			paused = append(paused, Pause{From: from, Until: end})
		}
		resume := func(at time.Time) time.Time {
			for _, p := range paused {
				if !at.Before(p.From) && at.Before(p.Until) {
					return p.Until
				}
			}
			return at
		}
		sent := start.Add(millis("sent", 0, end.Sub(start)+time.Second))
		received := resume(resume(sent).Add(millis("delay", 0, maxDelay)))
		p := pauses{}
		for due := start; !due.After(received); {
			at := resume(due)
			if at.After(received) {
				break
			}
			p, _, _ = p.withTick(at)
			due = at.Add(tickInterval)
		}
		age := p.receiptDelay(received)
		if least := received.Sub(sent) - maxTickGap - maxDelay; age < least {
			t.Fatalf("sent %v before it was received: got age %v, want at least %v", received.Sub(sent), age, least)
		}
		if len(paused) == 0 && age != 0 {
			t.Fatalf("without a pause: got age %v, want 0", age)
		}
	})
}
