package eject

import (
	"math"
	"time"
)

const (
	// The lowest failure share that is assumed for a healthy endpoint.
	minFailureShare = 0.002
	// If the other endpoints' failure share reaches this, a failure says nothing about a single endpoint.
	maxFailureShare = 0.5
	// The hypothesis of a failing endpoint assumes a failure share of at least minRatio times the others', and never
	// certainty.
	minRatio    = 2
	maxBadShare = 0.95

	// The shares of slow and late answers of a healthy and of a bad endpoint, the quantiles that count as slow and
	// late, and the minimum factors by which slow and late answers exceed the median.
	slowShare     = 0.05
	slowShareBad  = 0.4
	lateShare     = 0.004
	lateShareBad  = 0.5
	slowQuantile  = 0.95
	lateQuantile  = 0.995
	minSlowFactor = 2.0
	minLateFactor = 6.0
	overlapWeight = 0.75

	failureTests = 3
	slowTest     = failureTests
	lateTest     = failureTests + 1
	shiftTest    = failureTests + 2
	testCount    = failureTests + 3

	// The shift of the service time that the shift test detects, and the largest deviation that a single answer counts
	// with, in spreads.
	shiftSize    = 1.5
	maxDeviation = 3.0
)

// failureShares are the failure shares of a bad endpoint that the failure tests detect.
var failureShares = [failureTests]float64{0.1, 0.3, 0.9}

var testNames = [testCount]string{"fails 10%", "fails 30%", "fails 90%", "slow", "late", "shifted"}

// logLikelihoodRatio returns the log likelihood ratio of one yes-or-no observation: of the bad endpoint's share against
// the healthy one's.
func logLikelihoodRatio(yes bool, healthy, bad float64) float64 {
	if yes {
		return math.Log(bad / healthy)
	}
	return math.Log((1 - bad) / (1 - healthy))
}

// tests are the cumulative sums of one endpoint.
type tests struct {
	sums     [testCount]float64
	lastSlow time.Time
}

func (t *tests) add(i int, value float64) { t.sums[i] = max(0, t.sums[i]+value) }

// observeFailure updates the failure tests; healthy is the failure share of the service's other endpoints.
func (t *tests) observeFailure(failed bool, healthy float64) {
	if failed && healthy >= maxFailureShare {
		return
	}
	for i, bad := range failureShares {
		bad = min(max(bad, healthy*minRatio), maxBadShare)
		t.add(i, logLikelihoodRatio(failed, healthy, bad))
	}
}

// observeSlowness updates the slow and late tests. Slow answers that overlap in time share a cause, such as one pause
// of the endpoint, so all but the first of them have less weight.
func (t *tests) observeSlowness(now time.Time, latency time.Duration, m Baselines) {
	slow, late := latency > m.Slow, latency > m.Late
	weight := 1.0
	if slow {
		if now.Sub(t.lastSlow) < latency {
			weight = overlapWeight
		}
		t.lastSlow = now
	}
	t.add(slowTest, weight*logLikelihoodRatio(slow, slowShare, slowShareBad))
	t.add(lateTest, weight*logLikelihoodRatio(late, lateShare, lateShareBad))
}

// observeShift updates the shift test: whether a service time is more likely if the endpoint is slower than the others
// by a factor than if its times are distributed like theirs.
func (t *tests) observeShift(latency time.Duration, m Baselines) {
	z := math.Log(float64(latency)/float64(m.Median)) / m.Spread
	z = min(max(z, -maxDeviation), maxDeviation)
	t.add(shiftTest, shiftSize*z-shiftSize*shiftSize/2)
}

func (t *tests) reset() { t.sums = [testCount]float64{} }

// highest returns the highest sum and the name of its test.
func (t *tests) highest() (float64, string) {
	index := 0
	for i, s := range t.sums {
		if s > t.sums[index] {
			index = i
		}
	}
	return t.sums[index], testNames[index]
}

// alarmThreshold returns the sum that raises an alarm. A cumulative sum of log likelihood ratios exceeds h by chance
// about once in e^h observations, so h follows from the number of observations a day and the acceptable false alarms,
// which the tests of one endpoint share.
func alarmThreshold(perSecond, falsePerDay float64) float64 {
	const secondsPerDay = 86400
	perDay := max(perSecond, 1) * secondsPerDay
	return math.Log(perDay * testCount / max(falsePerDay, 1e-6))
}
