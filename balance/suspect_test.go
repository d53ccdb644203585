package balance

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSuspects runs the scenarios of testdata/suspects. They guard against requests that go to a suspect although it
// has no room, is unlikely to answer or has not reported lately, or although a queue would serve them in time.
// Commands:
//
//	room [min=0.6]     prints which of the suspects in the input are chosen by room, and how often in 1000 choices
//	last [min=0.6]     the same for last resorts
//	full               prints which suspects are not asked
//	wait limit=200ms   prints whether a request can wait in the queue of one of the candidates in the input
//
// A line of a suspect is "chance room age [busy]", a line of a candidate "latency outstanding slots".
func TestSuspects(t *testing.T) {
	datadriven.Walk(t, "testdata/suspects", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			minChance := 0.0
			if d.HasArg("min") {
				var text string
				d.ScanArgs(t, "min", &text)
				if _, err := fmt.Sscan(text, &minChance); err != nil {
					d.Fatalf(t, "%v", err)
				}
			}
			switch d.Cmd {
			case "room":
				return countChoices(t, d, func(s []Suspect, r *rand.Rand) int { return LikeliestWithRoom(s, minChance, r) })
			case "last":
				return countChoices(t, d, func(s []Suspect, r *rand.Rand) int { return Likeliest(s, minChance, r) })
			case "full":
				var full []int
				for i, s := range parseSuspects(t, d) {
					if s.Full() {
						full = append(full, i)
					}
				}
				return fmt.Sprintln(full)
			case "wait":
				var text string
				d.ScanArgs(t, "limit", &text)
				return fmt.Sprintln(CanWait(parseCandidates(t, d), parseDuration(t, d, text)))
			}
			d.Fatalf(t, "no such command")
			return ""
		})
	})
}

// countChoices chooses 1000 times and returns the chosen indexes with their counts, rounded to hundreds.
func countChoices(t *testing.T, d *datadriven.TestData, choose func([]Suspect, *rand.Rand) int) string {
	t.Helper()
	const choices = 1000
	suspects := parseSuspects(t, d)
	random := rand.New(rand.NewPCG(1, 2))
	counts := make(map[int]int)
	for range choices {
		counts[choose(suspects, random)]++
	}
	for i := range counts {
		counts[i] = (counts[i] + choices/20) / (choices / 10) * (choices / 10)
	}
	return fmt.Sprintln(counts)
}

func parseDuration(t *testing.T, d *datadriven.TestData, text string) time.Duration {
	t.Helper()
	span, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return span
}

func parseSuspects(t *testing.T, d *datadriven.TestData) []Suspect {
	t.Helper()
	var suspects []Suspect
	for line := range strings.Lines(d.Input) {
		var s Suspect
		var age string
		if _, err := fmt.Sscan(line, &s.Chance, &s.Room, &age); err != nil {
			d.Fatalf(t, "%s: %v", line, err)
		}
		s.Age, s.Busy = parseDuration(t, d, age), strings.Contains(line, "busy")
		suspects = append(suspects, s)
	}
	return suspects
}

func parseCandidates(t *testing.T, d *datadriven.TestData) []Candidate {
	t.Helper()
	var candidates []Candidate
	for line := range strings.Lines(d.Input) {
		var c Candidate
		var latency string
		if _, err := fmt.Sscan(line, &latency, &c.Outstanding, &c.Slots); err != nil {
			d.Fatalf(t, "%s: %v", line, err)
		}
		c.Latency = parseDuration(t, d, latency)
		candidates = append(candidates, c)
	}
	return candidates
}
