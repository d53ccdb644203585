package admission

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestScripts runs the scenarios of testdata. Commands:
//
//	queue slots=N most=N service=5ms     a new queue that has seen that service time
//	offer id=N by=NAME [weight=W] [work=5ms] within=50ms
//	done [took=5ms]
//	cancel id=N
//	wait for=10ms
//	expire
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var q *Queue
		now := time.Unix(0, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out []Decision
			switch d.Cmd {
			case "queue":
				q = NewQueue(number(t, d, "slots"), number(t, d, "most"), rand.New(rand.NewPCG(1, 1)))
				q.service = span(t, d, "service").Seconds()
			case "offer":
				r := Request{ID: uint64(number(t, d, "id")), Weight: 1, Deadline: now.Add(span(t, d, "within"))}
				d.ScanArgs(t, "by", &r.Customer)
				d.MaybeScanArgs(t, "weight", &r.Weight)
				if d.HasArg("work") {
					text := ""
					d.ScanArgs(t, "work", &text)
					r.ServiceTime, _ = time.ParseDuration(text)
				}
				decision, evicted := q.Offer(now, r)
				out = append([]Decision{decision}, evicted...)
			case "done":
				out = q.Done(now, span(t, d, "took"))
			case "expire":
				out = q.Expire(now)
			case "cancel":
				return fmt.Sprintln(q.Cancel(uint64(number(t, d, "id"))))
			case "wait":
				now = now.Add(span(t, d, "for"))
			default:
				d.Fatalf(t, "no such command")
			}
			return show(q, out)
		})
	})
}

func number(t *testing.T, d *datadriven.TestData, name string) int {
	t.Helper()
	var n int
	d.ScanArgs(t, name, &n)
	return n
}

func span(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	t.Helper()
	text := "5ms"
	d.MaybeScanArgs(t, name, &text)
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return v
}

func show(q *Queue, list []Decision) string {
	var b strings.Builder
	for _, d := range list {
		fmt.Fprintf(&b, "%d %s", d.ID, []string{"run", "wait", "refuse"}[d.Action])
		if d.Action == Refuse {
			fmt.Fprintf(&b, " %s come back in %s", d.Code, d.RetryAfter.Round(time.Millisecond))
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(&b, "busy %d waiting %d\n", q.Busy(), q.Waiting())
	return b.String()
}

// TestQueueProperties checks on random sequences that slots are never exceeded, that every request gets exactly one
// final decision, and that none waits while a slot is free.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		q := NewQueue(slots, rapid.IntRange(0, 8).Draw(t, "most"), rand.New(rand.NewPCG(1, 1)))
		now := time.Unix(0, 0)
		next := uint64(0)
		state := map[uint64]Action{}
		settle := func(list []Decision) {
			for _, d := range list {
				if before, ok := state[d.ID]; ok && before != Wait {
					t.Fatalf("request %d: got a second final decision %v after %v, want one", d.ID, d.Action, before)
				}
				state[d.ID] = d.Action
			}
		}
		running := func() (n int) {
			for _, a := range state {
				if a == Run {
					n++
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				next++
				decision, evicted := q.Offer(now, Request{
					ID: next, Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "by"),
					Weight:   rapid.Float64Range(0.1, 4).Draw(t, "weight"),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "within")) * time.Millisecond),
				})
				settle(evicted)
				settle([]Decision{decision})
			},
			"done": func(t *rapid.T) {
				for id, a := range state {
					if a == Run {
						delete(state, id)
						settle(q.Done(now, time.Duration(rapid.IntRange(1, 50).Draw(t, "took"))*time.Millisecond))
						return
					}
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if got, want := running(), slots; got > want {
					t.Fatalf("running: got %d, want at most %d", got, want)
				}
				if got, want := q.Busy(), running(); got != want {
					t.Fatalf("busy: got %d, want %d", got, want)
				}
				if q.Waiting() > 0 && q.Busy() < slots {
					t.Fatalf("got %d waiting with a free slot, want none", q.Waiting())
				}
			},
		})
	})
}
