package maxrate

import (
	"math"
	"time"

	"github.com/lynxplank/lynxplank/quota"
)

const (
	// minRate replaces a lower rate, in requests a second: without any request, nobody would learn that the endpoint has
	// recovered.
	minRate = 0.25
	// minBurst is the minimum number of requests at once, and burstTime the time whose requests may come at once at a
	// higher rate.
	minBurst  = 2
	burstTime = 500 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused request is asked to retry.
	minRetryAfter = 100 * time.Millisecond
)

// phase is what a limiter knows of its endpoint.
type phase uint8

const (
	// unknown is an endpoint that has not answered this process yet.
	unknown phase = iota
	// unlimited is an endpoint whose answers state no rate.
	unlimited
	// limited is an endpoint that states a rate.
	limited
)

// Limiter admits the requests of one endpoint. It is not safe for concurrent use; its owner must hold a lock.
//
// Invariant: over any window after the endpoint's first statement it admits at most the stated rate over that window and
// a burst. Each limiter starts with an empty bucket, so the same holds across restarts of the process: a new limiter
// learns the rate from the first sender that was told of it, or from the first answer.
type Limiter struct {
	phase  phase
	bucket *quota.Bucket
	rate   float64
	// since is when the endpoint began to state a rate, heardAt when the statement in force was received.
	since, heardAt time.Time
	// version counts the changes of the limit; requests that wait for an admission under an older one ask again.
	version uint64
	refused uint64
	delayed uint64
}

// Status describes a limiter for operators.
type Status struct {
	// Rate is the stated rate, in requests a second.
	Rate float64
	// Since is when the endpoint began to state a rate.
	Since time.Time
	// Refused and Delayed count the requests that were refused and that had to wait because of it.
	Refused, Delayed uint64
}

// Change is an effect of an answer on the limit.
type Change uint8

const (
	// NoChange is none.
	NoChange Change = iota
	// Began is the first statement of a rate.
	Began
	// Changed is another rate.
	Changed
	// Ended is the end of the limit.
	Ended
)

// String returns the name used in the log.
func (c Change) String() string { return [...]string{"none", "began", "changed", "ended"}[c] }

// NewLimiter returns the limiter of an endpoint that has not answered yet.
func NewLimiter() *Limiter { return &Limiter{rate: math.Inf(1)} }

// Forget ends the limit because another process has taken the endpoint's place: what senders tell of the earlier one does
// not count.
func (l *Limiter) Forget() {
	l.phase, l.rate, l.bucket = unlimited, math.Inf(1), nil
	l.version++
}

// limitFor returns the limit for a stated rate.
func limitFor(rate float64) quota.Limit {
	rate = max(rate, minRate)
	return quota.Limit{Rate: rate, Burst: max(minBurst, rate*burstTime.Seconds())}
}

// Observe applies the statement of an answer that is received now, to a request sent at a given time.
//
// Answers may overtake each other: what lifts or raises the limit must be the answer to a request that was sent after the
// statement in force had been received. What lowers it counts at once.
func (l *Limiter) Observe(sentAt, now time.Time, s Statement) Change {
	later := sentAt.After(l.heardAt)
	switch {
	case s.Kind == Stated && l.phase != limited:
		l.limit(now, s.Rate)
		return Began
	case s.Kind == Stated && s.Rate == l.rate:
		l.heardAt = now
	case s.Kind == Stated && (s.Rate < l.rate || later):
		l.setRate(now, s.Rate)
		return Changed
	case s.Kind == Absent && l.phase == limited && later:
		l.Forget()
		return Ended
	case s.Kind == Absent && l.phase == unknown:
		l.phase = unlimited
	}
	return NoChange
}

// Adopt applies a rate that the endpoint stated to a sender, unless the endpoint has answered this process.
func (l *Limiter) Adopt(now time.Time, rate float64) Change {
	if l.phase != unknown {
		return NoChange
	}
	l.limit(now, rate)
	return Began
}

func (l *Limiter) limit(now time.Time, rate float64) {
	l.phase, l.since = limited, now
	l.bucket = quota.NewBucket(now, limitFor(rate))
	l.setRate(now, rate)
}

func (l *Limiter) setRate(now time.Time, rate float64) {
	l.rate, l.heardAt = rate, now
	l.bucket.SetLimit(now, limitFor(rate))
	l.version++
}

// Reserve admits one request at the earliest possible time, if that is not after latest. Otherwise it returns after how
// long to retry. Only a repeatable request may be one that finds out whether an endpoint without capacity has recovered.
func (l *Limiter) Reserve(now, latest time.Time, repeatable bool) (at time.Time, retryAfter time.Duration, ok bool) {
	switch l.phase {
	case unlimited, unknown:
		return now, 0, true
	case limited:
	}
	if l.rate < minRate && !repeatable {
		return now, l.Refuse(now), false
	}
	if at, ok = l.bucket.Reserve(now, latest); !ok {
		return now, l.Refuse(now), false
	}
	if at.After(now) {
		l.delayed++
	}
	return at, 0, true
}

// Refuse counts a request that the limit refuses and returns after how long to retry, 0 while there is no limit.
func (l *Limiter) Refuse(now time.Time) time.Duration {
	if l.phase != limited {
		return 0
	}
	l.refused++
	return max(l.bucket.RetryDelay(now), minRetryAfter)
}

// Refund takes back the admission, under a version of the limit, of a request that is not sent.
func (l *Limiter) Refund(now time.Time, version uint64) {
	if version == l.version && l.phase == limited {
		l.bucket.Return(now)
	}
}

// Wait returns how long a request that comes now would have to wait, behind others that wait for an admission.
func (l *Limiter) Wait(now time.Time, others int) time.Duration {
	if l.phase != limited {
		return 0
	}
	return l.bucket.Wait(now, 1+others)
}

// Pace returns the mean time between two requests that the limit admits, 0 while there is no limit.
func (l *Limiter) Pace() time.Duration {
	if l.phase != limited {
		return 0
	}
	return time.Duration(float64(time.Second) / max(l.rate, minRate))
}

// Version changes with each change of the limit.
func (l *Limiter) Version() uint64 { return l.version }

// Limit returns the stated rate; ok is false while none is in force.
func (l *Limiter) Limit() (rate float64, ok bool) { return l.rate, l.phase == limited }

// Status returns what operators are shown; ok is false while no rate is in force.
func (l *Limiter) Status() (s Status, ok bool) {
	return Status{Rate: l.rate, Since: l.since, Refused: l.refused, Delayed: l.delayed}, l.phase == limited
}
