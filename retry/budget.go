package retry

import "time"

// Budget limits the retries that reach one endpoint; one goroutine owns it or its owner locks it. The endpoint's node sees
// every arrival there, so that the sum over a service's endpoints is the fleet's, without an agreement between senders.
//
// Retries come in as time and requests go by, and a share of what a window brings can be saved up. A process that starts
// has saved nothing, and a part that grows brings more from then on but nothing at once: so what another process granted
// before it, or an endpoint that has left, need not be known.
//
// Invariant: in any window the endpoints of a service grant at most its slack and its share of their requests, counted in
// that window or in the one before, whatever joins, leaves or starts again, as long as each knows of every other that is
// older than the time to settle.
type Budget struct {
	window, settle time.Duration
	// began is when the budget was made.
	began time.Time
	// slack is the endpoint's part of the service's slack in a window.
	slack float64
	// saved are the retries that can be granted now, filled the time up to which the slack has brought its own.
	saved  float64
	filled time.Time
	// earned is what requests of the last window earn, by time, credit the sum of it.
	earned []earning
	credit float64
}

// earning is what the requests of a slice of the window earn.
type earning struct {
	at    time.Time
	share float64
}

const (
	// windowSlices is how many parts of a window requests are counted in.
	windowSlices = 20
	// savedShare is the share of a window's retries that can be saved up; the rest is for the window in which it is spent. A
	// half was worth 0.01 less on two deployments, 0.15 as much.
	savedShare = 0.25
)

// NewBudget returns a budget that has nothing saved; its slack begins to count after the time in which a change of the
// service's endpoints is known everywhere.
func NewBudget(now time.Time, window, settle time.Duration) *Budget {
	return &Budget{window: window, settle: settle, began: now, filled: now.Add(settle)}
}

// SetSlack changes the endpoint's part of the service's slack in a window, from now on.
func (b *Budget) SetSlack(now time.Time, slack float64) {
	b.fill(now)
	b.slack = slack
	b.bound(now)
}

// Request counts the first arrival of a request, which earns its share of a retry.
func (b *Budget) CountRequest(now time.Time, share float64) {
	if share == 0 {
		return
	}
	b.fill(now)
	b.saved += (1 - savedShare) * share
	b.credit += share
	if n := len(b.earned); n > 0 && now.Sub(b.earned[n-1].at) < b.window/windowSlices {
		b.earned[n-1].share += share
	} else {
		b.earned = append(b.earned, earning{at: now, share: share})
	}
	b.bound(now)
}

// Charge takes a part of a retry for an arrival that is one in part and is not refused; it may leave the budget in debt.
func (b *Budget) Charge(now time.Time, part float64) {
	b.fill(now)
	b.saved -= part
	b.bound(now)
}

// Take grants one retry if the budget has one left.
func (b *Budget) Take(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.saved--
	return true
}

// Return gives back the retry that was granted last and did not reach the endpoint.
func (b *Budget) Refund() { b.saved++ }

// Left returns the retries left.
func (b *Budget) Remaining(now time.Time) float64 {
	b.fill(now)
	return b.saved
}

// fill brings in what the slack has brought since the last look and drops what is older than a window.
func (b *Budget) fill(now time.Time) {
	b.forget(now)
	if now.After(b.filled) {
		b.saved += (1 - savedShare) * b.slack * now.Sub(b.filled).Seconds() / b.window.Seconds()
		b.filled = now
	}
	b.bound(now)
}

// bound holds what is saved to its share of a window's retries, and a debt to what a window brings.
func (b *Budget) bound(now time.Time) {
	whole := b.credit
	if now.Sub(b.began) >= b.settle {
		whole += b.slack
	}
	b.saved = max(min(b.saved, savedShare*whole), -(1-savedShare)*whole)
}

// forget drops what requests earned before the window. A slice of requests goes with its first one, so that none counts
// too long.
func (b *Budget) forget(now time.Time) {
	from := now.Add(-b.window)
	for len(b.earned) > 0 && b.earned[0].at.Before(from) {
		b.credit -= b.earned[0].share
		b.earned = b.earned[1:]
	}
	if len(b.earned) == 0 {
		b.credit = 0
	}
}
