package ingress

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/metrics"
	"github.com/lynxplank/lynxplank/table"
)

// maxLoggedSteps bounds the steps of a trail that are logged: those beyond repeat the earlier ones.
const maxLoggedSteps = 12

// step is one endpoint that was asked for a request.
type step struct {
	endpoint string
	// offset is the time from the request's arrival to the step.
	offset time.Duration
	// reportAgeMillis is the age of this node's latest report of the endpoint, in milliseconds, -1 for none.
	reportAgeMillis int64
	// end is the result.
	end *peerpb.End
}

// trail holds the first steps of a request and its last one; count is the number of all steps.
type trail struct {
	steps []step
	count int
}

// add records a step. Beyond maxLoggedSteps, it replaces the last step.
func (t *trail) add(s step) {
	t.count++
	if len(t.steps) < maxLoggedSteps {
		t.steps = append(t.steps, s)
		return
	}
	// The last step decides how the request ends, so it is kept.
	t.steps[maxLoggedSteps-1] = s
}

// last returns the endpoint that was asked last, "" for none.
func (t *trail) last() string {
	if len(t.steps) == 0 {
		return ""
	}
	return t.steps[len(t.steps)-1].endpoint
}

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (t *trail) MarshalZerologArray(a *zerolog.Array) {
	for i := range t.steps {
		a.Object(&t.steps[i])
	}
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (s *step) MarshalZerologObject(e *zerolog.Event) {
	e.Str("endpoint", s.endpoint).Int64("at_ms", s.offset.Milliseconds()).Int64("seen_ms", s.reportAgeMillis).
		Str("outcome", s.end.GetOutcome().String())
	if code := s.end.GetCode(); code != "" {
		e.Str("code", code)
	}
}

// yieldResults name what became of a request of which a send gave up its slot.
var yieldResults = map[events.Event]metrics.YieldResult{
	events.RequestServed: metrics.YieldServed, events.ServedLate: metrics.YieldLate, events.RequestFailed: metrics.YieldFailed,
}

// log logs how a request ended, what decided it, and the revisions of the configuration and of the host list that it
// used. In the log, the fingerprint is called content and the latency target aim.
func (x *exchange) log(end *peerpb.End) {
	status := x.answer.head.GetStatus()
	after := time.Since(x.start)
	served := end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN && end.GetComplete() && status < http.StatusInternalServerError
	event := events.RequestFailed
	switch {
	case served && (x.overdue() || x.sends > 1):
		event = events.ServedLate
	case served:
		event = events.RequestServed
	}
	e := event.Log(x.g.log).Str("request", x.call.id).Str("service", x.call.service.Key).Str("route", x.call.route.Key).
		Str("outcome", end.GetOutcome().String()).Uint32("status", status).Str("endpoint", x.trail.last()).
		Dur("after", after).Int64("work_ms", end.GetLoad().GetServiceMicros()/int64(time.Millisecond/time.Microsecond)).
		Int("sends", x.sends).Int("asked", x.trail.count).Bool("repeatable", x.call.repeatable).
		Uint64("config", x.call.config).Uint64("hosts", x.g.snapshot().State.Revisions()[table.SourceHosts])
	if code := end.GetCode(); code != "" {
		e.Str("code", code)
	}
	if yieldedAt, stopping := x.progress.lastYield(); !yieldedAt.IsZero() {
		e.Dur("slot_yielded_ago", time.Since(yieldedAt)).Bool("stopping", stopping)
		x.g.metrics.Service(x.call.service.Key).CountYielded(yieldResults[event])
	}
	if x.call.nested {
		e.Bool("nested", true).Int("rounds", x.rounds.count())
	}
	if event != events.RequestServed {
		e.Stringer("content", x.call.fingerprint).Dur("aim", x.latencyTarget()).Dur("limit", x.call.timeout).
			Bool("last_resort", x.lastResort).Array("trail", &x.trail)
	}
	e.Send()
}

// logRetry logs that the request is sent to another endpoint.
func (x *exchange) logRetry(end *peerpb.End) {
	events.RequestRetried.Log(x.g.log).Str("request", x.call.id).Str("service", x.call.service.Key).
		Str("endpoint", x.trail.last()).Str("outcome", end.GetOutcome().String()).Str("code", end.GetCode()).
		Int("sends", x.sends).Send()
}
