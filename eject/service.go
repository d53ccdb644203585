package eject

import (
	"cmp"
	"slices"
	"time"
)

const (
	failureMemory = 50.0
	// What failed just now, over about this many answers, shows a common cause before the long shares do.
	recentMemory = 5.0
	marksEvery   = 16
	marksLeast   = 20
	rateWindow   = 10 * time.Second
	rampStart    = 0.25

	// Where a normal distribution has the quantiles that the spread is read from, in standard deviations.
	upperQuantile = 0.84
	slowNormal    = 1.645
	lateNormal    = 2.576
	// Times longer by less than half never count as shifted, however alike the others' times are.
	leastSpread = 0.55
)

type endpoint struct {
	Endpoint
	tests     tests
	times     histogram
	failShare float64
	failSeen  float64
	failNow   float64
	timeNow   float64
	phase     Phase
	ejections int
	until     time.Time
	since     time.Time
	good      int
	share     float64
	rate      float64
	rateFrom  time.Time
	rateCount int
}

// Service is the detector of one service; one goroutine owns it.
type Detector struct {
	cfg       Config
	endpoints []*endpoint
	byKey     map[string]*endpoint
	marks     Baselines
	sinceMark int
}

// NewService returns a detector without endpoints.
func NewDetector(cfg Config) *Detector {
	return &Detector{cfg: cfg, byKey: make(map[string]*endpoint)}
}

// SetConfig replaces the policy and keeps the evidence.
func (s *Detector) SetConfig(now time.Time, cfg Config) {
	s.cfg = cfg
	s.enforceFloor(now)
}

// SetEndpoints replaces the list of endpoints and keeps the evidence of those that stay.
func (s *Detector) SetEndpoints(now time.Time, list []Endpoint) {
	byKey := make(map[string]*endpoint, len(list))
	s.endpoints = s.endpoints[:0]
	for _, spec := range list {
		e := s.byKey[spec.Key]
		if e == nil {
			e = &endpoint{share: 1, since: now, rateFrom: now}
		}
		e.Endpoint = spec
		byKey[spec.Key] = e
		s.endpoints = append(s.endpoints, e)
	}
	slices.SortFunc(s.endpoints, func(a, b *endpoint) int { return cmp.Compare(a.Key, b.Key) })
	s.byKey = byKey
	s.enforceFloor(now)
}

// Marks returns the service times that count as slow now.
func (s *Detector) Baselines() Baselines { return s.marks }

// Observe takes one piece of evidence; events of unknown endpoints are ignored.
func (s *Detector) Observe(now time.Time, key string, ev Observation) {
	e := s.byKey[key]
	if e == nil {
		return
	}
	e.countRate(now)
	bad := s.weigh(now, e, ev)
	switch e.phase {
	case Serving, LastChoice, Ramp:
		s.judge(now, e)
	case Trickle:
		s.judgeTrickle(now, e, bad)
	case Ejected:
		// Late answers of work that was sent before.
	}
}

// Report takes evidence that a node beside the endpoint gathered from other callers' work.
func (s *Detector) ObserveCounts(now time.Time, key string, finished, failed uint64) {
	e := s.byKey[key]
	if e == nil || e.phase == Ejected || e.phase == Trickle {
		return
	}
	const mostAtOnce = 64
	// The others' share is the same for all of them: it leaves this endpoint out. To look it up for each one costs 64 times as
	// much, most of a node's processor time where it meets each of hundreds of endpoints once a minute.
	healthy := s.healthyFailures(e)
	for i := range min(finished, mostAtOnce) {
		e.countRate(now)
		e.tests.failure(i < failed, healthy)
		e.noteFailure(i < failed)
	}
	s.judge(now, e)
}

// weigh feeds the tests and returns whether the event speaks against the endpoint.
func (s *Detector) weigh(now time.Time, e *endpoint, ev Observation) bool {
	if ev.Kind != Overdue {
		failed := ev.Kind == Failure
		e.tests.failure(failed, s.healthyFailures(e))
		e.noteFailure(failed)
	}
	late := s.marks.Known && ev.Latency > s.marks.Late
	if ev.Kind == Failure {
		return true
	}
	if s.marks.Known && !ev.WasOverdue {
		m := s.marks.times(s.commonSlowdown(e))
		e.tests.slowness(now, ev.Latency, m)
		e.tests.shift(ev.Latency, m)
	}
	e.noteRecent(ev.Latency)
	if ev.Kind == Success {
		e.times.add(ev.Latency)
		s.refreshMarks()
	}
	return late
}

func (e *endpoint) countRate(now time.Time) {
	e.rateCount++
	elapsed := now.Sub(e.rateFrom)
	if elapsed < rateWindow {
		return
	}
	e.rate = float64(e.rateCount) / elapsed.Seconds()
	e.rateFrom = now
	e.rateCount = 0
}

func (s *Detector) threshold(e *endpoint) float64 {
	h := threshold(e.rate, s.cfg.FalseEjections)
	if e.phase == Ramp {
		h /= 2
	}
	return h
}

func (s *Detector) judge(now time.Time, e *endpoint) {
	score, _ := e.tests.worst()
	if score < s.threshold(e) {
		if e.phase == LastChoice && score < s.threshold(e)/2 {
			e.serve(now)
		}
		return
	}
	if e.phase == LastChoice {
		e.capScore(2 * s.threshold(e))
		return
	}
	e.phase = LastChoice
	e.since = now
	s.enforceFloor(now)
}

// capScore keeps a long spell over the threshold from taking as long to be forgotten.
func (e *endpoint) capScore(most float64) {
	for i := range e.tests.sums {
		e.tests.sums[i] = min(e.tests.sums[i], most)
	}
}

func (e *endpoint) serve(now time.Time) {
	e.phase = Serving
	e.share = 1
	e.since = now
}

func (s *Detector) judgeTrickle(now time.Time, e *endpoint, bad bool) {
	if bad {
		s.eject(now, e)
		return
	}
	e.good++
	if e.good < s.cfg.TrickleSuccesses {
		return
	}
	e.phase = Ramp
	e.share = rampStart
	e.since = now
	e.tests.reset()
}

func (s *Detector) eject(now time.Time, e *endpoint) {
	e.phase = Ejected
	e.share = 0
	e.since = now
	e.until = now.Add(s.ejectionTime(e.ejections))
	e.ejections++
	e.good = 0
}

func (s *Detector) ejectionTime(before int) time.Duration {
	d := s.cfg.BaseEjectionTime
	for range before {
		d *= 2
		if d >= s.cfg.MaxEjectionTime {
			return s.cfg.MaxEjectionTime
		}
	}
	return d
}

// Tick moves endpoints on with time; call it several times a second.
func (s *Detector) Tick(now time.Time) {
	for _, e := range s.endpoints {
		switch e.phase {
		case Ejected:
			if !now.Before(e.until) {
				e.phase = Trickle
				e.since = now
				e.good = 0
				e.tests.reset()
			}
		case Ramp:
			e.ramp(now, s.cfg.RampStep)
		case Serving:
			if e.ejections > 0 && now.Sub(e.since) >= s.cfg.ForgiveInterval {
				e.ejections /= 2
				e.since = now
			}
		case LastChoice, Trickle:
		}
	}
	s.enforceFloor(now)
}

func (e *endpoint) ramp(now time.Time, step time.Duration) {
	if now.Sub(e.since) < step {
		return
	}
	e.share *= 2
	e.since = now
	if e.share >= 1 {
		e.serve(now)
	}
}

// suspicion is the score from which an endpoint is under suspicion, in nats.
const suspicion = 1

// Verdict returns what to do with an endpoint; an unknown one serves.
func (s *Detector) Verdict(key string) Verdict {
	e := s.byKey[key]
	if e == nil {
		return Verdict{Share: 1}
	}
	score, test := e.tests.worst()
	return Verdict{
		Phase: e.phase, Share: e.share, Score: score, Threshold: s.threshold(e),
		Suspect: e.phase == Serving && score >= suspicion,
		Test:    test, Ejections: e.ejections, Until: e.until,
	}
}
