package trace

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Print writes the request's lines and the view lines by time, then the explanation. Times are relative to the request's
// arrival and by each node's own clock; clocks may differ between nodes.
func (s Story) Print(out io.Writer) error {
	all := slices.Concat(s.Lines, s.ViewLines)
	slices.SortStableFunc(all, byTime)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(all) > 0 {
		fmt.Fprintln(w, "MS\tNODE\tEVENT\tWHAT\tDETAILS")
	}
	start := s.Arrival()
	for _, line := range all {
		ms := float64(line.Time.Sub(start)) / float64(time.Millisecond)
		fmt.Fprintf(w, "%.1f\t%s\t%d\t%s\t%s\n", ms, line.Node, line.Event, line.Name, details(line, s.ID))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if s.Cut {
		fmt.Fprintln(out, "The logs held more lines on changes of nodes' local views than are kept; the last ones read are missing here.")
	}
	_, err := fmt.Fprintf(out, "\n%s\n", s.Explain())
	return err
}

// details formats the fields of a line that are set.
func details(line Line, id string) string {
	var parts []string
	add := func(name, value string) {
		if value != "" && value != "0" {
			parts = append(parts, name+"="+value)
		}
	}
	if line.Request != id {
		add("request", line.Request)
	}
	add("endpoint", line.Endpoint)
	add("peer", line.Peer)
	add("outcome", outcomes[line.Outcome])
	add("code", line.Code)
	add("status", strconv.Itoa(line.Status))
	if line.Nested {
		add("nested", "rounds:"+strconv.Itoa(line.Rounds))
	}
	add("to", line.To)
	add("breaker", line.Breaker)
	add("change", line.Change)
	if line.MaxRate != nil {
		add("max_rate", fmt.Sprintf("%g/s", *line.MaxRate))
	}
	if !line.RateSince.IsZero() {
		add("since", line.RateSince.Format(time.TimeOnly))
		add("refused", strconv.FormatUint(line.RateRefused, 10))
		add("delayed", strconv.FormatUint(line.RateDelayed, 10))
	}
	if line.Slots > 0 {
		add("busy", fmt.Sprintf("%d/%d", line.Busy, line.Slots))
	}
	add("queued", strconv.Itoa(line.Queued))
	add("config", strconv.FormatUint(line.Config, 10))
	add("hosts", strconv.FormatUint(line.Hosts, 10))
	if line.After > 0 {
		add("after", fmt.Sprintf("%.1fms", line.After))
	}
	if line.Cause != "" {
		add("error", strconv.Quote(line.Cause))
	}
	return strings.Join(parts, " ")
}
