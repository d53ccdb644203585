package retry

import "time"

// Backoff computes the delay between attempts at an operation that keeps failing. It doubles from Initial up to Max and
// is not safe for concurrent use.
type Backoff struct {
	// Initial is the delay after the first failure, Max the longest delay.
	Initial, Max time.Duration
	next         time.Duration
}

// Next returns the delay after one more failure.
func (b *Backoff) Next() time.Duration {
	wait := max(b.next, b.Initial)
	b.next = min(2*wait, max(b.Max, b.Initial))
	return wait
}

// Reset records a success: the delay after the next failure is Initial again.
func (b *Backoff) Reset() { b.next = 0 }
