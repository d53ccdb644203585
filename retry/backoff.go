package retry

import "time"

// Backoff is the wait between attempts at something that fails, doubling from First up to Most; it has one owner.
type Backoff struct {
	// First is the wait after the first failure, Most the longest one.
	Initial, Max time.Duration
	next         time.Duration
}

// Next returns the wait after one more failure.
func (b *Backoff) Next() time.Duration {
	wait := max(b.next, b.Initial)
	b.next = min(2*wait, max(b.Max, b.Initial))
	return wait
}

// Reset notes a success: the next failure waits for First again.
func (b *Backoff) Reset() { b.next = 0 }
