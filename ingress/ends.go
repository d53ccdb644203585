package ingress

import (
	"net/http"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// linkLost reports whether a request was dispatched and its link broke afterwards.
func linkLost(end *peerpb.End) bool {
	return end.GetOutcome() == peerpb.Outcome_OUTCOME_UNKNOWN && fault.Code(end.GetCode()) == fault.LinkLost
}

// isEndpointSample reports whether an end says something about the endpoint. A lost link does not, nor does a refusal
// for load or an answer that its caller read too slowly. A timeout does, since the endpoint had the request.
func isEndpointSample(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.LinkLost, fault.LinkDown, fault.Canceled, fault.CallerSlow, fault.Protocol, fault.OfferLapsed:
		return false
	case fault.EndpointUnreachable, fault.DeadlineExceeded, fault.EndpointCut, fault.EndpointHung:
		return true
	}
	return end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN
}

// failed reports whether the caller has no complete, successful answer: the answer broke off or has a 5xx status.
func (a *answer) failed(end *peerpb.End) bool {
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN || !end.GetComplete() {
		return true
	}
	return a.head.GetStatus() >= http.StatusInternalServerError
}

// declined reports whether an endpoint refused the request before it was sent, because it had no free slot or was under
// suspicion, or because the offered slot was not taken in time.
func declined(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.Busy, fault.Suspect, fault.Cold, fault.MaxRate, fault.OfferLapsed:
		return end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return false
}

// seemsBusy reports whether the endpoint is to be avoided for a moment. One that keeps to its stated rate says itself for
// how long.
func seemsBusy(end *peerpb.End) bool {
	return (declined(end) || misrouted(end)) && fault.Code(end.GetCode()) != fault.MaxRate
}

// egressFull reports whether an egress had no capacity for a request, which its endpoint has not seen.
func egressFull(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.Overloaded, fault.DeadlineTooShort:
		return end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return false
}

// lacksCapacity reports whether a request that was not run with this code was refused by the fleet for want of capacity,
// which may be over shortly.
func lacksCapacity(code fault.Code) bool {
	switch code {
	case fault.Busy, fault.Overloaded, fault.DeadlineTooShort, fault.Suspect, fault.NoEndpoint, fault.Cold, fault.MaxRate:
		return true
	}
	return false
}

// misrouted reports whether the request was refused because the sender's view was outdated or its link was down.
func misrouted(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.Draining, fault.Evacuated, fault.OutOfRegion, fault.WrongHost, fault.EndpointMoved, fault.LinkDown, fault.Stale:
		return end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return false
}

// reachedEndpoint reports whether an endpoint may have had the request, whether it ran it or not. Each later send is
// then a retry that consumes the service's retry budget.
func reachedEndpoint(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.EndpointShed, fault.EndpointMoved:
		return true
	}
	return end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN
}

// withOverallOutcome extends the outcome of the last send to the whole request: if an earlier send ran or may have run,
// the request is never reported as not run.
func (x *exchange) withOverallOutcome(end *peerpb.End) *peerpb.End {
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
		return end
	}
	if x.ran || x.mayHaveRun {
		end.Outcome = peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return end
}
