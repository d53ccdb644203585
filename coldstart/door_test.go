package coldstart

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// send is a request on its way: admitted at a time, sent later.
type send struct {
	admitted, at time.Time
	// limited is set if it was admitted while the endpoint was cold or in doubt.
	limited bool
}

// TestBoundOverEachSecond draws doors under more requests than they let pass, with words of the endpoint, doubts, changed bounds, restarts
// of the node and senders that take their time: in no sliding second, whatever its start, is more sent than the bound allows.
func TestBoundOverEachSecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := Bound{
			Rate: rapid.Float64Range(1, 60).Draw(t, "rate"), RateFactor: rapid.Float64Range(1, 3).Draw(t, "over"),
			Slack: rapid.Float64Range(2, 20).Draw(t, "slack"),
		}
		now := time.Unix(1000, 0)
		door := NewLimiter(now, bound)
		var sent []send
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 40).Draw(t, "what") {
			case 0:
				door.Report(now, now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "cold"))*time.Millisecond))
			case 1:
				door.MarkPossiblyCold(now)
			case 2:
				// The node starts anew; what it admitted and did not send is gone with it.
				door = NewLimiter(now, bound)
				sent = slices.DeleteFunc(sent, func(s send) bool { return s.at.After(now) })
			}
			for range rapid.IntRange(0, 8).Draw(t, "requests") {
				limited := door.ColdRemaining(now) > 0 || door.PossiblyCold(now)
				if ok, _ := door.Admit(now); !ok {
					continue
				}
				took := time.Duration(rapid.IntRange(0, 300).Draw(t, "took")) * time.Millisecond
				if took > MaxSendDelay {
					door.Refund(now)
					continue
				}
				sent = append(sent, send{admitted: now, at: now.Add(took), limited: limited})
			}
		}
		checkSeconds(t, sent, bound)
	})
}

// checkSeconds wants no second in which more was sent of what was limited than the bound allows.
func checkSeconds(t *rapid.T, sent []send, bound Bound) {
	var at []time.Time
	for _, s := range sent {
		if s.limited {
			at = append(at, s.at)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	first := 0
	for i, end := range at {
		for end.Sub(at[first]) > second {
			first++
		}
		if got, most := float64(i-first+1), bound.MaxPerSecond(); got > most {
			t.Fatalf("sent in the second to %v: got %v, want at most %v", end.Sub(at[0]), got, most)
		}
	}
}

// TestScripts runs the scenarios of testdata. Commands, each at a time in ms since the start:
//
//	door rate=N over=N slack=N [at=N]
//	told at=N cold=N
//	doubt at=N
//	admit at=N n=N        prints how many pass, and when the first that does not should come back
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var door *Limiter
		start := time.Unix(1000, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			number := func(name string) (n int) {
				d.MaybeScanArgs(t, name, &n)
				return n
			}
			now := start.Add(time.Duration(number("at")) * time.Millisecond)
			switch d.Cmd {
			case "door":
				var over float64
				d.ScanArgs(t, "over", &over)
				door = NewLimiter(now, Bound{Rate: float64(number("rate")), RateFactor: over, Slack: float64(number("slack"))})
			case "told":
				door.Report(now, now.Add(time.Duration(number("cold"))*time.Millisecond))
			case "doubt":
				door.MarkPossiblyCold(now)
			case "admit":
				return admit(door, now, number("n"))
			default:
				d.Fatalf(t, "no such command")
			}
			return ""
		})
	})
}

func admit(door *Limiter, now time.Time, n int) string {
	var b strings.Builder
	passed := 0
	for range n {
		ok, wait := door.Admit(now)
		if !ok {
			fmt.Fprintf(&b, "back in %v\n", wait.Round(time.Millisecond))
			break
		}
		passed++
	}
	return fmt.Sprintf("%d pass\n", passed) + b.String()
}
