package shutdown

import "time"

const (
	// settleLead is how long before the guaranteed end every answer that the node can give has been given.
	settleLead = 100 * time.Millisecond
	// minWorkTime is the least time that a dispatch must leave for the work and its answer before the node ends.
	minWorkTime = 100 * time.Millisecond
	// intakeShare is the part of the grace after which nothing new is taken: a request that is sent later may not be cut by the
	// end of the grace.
	intakeShare = 0.5
	// workShare is the part of the grace in which the node ends no work by itself.
	workShare = 5.0 / 6
)

// Plan holds the times of a planned stop; it is immutable.
//
// Invariant: all times count from when the stop signal may have been sent at the earliest, as the sender's clock does, and not from
// when the process noticed the signal. NoticeEnd takes the same part of what is left of the guaranteed time, within the intake's
// time. As the signal may have been sent as late as it was received, GuaranteedEnd uses up to half of the margin so as not to end
// work too early.
type Plan struct {
	signaledAt, receivedAt            time.Time
	grace, guaranteed, margin, notice time.Duration
}

// NewPlan returns the plan of a node that may be killed when grace is over after the signal; it has given its answers margin before
// that. It serves as before for notice, or for a smaller part of the time if a part has passed already, and for half of the grace
// at the most.
func NewPlan(grace, margin, notice time.Duration) Plan {
	return Plan{grace: grace, guaranteed: grace - margin, margin: margin, notice: notice}
}

// intake returns how long after the signal requests are taken at the most.
func (p Plan) intake() time.Duration { return time.Duration(intakeShare * float64(p.grace)) }

// WithSignal returns the plan for a stop signal that is received now and may have been sent age ago.
func (p Plan) WithSignal(now time.Time, age time.Duration) Plan {
	p.signaledAt, p.receivedAt = now.Add(-age), now
	if p.guaranteed > 0 {
		left := min(max(0, p.guaranteed-age), p.guaranteed)
		p.notice = age + time.Duration(float64(p.notice)*left.Seconds()/p.guaranteed.Seconds())
	}
	// The signal may have been sent as late as now, and no work is ended in workShare of the grace after that.
	spare := p.guaranteed - settleLead - time.Duration(workShare*float64(p.grace))
	p.guaranteed += min(max(0, age-max(0, spare)), max(0, p.margin/2))
	return p
}

// SignaledAt returns the earliest time at which the signal may have been sent.
func (p Plan) SignaledAt() time.Time { return p.signaledAt }

// ReceivedAt returns the time at which the signal was received.
func (p Plan) ReceivedAt() time.Time { return p.receivedAt }

// NoticeEnd returns the time until which the node serves as before. It takes nothing new after that.
func (p Plan) NoticeEnd() time.Time { return p.signaledAt.Add(min(p.notice, p.intake())) }

// GuaranteedEnd returns the time until which the node is certain not to be killed.
func (p Plan) GuaranteedEnd() time.Time { return p.signaledAt.Add(p.guaranteed) }

// WorkEnd returns the time before which the node ends no work by itself.
func (p Plan) WorkEnd() time.Time {
	return p.signaledAt.Add(time.Duration(workShare * float64(p.grace)))
}

// SettleAt returns the time by which callers have every answer that does not depend on an endpoint that is still at work.
func (p Plan) SettleAt() time.Time { return p.GuaranteedEnd().Add(-settleLead) }

// DispatchEnd returns the time until which a request may be dispatched on a node that may end at end, given how long such
// work takes. A request of which a run was cut off is dispatched as long as possible: its endpoint might have answered, so
// that work with little time is better than none.
func DispatchEnd(end time.Time, work time.Duration, interrupted bool) time.Time {
	if interrupted {
		work = 0
	}
	return end.Add(-max(work, minWorkTime))
}
