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

// survivalOf returns the share of usual requests that take longer than a run has taken.
func (s *server) survivalOf(a *attempt) float64 {
	return s.survival(requestClass(a.x), s.now.Sub(a.started))
}

// evaluate opens the breaker if the requests in flight show that the endpoint hangs, as egress/hang.go does, and
// schedules the next evaluation.
func (s *server) evaluate() {
	s.after(monitorInterval, s.evaluate)
	for _, a := range s.running {
		if class, age, ok := s.monitor.Age(s.now, a.id); ok && a.trial != 0 && s.survival(class, age) < overdueTrialShare {
			s.breaker.Report(s.now, breaker.Overdue, a.trial)
			a.trial = 0
		}
	}
	if s.breaker.State() != breaker.Closed || s.monitor.Score(s.now, s.survival) < openScore || !s.breaker.ForceOpen(s.now) {
		return
	}
	s.openedByMonitor = true
	for _, a := range s.running {
		if _, _, ok := s.monitor.Age(s.now, a.id); ok && a.x.class.repeatable && !a.hedge {
			s.after(hop, func() { a.x.hedge(a) })
		}
	}
}

// record passes the end of a run to the in-flight monitor, the breaker and the latency models.
func (s *server) record(a *attempt, e end) {
	unanswered := e.outcome == peerpb.Outcome_OUTCOME_UNKNOWN
	silent := e.failed && s.survivalOf(a) < overdueTrialShare
	s.monitor.End(s.now, a.id, !silent && !unanswered)
	result := breaker.OK
	switch {
	case silent && a.trial != 0:
		result = breaker.Overdue
	case silent || unanswered:
		s.breaker.CancelTrial(a.trial)
		return
	case e.failed:
		result = breaker.Failed
	default:
		s.latencies.Observe(a.x.class.name, e.service)
		if model := s.model(requestClass(a.x)); s.latencies.Knows(a.x.class.name) {
			s.queue.Learn(a.x.class.name, model.Quantile(expectedQuantile), model.Mean())
		}
	}
	s.report(a, result)
}

// report passes a result to the breaker.
func (s *server) report(a *attempt, result breaker.Result) {
	if a.lastResort && a.trial == 0 {
		s.breaker.ReportLastResort(result)
	}
	before := s.breaker.State()
	s.breaker.Report(s.now, result, a.trial)
	if s.openedByMonitor && s.monitor.Score(s.now, s.survival) < clearScore {
		s.breaker.ForceClose(s.now)
	}
	if before != breaker.Closed && s.breaker.State() == breaker.Closed {
		s.openedByMonitor = false
		s.monitor.Reset()
		for _, other := range s.running {
			other.abandoned = other != a
		}
	}
}
