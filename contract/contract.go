package contract

import (
	"net/http"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// Contract is one set of header fields; its methods are safe for concurrent use.
type Contract interface {
	// Call reads what a caller says of its request.
	Call(h http.Header) (Call, *fault.Error)
	// Forward returns the fields of a request that go on to the endpoint.
	Forward(h http.Header, from Origin) []*peerpb.Header
	// Dispatch adds what the endpoint is told of a request.
	Dispatch(h http.Header, d Dispatch)
	// Answer reads what an endpoint's answer says besides its body.
	Answer(status int, h http.Header) Answer
	// Return returns the fields of an endpoint's answer that go back to the caller.
	Return(h http.Header) []*peerpb.Header
	// Outcome adds what the caller is told of how its request ended.
	Outcome(h http.Header, o Outcome)
}

// Call is what a caller says of its request; zero values are what it does not say.
type Call struct {
	// ID names the request.
	ID string
	// Customer is who pays, as the caller says; it counts only where callers need no customer's key.
	Customer string
	// Token is what the caller bears of a customer's key.
	Token Token
	// Timeout is how long the caller waits.
	Timeout time.Duration
	// Repeatable is the caller's word on whether the request may run more than once: "yes", "no" or "".
	Repeatable string
	// Key recognises a re-send.
	Key string
	// Attempt numbers the sends under one key from 1.
	Attempt uint32
}

// Token is what a caller bears of a customer's key. It is not to be kept, logged or passed on.
type Token struct {
	// Borne is set when the caller bears something, readable or not.
	Present bool
	// Key is the key, "" for one that cannot be read.
	Key string
}

// Origin is where a request comes from.
type Origin struct {
	// Address is the caller's IP.
	Address string
	// Keyed is set where callers bear customers' keys, which never go on to an endpoint.
	UsesCustomerKeys bool
}

// Dispatch is what an endpoint is told of a request.
type Dispatch struct {
	// ID names the request.
	ID string
	// Endpoint names the endpoint's instance that is meant.
	Endpoint string
	// Caller is the service beside whose host the request began, "" for none.
	Caller string
	// Customer is the customer whose key the caller bears, "" where it bears none.
	Customer string
	// Left is the time until the answer is of no more use.
	TimeLeft time.Duration
}

// Answer is what an endpoint's answer says besides its body.
type Answer struct {
	// ID is the request that the answer belongs to, "" if it does not say.
	ID string
	// NotRun is the endpoint's word that it did not run the request.
	NotRun bool
	// Misplaced is set with NotRun when another instance stands at the address.
	Misrouted bool
	// Leaving is set by an endpoint that is about to stop.
	Draining bool
	// Load is what the endpoint says of its own load.
	Load Load
	// Foreign is set when the answer cannot be the endpoint's own, or would tell the caller what is not so.
	Untrusted bool
}

// Load is an endpoint's own word about its load.
type Load struct {
	// Running and Waiting are its requests, Slots how many it runs at once; all zero if it says nothing.
	Running, Waiting, Slots int
}

// Outcome is what a caller is told of how its request ended.
type Outcome struct {
	// ID names the request.
	ID string
	// Outcome is what happened to the request.
	Outcome peerpb.Outcome
	// Replayed is set when the answer comes from the record of an earlier run.
	Replayed bool
	// RetryAfter is when to come back, 0 if that cannot help.
	RetryAfter time.Duration
}
