package director

import (
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

const (
	// maxRateTTL is how long a stated rate lowers an endpoint's weight: after that, a request finds out whether the
	// endpoint still states it.
	maxRateTTL = 5 * time.Second
	// maxRateMemory is how long a stated rate is told to the endpoint's node, which has forgotten it if it was restarted.
	maxRateMemory = time.Minute
)

// maxRate is the rate that an endpoint states that it takes from all nodes, as its node last reported it.
type maxRate struct {
	*peerpb.MaxRate
	heardAt time.Time
}

// readyAt is when the endpoint's node could send another request.
func (m *maxRate) readyAt() time.Time {
	return m.heardAt.Add(time.Duration(m.GetWaitMicros()) * time.Microsecond)
}

// statedRate returns the rate that the endpoint's node reported within a time, nil if there is none.
func (t *target) statedRate(now time.Time, within time.Duration) *maxRate {
	m := t.maxRate.Load()
	if m == nil || m.MaxRate == nil || now.Sub(m.heardAt) > within {
		return nil
	}
	return m
}

// rateWait is how long the stated rate would keep a request from the endpoint.
func (t *target) rateWait(now time.Time) time.Duration {
	m := t.statedRate(now, maxRateTTL)
	if m == nil {
		return 0
	}
	return max(0, m.readyAt().Sub(now))
}

// rateShare is the share of its slots that an endpoint can use at the rate that it states.
func (t *target) rateShare(now time.Time, slots int, latency time.Duration) float64 {
	m := t.statedRate(now, maxRateTTL)
	if m == nil || latency <= 0 || slots <= 0 {
		return 1
	}
	return min(1, m.GetRate()*latency.Seconds()/float64(slots))
}
