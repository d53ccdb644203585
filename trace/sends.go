package trace

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/lynxplank/lynxplank/events"
)

// Sends reports the dispatches to the endpoints of each service over time, from the logs of all nodes: first sends, and
// retries and hedges, for which the service's retry budget is asked.
type Sends struct {
	byService map[string][]sendCounts
}

// sendCounts holds the counts of one node's line on the sends to an endpoint, or a sum of such lines. First and Further count
// first sends, and retries and hedges. OfFurther estimates the calls that endpoints made while they handled a retry. Spent
// counts the retries that the budget refused.
type sendCounts struct {
	Event     int       `json:"event"`
	Service   string    `json:"service"`
	Time      time.Time `json:"time"`
	First     int       `json:"first"`
	Further   int       `json:"further"`
	OfFurther float64   `json:"of_further"`
	Spent     int       `json:"spent"`
}

// add returns the sum of two counts, with the time of the first.
func (h sendCounts) add(o sendCounts) sendCounts {
	h.First += o.First
	h.Further += o.Further
	h.OfFurther += o.OfFurther
	h.Spent += o.Spent
	return h
}

// beyond returns the number of additional sends: retries and hedges, and calls made while a retry was handled.
func (h sendCounts) beyond() float64 { return float64(h.Further) + h.OfFurther }

// NewSends returns an empty report.
func NewSends() *Sends { return &Sends{byService: make(map[string][]sendCounts)} }

// Read reads the log of a node, or the logs of several nodes in sequence. It fails with BadUsage if the log cannot be read or
// has a line that is too long to come from a node.
func (s *Sends) Read(r io.Reader) error {
	return readLines(r, func(object []byte) {
		var h sendCounts
		if json.Unmarshal(object, &h) == nil && h.Event == events.RetryCounts.Number {
			s.byService[h.Service] = append(s.byService[h.Service], h)
		}
	})
}

// worst returns the counts of the window with the most sends in addition to first ones, with the time of the window's first
// line. The lines must be sorted by time.
func worst(lines []sendCounts, window time.Duration) (sum sendCounts) {
	for i, from := range lines {
		in := sendCounts{Time: from.Time}
		for _, h := range lines[i:] {
			if h.Time.Sub(from.Time) >= window {
				break
			}
			in = in.add(h)
		}
		if in.beyond() > sum.beyond() || i == 0 {
			sum = in
		}
	}
	return sum
}

// Print writes a line for each service: the counts of its worst window, and those of the whole logs.
func (s *Sends) Print(out io.Writer, window time.Duration) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "service\tworst %s from\tfurther\tcalls of further\trefused\tfirst\tin all: further\tcalls of further\trefused\n", window)
	for _, service := range slices.Sorted(maps.Keys(s.byService)) {
		lines := slices.SortedFunc(slices.Values(s.byService[service]), func(a, b sendCounts) int { return a.Time.Compare(b.Time) })
		at, all := worst(lines, window), sendCounts{}
		for _, h := range lines {
			all = all.add(h)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%d\t%d\t%d\t%.1f\t%d\n", cmp.Or(service, "-"), at.Time.UTC().Format("15:04:05.0"),
			at.Further, at.OfFurther, at.Spent, at.First, all.Further, all.OfFurther, all.Spent)
	}
	return w.Flush()
}
