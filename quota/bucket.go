package quota

import "time"

// Limit is what a customer may send: Rate requests a second, and Burst of them at once. Rate 0 stands for no limit.
type Limit struct {
	Rate, Burst float64
}

// Part returns one of n equal parts.
func (l Limit) Part(n int) Limit {
	return Limit{Rate: l.Rate / float64(n), Burst: l.Burst / float64(n)}
}

// Within returns the most that the limit lets pass in a window.
func (l Limit) Within(window time.Duration) float64 { return l.Rate*window.Seconds() + l.Burst }

// Bucket grants one part of a limit; its owner locks it.
//
// Invariant: in any window it grants at most what its limit lets pass in it, with leastBurst in place of a smaller burst.
type Bucket struct {
	limit Limit
	// saved is what can be granted now, filled the time up to which it has come in.
	saved  float64
	filled time.Time
	// promised is when the last one that was refused has been told to come back.
	promised time.Time
}

// mostPromise bounds how far ahead those that are refused are told to come back: further on, who comes is others.
const mostPromise = 2 * time.Second

// NewBucket returns a bucket that is empty at a time, which may be to come.
func NewBucket(at time.Time, l Limit) *Bucket { return &Bucket{limit: l, filled: at} }

// SetLimit changes the limit from now on.
func (b *Bucket) SetLimit(now time.Time, l Limit) {
	if l == b.limit {
		return
	}
	b.fill(now)
	b.limit = l
	b.saved = min(b.saved, b.most())
}

// leastBurst is what every part of a limit can save up, in requests. With one, a customer with a limit of three a second that sent two
// thirds of it had 7 in 100 requests refused (quota/testdata/fleets), for what comes at once is more than that now and then.
const leastBurst = 2

// most is how much can be saved.
func (b *Bucket) most() float64 { return max(b.limit.Burst, leastBurst) }

func (b *Bucket) fill(now time.Time) {
	if now.After(b.filled) {
		b.saved = min(b.saved+b.limit.Rate*now.Sub(b.filled).Seconds(), b.most())
		b.filled = now
	}
}

// Take grants up to so many requests.
func (b *Bucket) Take(now time.Time, want int) int {
	b.fill(now)
	granted := min(want, int(b.saved))
	b.saved -= float64(granted)
	return granted
}

// Return takes back a request that was granted and not used.
func (b *Bucket) Return(now time.Time) {
	b.fill(now)
	b.saved = min(b.saved+1, b.most())
}

// Wait returns when one that was refused should come back. Each is told a time of its own, as far apart as requests may pass, so
// that those who wait do not come together.
func (b *Bucket) RetryDelay(now time.Time) time.Duration {
	b.fill(now)
	first := max(b.filled.Sub(now), 0) + spanOf((1-b.saved)/b.limit.Rate)
	next := max(first, b.promised.Sub(now)+spanOf(1/b.limit.Rate))
	if next > mostPromise {
		next = max(first, mostPromise)
	}
	b.promised = now.Add(next)
	return next
}

// full tells whether a bucket that starts empty at a time would hold as much by now.
func (b *Bucket) full(now time.Time) bool {
	b.fill(now)
	return b.saved >= b.most()
}

// spanOf turns seconds into a time span.
func spanOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
