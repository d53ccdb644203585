package coldstart

import (
	"time"

	"github.com/lynxplank/lynxplank/quota"
)

// Bound is the load that a cold endpoint can take: in any second at most Rate*RateFactor+Slack requests. Rate 0 means
// unlimited.
type Bound struct {
	// Rate is how many requests a second it can sustain.
	Rate float64
	// RateFactor and Slack are how far a single second may exceed Rate.
	RateFactor, Slack float64
}

// MaxPerSecond returns the maximum number of requests in one second.
func (b Bound) MaxPerSecond() float64 { return b.Rate*b.RateFactor + b.Slack }

const (
	// MaxSendDelay is how long after its admission a request may be sent: a slot is held that long for a sender that
	// doesn't respond.
	MaxSendDelay = 200 * time.Millisecond
	// minBurst is the minimum burst of a limit.
	minBurst = 2
	// second is the window of the bound.
	second = time.Second
)

// possiblyColdLimit is the limit of an endpoint that may be cold: all that the bound allows.
//
// Invariant: what is sent in a second was admitted in that second or at most MaxSendDelay before it, and the limit
// admits at most MaxPerSecond requests in that time.
func (b Bound) possiblyColdLimit() quota.Limit {
	burst := max(minBurst, min(b.Slack, b.MaxPerSecond()/2))
	window := (second + MaxSendDelay).Seconds()
	return quota.Limit{Rate: max(0, (b.MaxPerSecond()-burst)/window), Burst: burst}
}

// coldLimit is the limit of an endpoint that reports being cold: the load that it can sustain, so that it warms up
// without overload.
func (b Bound) coldLimit() quota.Limit {
	l := b.possiblyColdLimit()
	return quota.Limit{Rate: min(l.Rate, b.Rate), Burst: max(minBurst, min(l.Burst, b.Rate/coldBurstDivisor))}
}

// coldBurstDivisor sets the burst of a cold endpoint: at most Rate/coldBurstDivisor requests may come at once.
const coldBurstDivisor = 3
