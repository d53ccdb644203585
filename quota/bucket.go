package quota

import "time"

// Limit is a rate limit: Rate requests a second on average, and Burst requests at once. Rate 0 means no limit.
type Limit struct {
	Rate, Burst float64
}

// Share returns one of n equal shares of the limit.
func (l Limit) Share(n int) Limit {
	return Limit{Rate: l.Rate / float64(n), Burst: l.Burst / float64(n)}
}

// MaxWithin returns the maximum number of requests that the limit lets pass in any window of this length.
func (l Limit) MaxWithin(window time.Duration) float64 { return l.Rate*window.Seconds() + l.Burst }

// Bucket is a token bucket that grants requests from one share of a limit. It does not lock: the caller serializes
// access.
//
// Invariant: in any window it grants at most Limit.MaxWithin of that window, with minBurst in place of a smaller burst.
type Bucket struct {
	limit Limit
	// tokens is how many requests can be granted as of filledAt.
	tokens   float64
	filledAt time.Time
	// lastRetryAt is the time at which the most recently refused caller was told to retry.
	lastRetryAt time.Time
}

// maxRetryDelay bounds how far ahead refused callers are told to retry: beyond it, other callers will have taken their
// place.
const maxRetryDelay = 2 * time.Second

// NewBucket returns a bucket that starts empty at a time, which may lie in the future.
func NewBucket(startsAt time.Time, l Limit) *Bucket { return &Bucket{limit: l, filledAt: startsAt} }

// SetLimit changes the limit from now on.
func (b *Bucket) SetLimit(now time.Time, l Limit) {
	if l == b.limit {
		return
	}
	b.refill(now)
	b.limit = l
	b.tokens = min(b.tokens, b.capacity())
}

// minBurst is the minimum capacity of a bucket, in requests, however small its share of a limit. With a minimum of 1, a
// customer with a limit of three requests a second that sent two thirds of it had 7 in 100 requests refused
// (quota/testdata/fleets), because now and then more than one request arrives at once.
const minBurst = 2

// capacity is the maximum number of tokens.
func (b *Bucket) capacity() float64 { return max(b.limit.Burst, minBurst) }

func (b *Bucket) refill(now time.Time) {
	if now.After(b.filledAt) {
		b.tokens = min(b.tokens+b.limit.Rate*now.Sub(b.filledAt).Seconds(), b.capacity())
		b.filledAt = now
	}
}

// Take grants up to want requests and returns how many it granted.
func (b *Bucket) Take(now time.Time, want int) int {
	b.refill(now)
	granted := min(want, int(b.tokens))
	b.tokens -= float64(granted)
	return granted
}

// Reserve grants one request for the earliest time that the limit allows, unless that is after latest.
func (b *Bucket) Reserve(now, latest time.Time) (at time.Time, ok bool) {
	at = now.Add(b.Wait(now, 1))
	if at.After(latest) {
		return at, false
	}
	b.tokens--
	return at, true
}

// Wait returns after how long n more requests could have been granted.
func (b *Bucket) Wait(now time.Time, n int) time.Duration {
	b.refill(now)
	return max(b.filledAt.Sub(now), 0) + max(0, secondsToDuration((float64(n)-b.tokens)/b.limit.Rate))
}

// Return takes back a request that was granted and not used.
func (b *Bucket) Return(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+1, b.capacity())
}

// RetryDelay returns after how long a refused caller should retry. Each call reserves a later time, spaced by the rate
// of the limit, so that refused callers do not all retry at once.
func (b *Bucket) RetryDelay(now time.Time) time.Duration {
	b.refill(now)
	first := max(b.filledAt.Sub(now), 0) + secondsToDuration((1-b.tokens)/b.limit.Rate)
	next := max(first, b.lastRetryAt.Sub(now)+secondsToDuration(1/b.limit.Rate))
	if next > maxRetryDelay {
		next = max(first, maxRetryDelay)
	}
	b.lastRetryAt = now.Add(next)
	return next
}

// isFull reports whether the bucket is at its capacity, so that a new one in its place cannot grant more.
func (b *Bucket) isFull(now time.Time) bool {
	b.refill(now)
	return b.tokens >= b.capacity()
}

// secondsToDuration converts a number of seconds to a duration.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
