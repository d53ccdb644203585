package trace

import (
	"encoding/json"
	"io"
	"time"

	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/events"
)

const (
	// longestLine is the longest line of a log that is read, in bytes; nodes write 25 KiB at most.
	longestLine = 1 << 20
	// mostBeliefs bounds the lines on what nodes believed that are held while a log is read: about 100 MB of log.
	mostBeliefs = 400000
)

// Line is one event of a node's log.
type Line struct {
	// Time is when it was written, by the node's own clock.
	Time time.Time `json:"time"`
	// Node is the node that wrote it.
	Node string `json:"node"`
	// Event and Name are the event's number and name.
	Event int    `json:"event"`
	Name  string `json:"name"`
	// Request is the request's id, "" where the line is not about one.
	Request string `json:"request"`
	// Service, Route and Endpoint are what the line names.
	Service  string `json:"service"`
	Route    string `json:"route"`
	Endpoint string `json:"endpoint"`
	// Peer is the address of another node.
	Peer string `json:"peer"`
	// Outcome, Code and Status say how it ended, as far as the line knows.
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	Status  int    `json:"status"`
	// After is how long it took, and Work the endpoint's part of it, in milliseconds.
	After float64 `json:"after"`
	Work  float64 `json:"work_ms"`
	// Aim is when an answer was wanted and Limit until when, in milliseconds from the request's arrival.
	Aim   float64 `json:"aim"`
	Limit float64 `json:"limit"`
	// Sends counts the hand-overs, Asked the endpoints that were asked.
	Sends int `json:"sends"`
	Asked int `json:"asked"`
	// Repeatable is set for requests that may run more than once.
	Repeatable bool `json:"repeatable"`
	// Config and Hosts are the configuration and the list of hosts that decided.
	Config uint64 `json:"config"`
	Hosts  uint64 `json:"hosts"`
	// Trail is who was asked and what came of it.
	Trail []Step `json:"trail"`
	// To and Breaker are states of an endpoint's breaker, or a phase.
	To      string `json:"to"`
	Breaker string `json:"breaker"`
	// Busy, Queued and Slots are what an endpoint had to do.
	Busy   int `json:"busy"`
	Queued int `json:"queued"`
	Slots  int `json:"slots"`
	// Trial and LastResort tell why an endpoint under suspicion had the request.
	Trial      bool `json:"trial"`
	LastResort bool `json:"last_resort"`
	// Leaving is set for an endpoint that takes nothing new.
	Leaving bool `json:"leaving"`
	// Cause is the failure in the node's words.
	Cause string `json:"error"`
}

// Step is one endpoint that was asked for a request.
type Step struct {
	// Endpoint is its key.
	Endpoint string `json:"endpoint"`
	// At is when it was asked, in milliseconds from the request's arrival.
	At int64 `json:"at_ms"`
	// Seen is how old the asking node's word of it was, in milliseconds, -1 for none.
	Seen int64 `json:"seen_ms"`
	// Outcome and Code are what came of it.
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
}

// Log is what is kept of the logs that were read.
type Log struct {
	id       string
	requests []Line
	beliefs  []Line
	// dropped is set when there were more beliefs than are held.
	dropped bool
}

// NewLog returns an empty log for a request's id.
func NewLog(id string) *Log { return &Log{id: id} }

// Read takes a log; each line may stand behind other text, as collectors of logs put before it. It fails with BadUsage for a
// line that is too long to be one of a node's.
func (l *Log) Read(r io.Reader) error {
	return readLines(r, l.take)
}

// take keeps a line that is an event and may matter to the story.
func (l *Log) take(text []byte) {
	var line Line
	if json.Unmarshal(text, &line) != nil || line.Event == 0 {
		return
	}
	switch {
	case l.concerns(line.Request):
		l.requests = append(l.requests, line)
	case line.Request != "" || !believes(line.Event):
		// It is about another request, or says nothing of what a node believes.
	case len(l.beliefs) < mostBeliefs:
		l.beliefs = append(l.beliefs, line)
	default:
		l.dropped = true
	}
}

// concerns tells whether an id is the request's, or that of a call which its endpoint made for it.
func (l *Log) concerns(id string) bool {
	return id == l.id || contract.IsCallOf(id, l.id)
}

// believes tells whether an event changes what a node believes or does.
func believes(event int) bool {
	switch event {
	case events.NodeStarted.Number, events.NodeStopping.Number, events.NodeStopped.Number, events.RevisionActivated.Number,
		events.PlatformLost.Number, events.PlatformBack.Number, events.ConfigReady.Number, events.HostReaped.Number,
		events.LinkUp.Number, events.LinkSuspect.Number, events.LinkClosed.Number, events.PhaseChanged.Number,
		events.EndpointAnnounced.Number, events.EndpointLeaving.Number, events.BreakerChanged.Number:
		return true
	}
	return false
}
