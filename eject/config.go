package eject

import "time"

// Config is the ejection policy of one service.
type Config struct {
	// FalseEjections is how many false ejections per endpoint and day are acceptable.
	FalseEjections float64
	// Floor is the share of the service's capacity that ejections must leave in use, 0 to 1.
	Floor float64
	// BaseEjectionTime is the duration of an endpoint's first ejection; each later ejection lasts twice as long as the
	// one before.
	BaseEjectionTime time.Duration
	// MaxEjectionTime bounds the duration of an ejection.
	MaxEjectionTime time.Duration
	// ForgiveInterval is how long an endpoint must serve well before its count of ejections is halved.
	ForgiveInterval time.Duration
	// TrickleSuccesses is how many good answers in a row end the trickle phase.
	TrickleSuccesses int
	// RampStep is the time after which the share of an endpoint in the ramp phase doubles.
	RampStep time.Duration
}

// DefaultConfig returns the policy of a service whose row sets nothing.
func DefaultConfig() Config {
	return Config{
		FalseEjections:   0.05,
		Floor:            0.6,
		BaseEjectionTime: 5 * time.Second,
		MaxEjectionTime:  5 * time.Minute,
		ForgiveInterval:  2 * time.Minute,
		TrickleSuccesses: 8,
		RampStep:         2 * time.Second,
	}
}

// With returns the policy with the two numbers that an operator sets per service.
func (c Config) With(falseEjections, floor float64) Config {
	c.FalseEjections = falseEjections
	c.Floor = floor
	return c
}

// Endpoint describes an endpoint to the detector.
type Endpoint struct {
	// Key names the endpoint.
	Key string
	// Capacity is its weight times its slots.
	Capacity float64
	// Usable is false while the endpoint drains or its host is gone.
	Usable bool
}

// Kind is the kind of an observation.
type Kind uint8

// The kinds of observation.
const (
	// Success is a complete answer.
	Success Kind = iota
	// Failure is an error, an answer that was cut off, or no answer.
	Failure
	// Overdue is a request that has taken longer than Baselines.Late and has not ended.
	Overdue
)

// Observation is the result of one real request at an endpoint, or the notice that it is overdue.
type Observation struct {
	// Kind is the request's result.
	Kind Kind
	// Latency is the service time, without time spent in queues.
	Latency time.Duration
	// WasOverdue is set when the same request was reported Overdue before.
	WasOverdue bool
}

// Phase is an endpoint's state in the cycle of ejection and return.
type Phase uint8

// The phases.
const (
	// Serving endpoints get their full share of the requests.
	Serving Phase = iota
	// LastChoice endpoints are over the threshold, but the floor keeps them in use: they get requests when all others
	// are full.
	LastChoice
	// Ejected endpoints get no requests.
	Ejected
	// Trickle endpoints get one repeatable request at a time.
	Trickle
	// Ramp endpoints get a growing share of the requests.
	Ramp
)

var phaseNames = []string{"serving", "last choice", "ejected", "trickle", "ramp"}

// String returns the phase's name, which logs, traces and the operators' interface print.
func (p Phase) String() string { return phaseNames[p] }

// Verdict is the detector's decision about an endpoint, and its reasons.
type Verdict struct {
	// Phase is the endpoint's state in the cycle of ejection and return.
	Phase Phase
	// Share scales the endpoint's weight, 0 to 1.
	Share float64
	// Suspect is set while there is some evidence against a serving endpoint. Its latency and errors should then not
	// steer requests away from it, because the detector needs their results to decide.
	Suspect bool
	// Score is the highest score of its tests, in nats.
	Score float64
	// Threshold is the score at which the endpoint is ejected.
	Threshold float64
	// Test is the name of the test with that score.
	Test string
	// Ejections counts recent ejections; the count is halved while the endpoint serves well.
	Ejections int
	// Until is when the ejection ends.
	Until time.Time
}

// Differs reports whether a load balancer would act differently on the other verdict.
func (v Verdict) Differs(o Verdict) bool {
	return v.Phase != o.Phase || v.Suspect != o.Suspect || v.Share != o.Share
}

// Baselines are a service's usual service times, by which an answer counts as slow.
type Baselines struct {
	// Slow is exceeded by about one healthy answer in twenty.
	Slow time.Duration
	// Late is exceeded by about one healthy answer in two hundred.
	Late time.Duration
	// Median is the median service time. Spread is the width of the distribution around it, in natural logarithms, and
	// at least as wide as each measured quantile of the upper half implies.
	Median time.Duration
	Spread float64
	// Known is false until enough answers were seen.
	Known bool
}

// scaled returns the baselines of a service that is slower by a factor as a whole.
func (m Baselines) scaled(factor float64) Baselines {
	m.Slow = time.Duration(float64(m.Slow) * factor)
	m.Late = time.Duration(float64(m.Late) * factor)
	m.Median = time.Duration(float64(m.Median) * factor)
	return m
}
