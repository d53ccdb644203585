package breaker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// spell is an endpoint that hangs for a while after its breaker has opened, with repeatable requests waiting for it all
// the time.
type spell struct {
	slots int
	// hang is how long it hangs on, service its service time.
	hang, service time.Duration
	// overdue is the age at which a trial counts as failed.
	overdue time.Duration
	// silentPercent is the share of requests sent during the hang that are not answered.
	silentPercent int
	slowStart     bool
}

// spellTrial is a trial at the endpoint; it ends at a time with a result.
type spellTrial struct {
	id   TrialID
	ends time.Time
	how  Result
}

// outcome is what one spell costs and how soon the endpoint is used again.
type outcome struct {
	// unanswered counts the requests that were not answered in time, most is how many there were at once.
	unanswered, most int
	// served counts the requests that were answered between the end of the hang and the closing.
	served int
	// closed is the time from the end of the hang to the closing.
	closed time.Duration
}

// run plays one spell in steps of a millisecond.
func (s spell) run(random *rand.Rand) outcome {
	cfg := DefaultConfig()
	cfg.SlowStart = s.slowStart
	b := New(cfg)
	b.SetSlots(s.slots)
	start := time.Unix(1000, 0)
	b.ForceOpen(start)
	var o outcome
	var trials []spellTrial
	for now := start; b.State() == Trial; now = now.Add(time.Millisecond) {
		trials = s.end(b, now, trials, start, &o)
		for len(trials) < s.slots && b.State() == Trial {
			_, id := b.Allow(now, Request{Repeatable: true, MedianTime: s.service})
			if id == 0 {
				break
			}
			t := spellTrial{id: id, ends: now.Add(s.service), how: OK}
			if now.Sub(start) < s.hang && random.IntN(100) < s.silentPercent {
				t.ends, t.how = now.Add(s.overdue), Overdue
				o.unanswered++
			}
			trials = append(trials, t)
		}
		silent := 0
		for _, t := range trials {
			if t.how == Overdue {
				silent++
			}
		}
		o.most = max(o.most, silent)
		o.closed = now.Sub(start) - s.hang
	}
	return o
}

// end reports the trials that end by a time and returns the others.
func (s spell) end(b *Breaker, now time.Time, trials []spellTrial, start time.Time, o *outcome) []spellTrial {
	var left []spellTrial
	for _, t := range trials {
		if t.ends.After(now) {
			left = append(left, t)
			continue
		}
		if t.how == OK && now.Sub(start) >= s.hang {
			o.served++
		}
		b.Report(now, t.how, t.id)
	}
	return left
}

// TestSpells plays the spells of testdata/spells, the mean of 200 each: it guards against a suspect that costs more
// callers, or is used later, than stated in docs/CAPACITY.md.
func TestSpells(t *testing.T) {
	datadriven.Walk(t, "testdata/spells", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s := spell{
				hang: duration(t, d, "hang"), service: duration(t, d, "service"), overdue: duration(t, d, "overdue"),
				slowStart: d.HasArg("slow"),
			}
			d.ScanArgs(t, "slots", &s.slots)
			d.ScanArgs(t, "silent", &s.silentPercent)
			const spells = 200
			random := rand.New(rand.NewPCG(1, 2))
			var sum outcome
			for range spells {
				o := s.run(random)
				sum.unanswered += o.unanswered
				sum.most = max(sum.most, o.most)
				sum.served += o.served
				sum.closed += o.closed
			}
			return fmt.Sprintf("unanswered=%.2f most=%d served=%.2f closed=%v\n", float64(sum.unanswered)/spells, sum.most,
				float64(sum.served)/spells, (sum.closed / spells).Round(time.Millisecond))
		})
	})
}
