package coldstart

import (
	"time"

	"github.com/lynxplank/lynxplank/quota"
)

// Bound is what a cold endpoint bears: in no second more than Rate times Over and Slack requests. Rate 0 stands for no bound.
type Bound struct {
	// Rate is how many requests a second it bears for long.
	Rate float64
	// Over and Slack are how far beyond that one second may go.
	RateFactor, Slack float64
}

// Within returns the most requests in one second.
func (b Bound) MaxPerSecond() float64 { return b.Rate*b.RateFactor + b.Slack }

const (
	// SendWithin is how long after its admission a request may be sent: a slot is held as long for a sender that does not answer.
	MaxSendDelay = 200 * time.Millisecond
	// leastBurst is what a bucket saves up at least.
	leastBurst = 2
	// second is the window of the bound.
	second = time.Second
)

// doubtful is the limit of an endpoint that may be cold: all that the bound allows.
//
// Invariant: what is sent in a second was admitted in that second or SendWithin before it, and the limit lets no more than Within pass in
// so long a time.
func (b Bound) doubtful() quota.Limit {
	burst := max(leastBurst, min(b.Slack, b.MaxPerSecond()/2))
	window := (second + MaxSendDelay).Seconds()
	return quota.Limit{Rate: max(0, (b.MaxPerSecond()-burst)/window), Burst: burst}
}

// cold is the limit of an endpoint that says that it is cold: what it bears for long, so that it gets warm and does not fall over.
func (b Bound) cold() quota.Limit {
	l := b.doubtful()
	return quota.Limit{Rate: min(l.Rate, b.Rate), Burst: max(leastBurst, min(l.Burst, b.Rate/burstPart))}
}

// burstPart is the part of what a cold endpoint bears in a second that may come at once, as one in so many.
const burstPart = 3
