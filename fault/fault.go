package fault

import (
	"errors"
	"strings"

	"github.com/rotisserie/eris"
)

// Code names a kind of failure; codes are part of the callers' and operators' contract and never change meaning.
type Code string

// The failure codes, by the side that meets them first.
const (
	// BadSetting is a settings file that cannot be used.
	BadSetting Code = "bad_setting"
	// BadRow is a configuration row, cell or import file that cannot be used.
	BadRow Code = "bad_row"
	// BadRequest is a caller's request that cannot be used.
	BadRequest Code = "bad_request"
	// BadDeadline is a malformed deadline header.
	BadDeadline Code = "bad_deadline"
	// BadUsage is a wrong command line.
	BadUsage Code = "bad_usage"
	// BodyTooLarge is a request body over the listener's limit.
	BodyTooLarge Code = "body_too_large"
	// UnknownRoute is a request that no route matches.
	UnknownRoute Code = "unknown_route"
	// UnknownName is a name that no service or row has.
	UnknownName Code = "unknown_name"
	// Conflict is a row that changed since the operator read it.
	Conflict Code = "conflict"
	// OutcomeUnknown is an operation whose effect cannot be told.
	OutcomeUnknown Code = "outcome_unknown"
	// Unavailable is an outside system that cannot be reached.
	Unavailable Code = "unavailable"
	// Protocol is a peer or platform that sent something unreadable.
	Protocol Code = "protocol"
	// Unauthorized is a missing or wrong credential.
	Unauthorized Code = "unauthorized"
	// Gone is a part of the platform's history that it no longer has.
	Gone Code = "gone"
	// Internal is a broken expectation inside the program.
	Internal Code = "internal"

	// Overloaded is a refusal because the endpoints' slots and queues are full.
	Overloaded Code = "overloaded"
	// Busy is an offer that would have to wait for a slot and was not to.
	Busy Code = "busy"
	// Suspect is a refusal by an endpoint that takes only trials, because it broke off its work just now.
	Suspect Code = "suspect"
	// OfferLapsed is an offer whose ingress did not take the slot in time.
	OfferLapsed Code = "offer_lapsed"
	// RetryBudget is a request that was not sent again because the service's retries are spent.
	RetryBudget Code = "retry_budget"
	// Stale is a refusal of a request that was sent by an older configuration, whose route has changed since.
	Stale Code = "stale"
	// DeadlineTooShort is a refusal because the work cannot end before the deadline.
	DeadlineTooShort Code = "deadline_too_short"
	// UnknownToken is a refusal because the caller bears no key that a customer holds.
	UnknownToken Code = "unknown_token"
	// Closed is a refusal because the route or the customer takes nothing: an operator has closed it, or its entry cannot be understood.
	Closed Code = "closed"
	// CustomerLimit is a refusal because a customer exceeds its limit.
	CustomerLimit Code = "customer_limit"
	// FatalRequest is a refusal because endpoints have ended while they ran the same request.
	FatalRequest Code = "fatal_request"
	// Cold is a refusal because the endpoint is cold, or may be, and bears no more just now.
	Cold Code = "cold"
	// Throttled is a refusal at the ingress because the service refuses most requests of the route at the moment.
	Throttled Code = "throttled"
	// EndpointHung is a request that was ended because its endpoint hangs and another request needed the slot.
	EndpointHung Code = "endpoint_hung"
	// MaxRate is a refusal because the endpoint states that it takes no more requests a second.
	MaxRate Code = "max_rate"
	// Draining is a refusal by an endpoint or node that takes nothing new.
	Draining Code = "draining"
	// Evacuated is a refusal by an endpoint whose hall is evacuated.
	Evacuated Code = "evacuated"
	// NoEndpoint is a refusal because a service has no endpoint to try.
	NoEndpoint Code = "no_endpoint"
	// OutOfRegion is a refusal because no endpoint stands where the request's data may be that takes new work.
	OutOfRegion Code = "out_of_region"
	// WrongHost is a refusal by a node that does not stand beside the endpoint.
	WrongHost Code = "wrong_host"
	// EndpointMoved is an endpoint that refused a request meant for another one at its address, and did not run it.
	EndpointMoved Code = "endpoint_moved"
	// LinkDown is a peer that cannot be reached.
	LinkDown Code = "link_down"
	// LinkLost is a link that broke after the hand-over.
	LinkLost Code = "link_lost"
	// EndpointUnreachable is an endpoint that takes no connection.
	EndpointUnreachable Code = "endpoint_unreachable"
	// Stopping is a request that its node could not hand over before it had to stop.
	Stopping Code = "stopping"
	// CallerSlow is an answer that was given up because its caller read too slowly.
	CallerSlow Code = "caller_slow"
	// MemorySpent is a request whose body was not read because the node holds as much as it may.
	MemorySpent Code = "memory_spent"
	// EndpointShed is an endpoint that refused the work and said it did not run.
	EndpointShed Code = "endpoint_shed"
	// EndpointCut is an endpoint that broke off in its answer.
	EndpointCut Code = "endpoint_cut"
	// DeadlineExceeded is a request whose time ran out.
	DeadlineExceeded Code = "deadline_exceeded"
	// Canceled is a request whose caller went away.
	Canceled Code = "canceled"
	// KeyInProgress is a re-send of a key whose first run has not ended.
	KeyInProgress Code = "key_in_progress"
	// KeyMismatch is a key that was used before for another request.
	KeyMismatch Code = "key_mismatch"
	// KeyUnknown is a re-send whose earlier fate cannot be told.
	KeyUnknown Code = "key_unknown"
	// KeyRefused is a keyed request that cannot be protected now.
	KeyRefused Code = "key_refused"
	// NotReady is a node that holds no configuration yet.
	NotReady Code = "not_ready"
)

// Error is the one error type of the project; its Code says which failure it is.
type Error struct {
	// Code is the stable name of the failure.
	Code Code
	// Where names the file and line, row, field or operation concerned.
	Where string
	// Detail is one sentence for people.
	Detail string
	// Cause is the failure underneath, nil if there is none.
	Cause error
}

// New returns a failure without a cause underneath.
func New(code Code, where, detail string) *Error {
	return &Error{Code: code, Where: where, Detail: detail}
}

// Wrap returns a failure that keeps its cause with a stack trace.
func Wrap(cause error, code Code, where, detail string) *Error {
	return &Error{Code: code, Where: where, Detail: detail, Cause: eris.Wrap(cause, detail)}
}

// Error returns the failure as one line.
func (e *Error) Error() string {
	var b strings.Builder
	if e.Where != "" {
		b.WriteString(e.Where)
		b.WriteString(": ")
	}
	b.WriteString(e.Detail)
	if e.Cause != nil {
		b.WriteString(": ")
		b.WriteString(eris.Cause(e.Cause).Error())
	}
	b.WriteString(" (")
	b.WriteString(string(e.Code))
	b.WriteString(")")
	return b.String()
}

// Unwrap returns the failure underneath.
func (e *Error) Unwrap() error { return e.Cause }

// CodeOf returns the code of the first Error in err's chain, Internal for any other error and "" for nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// ListError is several failures found in one pass.
type ListError []*Error

// Error returns the failures, a line each.
func (l ListError) Error() string {
	lines := make([]string, 0, len(l))
	for _, e := range l {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the failures for errors.Is and errors.As.
func (l ListError) Unwrap() []error {
	errs := make([]error, 0, len(l))
	for _, e := range l {
		errs = append(errs, e)
	}
	return errs
}

// OrNil returns l as an error, nil if it is empty.
func (l ListError) OrNil() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
