package egress

import (
	"math"
	"strconv"
	"time"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
)

const (
	// detectionPrecision bounds the delay from the moment at which the in-flight requests show that the endpoint
	// hangs to its detection: short compared with the second that endpoints hang for at a time.
	detectionPrecision = 25 * time.Millisecond
	// evaluationHorizon is how far ahead that moment is computed, and so the time between two evaluations while
	// requests are answered as usual. An evaluation every detectionPrecision woke each busy node up 40 times a
	// second.
	evaluationHorizon = 8 * detectionPrecision
	// openScore is the evidence from in-flight requests, in nats, that opens the breaker: odds of 55 to 1. Where
	// endpoints hang for seconds, 15 in 100 requests go unserved with it and 20 without (docs/DECISIONS.md).
	openScore = 4
	// clearScore is the evidence below which a breaker that was opened by in-flight requests alone closes again:
	// those requests have been answered after all.
	clearScore = 0.5
	// overdueTrialShare is the share of usual requests that take longer than a trial may. A trial that takes longer
	// has failed.
	overdueTrialShare = 0.05
)

// startMonitoring adds a dispatched request to the in-flight monitor, which is evaluated as long as requests are in
// flight.
func (e *Egress) startMonitoring(l *localEndpoint, now time.Time, id uint64, d *peerpb.Dispatch, sink peer.Sink, trial breaker.TrialID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.monitor.Begin(now, id, workOf(d))
	if trial != 0 {
		l.trials[id] = trial
	}
	if d.GetTellDue() {
		l.dueSinks[id] = sink
	}
	if l.evaluationTimer == nil {
		l.evaluationTimer = time.AfterFunc(evaluationHorizon, func() { e.evaluate(l) })
	}
	l.scheduleEvaluation(now)
}

// evaluate evaluates the in-flight monitor, reports overdue answers and schedules the next evaluation.
func (e *Egress) evaluate(l *localEndpoint) {
	for _, sink := range l.openIfHung(time.Now()) {
		sink.Due(0)
	}
	e.logBreakerChange(l)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduleEvaluation(time.Now())
}

// scheduleEvaluation schedules the next evaluation for the moment at which it could have a result if no request ends
// or starts until then; the lock must be held.
func (l *localEndpoint) scheduleEvaluation(now time.Time) {
	if l.evaluationTimer == nil {
		return
	}
	if l.monitor.Idle() {
		l.evaluationTimer.Stop()
		return
	}
	l.evaluationTimer.Reset(l.nextEvaluation(now))
}

// nextEvaluation is the time until the in-flight monitor has a result, exact to detectionPrecision, but at most
// evaluationHorizon; the lock must be held. It searches by halving, because the evidence only grows as long as no
// request ends.
func (l *localEndpoint) nextEvaluation(now time.Time) time.Duration {
	if !l.wouldTrigger(now.Add(evaluationHorizon)) {
		return evaluationHorizon
	}
	early, late := time.Duration(0), evaluationHorizon
	for late-early > detectionPrecision {
		middle := (early + late) / 2
		if l.wouldTrigger(now.Add(middle)) {
			late = middle
		} else {
			early = middle
		}
	}
	return late
}

// wouldTrigger reports whether an evaluation at a time finds that the endpoint hangs or that a trial has failed, if no
// request ends before it; the lock must be held.
func (l *localEndpoint) wouldTrigger(at time.Time) bool {
	if len(l.overdueTrials(at)) > 0 {
		return true
	}
	return l.breaker.State() == breaker.Closed && l.monitor.Score(at, l.survival) >= openScore
}

// survival returns the share of usual requests of this kind that take longer than an age; the lock must be held.
func (l *localEndpoint) survival(w breaker.RequestClass, age time.Duration) float64 {
	return l.latencies.For(w.Kind, w.UsualTime).Survival(age)
}

// usualTimeDivisor estimates a request's usual time as its time budget divided by it, where nothing better is known:
// callers allow about ten times the usual time.
const usualTimeDivisor = 10

// workOf returns what the in-flight monitor must know of a request: its kind and usual time.
func workOf(d *peerpb.Dispatch) breaker.RequestClass {
	usual := d.GetUsualMicros()
	if usual == 0 {
		usual = d.GetBudgetMicros() / usualTimeDivisor
	}
	return breaker.RequestClass{Kind: kindOf(d), UsualTime: time.Duration(usual) * time.Microsecond}
}

const (
	// smallBody is the size in bytes up to which a body doesn't count in a request's kind. An offer doesn't tell the size of a
	// body that is sent inline, which is as small.
	smallBody = 16 << 10
	// sizeClassFactor is the ratio between the bounds of two size classes. Sixteen keeps the number of kinds of a route at
	// three for bodies of up to 4 MiB.
	sizeClassFactor = 16
)

// kindOf returns the kind of a request: its route, and the size class of a body that is not small. Large uploads and
// small requests of one route take very different times.
func kindOf(d *peerpb.Dispatch) string {
	class, bound := 0, int64(smallBody)
	for size := max(d.GetBodyLength(), int64(len(d.GetBody()))); size > bound && bound < math.MaxInt64/sizeClassFactor; class++ {
		bound *= sizeClassFactor
	}
	if class == 0 {
		return d.GetRoute()
	}
	return d.GetRoute() + " body " + strconv.Itoa(class)
}

// resetOnClose resets the in-flight monitor once the breaker has closed; the lock must be held.
func (l *localEndpoint) resetOnClose(before breaker.State) {
	if before != breaker.Closed && l.breaker.State() == breaker.Closed {
		l.openedByMonitor = false
		l.monitor.Reset()
	}
}

// openIfHung opens the breaker if the in-flight requests show that the endpoint hangs, and returns the sinks of those
// requests whose senders asked to be told when an answer is due.
func (l *localEndpoint) openIfHung(now time.Time) []peer.Sink {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportOverdueTrials(now)
	if l.monitor.Score(now, l.survival) < openScore || !l.breaker.ForceOpen(now) {
		return nil
	}
	l.openedByMonitor = true
	var overdue []peer.Sink
	for _, id := range l.monitor.InFlight() {
		if sink := l.dueSinks[id]; sink != nil {
			overdue = append(overdue, sink)
		}
	}
	return overdue
}

// recordResult passes the result of a run to the in-flight monitor, the breaker and the latency model.
func (l *localEndpoint) recordResult(id uint64, r result, service time.Duration, d *peerpb.Dispatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	defer l.scheduleEvaluation(now)
	delete(l.dueSinks, id)
	// An overdue trial has already been counted as failed.
	trialID, trial := l.takeTrial(id)
	silent := l.isSilent(r, service, d)
	l.monitor.End(now, id, !silent && !r.unanswered && !r.brokenOff)
	res, known := breakerResult(r, silent, trial)
	if !known {
		l.breaker.CancelTrial(trialID)
		return
	}
	if res == breaker.OK {
		kind := kindOf(d)
		l.latencies.Observe(kind, service)
		l.learn(kind)
	}
	if d.GetLastResort() && !trial {
		l.breaker.ReportLastResort(res)
	}
	before := l.breaker.State()
	l.breaker.Report(now, res, trialID)
	if l.openedByMonitor && l.monitor.Score(now, l.survival) < clearScore {
		l.breaker.ForceClose(now)
	}
	l.resetOnClose(before)
}

// isSilent reports whether a request had no answer within a time in which usual requests have one; the lock must be
// held. An answer that only reports a failure after so long counts as silence too.
func (l *localEndpoint) isSilent(r result, service time.Duration, d *peerpb.Dispatch) bool {
	return (r.unanswered || r.failed && !r.brokenOff) && l.survival(workOf(d), service) < overdueTrialShare
}

// breakerResult is the result of a run for the breaker. known is false for what says nothing to it: a refusal, a
// request that its caller soon canceled, and silence, which the in-flight monitor has weighed already.
func breakerResult(r result, silent, trial bool) (res breaker.Result, known bool) {
	switch {
	case r.brokenOff:
		return breaker.Broken, true
	case silent && trial:
		return breaker.Overdue, true
	case silent || r.unanswered || !r.sample:
		return breaker.OK, false
	case r.failed:
		return breaker.Failed, true
	}
	return breaker.OK, true
}
