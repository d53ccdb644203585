package slotsearch

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// TestScripts runs the scenarios of testdata, which guard against requests that ask endpoint after endpoint of a full
// service, and against a search that stays narrow once endpoints are free. Commands:
//
//	offers accepted=N refused=N    records offers, the refused ones first
//	limit of=N                     prints how many endpoints a request may ask
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s Search
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var accepted, refused, limit int
			d.MaybeScanArgs(t, "accepted", &accepted)
			d.MaybeScanArgs(t, "refused", &refused)
			d.MaybeScanArgs(t, "of", &limit)
			switch d.Cmd {
			case "offers":
				for range refused {
					s.Record(false)
				}
				for range accepted {
					s.Record(true)
				}
				return fmt.Sprintf("accepted %.2f\n", s.Accepted())
			case "limit":
				return fmt.Sprintln(s.MaxOffers(limit))
			}
			d.Fatalf(t, "no such command")
			return ""
		})
	})
}

// TestOneOfManyIsAlwaysAsked checks for random results that a search is never over its limit and never asks nobody,
// and that it is at its limit while no offer is refused.
func TestOneOfManyIsAlwaysAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Search
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		results := rapid.SliceOfN(rapid.Bool(), 0, 200).Draw(t, "results")
		anyRefused := false
		for _, accepted := range results {
			anyRefused = anyRefused || !accepted
			s.Record(accepted)
		}
		got := s.MaxOffers(limit)
		if got < 1 || got > limit {
			t.Fatalf("offers: got %d, want 1 to %d", got, limit)
		}
		if !anyRefused && got != limit {
			t.Fatalf("offers while none is refused: got %d, want %d", got, limit)
		}
	})
}
