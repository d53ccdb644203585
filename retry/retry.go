package retry

import (
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

const (
	// MaxAttempts bounds how often one request is sent.
	MaxAttempts = 3
	// maxRefusedShare is the share of refused requests above which a service gets no retries after a refusal for lack
	// of capacity.
	maxRefusedShare = 0.5
	// refusalSmoothing is the number of last answers over which that share is averaged.
	refusalSmoothing = 50
)

// Refusals tracks how many of its requests a service refuses. It is not safe for concurrent use.
type Refusals struct {
	// share is the moving average of requests refused for lack of capacity.
	share float64
}

// Record records whether a request was refused for lack of capacity.
func (r *Refusals) Record(refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	r.share += (sample - r.share) / refusalSmoothing
}

// Refusing reports whether the service refuses most of its requests.
func (r *Refusals) Refusing() bool { return r.share > maxRefusedShare }

// Attempt is the state of a request after its last attempt, from which CanRetry and Decide decide about a retry.
type Attempt struct {
	// Attempts is how often the request has been sent, 1 after the first attempt.
	Attempts int
	// MaxAttempts is how many attempts the route allows; 0 means the constant MaxAttempts.
	MaxAttempts int
	// Outcome says whether the endpoint ran the last attempt.
	Outcome peerpb.Outcome
	// Overloaded is set when the last attempt was refused for lack of capacity.
	Overloaded bool
	// Misrouted is set when the last attempt was refused because the sender's view was out of date: the endpoint
	// drains, is on another host, or has no link.
	Misrouted bool
	// Failed is set when the endpoint answered that it couldn't do the work.
	Failed bool
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// AnswerStarted is set when part of an answer has been sent to the caller.
	AnswerStarted bool
	// Replayable is set while the complete request body can still be sent again.
	Replayable bool
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// TypicalServiceTime is the service's usual service time.
	TypicalServiceTime time.Duration
}

// CanRetry reports whether a retry is allowed and could still succeed in time, regardless of the budget.
//
// Invariant: a non-repeatable request is sent again only after proof that it has not run.
func CanRetry(a Attempt) bool {
	maxAttempts := MaxAttempts
	if a.MaxAttempts > 0 {
		maxAttempts = a.MaxAttempts
	}
	if a.Attempts >= maxAttempts || a.AnswerStarted || !a.Replayable || a.TimeLeft <= a.TypicalServiceTime {
		return false
	}
	switch a.Outcome {
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		return true
	case peerpb.Outcome_OUTCOME_RAN:
		return a.Repeatable && a.Failed
	case peerpb.Outcome_OUTCOME_UNKNOWN:
		return a.Repeatable
	case peerpb.Outcome_OUTCOME_UNSPECIFIED, peerpb.Outcome_OUTCOME_CLAIMED:
	}
	return false
}

// Decide reports whether a retry may be requested; the endpoint's budget decides last. A misrouted request is retried
// even if the service refuses most of its requests; one that was refused for lack of capacity isn't.
func (r *Refusals) Decide(a Attempt) bool {
	if !CanRetry(a) {
		return false
	}
	return a.Misrouted || !a.Overloaded || !r.Refusing()
}
