package ingress

import (
	"net/http"
	"time"

	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// Problem is the JSON body of every answer that this system generates itself.
type Problem struct {
	// Code is the stable name of the failure.
	Code fault.Code `json:"code"`
	// Outcome is "ran", "not-run" or "unknown".
	Outcome string `json:"outcome"`
	// Detail is one sentence for people.
	Detail string `json:"detail"`
	// RequestID identifies the request in logs.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterMillis is how long to wait before a retry, 0 if a retry cannot help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// statusOf maps codes to HTTP statuses; status covers the other codes.
var statusOf = map[fault.Code]int{
	fault.BadRequest:    http.StatusBadRequest,
	fault.BadDeadline:   http.StatusBadRequest,
	fault.BodyTooLarge:  http.StatusRequestEntityTooLarge,
	fault.UnknownRoute:  http.StatusNotFound,
	fault.UnknownToken:  http.StatusUnauthorized,
	fault.CustomerLimit: http.StatusTooManyRequests,
	// Also for a request whose earlier attempt under its key may have run, and whose outcome is therefore unknown.
	fault.Throttled:        http.StatusServiceUnavailable,
	fault.KeyMismatch:      http.StatusUnprocessableEntity,
	fault.KeyInProgress:    http.StatusConflict,
	fault.KeyUnknown:       http.StatusConflict,
	fault.DeadlineExceeded: http.StatusGatewayTimeout,
	// Not 503, which invites callers and proxies before them to retry, nor 4xx, which would blame the request itself.
	fault.FatalRequest: http.StatusInternalServerError,
}

// status returns the HTTP status that reports an end to the caller.
func status(end *peerpb.End) int {
	if s := statusOf[fault.Code(end.GetCode())]; s != 0 {
		return s
	}
	if end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// RefuseUnread returns a handler that answers requests which the callers' listener does not take. The header is nil if
// it could not be read.
func RefuseUnread(ct contract.Contract) func(w http.ResponseWriter, h http.Header, status int, err *fault.Error) {
	return func(w http.ResponseWriter, h http.Header, status int, err *fault.Error) {
		o := contract.Outcome{Outcome: refusedOutcome(ct, h)}
		if status == http.StatusServiceUnavailable {
			// The caller can retry at another node at once.
			o.RetryAfter = elsewhereRetryAfter
		}
		writeProblem(w, ct, status, o, Problem{
			Code: err.Code, Outcome: contract.OutcomeName(o.Outcome), Detail: err.Detail,
		})
	}
}

// writeProblem writes an answer that this system generates itself.
func writeProblem(w http.ResponseWriter, ct contract.Contract, status int, o contract.Outcome, p Problem) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	ct.Outcome(h, o)
	w.WriteHeader(status)
	_, _ = w.Write(p.appendJSON(make([]byte, 0, problemSize)))
}

// refusedOutcome returns the outcome of a request that was refused before the owners of its key were asked.
//
// Invariant: a possible resend is not reported as not run by a node that knows nothing of its key.
func refusedOutcome(ct contract.Contract, h http.Header) peerpb.Outcome {
	if h == nil {
		return peerpb.Outcome_OUTCOME_NOT_RUN
	}
	call, _ := ct.Call(h)
	if call.Key != "" && call.Attempt != 1 {
		return peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return peerpb.Outcome_OUTCOME_NOT_RUN
}

// refuse writes the final answer of a request that this system answers itself.
func refuse(w http.ResponseWriter, ct contract.Contract, id string, end *peerpb.End, detail string) {
	p := Problem{
		Code: fault.Code(end.GetCode()), Outcome: contract.OutcomeName(end.GetOutcome()), Detail: detail,
		RequestID: id, RetryAfterMillis: end.GetRetryAfterMillis(),
	}
	code := status(end)
	if p.RetryAfterMillis == 0 && code == http.StatusServiceUnavailable {
		p.RetryAfterMillis = defaultRetryAfter.Milliseconds()
	}
	writeProblem(w, ct, code, contract.Outcome{
		ID: id, Outcome: end.GetOutcome(), RetryAfter: time.Duration(p.RetryAfterMillis) * time.Millisecond,
	}, p)
}

const (
	// defaultRetryAfter is the retry delay of a 503 that states none.
	defaultRetryAfter = time.Second
	// elsewhereRetryAfter is the retry delay of a request that another node can take at once.
	elsewhereRetryAfter = 50 * time.Millisecond
)

// details are the sentences that callers receive, by code.
var details = map[fault.Code]string{
	fault.UnknownToken:        "no customer holds the caller's key any more",
	fault.CustomerLimit:       "the customer sends more than its limit",
	fault.FatalRequest:        "endpoints ended while they ran this request; it is kept from all until an operator lets it run again",
	fault.Busy:                "no endpoint has a free slot",
	fault.Throttled:           "the service refuses most such requests at the moment",
	fault.EndpointHung:        "the endpoint did not answer, and another request needed its slot",
	fault.MaxRate:             "the endpoints state that they take no more requests a second",
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
