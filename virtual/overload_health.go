package virtual

import (
	"time"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/latency"
)

// The values of egress/hang.go.
const (
	monitorInterval   = 25 * time.Millisecond
	openScore         = 4
	clearScore        = 0.5
	overdueTrialShare = 0.05
)

// requestClass is what the in-flight monitor knows of a request.
func requestClass(x *exchange) breaker.RequestClass {
	return breaker.RequestClass{Kind: x.class.name, UsualTime: x.n.usualTime(x.class)}
}

// model returns the model of requests of a class.
func (s *server) model(c breaker.RequestClass) *latency.Model {
	return s.latencies.For(c.Kind, c.UsualTime)
}

func (s *server) survival(c breaker.RequestClass, age time.Duration) float64 {
	return s.model(c).Survival(age)
}

// evaluate opens the breaker if the requests in flight show that the endpoint hangs, as egress/hang.go does, and
// schedules the next evaluation.
func (s *server) evaluate() {
	s.after(monitorInterval, s.evaluate)
	if class, age, ok := s.monitor.Age(s.now, s.trialID); ok && s.survival(class, age) < overdueTrialShare {
		s.trialID = 0
		s.breaker.Report(s.now, breaker.Overdue, true)
	}
	if s.breaker.State() != breaker.Closed || s.monitor.Score(s.now, s.survival) < openScore || !s.breaker.ForceOpen(s.now) {
		return
	}
	s.openedByMonitor = true
	for _, id := range s.monitor.InFlight() {
		if a := s.running[id]; a.x.class.repeatable && !a.hedge {
			s.after(hop, func() { a.x.hedge(a) })
		}
	}
}

// record passes the end of a run to the in-flight monitor, the breaker and the latency models.
func (s *server) record(a *attempt, e end) {
	trial := a.trial && s.trialID == a.id
	if trial {
		s.trialID = 0
	}
	unanswered := e.outcome == peerpb.Outcome_OUTCOME_UNKNOWN
	silent := e.failed && s.survival(requestClass(a.x), e.service) < overdueTrialShare
	s.monitor.End(s.now, a.id, !silent && !unanswered)
	result := breaker.OK
	switch {
	case silent && trial:
		result = breaker.Overdue
	case silent || unanswered:
		s.breaker.CancelTrial(trial)
		return
	case e.failed:
		result = breaker.Failed
	default:
		s.latencies.Observe(a.x.class.name, e.service)
	}
	s.report(a, result, trial)
}

// report passes a result to the breaker.
func (s *server) report(a *attempt, result breaker.Result, trial bool) {
	if a.lastResort && !trial {
		s.breaker.ReportLastResort(result)
	}
	before := s.breaker.State()
	s.breaker.Report(s.now, result, trial)
	if s.openedByMonitor && s.monitor.Score(s.now, s.survival) < clearScore {
		s.breaker.ForceClose(s.now)
	}
	if before != breaker.Closed && s.breaker.State() == breaker.Closed {
		s.openedByMonitor = false
		s.monitor.Reset()
	}
}
