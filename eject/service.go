package eject

import (
	"cmp"
	"slices"
	"time"
)

const (
	maxFailureWindow = 50.0
	// Failures over about this many recent answers reveal a common cause before the failure shares of maxFailureWindow
	// answers do.
	recentWindow = 5.0
	// The baselines are updated once per baselinesInterval answers, from endpoints with at least minBaselineSamples.
	baselinesInterval  = 16
	minBaselineSamples = 20
	rateWindow         = 10 * time.Second
	rampStart          = 0.25

	// The spread is estimated from the upper, slow and late quantiles. In a normal distribution they lie 1, slowNormal
	// and lateNormal standard deviations above the median.
	upperQuantile = 0.84
	slowNormal    = 1.645
	lateNormal    = 2.576
	// The lower bound of Spread: service times longer by less than half never count as shifted, however similar the
	// others' times are.
	minSpread = 0.55
)

// endpoint is the detector's state of one endpoint.
type endpoint struct {
	Endpoint
	tests              tests
	latencies          histogram
	failureShare       float64
	failureSamples     float64
	recentFailureShare float64
	recentLogLatency   float64
	phase              Phase
	ejections          int
	until              time.Time
	since              time.Time
	trickleSuccesses   int
	share              float64
	rate               float64
	rateSince          time.Time
	rateCount          int
}

// Detector is the outlier detector of one service; one goroutine owns it.
type Detector struct {
	cfg            Config
	endpoints      []*endpoint
	byKey          map[string]*endpoint
	baselines      Baselines
	sinceBaselines int
}

// NewDetector returns a detector without endpoints.
func NewDetector(cfg Config) *Detector {
	return &Detector{cfg: cfg, byKey: make(map[string]*endpoint)}
}

// SetConfig replaces the policy and keeps the test scores.
func (d *Detector) SetConfig(now time.Time, cfg Config) {
	d.cfg = cfg
	d.enforceFloor(now)
}

// SetEndpoints replaces the list of endpoints and keeps the test scores of those that remain.
func (d *Detector) SetEndpoints(now time.Time, list []Endpoint) {
	byKey := make(map[string]*endpoint, len(list))
	d.endpoints = d.endpoints[:0]
	for _, described := range list {
		e := d.byKey[described.Key]
		if e == nil {
			e = &endpoint{share: 1, since: now, rateSince: now}
		}
		e.Endpoint = described
		byKey[described.Key] = e
		d.endpoints = append(d.endpoints, e)
	}
	slices.SortFunc(d.endpoints, func(a, b *endpoint) int { return cmp.Compare(a.Key, b.Key) })
	d.byKey = byKey
	d.enforceFloor(now)
}

// Baselines returns the service's current baselines.
func (d *Detector) Baselines() Baselines { return d.baselines }

// Observe records the result of a request; unknown endpoints are ignored.
func (d *Detector) Observe(now time.Time, key string, o Observation) {
	e := d.byKey[key]
	if e == nil {
		return
	}
	e.countRate(now)
	isBad := d.updateTests(now, e, o)
	switch e.phase {
	case Serving, LastChoice, Ramp:
		d.applyThreshold(now, e)
	case Trickle:
		d.observeTrickle(now, e, isBad)
	case Ejected:
		// Late answers to requests that were sent before the ejection say nothing about its end.
	}
}

// ObserveCounts records the results of other nodes' requests, as counted by the node beside the endpoint.
func (d *Detector) ObserveCounts(now time.Time, key string, finished, failed uint64) {
	e := d.byKey[key]
	if e == nil || e.phase == Ejected || e.phase == Trickle {
		return
	}
	const maxObservations = 64
	// The other endpoints' failure share is the same for all observations, because it excludes this endpoint. Computing
	// it for each of 64 observations costs 64 times as much, which took most of a node's processor time where a node
	// sees each of hundreds of endpoints once a minute.
	healthy := d.healthyFailures(e)
	for i := range min(finished, maxObservations) {
		e.countRate(now)
		e.tests.observeFailure(i < failed, healthy)
		e.observeFailure(i < failed)
	}
	d.applyThreshold(now, e)
}

// updateTests adds an observation to the tests and reports whether it counts against the endpoint.
func (d *Detector) updateTests(now time.Time, e *endpoint, o Observation) bool {
	if o.Kind != Overdue {
		failed := o.Kind == Failure
		e.tests.observeFailure(failed, d.healthyFailures(e))
		e.observeFailure(failed)
	}
	late := d.baselines.Known && o.Latency > d.baselines.Late
	if o.Kind == Failure {
		return true
	}
	if d.baselines.Known && !o.WasOverdue {
		m := d.baselines.scaled(d.commonSlowdown(e))
		e.tests.observeSlowness(now, o.Latency, m)
		e.tests.observeShift(o.Latency, m)
	}
	e.observeLatency(o.Latency)
	if o.Kind == Success {
		e.latencies.add(o.Latency)
		d.updateBaselines()
	}
	return late
}

// countRate measures the rate of observations, on which the threshold depends.
func (e *endpoint) countRate(now time.Time) {
	e.rateCount++
	elapsed := now.Sub(e.rateSince)
	if elapsed < rateWindow {
		return
	}
	e.rate = float64(e.rateCount) / elapsed.Seconds()
	e.rateSince = now
	e.rateCount = 0
}

// threshold returns the score at which an endpoint is ejected; in the ramp phase half the usual score suffices.
func (d *Detector) threshold(e *endpoint) float64 {
	limit := alarmThreshold(e.rate, d.cfg.FalseEjections)
	if e.phase == Ramp {
		limit /= 2
	}
	return limit
}

// applyThreshold ejects an endpoint whose score has reached the threshold, as far as the floor allows, and returns a
// LastChoice endpoint to serving once its score is below half the threshold.
func (d *Detector) applyThreshold(now time.Time, e *endpoint) {
	score, _ := e.tests.highest()
	if score < d.threshold(e) {
		if e.phase == LastChoice && score < d.threshold(e)/2 {
			e.serve(now)
		}
		return
	}
	if e.phase == LastChoice {
		e.capScore(2 * d.threshold(e))
		return
	}
	e.phase = LastChoice
	e.since = now
	d.enforceFloor(now)
}

// capScore bounds the scores, so that recovery takes no longer after a long time over the threshold than after a short
// one.
func (e *endpoint) capScore(limit float64) {
	for i := range e.tests.sums {
		e.tests.sums[i] = min(e.tests.sums[i], limit)
	}
}

func (e *endpoint) serve(now time.Time) {
	e.phase = Serving
	e.share = 1
	e.since = now
}

// observeTrickle ejects an endpoint again after a bad trial, and moves it to the ramp phase after enough good ones.
func (d *Detector) observeTrickle(now time.Time, e *endpoint, isBad bool) {
	if isBad {
		d.eject(now, e)
		return
	}
	e.trickleSuccesses++
	if e.trickleSuccesses < d.cfg.TrickleSuccesses {
		return
	}
	e.phase = Ramp
	e.share = rampStart
	e.since = now
	e.tests.reset()
}

func (d *Detector) eject(now time.Time, e *endpoint) {
	e.phase = Ejected
	e.share = 0
	e.since = now
	e.until = now.Add(d.ejectionDuration(e.ejections))
	e.ejections++
	e.trickleSuccesses = 0
}

// ejectionDuration returns the duration of an ejection after a number of earlier ones.
func (d *Detector) ejectionDuration(earlier int) time.Duration {
	duration := d.cfg.BaseEjectionTime
	for range earlier {
		duration *= 2
		if duration >= d.cfg.MaxEjectionTime {
			return d.cfg.MaxEjectionTime
		}
	}
	return duration
}

// Tick advances the phases that depend on time; call it several times a second.
func (d *Detector) Tick(now time.Time) {
	for _, e := range d.endpoints {
		switch e.phase {
		case Ejected:
			if !now.Before(e.until) {
				e.phase = Trickle
				e.since = now
				e.trickleSuccesses = 0
				e.tests.reset()
			}
		case Ramp:
			e.ramp(now, d.cfg.RampStep)
		case Serving:
			if e.ejections > 0 && now.Sub(e.since) >= d.cfg.ForgiveInterval {
				e.ejections /= 2
				e.since = now
			}
		case LastChoice, Trickle:
		}
	}
	d.enforceFloor(now)
}

// ramp doubles the endpoint's share after each step, until it serves.
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

// suspectScore is the score from which an endpoint is suspect, in nats.
const suspectScore = 1

// Verdict returns the detector's decision about an endpoint; an unknown endpoint serves.
func (d *Detector) Verdict(key string) Verdict {
	e := d.byKey[key]
	if e == nil {
		return Verdict{Share: 1}
	}
	score, test := e.tests.highest()
	return Verdict{
		Phase: e.phase, Share: e.share, Score: score, Threshold: d.threshold(e),
		Suspect: e.phase == Serving && score >= suspectScore,
		Test:    test, Ejections: e.ejections, Until: e.until,
	}
}
