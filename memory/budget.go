package memory

import "sync"

// Budget is how many bytes a node may hold; it is safe for concurrent use.
//
// A customer may hold as much as is left free: one alone half of it all, two a third each, so that whoever comes next finds room, without
// anybody being counted.
//
// Invariant: no more than its size is held.
type Budget struct {
	size int64

	mu   sync.Mutex
	used int64
	// most is the highest use so far, refused counts what found no room.
	most    int64
	refused uint64
	// held is what each customer holds.
	held map[string]int64
	// freed is closed, and made anew, when something was given back.
	freed chan struct{}
}

// New returns a budget of a size in bytes.
func New(size int64) *Budget {
	return &Budget{size: size, held: make(map[string]int64), freed: make(chan struct{})}
}

// Use is how a budget stands.
type Usage struct {
	// Size, Used and Most are bytes: all there are, those held now, and the most so far.
	Size, Used, Peak int64
	// Refused counts what found no room.
	Refused uint64
}

// Use returns how the budget stands.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Size: b.size, Used: b.used, Peak: b.most, Refused: b.refused}
}

// Hold returns a holding of a customer, which is empty.
func (b *Budget) NewReservation(customer string) *Reservation {
	return &Reservation{budget: b, customer: customer}
}

// take takes bytes for a customer; false when there is no room for them.
func (b *Budget) take(customer string, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.held[customer]
	if held+n > b.size-b.used {
		b.refused++
		return false
	}
	b.used += n
	b.held[customer] = held + n
	b.most = max(b.most, b.used)
	return true
}

func (b *Budget) give(customer string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.held[customer] -= n
	if b.held[customer] == 0 {
		delete(b.held, customer)
	}
	close(b.freed)
	b.freed = make(chan struct{})
}

// Freed returns a channel that is closed when something is given back.
func (b *Budget) Released() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.freed
}

// Hold is what one exchange holds of a budget; it is safe for concurrent use. A nil holding takes and bounds nothing.
type Reservation struct {
	budget   *Budget
	customer string

	mu    sync.Mutex
	bytes int64
	freed bool
}

// Grow takes so many bytes more; false when there is no room for them, or all was given back.
func (h *Reservation) Grow(n int) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.freed || !h.budget.take(h.customer, int64(n)) {
		return false
	}
	h.bytes += int64(n)
	return true
}

// Shrink gives so many bytes back, no more than are held.
func (h *Reservation) Shrink(n int) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	give := min(int64(n), h.bytes)
	if give == 0 {
		return
	}
	h.bytes -= give
	h.budget.give(h.customer, give)
}

// Free gives all back for good.
func (h *Reservation) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	bytes := h.bytes
	h.freed = true
	h.mu.Unlock()
	h.Shrink(int(bytes))
}

// Freed returns a channel that is closed when something of the budget is given back.
func (h *Reservation) Released() <-chan struct{} {
	if h == nil {
		return nil
	}
	return h.budget.Released()
}
