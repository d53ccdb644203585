package retry

import "time"

// slots is how many parts a budget's window has: the bound is kept to within one of them, on the safe side.
const slots = 20

// Budget limits the retries of one service to a share of its requests; one goroutine owns it or its owner locks it.
//
// Invariant: over any stretch as long as the window, at most the share of the requests in the window that ends with the
// last of them, and burst more, are granted. What calm times leave unused counts for the length of a window, so that a
// burst of failures meets what the requests before it have earned.
type Budget struct {
	burst  float64
	window time.Duration
	// parts are the slots of the window and one before it, ending with the slot number at.
	parts [slots + 1]part
	at    int64
	// refusing is the recent share of sends that were refused for lack of capacity.
	refusing float64
}

// part is what happened in one slot of the window.
type part struct {
	earned float64
	taken  float64
}

// NewBudget returns a budget over a window that allows burst retries besides those that requests earn.
func NewBudget(burst float64, window time.Duration) *Budget {
	return &Budget{burst: burst, window: window}
}

// SetBurst changes the retries that are allowed besides those that requests earn.
func (b *Budget) SetBurst(burst float64) { b.burst = burst }

// advance brings the slots to now; a time before the last one seen counts as that one.
func (b *Budget) advance(now time.Time) {
	to := now.UnixNano() / int64(b.window/slots)
	if to-b.at > slots {
		b.parts = [slots + 1]part{}
		b.at = to
		return
	}
	for b.at < to {
		b.at++
		b.parts[b.at%(slots+1)] = part{}
	}
}

// Request counts one request's first send and earns its share of a retry.
func (b *Budget) Request(now time.Time, share float64) {
	b.advance(now)
	b.parts[b.at%(slots+1)].earned += share
}

// Tokens returns the retries left now.
func (b *Budget) Tokens(now time.Time) float64 {
	b.advance(now)
	left := b.burst
	for i, p := range b.parts {
		left -= p.taken
		// The oldest slot lies partly before the window: what was taken there may count, what was earned may not.
		if int64(i) != (b.at+1)%(slots+1) {
			left += p.earned
		}
	}
	return left
}

// Left tells whether Take would grant a retry.
func (b *Budget) Left(now time.Time) bool { return b.Tokens(now) >= 1 }

// Take grants one retry if the budget has one left.
func (b *Budget) Take(now time.Time) bool {
	if b.Tokens(now) < 1 {
		return false
	}
	b.parts[b.at%(slots+1)].taken++
	return true
}

// Answer notes whether a send was refused for lack of capacity.
func (b *Budget) Answer(refused bool) {
	hit := 0.0
	if refused {
		hit = 1
	}
	b.refusing += (hit - b.refusing) / refusalMemory
}

// Refusing tells that the service as a whole turns work away.
func (b *Budget) Refusing() bool { return b.refusing > refusingShare }

// Decide grants a further send: what was misplaced goes again free of the budget, all else takes from it, and
// nothing goes again for lack of capacity into a service that is refusing.
func (b *Budget) Decide(now time.Time, a Attempt) bool {
	if !Worthwhile(a) {
		return false
	}
	if a.Misplaced {
		return true
	}
	if a.Overloaded && b.Refusing() {
		return false
	}
	return b.Take(now)
}
