package latency

import (
	"math"
	"time"
)

const (
	// priorWeight is how many observations the prior's standard deviation counts as. With a lower weight, a handful of
	// times that happen to be close together would make the next ordinary request count as overdue.
	priorWeight = 5
	// priorStddev is the standard deviation of the logarithm of a service time before any was observed; 0.3 to 0.8 are
	// usual.
	priorStddev = 0.7
	// maxSamples is the number of observations that count: after about as many answers the model has followed an
	// endpoint that has become permanently slower or faster.
	maxSamples = 100
	// minSamples is how many observations a kind needs before its own model is used.
	minSamples = 4
	// tailProbability is the share of ordinary requests that take longer than the rest of the model predicts. It bounds
	// what a single unanswered request can prove.
	tailProbability = 0.01
	// jitter is what a new connection, or a node that waits for its processor, may add to any time. Without it a
	// request of a millisecond would be overdue after three.
	jitter = 30 * time.Millisecond
)

// Model is the distribution of the service time of one kind of request, assumed to be lognormal with a heavy tail. The
// zero value has no observations. Its owner locks it.
type Model struct {
	// samples is the number of observations, at most maxSamples; mean is the mean of the logarithm of the time in
	// seconds, and variance the mean of its squared deviation.
	samples  float64
	mean     float64
	variance float64
}

// Prior returns a model of requests of which only a usual time is known.
func Prior(usual time.Duration) *Model {
	return &Model{samples: minSamples, mean: math.Log(usual.Seconds()), variance: priorStddev * priorStddev}
}

// Observe adds the time of a request that succeeded.
func (m *Model) Observe(d time.Duration) {
	x := math.Log(max(d.Seconds(), time.Microsecond.Seconds()))
	m.samples = min(m.samples+1, maxSamples)
	diff := x - m.mean
	m.mean += diff / m.samples
	m.variance += (diff*(x-m.mean) - m.variance) / m.samples
}

// Known reports whether there are enough observations to judge by.
func (m *Model) Known() bool { return m.samples >= minSamples }

// stddev is the standard deviation of the logarithm, drawn towards the prior while there are few observations.
func (m *Model) stddev() float64 {
	return math.Sqrt((m.samples*m.variance + priorWeight*priorStddev*priorStddev) / (m.samples + priorWeight))
}

// Quantile returns the time within which the share q of the requests ends, 0 < q < 1, or 0 while the model is not
// known.
func (m *Model) Quantile(q float64) time.Duration {
	if !m.Known() {
		return 0
	}
	z := math.Sqrt2 * math.Erfinv(2*q-1)
	return jitter + time.Duration(math.Exp(m.mean+z*m.stddev())*float64(time.Second))
}

// Mean returns the mean time of the requests, without the heavy tail, or 0 while the model is not known.
func (m *Model) Mean() time.Duration {
	if !m.Known() {
		return 0
	}
	s := m.stddev()
	return time.Duration(math.Exp(m.mean+s*s/2) * float64(time.Second))
}

// Survival returns the share of the requests that take longer than an age, from 1 down to the share of the heavy tail,
// or 1 while the model is not known.
func (m *Model) Survival(age time.Duration) float64 {
	if !m.Known() || age <= jitter {
		return 1
	}
	z := (math.Log((age - jitter).Seconds()) - m.mean) / m.stddev()
	return tailProbability + (1-tailProbability)*math.Erfc(z/math.Sqrt2)/2
}
