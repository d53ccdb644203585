package memory

import "sync"

// Budget is the number of bytes that a node may hold; it is safe for concurrent use.
//
// A customer may hold as many bytes as are left free: a single customer half of the budget, two a third each. So there
// is always space for another customer, and customers needn't be counted.
//
// Invariant: the bytes held never exceed the size.
type Budget struct {
	size int64

	mu   sync.Mutex
	used int64
	// peak is the highest use so far, refused counts the reservations that did not fit.
	peak    int64
	refused uint64
	// held is how many bytes each customer holds.
	held map[string]int64
	// released is closed, and replaced by a new channel, whenever bytes are released.
	released chan struct{}
}

// New returns a budget of size bytes.
func New(size int64) *Budget {
	return &Budget{size: size, held: make(map[string]int64), released: make(chan struct{})}
}

// Usage is the state of a budget.
type Usage struct {
	// Size, Used and Peak are bytes: the size of the budget, those held now, and the most held at any time so far.
	Size, Used, Peak int64
	// Refused counts the reservations that did not fit.
	Refused uint64
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Size: b.size, Used: b.used, Peak: b.peak, Refused: b.refused}
}

// NewReservation returns an empty reservation for a customer.
func (b *Budget) NewReservation(customer string) *Reservation {
	return &Reservation{budget: b, customer: customer}
}

// reserve takes n bytes for a customer; false if they don't fit.
func (b *Budget) reserve(customer string, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.held[customer]
	if held+n > b.size-b.used {
		b.refused++
		return false
	}
	b.used += n
	b.held[customer] = held + n
	b.peak = max(b.peak, b.used)
	return true
}

func (b *Budget) release(customer string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.held[customer] -= n
	if b.held[customer] == 0 {
		delete(b.held, customer)
	}
	close(b.released)
	b.released = make(chan struct{})
}

// Released returns a channel that is closed when bytes are released.
func (b *Budget) Released() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.released
}

// Reservation is the bytes that one exchange holds of a budget; it is safe for concurrent use. A nil reservation holds
// nothing and refuses nothing.
type Reservation struct {
	budget   *Budget
	customer string

	mu     sync.Mutex
	bytes  int64
	closed bool
}

// Grow takes n more bytes; false if they don't fit, or if Release was called.
func (r *Reservation) Grow(n int) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || !r.budget.reserve(r.customer, int64(n)) {
		return false
	}
	r.bytes += int64(n)
	return true
}

// Shrink releases n bytes, at most those held.
func (r *Reservation) Shrink(n int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	released := min(int64(n), r.bytes)
	if released == 0 {
		return
	}
	r.bytes -= released
	r.budget.release(r.customer, released)
}

// Release releases all bytes for good: a later Grow fails.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	bytes := r.bytes
	r.closed = true
	r.mu.Unlock()
	r.Shrink(int(bytes))
}

// Released returns a channel that is closed when bytes of the budget are released.
func (r *Reservation) Released() <-chan struct{} {
	if r == nil {
		return nil
	}
	return r.budget.Released()
}
