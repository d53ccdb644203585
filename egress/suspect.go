package egress

import (
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// trials are the trials in flight of an endpoint's breaker, by the IDs of their runs.
type trials map[uint64]breaker.TrialID

// medianShare is the share of usual requests that take longer than the median.
const medianShare = 0.5

// breakerRequest returns what the breaker must know of a request; the lock must be held.
func (l *localEndpoint) breakerRequest(d *peerpb.Dispatch) breaker.Request {
	r := breaker.Request{Repeatable: d.GetCanary()}
	if w := workOf(d); w.UsualTime > 0 {
		r.MedianTime = l.latencies.For(w.Kind, w.UsualTime).Quantile(1 - medianShare)
	}
	return r
}

// takeTrial removes the trial that a run was, and reports whether it was one that had not been given up.
func (l *localEndpoint) takeTrial(run uint64) (id breaker.TrialID, ok bool) {
	id, ok = l.trials[run]
	delete(l.trials, run)
	return id, ok
}

// runningTrials returns the number of trials in flight.
func (l *localEndpoint) runningTrials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.trials)
}

// overdueTrials returns the runs that are trials and have taken too long by a time, oldest first; the lock must be
// held.
func (l *localEndpoint) overdueTrials(at time.Time) []uint64 {
	var runs []uint64
	for run := range l.trials {
		if w, age, ok := l.monitor.Age(at, run); ok && l.survival(w, age) < overdueTrialShare {
			runs = append(runs, run)
		}
	}
	slices.Sort(runs)
	return runs
}

// reportOverdueTrials has the breaker count the overdue trials as failed; the lock must be held.
func (l *localEndpoint) reportOverdueTrials(now time.Time) {
	for _, run := range l.overdueTrials(now) {
		id, _ := l.takeTrial(run)
		l.breaker.Report(now, breaker.Overdue, id)
	}
}

// reportSuspect adds to a load report the chance and the room of an endpoint whose breaker is open; the lock must be
// held. A trial needs a slot as well.
func (l *localEndpoint) reportSuspect(now time.Time, load *peerpb.Load) {
	if !l.suspectRoom || l.breaker.State() == breaker.Closed {
		return
	}
	chance := l.breaker.SuccessChance(now)
	load.SuccessChance = &chance
	free := max(0, l.slots-l.queue.Busy()-l.queue.Waiting())
	load.TrialRoom = uint32(min(l.breaker.TrialRoom(now), free)) //nolint:gosec // at most the slots
}
