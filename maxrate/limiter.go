package maxrate

import (
	"math"
	"slices"
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
	// maxOpenings is how many openings are remembered.
	maxOpenings = 8
	// minRetryAfter is the shortest time after which a refused request is asked to retry.
	minRetryAfter = 100 * time.Millisecond
)

// statementLifetime is how long a statement that a sender has told counts like an answer to this process. An endpoint's rate
// has to be kept from 3 s after it was first stated, so a statement of that age may be outdated; messages may have been
// delayed for the rest of that time.
const statementLifetime = 2 * time.Second

// phase is what a limiter knows of its endpoint.
type phase uint8

const (
	// unknown is an endpoint of whose rate nothing is known.
	unknown phase = iota
	// unlimited is an endpoint that states no rate.
	unlimited
	// limited is an endpoint that states a rate.
	limited
)

// Limiter admits the requests of one endpoint. It is not safe for concurrent use; its owner must hold a lock.
//
// Invariant: over any window of 4 s the endpoint gets at most 6 times its rate and 5 requests, however often the node is
// restarted and whatever senders know. Each bucket starts empty. Until the endpoint has answered this process, or a sender has
// told what it stated a moment ago, only openings are sent besides: single requests that find out what it states.
type Limiter struct {
	phase  phase
	bucket *quota.Bucket
	rate   float64
	// answered is set once the endpoint has answered this process. statedAt is when it made the latest statement that is
	// known, to this process or to a sender.
	answered bool
	statedAt time.Time
	life     Life
	// openings are the latest openings, in order of their times.
	openings []time.Time
	// since is when the endpoint began to state a rate, heardAt when the statement in force was received.
	since, heardAt time.Time
	// version counts the changes of what is admitted; requests that wait for an admission under an older one ask again.
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
func NewLimiter(life Life) *Limiter { return &Limiter{rate: math.Inf(1), life: life} }

// Forget ends the limit because another process has taken the endpoint's place: what senders tell of the earlier one does
// not count.
func (l *Limiter) Forget() {
	l.phase, l.rate, l.bucket, l.answered = unlimited, math.Inf(1), nil, true
	l.version++
}

// SetLife replaces what is known of the node's starts.
func (l *Limiter) SetLife(life Life) {
	if life != l.life {
		l.life = life
		l.version++
	}
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
	defer l.noteAnswer(now)
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
	case l.phase == unknown:
		l.phase = unlimited
	}
	return NoChange
}

// noteAnswer records that the endpoint has answered this process.
func (l *Limiter) noteAnswer(now time.Time) {
	l.statedAt = now
	if !l.answered {
		l.answered, l.openings = true, nil
		l.version++
	}
}

// Adopt applies what the endpoint stated to a sender at the given time, unless it has answered this process or a later
// statement is known. Of an older statement only a rate counts.
func (l *Limiter) Adopt(now, statedAt time.Time, s Statement) Change {
	if l.answered || !statedAt.After(l.statedAt) {
		return NoChange
	}
	change := NoChange
	switch {
	case s.Kind == Stated && l.phase != limited:
		l.limit(now, s.Rate)
		change = Began
	case s.Kind == Stated && s.Rate != l.rate:
		l.setRate(now, s.Rate)
		change = Changed
	case s.Kind == Stated:
	case s.Kind == Absent && now.Sub(statedAt) <= statementLifetime:
		if l.phase == limited {
			change = Ended
		}
		l.phase, l.rate, l.bucket = unlimited, math.Inf(1), nil
	default:
		return NoChange
	}
	l.statedAt, l.heardAt = statedAt, statedAt
	l.version++
	return change
}

// Answered reports whether the endpoint has answered this process.
func (l *Limiter) Answered() bool { return l.answered }

// IsOpen reports whether requests are admitted by the statement that is known alone.
func (l *Limiter) IsOpen(now time.Time) bool {
	return l.answered || l.life == (Life{}) || l.phase != unknown && now.Sub(l.statedAt) <= statementLifetime
}

// StatedAt returns when the endpoint made the latest statement that is known; ok is false if none is.
func (l *Limiter) StatedAt() (at time.Time, ok bool) { return l.statedAt, l.phase != unknown }

func (l *Limiter) limit(now time.Time, rate float64) {
	l.phase, l.since = limited, now
	l.bucket = quota.NewBucket(now, limitFor(rate))
	l.setRate(now, rate)
}

func (l *Limiter) setRate(now time.Time, rate float64) {
	l.rate, l.heardAt = rate, now
	if l.answered {
		l.bucket.SetLimit(now, limitFor(rate))
	} else {
		// What an outdated rate has let accumulate would exceed this one.
		l.bucket = quota.NewBucket(now, limitFor(rate))
	}
	l.version++
}

// opening returns the earliest time of the next opening.
func (l *Limiter) opening(now time.Time) time.Time {
	n := len(l.openings)
	if n == 0 || l.life.isFirst() && n < firstOpenings {
		return later(now, l.life.opensAt())
	}
	delay := openingInterval
	if n == 1 && !l.life.inSeries() {
		delay = secondOpeningDelay
	}
	return later(now, l.openings[n-1].Add(delay))
}

// untilNews returns the time until it should be known whether requests are admitted earlier than by the next opening: an
// opening is answered, or peers tell of earlier lives. Without either it is unbounded.
func (l *Limiter) untilNews(now time.Time) time.Duration {
	if !l.life.known && now.Before(l.life.started.Add(peerTimeout)) {
		return l.life.started.Add(peerTimeout).Sub(now)
	}
	if n := len(l.openings); n > 0 && now.Before(l.openings[n-1].Add(secondOpeningDelay)) {
		return l.openings[n-1].Add(secondOpeningDelay).Sub(now)
	}
	return math.MaxInt64
}

// Concurrency returns how many requests may be at the endpoint before its first answer, or wait to be the next opening.
func (l *Limiter) Concurrency(now time.Time) int {
	sent := 0
	for _, at := range l.openings {
		if !at.After(now) {
			sent++
		}
	}
	if l.life.isFirst() {
		return max(firstOpenings, sent+1)
	}
	return sent + 1
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Reserve admits one request at the earliest possible time, if that is not after latest. Otherwise it returns after how
// long to retry. Only a repeatable request may be one that finds out whether an endpoint without capacity has recovered.
func (l *Limiter) Reserve(now, latest time.Time, repeatable bool) (at time.Time, retryAfter time.Duration, ok bool) {
	at = now
	if !l.IsOpen(now) {
		if at = l.opening(now); at.After(latest) {
			return now, max(min(at.Sub(now), l.untilNews(now)), minRetryAfter), false
		}
	}
	if l.phase == limited {
		if l.rate < minRate && !repeatable {
			return now, l.Refuse(now), false
		}
		granted, ok := l.bucket.Reserve(now, latest)
		if !ok {
			return now, l.Refuse(now), false
		}
		at = later(at, granted)
	}
	if !l.IsOpen(now) {
		l.openings = append(l.openings[max(0, len(l.openings)+1-maxOpenings):], at)
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

// Refund takes back the admission, for the given time and under a version of the limit, of a request that is not sent.
func (l *Limiter) Refund(now, at time.Time, version uint64) {
	current := version == l.version
	if current && l.phase == limited {
		l.bucket.Return(now)
	}
	if i := slices.Index(l.openings, at); i >= 0 {
		l.openings = slices.Delete(l.openings, i, i+1)
		if current {
			l.version++
		}
	}
}

// Wait returns how long a request that comes now would have to wait, behind others that wait for an admission, or until that
// is known.
func (l *Limiter) Wait(now time.Time, others int) time.Duration {
	wait := time.Duration(0)
	if !l.IsOpen(now) {
		wait = min(l.opening(now).Sub(now), l.untilNews(now))
	}
	if l.phase == limited {
		wait = max(wait, l.bucket.Wait(now, 1+others))
	}
	return wait
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
