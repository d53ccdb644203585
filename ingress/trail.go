package ingress

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// mostLogged bounds the steps of a trail that are logged: what comes after repeats what came before.
const mostLogged = 12

// step is one endpoint that was asked for a request.
type step struct {
	endpoint string
	// at is how long after the request's arrival it was asked.
	at time.Duration
	// seenMillis is how old this node's word of the endpoint was, in milliseconds, -1 for none.
	seenMillis int64
	// end is what came of it.
	end *peerpb.End
}

// trail is the first steps of one request and the last one; count is the number of all.
type trail struct {
	steps []step
	count int
}

// add notes a step; past mostLogged it takes the place of the one before.
func (t *trail) add(s step) {
	t.count++
	if len(t.steps) < mostLogged {
		t.steps = append(t.steps, s)
		return
	}
	// The last step decided how the request ended.
	t.steps[mostLogged-1] = s
}

// last is the endpoint that was asked last, "" for none.
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
	e.Str("endpoint", s.endpoint).Int64("at_ms", s.at.Milliseconds()).Int64("seen_ms", s.seenMillis).
		Str("outcome", s.end.GetOutcome().String())
	if code := s.end.GetCode(); code != "" {
		e.Str("code", code)
	}
}

// log tells how a request ended, what decided it, and by which configuration and list of hosts.
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
	if event != events.RequestServed {
		e.Stringer("content", x.call.content).Dur("aim", x.aim()).Dur("limit", x.call.timeout).
			Bool("last_resort", x.lastResort).Array("trail", &x.trail)
	}
	e.Send()
}

// logAgain tells that the request goes to a further endpoint.
func (x *exchange) logAgain(end *peerpb.End) {
	events.SentAgain.Log(x.g.log).Str("request", x.call.id).Str("service", x.call.service.Key).
		Str("endpoint", x.trail.last()).Str("outcome", end.GetOutcome().String()).Str("code", end.GetCode()).
		Int("sends", x.sends).Send()
}
