package director

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// target is what traffic shares about one endpoint; it outlives changes of its row.
type target struct {
	inFlight  atomic.Int64
	reported  atomic.Int64
	reportAt  atomic.Int64
	latency   atomic.Uint64
	success   atomic.Uint64
	leavingAt atomic.Int64
	trickling atomic.Bool
	// declinedAt is when it last turned a request away, trialAt when it last said that it takes only trials.
	declinedAt atomic.Int64
	trialAt    atomic.Int64
	// spentAt is when it last had no retry left.
	spentAt atomic.Int64
	// coldUntil is when it stops being cold, by its own word or as far as can be told without.
	coldUntil atomic.Int64

	// The control goroutine alone uses these: the egress's totals at the last report, and our own share since.
	incarnation   uint64
	totalFinished uint64
	totalFailed   uint64
	ownFinished   uint64
	ownFailed     uint64
}

const (
	latencyMemory = 0.1
	// A load report counts in full for about the time in which a busy endpoint frees a slot (work of 50 to 300 ms on 3
	// or 4 slots), then for less with age, and for nothing after its life.
	reportFull  = 100 * time.Millisecond
	reportLife  = 500 * time.Millisecond
	leavingLife = 5 * time.Second
	// declinedLife is how long an endpoint that turned a request away is left alone while others may be free.
	declinedLife = 20 * time.Millisecond
	// farDeclinedLife is the same for an endpoint of another hall: most of the time of a short piece of work.
	farDeclinedLife = 300 * time.Millisecond
	// spentLife is how long an endpoint that has no retries left is not asked for one: it gains some in a second.
	spentLife = 250 * time.Millisecond
	// trialLife is how long an endpoint's word that it takes only trials is believed for what must not repeat.
	trialLife = 400 * time.Millisecond
)

// declining tells whether an endpoint has just said that it would turn such a request away. Of another hall that is
// believed longer, and also of what could be a trial there: each question costs bytes between halls.
func (t *target) declining(now time.Time, w PickOptions, far bool) bool {
	life := declinedLife
	if far {
		life = farDeclinedLife
	}
	if now.UnixNano()-t.declinedAt.Load() < int64(life) {
		return true
	}
	if w.IsRetry && now.UnixNano()-t.spentAt.Load() < int64(spentLife) {
		return true
	}
	return (!w.Repeatable || far) && now.UnixNano()-t.trialAt.Load() < int64(trialLife)
}

// busy tells whether an endpoint has just turned a request away for want of a slot, and not of trust.
func (t *target) busy(now time.Time) bool {
	return now.UnixNano()-t.declinedAt.Load() < int64(declinedLife) && t.trialAt.Load() == 0
}

func newTarget() *target {
	t := new(target)
	t.success.Store(math.Float64bits(1))
	return t
}

// move shifts a float that several goroutines share towards a new value; a lost update is harmless.
func move(f *atomic.Uint64, to float64) {
	old := math.Float64frombits(f.Load())
	if old == 0 {
		f.Store(math.Float64bits(to))
		return
	}
	f.Store(math.Float64bits(old + (to-old)*latencyMemory))
}

// outstanding is the larger of what this node has sent and of what the egress last reported, faded with age: reports
// that lag are outvoted by what was seen.
func (t *target) outstanding(now time.Time) int {
	own := t.inFlight.Load()
	age := now.UnixNano() - t.reportAt.Load()
	if age >= int64(reportLife) {
		return int(own)
	}
	left := 1 - max(0, float64(age)-float64(reportFull))/float64(reportLife-reportFull)
	faded := float64(t.reported.Load()) * left
	return int(max(own, int64(faded)))
}

// idle is how long ago the endpoint's node last said anything, in milliseconds, -1 for never.
func (t *target) idle(now time.Time) int64 {
	at := t.reportAt.Load()
	if at == 0 {
		return -1
	}
	return (now.UnixNano() - at) / int64(time.Millisecond)
}

func (t *target) noteLoad(now time.Time, load *peerpb.Load) {
	if load == nil {
		return
	}
	t.reported.Store(int64(load.GetBusy()) + int64(load.GetQueued()))
	t.reportAt.Store(now.UnixNano())
	if load.GetTrial() {
		t.trialAt.Store(now.UnixNano())
	} else {
		t.trialAt.Store(0)
	}
	if load.ColdMicros != nil {
		t.coldFor(now, time.Duration(load.GetColdMicros())*time.Microsecond)
	}
	if load.GetLeaving() {
		t.leavingAt.Store(now.UnixNano())
	}
}

// coldFor takes it that the endpoint is cold for some time from now on.
func (t *target) coldFor(now time.Time, d time.Duration) { t.coldUntil.Store(now.Add(d).UnixNano()) }

// warmth is the share of its work that an endpoint gets while it is cold, growing to all of it over a time.
func (t *target) warmth(now time.Time, over time.Duration) float64 {
	left := t.coldUntil.Load() - now.UnixNano()
	if left <= 0 || over <= 0 {
		return 1
	}
	return max(leastShare, 1-float64(left)/float64(over))
}

// leaving believes an endpoint's word for a while, then lets one request find out.
func (t *target) leaving(now time.Time) bool {
	return now.UnixNano()-t.leavingAt.Load() < int64(leavingLife)
}

// Pick is a chosen endpoint.
type Pick struct {
	// Endpoint is its row.
	Endpoint table.Entry[table.Endpoint]
	// Late is the service time after which the work counts as overdue, 0 while unknown.
	OverdueAfter time.Duration
	// Typical is the endpoint's usual service time, 0 while unknown.
	TypicalLatency time.Duration
	// Trial is set when the endpoint is on trial and this is its one request.
	Trial bool
	// SeenMillis is how old this node's latest word of the endpoint was at the choice, in milliseconds, -1 for none.
	ReportAgeMillis int64
	target          *target
}
