package trace

import (
	"cmp"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/events"
)

// viewWindow is how long before a request's arrival view changes of its nodes are included: an ejection lasts at most 8 s.
const viewWindow = 10 * time.Second

// Story holds the lines of all logs that are about one request, or may explain its outcome.
type Story struct {
	// ID is the request's id.
	ID string
	// Lines are the lines about the request and about calls made on its behalf, by time.
	Lines []Line
	// ViewLines are the changes of the involved nodes' local views that may have decided the request, by time: for each
	// subject the latest change up to the request's arrival, and every change from then until its last line.
	ViewLines []Line
	// End is the ingress's line on how the request ended, nil if there is none.
	End *Line
	// Cut is set when view lines are missing because the logs held more than Log keeps.
	Cut bool
}

// Story joins the lines that were read.
func (l *Log) Story() Story {
	s := Story{ID: l.id, Lines: slices.Clone(l.requests), Cut: l.dropped}
	slices.SortStableFunc(s.Lines, byTime)
	for i := range s.Lines {
		if s.Lines[i].Request == l.id && ends(s.Lines[i].Event) {
			s.End = &s.Lines[i]
		}
	}
	s.ViewLines = l.viewLinesOf(s)
	return s
}

// byTime orders lines by their times, and those of the same time by their nodes.
func byTime(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node)) }

// ends reports whether an event is the ingress's line on how a request ended.
func ends(event int) bool {
	switch event {
	case events.RequestRefused.Number, events.RequestFailed.Number, events.RequestServed.Number, events.ServedLate.Number:
		return true
	}
	return false
}

// Arrival returns when the request came to its ingress, by that node's clock; without an end, the time of the first line.
func (s Story) Arrival() time.Time {
	if s.End == nil {
		if len(s.Lines) == 0 {
			return time.Time{}
		}
		return s.Lines[0].Time
	}
	return s.End.Time.Add(-time.Duration(s.End.After * float64(time.Millisecond)))
}

// involved holds the nodes and endpoints that the lines of a request name.
type involved struct {
	nodes     map[string]bool
	endpoints map[string]bool
}

// involved returns the nodes and endpoints that the request's lines name.
func (s Story) involved() involved {
	met := involved{nodes: make(map[string]bool), endpoints: make(map[string]bool)}
	for _, line := range s.Lines {
		met.nodes[line.Node] = true
		if line.Endpoint != "" {
			met.endpoints[line.Endpoint] = true
		}
		for _, step := range line.Trail {
			met.endpoints[step.Endpoint] = true
		}
	}
	return met
}

// subject identifies what a view line is about. Of the lines before the request, only the latest of each subject counts.
type subject struct {
	node, about string
	event       int
}

// viewLinesOf returns the view lines that may have decided the request: those of any node about its endpoints (phases only of
// its own nodes), and those of its nodes about links, the platform and configuration.
func (l *Log) viewLinesOf(s Story) []Line {
	if len(s.Lines) == 0 {
		return nil
	}
	met := s.involved()
	from, to := s.Arrival(), s.Lines[len(s.Lines)-1].Time
	latest := make(map[subject]Line)
	var out []Line
	for _, line := range l.viewLines {
		if line.Time.After(to) || line.Time.Before(from.Add(-viewWindow)) || !met.decides(line) {
			continue
		}
		if line.Time.After(from) {
			out = append(out, line)
			continue
		}
		key := subject{node: line.Node, about: line.Endpoint + line.Peer, event: group(line.Event)}
		if old, ok := latest[key]; !ok || old.Time.Before(line.Time) {
			latest[key] = line
		}
	}
	for _, line := range latest {
		// A state that is as usual, such as a link that is up or a closed breaker, decided nothing.
		if !settled(line) {
			out = append(out, line)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}

// decides reports whether a view line can have decided the request.
func (m involved) decides(line Line) bool {
	if line.Endpoint != "" {
		return m.endpoints[line.Endpoint] && (m.nodes[line.Node] || line.Event != events.PhaseChanged.Number)
	}
	return m.nodes[line.Node]
}

// group maps events that replace each other, such as link up and link closed, to one number.
func group(event int) int {
	switch event {
	case events.LinkUp.Number, events.LinkSuspect.Number, events.LinkClosed.Number, events.LinkReplaced.Number:
		return events.LinkUp.Number
	case events.PlatformLost.Number, events.PlatformBack.Number:
		return events.PlatformLost.Number
	}
	return event
}

// settled reports whether a line only says that a state is as usual.
func settled(line Line) bool {
	switch line.Event {
	case events.LinkUp.Number, events.PlatformBack.Number:
		return true
	case events.BreakerChanged.Number:
		return line.To == "closed"
	case events.PhaseChanged.Number:
		return line.To == "serving"
	case events.MaxRateChanged.Number:
		return line.Change == "ended"
	case events.EndpointAnnounced.Number:
		return !line.Leaving
	}
	return false
}
