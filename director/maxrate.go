package director

import (
	"time"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/gen/peerpb"
)

const (
	// maxRateTTL is how long a stated rate lowers an endpoint's weight: after that, a request finds out whether the
	// endpoint still states it.
	maxRateTTL = 5 * time.Second
	// maxRateMemory is how long a stated rate is told to the endpoint's node, which has forgotten it if it was restarted.
	maxRateMemory = time.Minute
)

// maxRate is what an endpoint states of the rate that it takes from all nodes, as its node last reported it; MaxRate is nil
// if it states none.
type maxRate struct {
	*peerpb.MaxRate
	heardAt time.Time
	// statedAt is when the endpoint said so, by clock.Boot, the zero time if its node did not tell.
	statedAt time.Time
}

// newMaxRate returns what a load report says of the endpoint's rate.
func newMaxRate(now time.Time, load *peerpb.Load) *maxRate {
	m := &maxRate{MaxRate: load.GetMaxRate(), heardAt: now}
	if load.StatementAgeMicros != nil {
		m.statedAt = clock.Boot().Add(-time.Duration(load.GetStatementAgeMicros()) * time.Microsecond)
	}
	return m
}

// noteMaxRate records what a load report says of the endpoint's rate. A node that knows nothing of it, as one that has just
// started, changes nothing, nor does an earlier statement.
func (t *target) noteMaxRate(now time.Time, load *peerpb.Load) {
	next := newMaxRate(now, load)
	old := t.maxRate.Load()
	knowsNothing := next.MaxRate == nil && next.statedAt.IsZero()
	if old == nil || next.statedAt.After(old.statedAt) || next.statedAt.IsZero() && !knowsNothing || old.statedAt.IsZero() {
		t.maxRate.Store(next)
	}
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

// statement returns what the node of the endpoint is told of its rate: the rate, nil for none, and how long ago the endpoint
// stated it, nil if that is not known.
func (t *target) statement(now time.Time) (rate *float64, ageMicros *int64) {
	m := t.maxRate.Load()
	if m == nil || now.Sub(m.heardAt) > maxRateMemory {
		return nil, nil
	}
	if m.MaxRate != nil {
		stated := m.GetRate()
		rate = &stated
	}
	if !m.statedAt.IsZero() {
		micros := clock.Clock(clock.Boot).Since(m.statedAt).Microseconds()
		ageMicros = &micros
	}
	return rate, ageMicros
}
