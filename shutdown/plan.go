package shutdown

import "time"

const (
	// settleLead is how long before the guaranteed end every answer that the node can give has been given.
	settleLead = 100 * time.Millisecond
	// minWorkTime is the least time that a dispatch must leave for the work and its answer before the node ends.
	minWorkTime = 100 * time.Millisecond
)

// Plan holds the times of a planned stop; it is immutable.
//
// Invariant: SettleAt and GuaranteedEnd count from when the stop signal may have been sent, as the sender's clock does, and not
// from when the process noticed the signal. NoticeEnd takes the same part of what is left of the guaranteed time.
type Plan struct {
	signaledAt         time.Time
	notice, guaranteed time.Duration
}

// NewPlan returns the plan of a node that is certain not to be killed for a time after the signal. It serves as before for
// notice, or for a smaller part of the time if a part has passed already.
func NewPlan(guaranteed, notice time.Duration) Plan {
	return Plan{guaranteed: guaranteed, notice: notice}
}

// WithSignal returns the plan for a stop signal that is received now and may have been sent age ago.
func (p Plan) WithSignal(now time.Time, age time.Duration) Plan {
	p.signaledAt = now.Add(-age)
	if p.guaranteed > 0 {
		left := min(max(0, p.guaranteed-age), p.guaranteed)
		p.notice = age + time.Duration(float64(p.notice)*left.Seconds()/p.guaranteed.Seconds())
	}
	return p
}

// SignaledAt returns the earliest time at which the signal may have been sent.
func (p Plan) SignaledAt() time.Time { return p.signaledAt }

// NoticeEnd returns the time until which the node serves as before. It takes nothing new after that.
func (p Plan) NoticeEnd() time.Time { return p.signaledAt.Add(p.notice) }

// GuaranteedEnd returns the time until which the node is certain not to be killed.
func (p Plan) GuaranteedEnd() time.Time { return p.signaledAt.Add(p.guaranteed) }

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
