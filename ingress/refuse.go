package ingress

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// Problem is the JSON body of every answer that the system itself gives.
type Problem struct {
	// Code is the stable name of the failure.
	Code fault.Code `json:"code"`
	// Outcome is "ran", "not-run" or "unknown".
	Outcome string `json:"outcome"`
	// Detail is one sentence for people.
	Detail string `json:"detail"`
	// RequestID identifies the request in logs.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterMillis is when to come back, if that can help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// statusOf is the status of the codes that have one of their own.
var statusOf = map[fault.Code]int{
	fault.BadRequest:       http.StatusBadRequest,
	fault.BadDeadline:      http.StatusBadRequest,
	fault.BodyTooLarge:     http.StatusRequestEntityTooLarge,
	fault.UnknownRoute:     http.StatusNotFound,
	fault.UnknownToken:     http.StatusUnauthorized,
	fault.CustomerLimit:    http.StatusTooManyRequests,
	fault.KeyMismatch:      http.StatusUnprocessableEntity,
	fault.KeyInProgress:    http.StatusConflict,
	fault.KeyUnknown:       http.StatusConflict,
	fault.DeadlineExceeded: http.StatusGatewayTimeout,
	// Neither 503, which invites callers and what stands before them to come back, nor 4xx, which would be a word on what was asked for.
	fault.FatalRequest: http.StatusInternalServerError,
}

// status is the HTTP status by which callers are told of an end.
func status(end *peerpb.End) int {
	if s := statusOf[fault.Code(end.GetCode())]; s != 0 {
		return s
	}
	if end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// RefuseUnread answers a request that the callers' listener does not take; its header is nil where it could not be read.
func RefuseUnread(say contract.Contract) func(w http.ResponseWriter, h http.Header, status int, err *fault.Error) {
	return func(w http.ResponseWriter, h http.Header, status int, err *fault.Error) {
		o := contract.Outcome{Outcome: refusedOutcome(say, h)}
		if status == http.StatusServiceUnavailable {
			// Another node takes it at once.
			o.RetryAfter = elsewhereRetryAfter
		}
		writeProblem(w, say, status, o, Problem{
			Code: err.Code, Outcome: contract.OutcomeName(o.Outcome), Detail: err.Detail,
		})
	}
}

// writeProblem writes an answer that the system itself gives.
func writeProblem(w http.ResponseWriter, say contract.Contract, status int, o contract.Outcome, p Problem) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	say.Outcome(h, o)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

// refusedOutcome is what is known of a request that was refused before its key's homes were asked.
//
// Invariant: a request that may be a re-send is not told as not run on the word of a node that knows nothing of its key.
func refusedOutcome(say contract.Contract, h http.Header) peerpb.Outcome {
	if h == nil {
		return peerpb.Outcome_OUTCOME_NOT_RUN
	}
	call, _ := say.Call(h)
	if call.Key != "" && call.Attempt != 1 {
		return peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return peerpb.Outcome_OUTCOME_NOT_RUN
}

// refuse gives the system's own final answer, at once.
func refuse(w http.ResponseWriter, say contract.Contract, id string, end *peerpb.End, detail string) {
	p := Problem{
		Code: fault.Code(end.GetCode()), Outcome: contract.OutcomeName(end.GetOutcome()), Detail: detail,
		RequestID: id, RetryAfterMillis: end.GetRetryAfterMillis(),
	}
	code := status(end)
	if p.RetryAfterMillis == 0 && code == http.StatusServiceUnavailable {
		p.RetryAfterMillis = defaultRetryAfter.Milliseconds()
	}
	writeProblem(w, say, code, contract.Outcome{
		ID: id, Outcome: end.GetOutcome(), RetryAfter: time.Duration(p.RetryAfterMillis) * time.Millisecond,
	}, p)
}

const (
	// defaultRetryAfter is when to come back where nothing says more.
	defaultRetryAfter = time.Second
	// elsewhereRetryAfter is when to come back with a request that only this node does not take.
	elsewhereRetryAfter = 50 * time.Millisecond
)

// details are the sentences for people, by code.
var details = map[fault.Code]string{
	fault.UnknownToken:        "no customer holds the caller's key any more",
	fault.CustomerLimit:       "the customer sends more than its limit",
	fault.FatalRequest:        "endpoints ended while they ran this request; it is kept from all until an operator lets it run again",
	fault.Busy:                "no endpoint has a free slot",
	fault.Cold:                "the endpoints are cold and bear no more just now",
	fault.Suspect:             "the endpoints broke off their work just now",
	fault.Stale:               "the route has changed meanwhile",
	fault.OfferLapsed:         "the offered slot was not taken in time",
	fault.RetryBudget:         "the service's retries are spent",
	fault.Overloaded:          "the endpoints' slots and queues are full",
	fault.DeadlineTooShort:    "the work could not end before the deadline",
	fault.Draining:            "the endpoint takes nothing new",
	fault.Evacuated:           "the endpoint's hall is evacuated",
	fault.NoEndpoint:          "no endpoint takes new work",
	fault.Stopping:            "the node is stopping and has no answer for the request; another node takes it at once",
	fault.MemorySpent:         "the node holds as many bodies as it may; another takes it at once",
	fault.CallerSlow:          "the caller read its answer too slowly",
	fault.OutOfRegion:         "no endpoint of a region where the data may be takes new work",
	fault.LinkDown:            "the endpoint's node cannot be reached",
	fault.LinkLost:            "the link broke after the hand-over",
	fault.EndpointUnreachable: "the endpoint takes no connection",
	fault.EndpointShed:        "the endpoint sheds load",
	fault.EndpointCut:         "the endpoint broke off",
	fault.EndpointMoved:       "another endpoint stands at the address",
	fault.DeadlineExceeded:    "the time ran out after the hand-over",
	fault.KeyInProgress:       "an earlier request with this key is still running",
	fault.KeyMismatch:         "this key came with another request before",
	fault.KeyUnknown:          "whether an earlier request with this key ran cannot be told",
	fault.KeyRefused:          "the key cannot be protected now",
}

func detailOf(end *peerpb.End) string {
	if d := details[fault.Code(end.GetCode())]; d != "" {
		return d
	}
	return "the request did not end well"
}
