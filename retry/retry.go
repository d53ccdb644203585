package retry

import (
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

const (
	// MostAttempts bounds the sends of one request.
	MostAttempts = 3
	// refusingShare is the share of refused requests above which a service gets no retries for lack of capacity.
	refusingShare = 0.5
	// refusalMemory is over how many of the last answers that share is taken.
	refusalMemory = 50
)

// Budget limits the retries of one service to a share of its requests; one goroutine owns it or its owner locks it.
//
// Invariant: over any stretch of n requests at most share*n + burst retries are granted.
type Budget struct {
	// tokens are the retries left, at most burst.
	tokens float64
	burst  float64
	// refusing is the recent share of sends that were refused for lack of capacity.
	refusing float64
}

// NewBudget returns a budget that begins with burst retries and holds as many, or the one that its share has earned.
func NewBudget(burst float64) *Budget {
	return &Budget{tokens: burst, burst: max(burst, 1)}
}

// SetBurst changes how many retries the budget holds, one at least; what it holds beyond that is lost.
func (b *Budget) SetBurst(burst float64) {
	b.burst = max(burst, 1)
	b.tokens = min(b.tokens, b.burst)
}

// Request counts one request's first send and earns its share of a retry.
func (b *Budget) Request(share float64) { b.tokens = min(b.burst, b.tokens+share) }

// Left tells whether Take would grant a retry.
func (b *Budget) Left() bool { return b.tokens >= 1 }

// Tokens returns the retries left.
func (b *Budget) Tokens() float64 { return b.tokens }

// Take grants one retry if the budget has one left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Answer notes whether a send was refused for lack of capacity.
func (b *Budget) Answer(refused bool) {
	hit := 0.0
	if refused {
		hit = 1
	}
	b.refusing += (hit - b.refusing) / refusalMemory
}

// Refusing tells that the service as a whole turns work away.
func (b *Budget) Refusing() bool { return b.refusing > refusingShare }

// Attempt is what the decision rests on.
type Attempt struct {
	// Number is how many sends there were, 1 after the first.
	Number int
	// Most is how many sends the route allows; 0 stands for MostAttempts.
	Most int
	// Outcome is how the last one ended.
	Outcome peerpb.Outcome
	// Overloaded is set when it was refused for lack of capacity.
	Overloaded bool
	// Misplaced is set when it was refused because the sender's view was old: drain, wrong host, no link.
	Misplaced bool
	// Failed is set when the endpoint answered that it could not do the work.
	Failed bool
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// Started is set when part of an answer went to the caller.
	Started bool
	// Replayable is set while the whole request body can be sent again.
	Replayable bool
	// Left is the time to the deadline.
	Left time.Duration
	// Typical is the service's usual service time.
	Typical time.Duration
}

// Worthwhile tells whether a further send is allowed and could still help, the budget aside.
//
// Invariant: a request that is not repeatable is sent again only after proof that it was not run.
func Worthwhile(a Attempt) bool {
	most := MostAttempts
	if a.Most > 0 {
		most = a.Most
	}
	if a.Number >= most || a.Started || !a.Replayable || a.Left <= a.Typical {
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

// Decide grants a further send: what was misplaced goes again free of the budget, all else takes from it, and
// nothing goes again for lack of capacity into a service that is refusing.
func (b *Budget) Decide(a Attempt) bool {
	if !Worthwhile(a) {
		return false
	}
	if a.Misplaced {
		return true
	}
	if a.Overloaded && b.Refusing() {
		return false
	}
	return b.Take()
}
