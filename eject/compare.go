package eject

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file compares an endpoint with the service's others: their failure shares, their service times, and how most of
// them behave at the moment.

// observeFailure updates the failure shares with the result of one answer.
func (e *endpoint) observeFailure(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	e.failureSamples = min(e.failureSamples+1, maxFailureWindow)
	e.failureShare += (value - e.failureShare) / e.failureSamples
	e.recentFailureShare += (value - e.recentFailureShare) / recentWindow
}

// observeLatency updates the mean of the last few service times, in natural logarithms of nanoseconds.
func (e *endpoint) observeLatency(latency time.Duration) {
	logLatency := math.Log(float64(max(latency, time.Microsecond)))
	if e.recentLogLatency == 0 {
		e.recentLogLatency = logLatency
		return
	}
	e.recentLogLatency += (logLatency - e.recentLogLatency) / recentWindow
}

// healthyFailures returns the failure share of the service's other endpoints in use. Comparing with it distinguishes a
// failing endpoint from a failing service. The worst third of the others is excluded, so that one failing endpoint does
// not hide another. When most of the others have just failed, the cause is common and the returned share rises at once.
func (d *Detector) healthyFailures(e *endpoint) float64 {
	others := make([]*endpoint, 0, len(d.endpoints))
	for _, o := range d.endpoints {
		if o != e && !ejected(o.phase) {
			others = append(others, o)
		}
	}
	if len(others) == 0 {
		return minFailureShare
	}
	slices.SortFunc(others, func(a, b *endpoint) int { return cmp.Compare(a.recentFailureShare, b.recentFailureShare) })
	recent := others[(len(others)-1)/2].recentFailureShare
	slices.SortFunc(others, func(a, b *endpoint) int { return cmp.Compare(a.failureShare, b.failureShare) })
	sum, samples := 0.0, 0.0
	for _, o := range others[:len(others)-len(others)/3] {
		sum += o.failureShare * o.failureSamples
		samples += o.failureSamples
	}
	// A prior of priorSamples assumed answers keeps a handful of observations from being taken for certainty.
	const priorSamples = 20
	share := (sum + minFailureShare*priorSamples) / (samples + priorSamples)
	return min(max(share, recent, minFailureShare), maxFailureShare)
}

// commonSlowdown returns the factor by which most of the other endpoints are slower at the moment than the baselines,
// at least 1.
func (d *Detector) commonSlowdown(e *endpoint) float64 {
	others := make([]float64, 0, len(d.endpoints))
	for _, o := range d.endpoints {
		if o != e && !ejected(o.phase) && o.recentLogLatency > 0 {
			others = append(others, o.recentLogLatency)
		}
	}
	if len(others) == 0 {
		return 1
	}
	slices.Sort(others)
	recent := others[(len(others)-1)/2]
	return max(1, math.Exp(recent-math.Log(float64(d.baselines.Median))))
}

// updateBaselines sets each baseline to the median over the endpoints of their own quantiles, which up to half of the
// endpoints cannot move.
func (d *Detector) updateBaselines() {
	d.sinceBaselines++
	if d.baselines.Known && d.sinceBaselines < baselinesInterval {
		return
	}
	d.sinceBaselines = 0
	var medians, upper, slow, late []time.Duration
	for _, e := range d.endpoints {
		if e.latencies.samples < minBaselineSamples {
			continue
		}
		medians = append(medians, e.latencies.quantile(0.5))
		upper = append(upper, e.latencies.quantile(upperQuantile))
		slow = append(slow, e.latencies.quantile(slowQuantile))
		late = append(late, e.latencies.quantile(lateQuantile))
	}
	// With only two endpoints it cannot be decided which of them is the slow one.
	if len(medians) < 3 || len(medians)*2 < len(d.endpoints) {
		return
	}
	typical := float64(median(medians))
	spread := max(
		math.Log(float64(median(upper))/typical),
		math.Log(float64(median(slow))/typical)/slowNormal,
		math.Log(float64(median(late))/typical)/lateNormal,
		minSpread,
	)
	d.baselines = Baselines{
		Slow:   max(median(slow), time.Duration(minSlowFactor*typical)),
		Late:   max(median(late), time.Duration(minLateFactor*typical)),
		Median: median(medians), Spread: spread, Known: true,
	}
}

func median(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[len(list)/2]
}
