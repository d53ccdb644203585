package maxrate

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'g', -1, 64) }

// TestScripts runs testdata/limiter. Commands, each at a time in ms since the start:
//
//	new [earlier=N] [alone] [first]    a limiter that knows nothing; its node was started before, N ms ago, or no peer has told;
//	                                   with first the store knows of no earlier start either
//	answer at=N sent=N [rate=R|bad]    an answer to a request that was sent at a time; prints what changes
//	adopt at=N stated=N [rate=R]       a sender tells what the endpoint stated to it at a time
//	peer at=N [earlier=N]              a peer says when it first heard of an earlier life of the node, or that it knows of none
//	ask at=N n=N [wait=N] [once]       asks for n requests, each of which may wait; once for requests that may not be repeated
//	status at=N
func TestScripts(t *testing.T) {
	var l *Limiter
	start := time.Unix(1000, 0)
	datadriven.RunTest(t, "testdata/limiter", func(t *testing.T, d *datadriven.TestData) string {
		number := func(name string) time.Duration {
			n := 0
			d.MaybeScanArgs(t, name, &n)
			return time.Duration(n) * time.Millisecond
		}
		now := start.Add(number("at"))
		text := ""
		d.MaybeScanArgs(t, "rate", &text)
		rate, _ := strconv.ParseFloat(text, 64)
		switch d.Cmd {
		case "new":
			life := NewLife(start)
			if d.HasArg("earlier") {
				life = life.WithEarlier(start.Add(-number("earlier")))
			} else if !d.HasArg("alone") {
				life = life.WithEarlier(time.Time{})
			}
			if d.HasArg("first") {
				life = life.WithoutRecord()
			}
			l = NewLimiter(life)
			return ""
		case "peer":
			at := time.Time{}
			if d.HasArg("earlier") {
				at = now.Add(-number("earlier"))
			}
			l.SetLife(l.life.WithEarlier(at))
			return ""
		case "answer":
			s := Statement{Kind: Absent}
			if text != "" {
				s = Parse([]string{text})
			}
			return l.Observe(start.Add(number("sent")), now, s).String() + "\n"
		case "adopt":
			s := Statement{Kind: Absent}
			if text != "" {
				s = Statement{Kind: Stated, Rate: rate}
			}
			return l.Adopt(now, start.Add(number("stated")), s).String() + "\n"
		case "ask":
			n := 1
			d.MaybeScanArgs(t, "n", &n)
			return ask(l, now, n, number("wait"), !d.HasArg("once"))
		case "status":
			s, ok := l.Status()
			return fmt.Sprintf("limited %v since %v, refused %d, delayed %d\n", ok, s.Since.Sub(start), s.Refused, s.Delayed)
		}
		d.Fatalf(t, "no such command")
		return ""
	})
}

func ask(l *Limiter, now time.Time, n int, wait time.Duration, repeatable bool) string {
	var b strings.Builder
	for range n {
		at, retry, ok := l.Reserve(now, now.Add(wait), repeatable)
		if ok {
			fmt.Fprintf(&b, "sent after %v\n", at.Sub(now).Round(time.Millisecond))
		} else {
			fmt.Fprintf(&b, "back in %v\n", retry.Round(time.Millisecond))
		}
	}
	return b.String()
}
