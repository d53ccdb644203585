package ingress

import (
	"net/http"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// lost tells that a request was handed over and that its link broke.
func lost(end *peerpb.End) bool {
	return end.GetOutcome() == peerpb.Outcome_OUTCOME_UNKNOWN && fault.Code(end.GetCode()) == fault.LinkLost
}

// worked tells whether an end is evidence about the endpoint. A lost link is evidence about the link, and a refusal
// about load, an answer that its caller read too slowly about the caller; what timed out counts against the endpoint, which had the request.
func worked(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.LinkLost, fault.LinkDown, fault.Canceled, fault.CallerSlow, fault.Protocol, fault.OfferLapsed:
		return false
	case fault.EndpointUnreachable, fault.DeadlineExceeded, fault.EndpointCut:
		return true
	}
	return end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN
}

// failed tells whether a caller has not had a whole answer with the work done: one that broke off or says 5xx has not.
func (a *answer) failed(end *peerpb.End) bool {
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN || !end.GetComplete() {
		return true
	}
	return a.head.GetStatus() >= http.StatusInternalServerError
}

// declined tells that an endpoint turned the request away for want of a slot or of trust, before anything was sent.
func declined(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.Busy, fault.Suspect, fault.Cold, fault.OfferLapsed:
		return end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return false
}

// crowded tells that an egress had no room for a request, which its endpoint has not seen.
func crowded(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.Overloaded, fault.DeadlineTooShort:
		return end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return false
}

// misplaced tells that the sender's view was old, or its link down.
func misplaced(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.Draining, fault.Evacuated, fault.OutOfRegion, fault.WrongHost, fault.EndpointMoved, fault.LinkDown, fault.Stale:
		return end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return false
}

// reached tells that an endpoint may have had the request, whether it ran it or not: whatever it is sent to next is a further
// send, for which the service's retries are asked.
func reached(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.EndpointShed, fault.EndpointMoved:
		return true
	}
	return end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN
}

// truth makes the last end speak for the whole request: what an earlier send may have run is never told as not run.
func (x *exchange) truth(end *peerpb.End) *peerpb.End {
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
		return end
	}
	if x.ran || x.unknown {
		end.Outcome = peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return end
}
