package latency

import (
	"math"
	"time"
)

const (
	// priorWeight is how many observations the prior spread counts as: with fewer, a handful of times that happen to lie
	// close together would call the next ordinary one overdue.
	priorWeight = 5
	// priorSpread is the deviation of the logarithm of a service time before any was seen; 0.3 to 0.8 are usual.
	priorSpread = 0.7
	// memory is the number of observations that count: an endpoint that has turned slower or faster for good is known as
	// such after about as many answers.
	memory = 100
	// least is how many observations a kind needs before it is judged by its own.
	least = 4
	// tailShare is the share of ordinary work that takes longer than any model of the rest says. It bounds what one silent
	// request can prove.
	tailShare = 0.01
	// jitter is what a new connection, and a node that waits for its processor, may add to any time. Work of a millisecond
	// would be overdue after three without it.
	jitter = 30 * time.Millisecond
)

// Model is the distribution of one kind of work, taken as lognormal with a heavy tail; the zero value knows nothing. Its
// owner locks it.
type Model struct {
	// n is the number of observations, at most memory; mean and square are the mean of the logarithm of the time in
	// seconds, and of its squared deviation.
	n      float64
	mean   float64
	square float64
}

// Prior returns a model of work of which only a usual time is known.
func Prior(usual time.Duration) *Model {
	return &Model{n: least, mean: math.Log(usual.Seconds()), square: priorSpread * priorSpread}
}

// Note adds the time of one piece of work that ended well.
func (m *Model) Observe(d time.Duration) {
	x := math.Log(max(d.Seconds(), time.Microsecond.Seconds()))
	m.n = min(m.n+1, memory)
	diff := x - m.mean
	m.mean += diff / m.n
	m.square += (diff*(x-m.mean) - m.square) / m.n
}

// Known tells whether enough was seen to judge by.
func (m *Model) Known() bool { return m.n >= least }

// spread is the deviation of the logarithm, drawn towards the prior while little was seen.
func (m *Model) spread() float64 {
	return math.Sqrt((m.n*m.square + priorWeight*priorSpread*priorSpread) / (m.n + priorWeight))
}

// Quantile returns the time within which the share q of the work ends, 0 < q < 1; 0 while the model is not known.
func (m *Model) Quantile(q float64) time.Duration {
	if !m.Known() {
		return 0
	}
	z := math.Sqrt2 * math.Erfinv(2*q-1)
	return jitter + time.Duration(math.Exp(m.mean+z*m.spread())*float64(time.Second))
}

// Survival returns the share of the work that takes longer than an age, from 1 down to the share of the heavy tail; 1
// while the model is not known.
func (m *Model) Survival(age time.Duration) float64 {
	if !m.Known() || age <= jitter {
		return 1
	}
	z := (math.Log((age - jitter).Seconds()) - m.mean) / m.spread()
	return tailShare + (1-tailShare)*math.Erfc(z/math.Sqrt2)/2
}
