package trace

import (
	"encoding/json"
	"io"
	"time"

	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/events"
)

const (
	// maxLineBytes bounds the length of a log line that is read; nodes write at most 25 KiB in a line.
	maxLineBytes = 1 << 20
	// maxViewLines bounds the lines on changes of nodes' local views that are held while a log is read: about 100 MB of log.
	maxViewLines = 400000
)

// Line is one event of a node's log.
type Line struct {
	// Time is when the line was written, by the node's own clock.
	Time time.Time `json:"time"`
	// Node is the name of the node that wrote the line.
	Node string `json:"node"`
	// Event and Name are the event's number and name.
	Event int    `json:"event"`
	Name  string `json:"name"`
	// Request is the request's id, "" where the line is not about a request.
	Request string `json:"request"`
	// Service, Route and Endpoint are the ones that the line names, "" for none.
	Service  string `json:"service"`
	Route    string `json:"route"`
	Endpoint string `json:"endpoint"`
	// Peer is the address of the other node, in lines about links.
	Peer string `json:"peer"`
	// Outcome, Code and Status say how the request ended, as far as the line tells.
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	Status  int    `json:"status"`
	// After is how long the request took, and Work the endpoint's share of that time, in milliseconds.
	After float64 `json:"after"`
	Work  float64 `json:"work_ms"`
	// Aim is the request's latency target and Limit its deadline, in milliseconds from its arrival.
	Aim   float64 `json:"aim"`
	Limit float64 `json:"limit"`
	// Count is how many requests the line stands for, 0 for one.
	Count int `json:"count"`
	// Sends counts the dispatches to endpoints, Asked the offers to endpoints.
	Sends int `json:"sends"`
	Asked int `json:"asked"`
	// Nested is set for a call that an endpoint made while it handled another request, Rounds is how often it looked for
	// capacity.
	Nested bool `json:"nested"`
	Rounds int  `json:"rounds"`
	// Repeatable is set for requests that may run more than once.
	Repeatable bool `json:"repeatable"`
	// Config and Hosts are the revisions of the configuration and of the list of hosts by which the node decided.
	Config uint64 `json:"config"`
	Hosts  uint64 `json:"hosts"`
	// Trail lists the endpoints that were asked, in order, with the result of each.
	Trail []Step `json:"trail"`
	// To is the new state of an endpoint's breaker or its new phase, Breaker the state of its breaker.
	To      string `json:"to"`
	Breaker string `json:"breaker"`
	// Busy, Queued and Slots are the endpoint's requests that run, its requests that wait, and its number of slots.
	Busy   int `json:"busy"`
	Queued int `json:"queued"`
	Slots  int `json:"slots"`
	// Trial and LastResort tell why an endpoint whose breaker was not closed received the request.
	Trial      bool `json:"trial"`
	LastResort bool `json:"last_resort"`
	// MaxRate is the rate that the endpoint states, in requests a second, Change what became of it, RateSince when the
	// endpoint began to state a rate. RateRefused and RateDelayed count the requests that this has cost.
	MaxRate     *float64  `json:"max_rate"`
	Change      string    `json:"change"`
	RateSince   time.Time `json:"rate_since"`
	RateRefused uint64    `json:"rate_refused"`
	RateDelayed uint64    `json:"rate_delayed"`
	// Leaving is set for an endpoint that is draining.
	Leaving bool `json:"leaving"`
	// Cause is the error text that the node logged.
	Cause string `json:"error"`
}

// Step is one attempt to place a request at an endpoint.
type Step struct {
	// Endpoint is the endpoint's key.
	Endpoint string `json:"endpoint"`
	// At is when the endpoint was asked, in milliseconds from the request's arrival.
	At int64 `json:"at_ms"`
	// Seen is the age of the asking node's latest report from the endpoint, in milliseconds, -1 if it had none.
	Seen int64 `json:"seen_ms"`
	// Outcome and Code are the result of the attempt.
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
}

// Log holds the lines of the logs read that may matter to one request.
type Log struct {
	id        string
	requests  []Line
	viewLines []Line
	// dropped is set when view lines were discarded because there were more than maxViewLines.
	dropped bool
}

// NewLog returns an empty log for a request's id.
func NewLog(id string) *Log { return &Log{id: id} }

// Read reads a log. Its lines may begin with other text, such as the prefix that a log collector adds. It fails with BadUsage
// if the log cannot be read or has a line that is too long to come from a node.
func (l *Log) Read(r io.Reader) error {
	return readLines(r, l.take)
}

// take keeps a line that is an event and may matter to the request.
func (l *Log) take(text []byte) {
	var line Line
	if json.Unmarshal(text, &line) != nil || line.Event == 0 {
		return
	}
	switch {
	case l.concerns(line.Request):
		l.requests = append(l.requests, line)
	case line.Request != "" || !changesView(line.Event):
		// The line is about another request, or changes no node's local view.
	case len(l.viewLines) < maxViewLines:
		l.viewLines = append(l.viewLines, line)
	default:
		l.dropped = true
	}
}

// concerns reports whether an id is the request's own, or that of a call made on its behalf by an endpoint.
func (l *Log) concerns(id string) bool {
	return id == l.id || contract.IsCallOf(id, l.id)
}

// changesView reports whether an event changes a node's local view of the fleet, or the node's own state.
func changesView(event int) bool {
	switch event {
	case events.NodeStarted.Number, events.NodeStopping.Number, events.NodeStopped.Number, events.ProcessPaused.Number, events.RevisionActivated.Number,
		events.PlatformLost.Number, events.PlatformBack.Number, events.ConfigReady.Number, events.HostReaped.Number,
		events.LinkUp.Number, events.LinkSuspect.Number, events.LinkClosed.Number,
		events.LinkReplaced.Number, events.PhaseChanged.Number,
		events.EndpointAnnounced.Number, events.EndpointLeaving.Number, events.BreakerChanged.Number,
		events.MaxRateChanged.Number:
		return true
	}
	return false
}
