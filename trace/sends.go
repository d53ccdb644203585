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

// Sends is what was handed to the endpoints of each service over time, as the logs of all nodes tell: first sends and
// further ones, for which the service's retries were asked.
type Sends struct {
	byService map[string][]handed
}

// handed is one node's line of what was handed to an endpoint.
type handed struct {
	Event     int       `json:"event"`
	Service   string    `json:"service"`
	Time      time.Time `json:"time"`
	First     int       `json:"first"`
	Further   int       `json:"further"`
	OfFurther float64   `json:"of_further"`
	Spent     int       `json:"spent"`
}

// add sums up counts.
func (h handed) add(o handed) handed {
	h.First += o.First
	h.Further += o.Further
	h.OfFurther += o.OfFurther
	h.Spent += o.Spent
	return h
}

// beyond is how many sends went beyond the first ones.
func (h handed) beyond() float64 { return float64(h.Further) + h.OfFurther }

// NewSends returns an empty report.
func NewSends() *Sends { return &Sends{byService: make(map[string][]handed)} }

// Read takes a node's log, or several one after the other. It fails with BadUsage for a line that is too long to be one of a
// node's.
func (s *Sends) Read(r io.Reader) error {
	return readLines(r, func(object []byte) {
		var h handed
		if json.Unmarshal(object, &h) == nil && h.Event == events.RetryCounts.Number {
			s.byService[h.Service] = append(s.byService[h.Service], h)
		}
	})
}

// worst returns the window with the most sends beyond the first, by its counts and its first line's time; lines are in the
// order of their time.
func worst(lines []handed, window time.Duration) (sum handed) {
	for i, from := range lines {
		in := handed{Time: from.Time}
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

// Print writes a line for each service: its worst window, and all of the logs.
func (s *Sends) Print(out io.Writer, window time.Duration) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "service\tworst %s from\tfurther\tcalls of further\trefused\tfirst\tin all: further\tcalls of further\trefused\n", window)
	for _, service := range slices.Sorted(maps.Keys(s.byService)) {
		lines := slices.SortedFunc(slices.Values(s.byService[service]), func(a, b handed) int { return a.Time.Compare(b.Time) })
		at, all := worst(lines, window), handed{}
		for _, h := range lines {
			all = all.add(h)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%d\t%d\t%d\t%.1f\t%d\n", cmp.Or(service, "-"), at.Time.UTC().Format("15:04:05.0"),
			at.Further, at.OfFurther, at.Spent, at.First, all.Further, all.OfFurther, all.Spent)
	}
	return w.Flush()
}
