package dedupe

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

var verdicts = []string{"grant", "replay", "in progress", "unknown", "mismatch", "full", "clean", "young"}

// TestScripts runs the scenarios of testdata. Commands:
//
//	home window=10m bytes=N
//	claim key=K [attempt=N] [print=N] [fence] [covered] [vouched] [within=1s]
//	finish key=K [body=TEXT] [lost]
//	release key=K
//	wait for=1m
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var h *Store
		now := time.Unix(0, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			id := ID{Scope: "s"}
			d.MaybeScanArgs(t, "key", &id.Key)
			switch d.Cmd {
			case "home":
				most := 1 << 20
				d.MaybeScanArgs(t, "bytes", &most)
				h = NewStore(span(t, d, "window", "10m"), most)
			case "claim":
				c := Claim{ID: id, Fence: d.HasArg("fence"), CompleteHistory: d.HasArg("covered"), Vouched: d.HasArg("vouched"), Deadline: now.Add(span(t, d, "within", "1s"))}
				d.MaybeScanArgs(t, "attempt", &c.Attempt)
				d.MaybeScanArgs(t, "print", &c.Fingerprint)
				v, a := h.Claim(now, c)
				return strings.TrimSpace(verdicts[v]+" "+string(a.Body)) + "\n"
			case "finish":
				body := ""
				d.MaybeScanArgs(t, "body", &body)
				outcome := peerpb.Outcome_OUTCOME_RAN
				if d.HasArg("lost") {
					outcome = peerpb.Outcome_OUTCOME_UNKNOWN
				}
				h.Finish(now, id, outcome, Answer{Head: &peerpb.Head{Status: 200}, Body: []byte(body), Stored: true})
			case "release":
				h.Release(now, id)
			case "wait":
				now = now.Add(span(t, d, "for", "1s"))
			default:
				d.Fatalf(t, "no such command")
			}
			return fmt.Sprintf("%d keys\n", h.Len())
		})
	})
}

func span(t *testing.T, d *datadriven.TestData, name, value string) time.Duration {
	t.Helper()
	d.MaybeScanArgs(t, name, &value)
	v, err := time.ParseDuration(value)
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return v
}

// TestOneGrantUntilRelease checks on random sequences of one home that between two grants of a key there is a release,
// and that a key that ran is never granted again within the window.
func TestOneGrantUntilRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewStore(time.Minute, 64<<10)
		now := time.Unix(0, 0)
		type life struct {
			held, ran bool
			at        time.Time
		}
		lives := map[ID]life{}
		key := rapid.Custom(func(t *rapid.T) ID { return ID{"s", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")} })
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				c := Claim{
					ID: key.Draw(t, "id"), Attempt: rapid.Uint32Range(0, 3).Draw(t, "attempt"),
					Fence: rapid.Bool().Draw(t, "fence"), CompleteHistory: rapid.Bool().Draw(t, "covered"), Vouched: rapid.Bool().Draw(t, "vouched"),
					Deadline: now.Add(time.Second),
				}
				v, _ := h.Claim(now, c)
				if v != Grant {
					return
				}
				l := lives[c.ID]
				if l.held || l.ran && now.Sub(l.at) <= time.Minute {
					t.Fatalf("claim of %v: got a grant while held=%v ran=%v, want none", c.ID, l.held, l.ran)
				}
				lives[c.ID] = life{held: true, at: now}
			},
			"finish": func(t *rapid.T) {
				id := key.Draw(t, "id")
				if lives[id].held {
					h.Finish(now, id, peerpb.Outcome_OUTCOME_RAN, Answer{})
					lives[id] = life{ran: true, at: now}
				}
			},
			"release": func(t *rapid.T) {
				id := key.Draw(t, "id")
				if lives[id].held {
					h.Release(now, id)
					lives[id] = life{}
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "s")) * time.Second)
				for id, l := range lives {
					if now.Sub(l.at) > time.Minute {
						lives[id] = life{}
					}
				}
			},
		})
	})
}
