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

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// send is an admitted request that is sent later.
type send struct {
	admitted, at time.Time
	// limited is set if it was admitted while the endpoint was cold or possibly cold.
	limited bool
}

// TestBoundOverEachSecond draws limiters under more requests than they admit, with reports of the endpoint, marks as
// possibly cold, restarts of the node and senders that delay their requests: in no sliding second are more requests
// sent than the bound allows.
func TestBoundOverEachSecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := Bound{
			Rate: rapid.Float64Range(1, 60).Draw(t, "rate"), RateFactor: rapid.Float64Range(1, 3).Draw(t, "over"),
			Slack: rapid.Float64Range(2, 20).Draw(t, "slack"),
		}
		now := time.Unix(1000, 0)
		limiter := NewLimiter(now, bound)
		var sent []send
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 40).Draw(t, "what") {
			case 0:
				limiter.Report(now, now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "cold"))*time.Millisecond))
			case 1:
				limiter.MarkPossiblyCold(now)
			case 2:
				// The node restarts; requests that it admitted and had not sent are lost with it.
				limiter = NewLimiter(now, bound)
				sent = slices.DeleteFunc(sent, func(s send) bool { return s.at.After(now) })
			}
			for range rapid.IntRange(0, 8).Draw(t, "requests") {
				limited := limiter.ColdRemaining(now) > 0 || limiter.PossiblyCold(now)
				if ok, _ := limiter.Admit(now); !ok {
					continue
				}
				took := time.Duration(rapid.IntRange(0, 300).Draw(t, "took")) * time.Millisecond
				if took > MaxSendDelay {
					limiter.Refund(now)
					continue
				}
				sent = append(sent, send{admitted: now, at: now.Add(took), limited: limited})
			}
		}
		checkSeconds(t, sent, bound)
	})
}

// checkSeconds fails the test if more limited requests than the bound allows were sent in any second.
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
		if got, want := float64(i-first+1), bound.MaxPerSecond(); got > want {
			t.Fatalf("sent in the second to %v: got %v, want at most %v", end.Sub(at[0]), got, want)
		}
	}
}

// TestScripts runs the scenarios of testdata. Commands, each at a time in ms since the start:
//
//	door rate=N over=N slack=N [at=N]   creates a limiter
//	told at=N cold=N      the endpoint reports being cold for so long, 0 for warm
//	doubt at=N            marks the endpoint as possibly cold
//	admit at=N n=N        prints how many requests are admitted, and when the first refused one should retry
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var limiter *Limiter
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
				limiter = NewLimiter(now, Bound{Rate: float64(number("rate")), RateFactor: over, Slack: float64(number("slack"))})
			case "told":
				limiter.Report(now, now.Add(time.Duration(number("cold"))*time.Millisecond))
			case "doubt":
				limiter.MarkPossiblyCold(now)
			case "admit":
				return admit(limiter, now, number("n"))
			default:
				d.Fatalf(t, "no such command")
			}
			return ""
		})
	})
}

func admit(limiter *Limiter, now time.Time, n int) string {
	var b strings.Builder
	passed := 0
	for range n {
		ok, wait := limiter.Admit(now)
		if !ok {
			fmt.Fprintf(&b, "back in %v\n", wait.Round(time.Millisecond))
			break
		}
		passed++
	}
	return fmt.Sprintf("%d pass\n", passed) + b.String()
}
