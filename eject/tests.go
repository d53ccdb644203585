package eject

import (
	"math"
	"time"
)

const (
	// The failure share of a healthy endpoint is never taken to be below this.
	leastFailureShare = 0.002
	// When the other endpoints fail more than this, a failure says nothing about one endpoint.
	mostFailureShare = 0.5
	// An alternative is at least this much worse than the others, and never certain.
	leastRatio   = 2
	mostBadShare = 0.95

	slowShare     = 0.05
	slowShareBad  = 0.4
	lateShare     = 0.004
	lateShareBad  = 0.5
	slowQuantile  = 0.95
	lateQuantile  = 0.995
	slowAtLeast   = 2.0
	lateAtLeast   = 6.0
	overlapWeight = 0.75

	failureTests = 3
	slowTest     = failureTests
	lateTest     = failureTests + 1
	shiftTest    = failureTests + 2
	testCount    = failureTests + 3

	// The shift that the shift test looks for, and the most that one answer may count, in spreads.
	shiftSize  = 1.5
	shiftLimit = 3.0
)

// failureShares are the alternatives that the failure tests look for.
var failureShares = [failureTests]float64{0.1, 0.3, 0.9}

var testNames = [testCount]string{"fails 10%", "fails 30%", "fails 90%", "slow", "late", "shifted"}

// llr returns the log likelihood ratio of one yes-or-no observation.
func llr(hit bool, healthy, bad float64) float64 {
	if hit {
		return math.Log(bad / healthy)
	}
	return math.Log((1 - bad) / (1 - healthy))
}

// tests are one endpoint's cumulative sums.
type tests struct {
	sums     [testCount]float64
	lastSlow time.Time
}

func (t *tests) add(i int, value float64) { t.sums[i] = max(0, t.sums[i]+value) }

// failure feeds the failure tests; healthy is the failure share of the service's other endpoints.
func (t *tests) failure(failed bool, healthy float64) {
	if failed && healthy >= mostFailureShare {
		return
	}
	for i, bad := range failureShares {
		bad = min(max(bad, healthy*leastRatio), mostBadShare)
		t.add(i, llr(failed, healthy, bad))
	}
}

// slowness feeds the two tests of service time. Slow answers whose times overlap share a cause, such as one pause of
// the endpoint, so all but the first weigh less.
func (t *tests) slowness(now time.Time, latency time.Duration, m Baselines) {
	slow, late := latency > m.Slow, latency > m.Late
	weight := 1.0
	if slow {
		if now.Sub(t.lastSlow) < latency {
			weight = overlapWeight
		}
		t.lastSlow = now
	}
	t.add(slowTest, weight*llr(slow, slowShare, slowShareBad))
	t.add(lateTest, weight*llr(late, lateShare, lateShareBad))
}

// shift feeds the test of a service time against the whole of the others' times: whether it is likelier under times
// longer by a factor than under theirs.
func (t *tests) shift(latency time.Duration, m Baselines) {
	z := math.Log(float64(latency)/float64(m.Median)) / m.Spread
	z = min(max(z, -shiftLimit), shiftLimit)
	t.add(shiftTest, shiftSize*z-shiftSize*shiftSize/2)
}

func (t *tests) reset() { t.sums = [testCount]float64{} }

// worst returns the highest sum and its test.
func (t *tests) worst() (float64, string) {
	best := 0
	for i, s := range t.sums {
		if s > t.sums[best] {
			best = i
		}
	}
	return t.sums[best], testNames[best]
}

// threshold returns the sum that raises an alarm. A cumulative sum of log likelihood ratios passes h by chance about
// once in e^h observations, so h follows from the observations a day and the false alarms that are bearable; the
// tests of one endpoint share the allowance.
func threshold(perSecond, falsePerDay float64) float64 {
	const secondsPerDay = 86400
	perDay := max(perSecond, 1) * secondsPerDay
	return math.Log(perDay * testCount / max(falsePerDay, 1e-6))
}
