package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/lynxplank/lynxplank/standin/backend"
)

// Tally is what became of the requests of one kind.
type Tally struct {
	// Sent counts the requests.
	Sent int
	// Ran, NotRun and Unknown count what the callers were told in the end.
	Ran, NotRun, Unknown int
	// Doubled counts requests that must not repeat and that endpoints began more than once.
	Doubled int
	// Cut counts answers that looked whole but were not the request's own whole answer, or that no endpoint finished.
	Cut int
	// FalseNotRun counts requests told as not run that an endpoint began.
	FalseNotRun int
}

// Reasons counts, by the system's own code, the requests that did not end as run.
func Reasons(results []Result) map[string]int {
	out := make(map[string]int)
	for _, r := range results {
		if r.Told != "ran" {
			out[r.Told+" "+r.Code]++
		}
	}
	return out
}

// Check holds what callers were told against the endpoints' own records.
func Check(results []Result, records []map[string]backend.Run) [kinds]Tally {
	var out [kinds]Tally
	for _, r := range results {
		started, finished := 0, 0
		for _, record := range records {
			started += record[r.Call].Started
			finished += record[r.Call].Finished
		}
		t := &out[r.Kind]
		t.Sent++
		switch r.Told {
		case "ran":
			t.Ran++
		case "not-run":
			t.NotRun++
		default:
			t.Unknown++
		}
		if r.Kind != Lookup && started > 1 {
			t.Doubled++
		}
		if r.Whole && r.Status == 200 && (!r.Own || finished == 0) {
			t.Cut++
		}
		if r.Told == "not-run" && started > 0 && r.Kind != Lookup {
			t.FalseNotRun++
		}
	}
	return out
}

// Print prints the table and returns whether nothing in it breaks a promise.
func Print(w io.Writer, tallies [kinds]Tally) bool {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "request\tsent\tran\tnot run\tunknown\tdoubled\tcut\tfalsely not run\t")
	good := true
	for k, c := range tallies {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", kindNames[k], c.Sent, c.Ran, c.NotRun, c.Unknown, c.Doubled, c.Cut, c.FalseNotRun)
		good = good && c.Doubled == 0 && c.Cut == 0 && c.FalseNotRun == 0 && c.Sent > 0
	}
	return t.Flush() == nil && good
}
