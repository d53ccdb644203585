package trace

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
)

// causes explains for each code what decided the request's outcome, and names the events to look at next.
var causes = map[fault.Code]string{
	fault.Suspect: "every endpoint that was asked had just failed work, so its breaker admitted only trials; " +
		"see when their breakers opened (406) and what failed there (407)",
	fault.DeadlineTooShort: "the queues were so long that the work could not have ended in time; see how busy the endpoints " +
		"were (408) and which were out of use (400, 406)",
	fault.Overloaded: "the slots and queues of the endpoints that were asked were full; see which were out of use (400, 406)",
	fault.Busy:       "no endpoint that was asked had a free slot",
	fault.NoEndpoint: "the ingress knew no endpoint that takes new work: all draining, ejected, out of reach or tried before; " +
		"see its links (301, 302) and phases (400)",
	fault.Draining: "the endpoint was leaving, or its node was stopping, and the ingress did not know yet",
	fault.Throttled: "the service refused most requests of the route, so the node refused this one at once and asked no endpoint; see 420 for how many, " +
		"408 for what the endpoints lacked",
	fault.MaxRate: "the endpoints that were asked state a rate that leaves no room for it; see 417 for since when",
	fault.Cold:    "the endpoints that were asked were cold, or may have been, and took no more; see 404 for when they began",
	fault.Stopping: "the node that took the request was stopping, and no endpoint had taken it while its work could still have " +
		"finished before the stop; " +
		"see 101 there",
	fault.CallerSlow:  "the caller read too slowly, and the endpoint's node had no memory left to buffer the rest of the answer (110)",
	fault.MemorySpent: "the node's memory for bodies was exhausted, so it did not read this one; see 110 for how much it held",
	fault.OutOfRegion: "the data of the route or the customer may be in some regions alone, and no endpoint there takes new work, or the " +
		"node that was asked stands elsewhere; see the regions of the route, the customer and the halls",
	fault.Evacuated: "the endpoint's hall was evacuated, and the ingress did not know yet; see 211 at both nodes",
	fault.WrongHost: "the endpoint no longer stands beside that node, and the ingress went by an older list of hosts; compare " +
		"`hosts` with the revision in force there (200)",
	fault.EndpointMoved: "another endpoint stands at the address by now and refused the request; compare `hosts` with 404 at its node",
	fault.Stale: "the ingress went by an older configuration than the endpoint's node; compare `config` with event 200 of " +
		"both nodes",
	fault.LinkDown:            "the endpoint's node could not be reached, so the request was not dispatched; see the link (301, 302)",
	fault.LinkLost:            "the link broke after the request was dispatched, and the answer could not be fetched another way before the deadline; see 502",
	fault.OfferLapsed:         "the slot that was offered was not taken in time, usually because the link was slow",
	fault.EndpointUnreachable: "the endpoint took no connection",
	fault.EndpointShed:        "the endpoint itself refused the work and said that it did not run it",
	fault.EndpointCut: "the endpoint broke off before its answer was whole, so whether the work ran cannot be known here; see " +
		"407 for what came",
	fault.EndpointHung: "the endpoint had the request and answered nothing for longer than almost all such requests take, so it was ended for another " +
		"request that needed the slot; see 421",
	fault.DeadlineExceeded: "the endpoint had the request and had not answered when the time ran out",
	fault.Canceled:         "the caller went away",
	fault.RetryBudget:      "the service's retry budget was exhausted",
	fault.NotReady:         "the node held no configuration, or could not confirm that it is the newest",
	fault.UnknownRoute:     "the newest configuration has no route for this host and path",
	fault.UnknownToken:     "the key that the caller sent belongs to no customer in the newest configuration",
	fault.CustomerLimit:    "the customer sent more than its limit",
	fault.BadRequest:       "the request is malformed; `where` names the place",
	fault.BadDeadline:      "the deadline that came with the request cannot be read",
	fault.BodyTooLarge:     "the body is larger than the listener takes",
}

// outcomes gives the wording for whether a request ran.
var outcomes = map[string]string{
	"OUTCOME_RAN": "ran", "OUTCOME_NOT_RUN": "was not run", "OUTCOME_UNKNOWN": "may have run",
}

// Explain describes in a paragraph what happened to the request and what decided its outcome.
func (s Story) Explain() string {
	if len(s.Lines) == 0 {
		return fmt.Sprintf("No line names request %s. It was served and is not in the sample of served requests (109 counts "+
			"those left out), or it never reached a node whose log was read.", s.ID)
	}
	if s.End == nil {
		return fmt.Sprintf("No line tells how request %s ended at its ingress: that node was killed with the request in flight, "+
			"its log was not read, or the request was served and is not in the sample. What other nodes did for it stands above.", s.ID)
	}
	var b strings.Builder
	e := s.End
	fmt.Fprintf(&b, "Request %s came to node %s at %s", s.ID, e.Node, s.Arrival().Format(time.RFC3339Nano))
	if e.Service != "" {
		fmt.Fprintf(&b, " for service %s, by configuration %d and hosts %d", e.Service, e.Config, e.Hosts)
	}
	b.WriteString(". ")
	s.explainNested(&b)
	s.explainTrail(&b)
	s.explainEnd(&b)
	s.explainCalls(&b)
	return strings.TrimSpace(b.String())
}

// explainNested says how often a nested call looked for capacity.
func (s Story) explainNested(b *strings.Builder) {
	switch {
	case !s.End.Nested:
	case s.End.Rounds > 1:
		fmt.Fprintf(b, "It is a call of an endpoint's own work (nested) and looked for capacity in %d rounds. ", s.End.Rounds)
	default:
		b.WriteString("It is a call of an endpoint's own work (nested). ")
	}
}

// explainTrail lists the endpoints that were asked, when, and with which result.
func (s Story) explainTrail(b *strings.Builder) {
	for i, step := range s.End.Trail {
		if i == 0 {
			fmt.Fprintf(b, "%d endpoints were asked: ", s.End.Asked)
		} else {
			b.WriteString("; ")
		}
		fmt.Fprintf(b, "%s after %d ms (%s): %s", step.Endpoint, step.At, ageOf(step.Seen), resultOf(step))
	}
	if len(s.End.Trail) > 0 {
		b.WriteString(". ")
	}
}

// ageOf describes the age of the latest report from an endpoint, in milliseconds, -1 for none.
func ageOf(seen int64) string {
	if seen < 0 {
		return "no word of it yet"
	}
	return fmt.Sprintf("last word of it %d ms old", seen)
}

// resultOf describes the result of asking one endpoint.
func resultOf(step Step) string {
	word := outcomes[step.Outcome]
	if word == "" {
		word = "told nothing"
	}
	if step.Code != "" {
		return word + ", " + step.Code
	}
	return word
}

// explainEnd describes how the request ended and what decided it.
func (s Story) explainEnd(b *strings.Builder) {
	e := s.End
	word := outcomes[e.Outcome]
	if e.Event == events.RequestRefused.Number {
		word = outcomes["OUTCOME_NOT_RUN"]
	}
	fmt.Fprintf(b, "It %s and ended after %.0f ms", word, e.After)
	if e.Status != 0 {
		fmt.Fprintf(b, " with the endpoint's own status %d", e.Status)
	}
	if cause, ok := causes[fault.Code(e.Code)]; ok {
		fmt.Fprintf(b, " as %s: %s", e.Code, cause)
	} else if e.Status >= http.StatusInternalServerError {
		b.WriteString(": the endpoint itself failed the work")
	}
	b.WriteString(". ")
	if e.Event == events.ServedLate.Number {
		s.explainLate(b)
	}
}

// explainLate says where the time of a request was spent, if it missed its latency target.
func (s Story) explainLate(b *strings.Builder) {
	e := s.End
	if e.Aim == 0 || e.After <= e.Aim {
		fmt.Fprintf(b, "It was in time, and was handed over %d times. ", e.Sends)
		return
	}
	fmt.Fprintf(b, "It was wanted within %.0f ms; the endpoint took %.0f ms for the work, %.0f ms went before and after it. ",
		e.Aim, e.Work, e.After-e.Work)
}

// explainCalls names the failed calls that endpoints made on the request's behalf.
func (s Story) explainCalls(b *strings.Builder) {
	for _, line := range s.Lines {
		if line.Request != s.ID && line.Event == events.RequestFailed.Number {
			fmt.Fprintf(b, "The endpoint's call %s to service %s failed as %s at node %s%s. ", line.Request, line.Service,
				codeOf(line), line.Node, roundsOf(line))
		}
	}
}

// roundsOf says in how many rounds a nested call looked for capacity, if there were several.
func roundsOf(line Line) string {
	if line.Rounds <= 1 {
		return ""
	}
	return fmt.Sprintf(" after %d rounds", line.Rounds)
}

// codeOf returns the code of a failed request, or the endpoint's own status where there is no code.
func codeOf(line Line) string {
	if line.Code != "" {
		return line.Code
	}
	return fmt.Sprintf("status %d", line.Status)
}
