package coldstart

import (
	"time"

	"github.com/lynxplank/lynxplank/quota"
)

// ReportLifetime is how long an endpoint's report that it is warm counts: two of its heartbeats may be lost.
const ReportLifetime = 5 * time.Second

// Limiter admits the requests of one endpoint. It is not safe for concurrent use; its owner must hold a lock.
//
// An endpoint that reports being cold gets the load that it can sustain. One that has not reported for ReportLifetime,
// or not since its hall was evacuated, is possibly cold and gets what the bound allows. One that reports being warm
// gets every request.
//
// Invariant: in no second are more than MaxPerSecond requests sent that were admitted while the endpoint reported being
// cold or was possibly cold. A new limiter has an empty bucket, so this also holds across a restart of its node.
type Limiter struct {
	bound  Bound
	bucket *quota.Bucket
	// reportedAt is when the endpoint last reported, coldUntil the end of the cold phase by that report. Reports from
	// before possiblyColdAt don't count.
	reportedAt, coldUntil, possiblyColdAt time.Time
}

// NewLimiter returns the limiter of an endpoint that has not reported yet.
func NewLimiter(now time.Time, b Bound) *Limiter {
	return &Limiter{bound: b, bucket: quota.NewBucket(now, b.possiblyColdLimit())}
}

// SetBound changes the load that the endpoint can take, from now on.
func (l *Limiter) SetBound(now time.Time, b Bound) {
	if b != l.bound {
		l.bound = b
		l.bucket.SetLimit(now, l.currentLimit(now))
	}
}

// Report records the endpoint's report, made at a given time, that it is cold until coldUntil.
func (l *Limiter) Report(at, coldUntil time.Time) {
	if at.After(l.reportedAt) {
		l.reportedAt, l.coldUntil = at, coldUntil
	}
}

// MarkPossiblyCold records that the endpoint may have become cold by now, whatever it reported before.
func (l *Limiter) MarkPossiblyCold(now time.Time) { l.possiblyColdAt = now }

// ColdRemaining returns how much longer the endpoint is cold by its own report.
func (l *Limiter) ColdRemaining(now time.Time) time.Duration { return max(0, l.coldUntil.Sub(now)) }

// PossiblyCold reports whether the endpoint may be cold without having reported it: its last report is older than
// ReportLifetime or not newer than MarkPossiblyCold.
func (l *Limiter) PossiblyCold(now time.Time) bool {
	return !l.reportedAt.After(l.possiblyColdAt) || now.Sub(l.reportedAt) > ReportLifetime
}

// currentLimit returns the limit that applies now unless the endpoint is known to be warm.
func (l *Limiter) currentLimit(now time.Time) quota.Limit {
	if l.ColdRemaining(now) > 0 {
		return l.bound.coldLimit()
	}
	return l.bound.possiblyColdLimit()
}

// Admit admits one request, to be sent within MaxSendDelay, or returns the time after which to retry.
func (l *Limiter) Admit(now time.Time) (ok bool, wait time.Duration) {
	if l.bound.Rate == 0 {
		return true, 0
	}
	l.bucket.SetLimit(now, l.currentLimit(now))
	admitted := l.bucket.Take(now, 1) == 1
	// A request to a warm endpoint takes a token too: the endpoint may become cold the next moment.
	if admitted || l.ColdRemaining(now) == 0 && !l.PossiblyCold(now) {
		return true, 0
	}
	return false, l.bucket.RetryDelay(now)
}

// Refund takes back the admission of a request that is not sent.
func (l *Limiter) Refund(now time.Time) {
	if l.bound.Rate > 0 {
		l.bucket.Return(now)
	}
}
