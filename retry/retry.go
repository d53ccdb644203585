package retry

import (
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

const (
	// MostAttempts bounds the sends of one request.
	MaxAttempts = 3
	// refusingShare is the share of refused requests above which a service gets no retries for lack of capacity.
	refusingShare = 0.5
	// refusalMemory is over how many of the last answers that share is taken.
	refusalMemory = 50
)

// Refusals remembers how much of its work a service refuses; one goroutine owns it or its owner locks it.
type Refusals struct {
	// share is the recent share of sends that were refused for lack of capacity.
	share float64
}

// Answer notes whether a send was refused for lack of capacity.
func (r *Refusals) Record(refused bool) {
	hit := 0.0
	if refused {
		hit = 1
	}
	r.share += (hit - r.share) / refusalMemory
}

// Refusing tells that the service as a whole turns work away.
func (r *Refusals) Refusing() bool { return r.share > refusingShare }

// Attempt is what the decision rests on.
type Attempt struct {
	// Number is how many sends there were, 1 after the first.
	Attempts int
	// Most is how many sends the route allows; 0 stands for MostAttempts.
	MaxAttempts int
	// Outcome is how the last one ended.
	Outcome peerpb.Outcome
	// Overloaded is set when it was refused for lack of capacity.
	Overloaded bool
	// Misplaced is set when it was refused because the sender's view was old: drain, wrong host, no link.
	Misrouted bool
	// Failed is set when the endpoint answered that it could not do the work.
	Failed bool
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// Started is set when part of an answer went to the caller.
	AnswerStarted bool
	// Replayable is set while the whole request body can be sent again.
	Replayable bool
	// Left is the time to the deadline.
	TimeLeft time.Duration
	// Typical is the service's usual service time.
	TypicalServiceTime time.Duration
}

// Worthwhile tells whether a further send is allowed and could still help, the budget aside.
//
// Invariant: a request that is not repeatable is sent again only after proof that it was not run.
func CanRetry(a Attempt) bool {
	most := MaxAttempts
	if a.MaxAttempts > 0 {
		most = a.MaxAttempts
	}
	if a.Attempts >= most || a.AnswerStarted || !a.Replayable || a.TimeLeft <= a.TypicalServiceTime {
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

// Decide tells whether a further send may be asked for; the endpoint's budget has the last word. What was misplaced goes
// again all the same, and nothing goes again for lack of capacity into a service that is refusing.
func (r *Refusals) Decide(a Attempt) bool {
	if !CanRetry(a) {
		return false
	}
	return a.Misrouted || !a.Overloaded || !r.Refusing()
}
