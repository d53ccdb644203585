package contract

import (
	"net/http"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/maxrate"
)

// Contract reads and writes one set of header fields. Its methods are safe for concurrent use.
type Contract interface {
	// Call reads the metadata that a caller sends with its request.
	Call(h http.Header) (Call, *fault.Error)
	// Forward returns the fields of a request that are passed on to the endpoint.
	Forward(h http.Header, from Origin) []*peerpb.Header
	// Dispatch adds the request metadata for the endpoint.
	Dispatch(h http.Header, d Dispatch)
	// Answer reads the metadata of an endpoint's answer.
	Answer(status int, h http.Header) Answer
	// Unread returns the names of the fields of an endpoint's answer that the contract does not know.
	Unread(h http.Header) []string
	// Return returns the fields of an endpoint's answer that are passed on to the caller.
	Return(h http.Header) []*peerpb.Header
	// Outcome adds the fields that tell the caller how its request ended.
	Outcome(h http.Header, o Outcome)
}

// Call is the metadata that a caller sends with its request. A zero value means that the caller did not send it.
type Call struct {
	// ID is the request's id.
	ID string
	// Customer is the customer that the caller names. It is used only where callers need no customer's key.
	Customer string
	// Token is the customer's key that the caller sent.
	Token Token
	// Timeout is how long the caller waits for the answer.
	Timeout time.Duration
	// Repeatable is the caller's statement whether the request may run more than once: "yes", "no", or "" for none.
	Repeatable string
	// Key is the idempotency key, by which a repeated send of the same request is recognized.
	Key string
	// Attempt numbers the sends under one key from 1.
	Attempt uint32
}

// Token is the customer's key that a caller sent. It must not be stored, logged or passed on.
type Token struct {
	// Borne is set when the caller sent a credential, readable or not.
	Borne bool
	// Key is the key, "" if the credential is absent or cannot be read.
	Key string
}

// Origin describes where a request comes from.
type Origin struct {
	// Address is the caller's IP address.
	Address string
	// UsesCustomerKeys is set where callers authenticate with customers' keys, which are never passed on to an endpoint.
	UsesCustomerKeys bool
}

// Dispatch is the request metadata that an endpoint receives.
type Dispatch struct {
	// ID is the request's id.
	ID string
	// Endpoint is the key of the endpoint that the request is meant for; it names the instance.
	Endpoint string
	// Caller is the calling service, that of the host where the request entered, "" for none.
	Caller string
	// Customer is the customer whose key the caller sent, "" for none.
	Customer string
	// TimeLeft is the time until the deadline, after which the answer is of no more use.
	TimeLeft time.Duration
}

// Answer is the metadata of an endpoint's answer.
type Answer struct {
	// ID is the id of the request that the answer belongs to, "" if the answer has none.
	ID string
	// NotRun is set when the endpoint states that it did not run the request.
	NotRun bool
	// Misplaced is set, together with NotRun, when another instance answers at the address.
	Misplaced bool
	// Leaving is set when the endpoint states that it is about to stop.
	Leaving bool
	// Load is the load that the endpoint reports.
	Load Load
	// MaxRate is what the endpoint states of the rate that it takes.
	MaxRate maxrate.Statement
	// Foreign is set when the answer cannot come from the endpoint itself, or would tell the caller something untrue. It is
	// not passed on.
	Foreign bool
}

// FromEndpoint reports whether the answer was written by the endpoint that the request was meant for.
func (a Answer) FromEndpoint() bool { return !a.Misplaced && (!a.Foreign || a.NotRun) }

// Load is the load that an endpoint reports of itself.
type Load struct {
	// Running and Waiting count its requests, Slots is how many it runs at once; all are zero if it reports no load.
	Running, Waiting, Slots int
}

// Outcome tells a caller how its request ended.
type Outcome struct {
	// ID is the request's id.
	ID string
	// Outcome says whether the request ran.
	Outcome peerpb.Outcome
	// Replayed is set when the answer is the stored answer of an earlier run.
	Replayed bool
	// RetryAfter is the delay after which the caller may retry, 0 if a retry cannot help.
	RetryAfter time.Duration
}
