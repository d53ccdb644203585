package shutdown

import (
	"context"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/signals"
)

// Signals tells what is known of the stop signals; *signals.Receiver implements it.
type Signals interface {
	// Received returns the first stop signal, false if none has been received.
	Received() (signals.Stop, bool)
	// ClearUntil returns a time such that each stop signal sent before it has been received.
	ClearUntil() time.Time
	// Check has ClearUntil brought up to date, and returns a channel that is closed when Received or ClearUntil has changed.
	Check() <-chan struct{}
}

// Schedule tells the parts of a node, by the clock and at the moment at which they decide, what a planned stop leaves them to do.
// A nil Schedule is that of a node that is never stopped.
//
// Invariant: no bound depends on a goroutine or a timer that runs in time. Timers only wake those who wait for a bound.
type Schedule struct {
	base    Plan
	signals Signals
	// pause returns for how long the process may not run from now on.
	pause func() time.Duration

	mu    sync.Mutex
	plan  Plan
	begun bool
}

// NewSchedule returns the schedule of a node that is stopped by plan. It begins with the first signal or with Begin; without
// signals, which is nil then, only with Begin.
func NewSchedule(plan Plan, s Signals, opts ...Option) *Schedule {
	schedule := &Schedule{base: plan, signals: s, pause: func() time.Duration { return 0 }}
	for _, opt := range opts {
		opt(schedule)
	}
	return schedule
}

// Option configures a schedule.
type Option func(*Schedule)

// WithPauses has f tell for how long the process may not run from now on. What is due at the end of the stop is then due earlier.
func WithPauses(f func() time.Duration) Option { return func(s *Schedule) { s.pause = f } }

// Begin begins the stop unless a signal has already, and returns its plan.
func (s *Schedule) Begin() Plan {
	if plan, begun := s.Plan(); begun {
		return plan
	}
	return s.begin(time.Now(), 0)
}

// Plan returns the plan of the stop that has begun, false if there is none.
func (s *Schedule) Plan() (Plan, bool) {
	if s == nil {
		return Plan{}, false
	}
	s.mu.Lock()
	plan, begun := s.plan, s.begun
	s.mu.Unlock()
	if begun || s.signals == nil {
		return plan, begun
	}
	stop, received := s.signals.Received()
	if !received {
		return Plan{}, false
	}
	return s.begin(stop.ReceivedAt, stop.ReceivedAt.Sub(stop.SentAfter)), true
}

// begin sets the plan for a signal received at a time that may have been sent age before, unless there is one.
func (s *Schedule) begin(at time.Time, age time.Duration) Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun {
		s.plan, s.begun = s.base.WithSignal(at, age), true
	}
	return s.plan
}

// Begun reports whether the stop has begun.
func (s *Schedule) Begun() bool {
	_, begun := s.Plan()
	return begun
}

// NoticeOver reports whether the node takes nothing new any more.
func (s *Schedule) NoticeOver() bool {
	plan, begun := s.Plan()
	return begun && !time.Now().Before(plan.NoticeEnd())
}

// Settled reports whether the time has come by which callers have every answer that does not depend on an endpoint at work.
func (s *Schedule) Settled() bool {
	plan, begun := s.Plan()
	return begun && !time.Now().Before(s.settleAt(plan))
}

// settleAt is the plan's time of settling or, in a process that may not run then, up to its pause earlier; but no work is ended
// sooner than by the plan.
func (s *Schedule) settleAt(plan Plan) time.Time {
	return earlier(plan.SettleAt(), plan.WorkEnd(), s.pause())
}

// DispatchEnd returns the time until which a request may be dispatched on a node that stops by plan, as the function of this name
// does; in a process that may not run then, up to its pause earlier.
func (s *Schedule) DispatchEnd(plan Plan, work time.Duration, interrupted bool) time.Time {
	end := DispatchEnd(plan.GuaranteedEnd(), work, interrupted)
	if interrupted {
		return earlier(end, plan.WorkEnd(), s.pause())
	}
	return end.Add(-s.pause())
}

// earlier returns a time that is by d earlier, but not before earliest unless it is so already.
func earlier(at, earliest time.Time, d time.Duration) time.Time {
	return at.Add(-min(d, max(0, at.Sub(earliest))))
}

// Accepts reports whether a request that was read at a time is taken. It waits, until ctx ends at the most, if a stop signal may
// have been sent so long before that the request comes too late, and has not been received yet.
//
// Invariant: no request is taken that was sent later than the intake's time after the stop signal, however late the process
// receives the signal.
func (s *Schedule) Accepts(ctx context.Context, readAt time.Time) bool {
	if s == nil {
		return true
	}
	for {
		if plan, begun := s.Plan(); begun {
			return readAt.Before(plan.NoticeEnd())
		}
		if s.isClear(readAt) {
			return true
		}
		changed := s.signals.Check()
		if s.Begun() || s.isClear(readAt) {
			continue
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// isClear reports whether each stop signal that would bar a request read at a time has been received.
func (s *Schedule) isClear(readAt time.Time) bool {
	return s.signals == nil || s.base.intake() <= 0 || readAt.Before(s.signals.ClearUntil().Add(s.base.intake()))
}
