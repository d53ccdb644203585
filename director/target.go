package director

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// target is the state of one endpoint that request goroutines share; it outlives changes of the endpoint's row.
type target struct {
	// inFlight counts this node's requests at the endpoint; reported is the load that the egress last reported.
	inFlight      atomic.Int64
	reported      atomic.Int64
	reportedAt    atomic.Int64
	latency       atomic.Uint64
	success       atomic.Uint64
	drainingAt    atomic.Int64
	trialInFlight atomic.Bool
	// refusedAt is when the endpoint's node last refused a request, trialOnlyAt when it last reported that it accepts
	// only trials.
	refusedAt   atomic.Int64
	trialOnlyAt atomic.Int64
	// outOfRetriesAt is when the endpoint's retry budget was last used up.
	outOfRetriesAt atomic.Int64
	// suspect is the last report of the chance and room of a suspect, nil while there is none.
	suspect atomic.Pointer[suspectReport]
	// maxRate is the rate that the endpoint states, nil before the first load report.
	maxRate atomic.Pointer[maxRate]
	// coldUntil is when the endpoint stops being cold, by its own report or else by the estimate of this node.
	coldUntil atomic.Int64

	// The fields below belong to the control goroutine: the egress's totals at the last load report, and this node's
	// own requests since then.
	incarnation   uint64
	totalFinished uint64
	totalFailed   uint64
	ownFinished   uint64
	ownFailed     uint64
}

const (
	// ewmaWeight is the weight of a new value in the moving averages of latency and success rate.
	ewmaWeight = 0.1
	// A load report has full weight for about the time in which a busy endpoint frees a slot (work of 50 to 300 ms on 3
	// or 4 slots), then loses weight with age, and has none after reportTTL.
	reportFreshTTL = 100 * time.Millisecond
	reportTTL      = 500 * time.Millisecond
	drainingTTL    = 5 * time.Second
	// refusedTTL is how long an endpoint that has refused a request is avoided while others may have a free slot.
	refusedTTL = 20 * time.Millisecond
	// remoteRefusedTTL is the same for an endpoint of another hall: most of the duration of a short request.
	remoteRefusedTTL = 300 * time.Millisecond
	// outOfRetriesTTL is how long an endpoint without retry budget gets no retries: it regains some within a second.
	outOfRetriesTTL = 250 * time.Millisecond
	// trialOnlyTTL is how long non-repeatable requests avoid an endpoint that has reported that it accepts only trials.
	trialOnlyTTL = 400 * time.Millisecond
)

// refusing reports whether an endpoint has just reported that it would refuse such a request. For an endpoint of
// another hall the report holds for longer, and also for requests that could be a trial there, because each attempt
// costs traffic between halls.
func (t *target) refusing(now time.Time, opts PickOptions, otherHall bool) bool {
	ttl := refusedTTL
	if otherHall {
		ttl = remoteRefusedTTL
	}
	if clock.Nanos(now)-t.refusedAt.Load() < int64(ttl) {
		return true
	}
	if opts.IsRetry && clock.Nanos(now)-t.outOfRetriesAt.Load() < int64(outOfRetriesTTL) {
		return true
	}
	return (!opts.Repeatable || otherHall) && clock.Nanos(now)-t.trialOnlyAt.Load() < int64(trialOnlyTTL)
}

// busy reports whether an endpoint has just refused a request because it had no free slot, and not because it accepts
// only trials.
func (t *target) busy(now time.Time) bool {
	return clock.Nanos(now)-t.refusedAt.Load() < int64(refusedTTL) && t.trialOnlyAt.Load() == 0
}

func newTarget() *target {
	t := new(target)
	t.success.Store(math.Float64bits(1))
	return t
}

// updateAverage moves an average that several goroutines share towards a new value. A lost update is harmless.
func updateAverage(f *atomic.Uint64, to float64) {
	old := math.Float64frombits(f.Load())
	if old == 0 {
		f.Store(math.Float64bits(to))
		return
	}
	f.Store(math.Float64bits(old + (to-old)*ewmaWeight))
}

// outstanding estimates how many requests the endpoint holds: the larger of this node's own requests and the last
// reported load, whose weight decays with age. So a stale report never hides what this node has sent.
func (t *target) outstanding(now time.Time) int {
	own := t.inFlight.Load()
	age := clock.Nanos(now) - t.reportedAt.Load()
	if age >= int64(reportTTL) {
		return int(own)
	}
	weight := 1 - max(0, float64(age)-float64(reportFreshTTL))/float64(reportTTL-reportFreshTTL)
	faded := float64(t.reported.Load()) * weight
	return int(max(own, int64(faded)))
}

// reportAgeMillis returns the age of the last load report in milliseconds, -1 if there was none.
func (t *target) reportAgeMillis(now time.Time) int64 {
	at := t.reportedAt.Load()
	if at == 0 {
		return -1
	}
	return (clock.Nanos(now) - at) / int64(time.Millisecond)
}

// applyLoad records a load report.
func (t *target) applyLoad(now time.Time, load *peerpb.Load) {
	if load == nil {
		return
	}
	t.reported.Store(int64(load.GetBusy()) + int64(load.GetQueued()))
	t.reportedAt.Store(clock.Nanos(now))
	t.noteMaxRate(now, load)
	if load.GetTrial() {
		t.trialOnlyAt.Store(clock.Nanos(now))
	} else {
		t.trialOnlyAt.Store(0)
	}
	if load.ColdMicros != nil {
		t.markCold(now, time.Duration(load.GetColdMicros())*time.Microsecond)
	}
	if load.GetLeaving() {
		t.drainingAt.Store(clock.Nanos(now))
	} else if !t.draining(now) {
		t.drainingAt.Store(0)
	}
}

// markCold sets how long the endpoint stays cold from now on.
func (t *target) markCold(now time.Time, d time.Duration) { t.coldUntil.Store(clock.Nanos(now.Add(d))) }

// warmupShare returns the share of its usual weight that the endpoint has while it is cold; it grows to 1 over the
// warmup time.
func (t *target) warmupShare(now time.Time, warmup time.Duration) float64 {
	left := t.coldUntil.Load() - clock.Nanos(now)
	if left <= 0 || warmup <= 0 {
		return 1
	}
	return max(minColdShare, 1-float64(left)/float64(warmup))
}

// saidLeaving reports whether the endpoint has said that it drains, at any time since it was last seen not to.
func (t *target) saidLeaving() bool { return t.drainingAt.Load() != 0 }

// draining reports whether the endpoint has said recently that it drains. The report expires, so that a request finds
// out whether another process has taken the endpoint's place; it tells the endpoint's node what was said.
func (t *target) draining(now time.Time) bool {
	return clock.Nanos(now)-t.drainingAt.Load() < int64(drainingTTL)
}

// Pick is a chosen endpoint.
type Pick struct {
	// Endpoint is the endpoint's row.
	Endpoint table.Entry[table.Endpoint]
	// OverdueAfter is the service time after which the request counts as overdue, 0 while unknown.
	OverdueAfter time.Duration
	// TypicalLatency is the endpoint's average service time, 0 while unknown.
	TypicalLatency time.Duration
	// Trial is set when the endpoint is on trial and this is its single trial request.
	Trial bool
	// ReportAgeMillis is the age of the endpoint's last load report when it was picked, in milliseconds, -1 for none.
	ReportAgeMillis int64
	target          *target
	// MaxRate is the rate that the endpoint states that it takes from all nodes, in requests a second, nil for none.
	MaxRate *float64
	// StatementAgeMicros is how long ago the endpoint stated MaxRate, or that it takes any rate, in microseconds, nil if that is
	// not known.
	StatementAgeMicros *int64
	// ToldLeaving is set when the endpoint has said that it drains and was not seen to take new requests since.
	ToldLeaving bool
}
