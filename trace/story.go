package trace

import (
	"cmp"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/events"
)

// beliefSpan is how long before a request what its nodes came to believe is shown: ejections last 8 s at most.
const beliefSpan = 10 * time.Second

// Story is what the logs tell of one request.
type Story struct {
	// ID is the request's id.
	ID string
	// Lines are the request's own lines in the order of their times.
	Lines []Line
	// Beliefs are what the nodes involved last came to believe of what they decided by: for each subject the latest line
	// before the request's end, and those from its arrival on.
	Beliefs []Line
	// End is the line of the ingress that tells how the request ended, nil if there is none.
	End *Line
	// Cut is set when the logs held more lines than are kept.
	Cut bool
}

// Story joins what was read.
func (l *Log) Story() Story {
	s := Story{ID: l.id, Lines: slices.Clone(l.requests), Cut: l.dropped}
	slices.SortStableFunc(s.Lines, byTime)
	for i := range s.Lines {
		if s.Lines[i].Request == l.id && ends(s.Lines[i].Event) {
			s.End = &s.Lines[i]
		}
	}
	s.Beliefs = l.beliefsOf(s)
	return s
}

// byTime orders lines by their times, at the same time by their nodes.
func byTime(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node)) }

// ends tells whether an event tells how a request ended at its ingress.
func ends(event int) bool {
	switch event {
	case events.RequestRefused.Number, events.RequestFailed.Number, events.RequestServed.Number, events.ServedLate.Number:
		return true
	}
	return false
}

// Arrival is when the request came to its ingress, by that node's clock.
func (s Story) Arrival() time.Time {
	if s.End == nil {
		if len(s.Lines) == 0 {
			return time.Time{}
		}
		return s.Lines[0].Time
	}
	return s.End.Time.Add(-time.Duration(s.End.After * float64(time.Millisecond)))
}

// involved are the nodes and endpoints that a request met.
type involved struct {
	nodes     map[string]bool
	endpoints map[string]bool
}

// involved returns whom the request's lines name.
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

// subject is what a belief is about: of one subject only the latest before the request counts.
type subject struct {
	node, about string
	event       int
}

// beliefsOf returns the lines on what decided the request: of its endpoints from wherever, of its nodes' links, store and
// configuration.
func (l *Log) beliefsOf(s Story) []Line {
	if len(s.Lines) == 0 {
		return nil
	}
	met := s.involved()
	from, to := s.Arrival(), s.Lines[len(s.Lines)-1].Time
	latest := make(map[subject]Line)
	var out []Line
	for _, line := range l.beliefs {
		if line.Time.After(to) || line.Time.Before(from.Add(-beliefSpan)) || !met.decides(line) {
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
		// A link that is up and a breaker that is closed decided nothing.
		if !settled(line) {
			out = append(out, line)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}

// decides tells whether a belief can have decided the request.
func (m involved) decides(line Line) bool {
	if line.Endpoint != "" {
		return m.endpoints[line.Endpoint] && (m.nodes[line.Node] || line.Event != events.PhaseChanged.Number)
	}
	return m.nodes[line.Node]
}

// group puts events together of which each ends what the other began.
func group(event int) int {
	switch event {
	case events.LinkUp.Number, events.LinkSuspect.Number, events.LinkClosed.Number:
		return events.LinkUp.Number
	case events.PlatformLost.Number, events.PlatformBack.Number:
		return events.PlatformLost.Number
	}
	return event
}

// settled tells whether a line only says that all is as usual.
func settled(line Line) bool {
	switch line.Event {
	case events.LinkUp.Number, events.PlatformBack.Number:
		return true
	case events.BreakerChanged.Number:
		return line.To == "closed"
	case events.PhaseChanged.Number:
		return line.To == "serving"
	case events.EndpointAnnounced.Number:
		return !line.Leaving
	}
	return false
}
