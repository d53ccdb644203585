package breaker

import (
	"math"
	"slices"
	"time"
)

const (
	// hangShare is the assumed share of requests that a hanging endpoint leaves unanswered: it still answers some.
	hangShare = 0.7
	// maxLogRatio bounds what one request can add to the score, in nats: now and then a request takes very long.
	maxLogRatio = 2.5
	// maxEnded bounds the finished requests that are remembered: answers to so many about outweigh requests hanging in
	// all slots of an endpoint.
	maxEnded = 16
)

// answeredLogRatio is what an answer in time adds to the score, in nats.
var answeredLogRatio = math.Log(1 - hangShare)

// RequestClass says how long a request is expected to take.
type RequestClass struct {
	// Kind names the kind of request, such as its route.
	Kind string
	// UsualTime is how long such requests usually take at other endpoints, 0 if unknown.
	UsualTime time.Duration
}

// Survival returns the share of ordinary requests of a class that take longer than age.
type Survival func(class RequestClass, age time.Duration) float64

// InflightMonitor detects a hanging endpoint from its in-flight requests: requests that should have finished and have
// not count against the endpoint long before their callers time out. It is not safe for concurrent use; its owner must
// hold a lock.
//
// The score is the log likelihood ratio of "since some moment the endpoint has left hangShare of its new requests
// unanswered" to "the endpoint is healthy", for the moment at which it is highest. An in-flight request is a censored
// observation of its service time.
type InflightMonitor struct {
	// requests are ordered by start: the in-flight ones and some that have finished since; ended counts the latter.
	requests []request
	ended    int
}

// request is one request. start is its dispatch or last progress, moved on by pauses; ended is set once it has
// finished, with its age at that time, and answered if the endpoint answered in time.
type request struct {
	id       uint64
	class    RequestClass
	start    time.Time
	ended    bool
	answered bool
	age      time.Duration
	// pausedAt is since when the endpoint has been waiting for the caller, zero if it isn't.
	pausedAt time.Time
}

// agedAt returns the time since the request's dispatch or its last progress, without pauses.
func (r request) agedAt(now time.Time) time.Duration {
	switch {
	case r.ended:
		return r.age
	case !r.pausedAt.IsZero():
		return r.pausedAt.Sub(r.start)
	}
	return now.Sub(r.start)
}

// Begin records a request that was dispatched to the endpoint.
func (m *InflightMonitor) Begin(now time.Time, id uint64, class RequestClass) {
	m.requests = append(m.requests, request{id: id, class: class, start: now})
}

// Progress records a sign of life in a request, such as part of its answer: only the silence since then counts.
func (m *InflightMonitor) Progress(now time.Time, id uint64) {
	if r := m.find(id); r != nil {
		r.start = now
	}
}

// Pause records that the endpoint waits for someone else, such as a caller that reads slowly. The time until Resume
// doesn't count against the endpoint.
func (m *InflightMonitor) Pause(now time.Time, id uint64) {
	if r := m.find(id); r != nil && r.pausedAt.IsZero() {
		r.pausedAt = now
	}
}

// Resume ends a Pause.
func (m *InflightMonitor) Resume(now time.Time, id uint64) {
	if r := m.find(id); r != nil && !r.pausedAt.IsZero() {
		r.start = r.start.Add(now.Sub(r.pausedAt))
		r.pausedAt = time.Time{}
	}
}

// find returns an in-flight request, nil if there is none with the ID.
func (m *InflightMonitor) find(id uint64) *request {
	i := slices.IndexFunc(m.requests, func(r request) bool { return r.id == id && !r.ended })
	if i < 0 {
		return nil
	}
	return &m.requests[i]
}

// End records that a request has finished, and whether the endpoint answered.
func (m *InflightMonitor) End(now time.Time, id uint64, answered bool) {
	r := m.find(id)
	if r == nil {
		return
	}
	r.ended, r.answered, r.age = true, answered, r.agedAt(now)
	if m.ended++; m.ended > maxEnded {
		m.ended--
		oldest := slices.IndexFunc(m.requests, func(r request) bool { return r.ended })
		m.requests = slices.Delete(m.requests, oldest, oldest+1)
	}
}

// Score returns the evidence that the endpoint hangs, in nats, 0 for none.
func (m *InflightMonitor) Score(now time.Time, survival Survival) float64 {
	sum, highest := 0.0, 0.0
	for _, r := range slices.Backward(m.requests) {
		sum += r.logRatio(now, survival)
		highest = max(highest, sum)
	}
	return highest
}

// logRatio is the log likelihood ratio that one request contributes to the score.
func (r request) logRatio(now time.Time, survival Survival) float64 {
	if r.answered {
		return answeredLogRatio
	}
	s := survival(r.class, r.agedAt(now))
	return min(math.Log((hangShare+(1-hangShare)*s)/s), maxLogRatio)
}

// Reset drops all requests: the endpoint has proved healthy, and requests that are still unanswered were sent before
// that.
func (m *InflightMonitor) Reset() { m.requests, m.ended = nil, 0 }

// Age returns the class of an in-flight request and the time since its dispatch or last progress, without pauses; false
// if it isn't in flight.
func (m *InflightMonitor) Age(now time.Time, id uint64) (class RequestClass, age time.Duration, ok bool) {
	r := m.find(id)
	if r == nil {
		return RequestClass{}, 0, false
	}
	return r.class, r.agedAt(now), true
}

// Idle reports whether no request is in flight.
func (m *InflightMonitor) Idle() bool {
	return !slices.ContainsFunc(m.requests, func(r request) bool { return !r.ended })
}

// InFlight returns the IDs of the in-flight requests.
func (m *InflightMonitor) InFlight() []uint64 {
	var ids []uint64
	for _, r := range m.requests {
		if !r.ended {
			ids = append(ids, r.id)
		}
	}
	return ids
}
