package eject

import "time"

// Config is one service's policy.
type Config struct {
	// FalseEjections is how many wrong ejections per endpoint and day are bearable.
	FalseEjections float64
	// Floor is the share of the capacity that ejections always leave in use, 0 to 1.
	Floor float64
	// FirstEjection is how long the first ejection of an endpoint lasts; each further one doubles.
	BaseEjectionTime time.Duration
	// LongestEjection bounds the doubling.
	MaxEjectionTime time.Duration
	// Forgive is how long an endpoint must serve well before its count of ejections is halved.
	ForgiveInterval time.Duration
	// ProbeSuccesses is how many good answers in a row end the trickle.
	TrickleSuccesses int
	// RampStep is how long each step of the growing share lasts.
	RampStep time.Duration
}

// DefaultConfig returns the policy of a service whose row says nothing.
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

// With returns the policy with an operator's two numbers.
func (c Config) With(falseEjections, floor float64) Config {
	c.FalseEjections = falseEjections
	c.Floor = floor
	return c
}

// Endpoint is what the detector must know of an endpoint besides its work.
type Endpoint struct {
	// Key names the endpoint.
	Key string
	// Capacity is its weight times its slots.
	Capacity float64
	// Usable is false while it drains or its host is gone.
	Usable bool
}

// Kind says what an event tells of the work.
type Kind uint8

// The kinds of event.
const (
	// Success is a whole answer.
	Success Kind = iota
	// Failure is an error, a cut answer or no answer.
	Failure
	// Overdue is work that has taken longer than Marks.Late and has not ended.
	Overdue
)

// Event is one piece of evidence of real work at an endpoint.
type Observation struct {
	// Kind says how the work went.
	Kind Kind
	// Latency is the service time, without time in queues.
	Latency time.Duration
	// Counted is set when the same work was Overdue before.
	WasOverdue bool
}

// Phase is an endpoint's place in the cycle of ejection and return.
type Phase uint8

// The phases.
const (
	// Serving takes its full share.
	Serving Phase = iota
	// LastChoice is over the threshold, but the floor keeps it in use when the others are full.
	LastChoice
	// Ejected takes nothing.
	Ejected
	// Trickle takes one repeatable request at a time.
	Trickle
	// Ramp takes a growing share.
	Ramp
)

var phaseNames = []string{"serving", "last choice", "ejected", "trickle", "ramp"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Verdict is what to do with an endpoint, and why.
type Verdict struct {
	// Phase is the endpoint's place in the cycle.
	Phase Phase
	// Share scales its weight, 0 to 1.
	Share float64
	// Suspect is set while there is some evidence against a serving endpoint: its latency and errors should not
	// steer work away from it, for it is the work that settles the matter.
	Suspect bool
	// Score is the highest of its tests, in nats.
	Score float64
	// Threshold is the score that ejects.
	Threshold float64
	// Test names the test with that score.
	Test string
	// Ejections is how often it was ejected of late.
	Ejections int
	// Until is when an ejection ends.
	Until time.Time
}

// Differs tells whether a chooser would act differently on another verdict.
func (v Verdict) Differs(o Verdict) bool {
	return v.Phase != o.Phase || v.Suspect != o.Suspect || v.Share != o.Share
}

// Marks are the service times that count as slow, from the service's other endpoints.
type Baselines struct {
	// Slow is exceeded by about one healthy answer in twenty.
	Slow time.Duration
	// Late is exceeded by about one healthy answer in two hundred.
	Late time.Duration
	// Middle is the median service time, and Spread the width of the times around it in natural logarithms, at least
	// as wide as any part of the upper half shows.
	Median time.Duration
	Spread float64
	// Known is false until enough work was seen.
	Known bool
}

// times returns the marks of a service that is slower by a factor as a whole.
func (m Baselines) times(factor float64) Baselines {
	m.Slow = time.Duration(float64(m.Slow) * factor)
	m.Late = time.Duration(float64(m.Late) * factor)
	m.Median = time.Duration(float64(m.Median) * factor)
	return m
}
