package coldstart

import (
	"time"

	"github.com/lynxplank/lynxplank/quota"
)

// WordLife is how long an endpoint's word that it is warm is believed: two of its heartbeats may be lost.
const ReportLifetime = 5 * time.Second

// Door admits the requests of one endpoint; its owner locks it.
//
// An endpoint that says that it is cold gets what it bears for long. One that has said nothing for a while, or whose hall was evacuated
// since, may be cold, and gets what the bound allows. One that says that it is warm gets everything.
//
// Invariant: in no second are more than the bound's Within requests sent that were admitted while the endpoint said that it was cold, or
// while it was in doubt; a new door has nothing saved, so that this holds over the restart of its node.
type Limiter struct {
	bound  Bound
	bucket *quota.Bucket
	// toldAt is when the endpoint last gave its word, coldUntil how long it is cold by that, doubtAt what its word must be later than.
	toldAt, coldUntil, doubtAt time.Time
}

// NewDoor returns the door of an endpoint of which no word is known yet.
func NewLimiter(now time.Time, b Bound) *Limiter {
	return &Limiter{bound: b, bucket: quota.NewBucket(now, b.doubtful())}
}

// SetBound changes what the endpoint bears from now on.
func (d *Limiter) SetBound(now time.Time, b Bound) {
	if b != d.bound {
		d.bound = b
		d.bucket.SetLimit(now, d.limit(now))
	}
}

// Told takes the endpoint's word of a time, until when it is cold.
func (d *Limiter) Report(at, coldUntil time.Time) {
	if at.After(d.toldAt) {
		d.toldAt, d.coldUntil = at, coldUntil
	}
}

// Doubt takes it that the endpoint may have turned cold by now, whatever it has said before.
func (d *Limiter) MarkPossiblyCold(now time.Time) { d.doubtAt = now }

// Cold returns how much longer the endpoint is cold by its own word.
func (d *Limiter) ColdRemaining(now time.Time) time.Duration { return max(0, d.coldUntil.Sub(now)) }

// Doubtful tells whether the endpoint may be cold without saying so.
func (d *Limiter) PossiblyCold(now time.Time) bool {
	return !d.toldAt.After(d.doubtAt) || now.Sub(d.toldAt) > ReportLifetime
}

// limit is what the endpoint gets now if it is not known to be warm.
func (d *Limiter) limit(now time.Time) quota.Limit {
	if d.ColdRemaining(now) > 0 {
		return d.bound.cold()
	}
	return d.bound.doubtful()
}

// Admit lets one request pass, to be sent within SendWithin, else tells when to come back.
func (d *Limiter) Admit(now time.Time) (ok bool, wait time.Duration) {
	if d.bound.Rate == 0 {
		return true, 0
	}
	d.bucket.SetLimit(now, d.limit(now))
	admitted := d.bucket.Take(now, 1) == 1
	// One that is warm takes from what is saved too: it may turn cold the next moment.
	if admitted || d.ColdRemaining(now) == 0 && !d.PossiblyCold(now) {
		return true, 0
	}
	return false, d.bucket.RetryDelay(now)
}

// Return takes back the admission of a request that is not sent.
func (d *Limiter) Refund(now time.Time) {
	if d.bound.Rate > 0 {
		d.bucket.Return(now)
	}
}
