package eject

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// How an endpoint compares with the service's others: their failures, their times, and what they all do just now.

func (e *endpoint) noteFailure(failed bool) {
	hit := 0.0
	if failed {
		hit = 1
	}
	e.failSeen = min(e.failSeen+1, failureMemory)
	e.failShare += (hit - e.failShare) / e.failSeen
	e.failNow += (hit - e.failNow) / recentMemory
}

// noteRecent keeps the mean of the last few service times, in natural logarithms of nanoseconds.
func (e *endpoint) noteRecent(latency time.Duration) {
	t := math.Log(float64(max(latency, time.Microsecond)))
	if e.timeNow == 0 {
		e.timeNow = t
		return
	}
	e.timeNow += (t - e.timeNow) / recentMemory
}

// healthyFailures is the failure share of the service's other endpoints in use, the comparison that tells a bad
// endpoint from a bad service. The worst third of them is left out, so that one bad endpoint does not hide another;
// when most of them have failed just now, the cause is common and the share rises at once.
func (s *Detector) healthyFailures(e *endpoint) float64 {
	others := make([]*endpoint, 0, len(s.endpoints))
	for _, o := range s.endpoints {
		if o != e && !out(o.phase) {
			others = append(others, o)
		}
	}
	if len(others) == 0 {
		return leastFailureShare
	}
	slices.SortFunc(others, func(a, b *endpoint) int { return cmp.Compare(a.failNow, b.failNow) })
	now := others[(len(others)-1)/2].failNow
	slices.SortFunc(others, func(a, b *endpoint) int { return cmp.Compare(a.failShare, b.failShare) })
	sum, seen := 0.0, 0.0
	for _, o := range others[:len(others)-len(others)/3] {
		sum += o.failShare * o.failSeen
		seen += o.failSeen
	}
	// A few answers that nobody has given yet keep a handful of observations from looking like certainty.
	const priorSeen = 20
	share := (sum + leastFailureShare*priorSeen) / (seen + priorSeen)
	return min(max(share, now, leastFailureShare), mostFailureShare)
}

// commonSlowdown is by how much most of the other endpoints are slower just now than the marks know, at least 1.
func (s *Detector) commonSlowdown(e *endpoint) float64 {
	others := make([]float64, 0, len(s.endpoints))
	for _, o := range s.endpoints {
		if o != e && !out(o.phase) && o.timeNow > 0 {
			others = append(others, o.timeNow)
		}
	}
	if len(others) == 0 {
		return 1
	}
	slices.Sort(others)
	now := others[(len(others)-1)/2]
	return max(1, math.Exp(now-math.Log(float64(s.marks.Median))))
}

// refreshMarks takes the median over the endpoints of each one's own quantiles, which up to half of them cannot move.
func (s *Detector) refreshMarks() {
	s.sinceMark++
	if s.marks.Known && s.sinceMark < marksEvery {
		return
	}
	s.sinceMark = 0
	var middle, upper, slow, late []time.Duration
	for _, e := range s.endpoints {
		if e.times.seen < marksLeast {
			continue
		}
		middle = append(middle, e.times.quantile(0.5))
		upper = append(upper, e.times.quantile(upperQuantile))
		slow = append(slow, e.times.quantile(slowQuantile))
		late = append(late, e.times.quantile(lateQuantile))
	}
	// Two endpoints cannot tell which of them is the slow one.
	if len(middle) < 3 || len(middle)*2 < len(s.endpoints) {
		return
	}
	typical := float64(median(middle))
	spread := max(
		math.Log(float64(median(upper))/typical),
		math.Log(float64(median(slow))/typical)/slowNormal,
		math.Log(float64(median(late))/typical)/lateNormal,
		leastSpread,
	)
	s.marks = Baselines{
		Slow:   max(median(slow), time.Duration(slowAtLeast*typical)),
		Late:   max(median(late), time.Duration(lateAtLeast*typical)),
		Median: median(middle), Spread: spread, Known: true,
	}
}

func median(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[len(list)/2]
}
