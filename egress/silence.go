package egress

import (
	"time"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
)

const (
	// lookWithin is how soon after it could be said the work under way is found to say that the endpoint hangs: short beside the
	// second for which endpoints are seen to.
	lookWithin = 25 * time.Millisecond
	// lookAhead is how far ahead that is worked out; at most so often is work looked at that goes as usual. A look every lookWithin
	// was 40 wake-ups a second of each node that worked.
	lookAhead = 8 * lookWithin
	// suspectScore is the evidence of the work under way, in nats, that opens the breaker: odds of 55 to 1. Where endpoints
	// hang for seconds, 15 in 100 requests go unserved with it and 20 without (docs/DECISIONS.md).
	suspectScore = 4
	// clearScore is the evidence below which a suspicion that rested on work under way alone is dropped: that work has
	// been answered after all.
	clearScore = 0.5
	// trialOverdue is the share of ordinary work that takes longer than a trial may, which then has failed.
	trialOverdue = 0.05
)

// begin notes work that is handed over, and has the work under way looked at while there is any.
func (e *Egress) begin(l *local, now time.Time, id uint64, d *peerpb.Dispatch, sink peer.Sink, trial bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch.Begin(now, id, workOf(d))
	if trial {
		l.trial = id
	}
	if d.GetTellDue() {
		l.asking[id] = sink
	}
	if l.looks == nil {
		l.looks = time.AfterFunc(lookAhead, func() { e.look(l) })
	}
	l.planLook(now)
}

// look judges the work under way.
func (e *Egress) look(l *local) {
	for _, sink := range l.weigh(time.Now()) {
		sink.Due(0)
	}
	e.noteState(l)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.planLook(time.Now())
}

// planLook has the work under way looked at when it can say something, as long as nothing of it ends and nothing begins; the lock
// is held.
func (l *local) planLook(now time.Time) {
	if l.looks == nil {
		return
	}
	if l.watch.Idle() {
		l.looks.Stop()
		return
	}
	l.looks.Reset(l.nextLook(now))
}

// nextLook is the time until the work under way says something, to lookWithin and at most lookAhead; the lock is held. What it
// says only grows as long as nothing ends.
func (l *local) nextLook(now time.Time) time.Duration {
	if !l.saysSomething(now.Add(lookAhead)) {
		return lookAhead
	}
	early, late := time.Duration(0), lookAhead
	for late-early > lookWithin {
		middle := (early + late) / 2
		if l.saysSomething(now.Add(middle)) {
			late = middle
		} else {
			early = middle
		}
	}
	return late
}

// saysSomething tells whether the work under way, if none of it has ended by a time, shows then that the endpoint hangs or that a
// trial has failed; the lock is held.
func (l *local) saysSomething(at time.Time) bool {
	if l.trialOverdue(at) {
		return true
	}
	return l.breaker.State() == breaker.Closed && l.watch.Score(at, l.survival) >= suspectScore
}

// trialOverdue tells whether the breaker's trial has taken too long by a time; the lock is held.
func (l *local) trialOverdue(at time.Time) bool {
	work, age, ok := l.watch.Age(at, l.trial)
	return ok && l.survival(work, age) < trialOverdue
}

// survival tells how much of a kind's ordinary work takes longer than an age; the lock is held.
func (l *local) survival(w breaker.RequestClass, age time.Duration) float64 {
	return l.times.For(w.Kind, w.UsualTime).Survival(age)
}

// budgetPart is the part of its time that work usually takes where nobody knows better, as one in so many: callers allow
// about ten times the usual.
const budgetPart = 10

// workOf is what a request asks of the endpoint.
func workOf(d *peerpb.Dispatch) breaker.RequestClass {
	usual := d.GetUsualMicros()
	if usual == 0 {
		usual = d.GetBudgetMicros() / budgetPart
	}
	return breaker.RequestClass{Kind: d.GetRoute(), UsualTime: time.Duration(usual) * time.Microsecond}
}

// noteClosed has the watch begin anew once the breaker has closed; the lock is held.
func (l *local) noteClosed(was breaker.State) {
	if was != breaker.Closed && l.breaker.State() == breaker.Closed {
		l.suspected = false
		l.watch.Reset()
	}
}

// weigh opens the breaker when the work under way says that the endpoint hangs, and returns who waits for such work.
func (l *local) weigh(now time.Time) []peer.Sink {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.trialOverdue(now) {
		l.trial = 0
		l.breaker.Report(now, breaker.Overdue, true)
	}
	if l.watch.Score(now, l.survival) < suspectScore || !l.breaker.ForceOpen(now) {
		return nil
	}
	l.suspected = true
	var waiting []peer.Sink
	for _, id := range l.watch.InFlight() {
		if sink := l.asking[id]; sink != nil {
			waiting = append(waiting, sink)
		}
	}
	return waiting
}

// judge tells the watch, the breaker and the model of times how a run went.
func (l *local) judge(id uint64, r result, service time.Duration, d *peerpb.Dispatch, trial bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	defer l.planLook(now)
	delete(l.asking, id)
	// A trial that was overdue has failed already.
	trial = trial && l.trial == id
	if trial {
		l.trial = 0
	}
	silent := l.silent(r, service, d)
	l.watch.End(now, id, !silent && !r.silent && !r.broken)
	how, known := resultOf(r, silent, trial)
	if !known {
		l.breaker.CancelTrial(trial)
		return
	}
	if how == breaker.OK {
		l.times.Observe(d.GetRoute(), service)
	}
	if d.GetLastResort() && !trial {
		l.breaker.ReportLastResort(how)
	}
	was := l.breaker.State()
	l.breaker.Report(now, how, trial)
	if l.suspected && l.watch.Score(now, l.survival) < clearScore {
		l.breaker.ForceClose(now)
	}
	l.noteClosed(was)
}

// silent tells whether work has had no answer in a time in which ordinary work has one; the lock is held. An answer that
// only says, after so long, that the work failed is silence by another name.
func (l *local) silent(r result, service time.Duration, d *peerpb.Dispatch) bool {
	return (r.silent || r.failed && !r.broken) && l.survival(workOf(d), service) < trialOverdue
}

// resultOf is what the breaker is told of a run; known is false where it says nothing: of a refusal, of work that its caller
// broke off soon, and of silence, which the watch has weighed while the work was under way.
func resultOf(r result, silent, trial bool) (how breaker.Result, known bool) {
	switch {
	case r.broken:
		return breaker.Broken, true
	case silent && trial:
		return breaker.Overdue, true
	case silent || r.silent || !r.worked:
		return breaker.OK, false
	case r.failed:
		return breaker.Failed, true
	}
	return breaker.OK, true
}
