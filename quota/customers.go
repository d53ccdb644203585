package quota

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxCustomers bounds the customers that a PerCustomer keeps an entry for, about 200 bytes each.
const maxCustomers = 20000

// PerCustomer is an LRU cache with one entry per customer. It does not lock: the caller serializes access.
type PerCustomer[T any] struct {
	entries *simplelru.LRU[string, T]
}

// NewPerCustomer returns an empty cache. onEvicted, if not nil, is called for each entry that is removed, whether
// evicted by a newer one or dropped by Retain.
func NewPerCustomer[T any](onEvicted func(customer string, entry T)) *PerCustomer[T] {
	l, err := simplelru.NewLRU(maxCustomers, onEvicted)
	if err != nil {
		// NewLRU fails only for a size below one.
		panic(err)
	}
	return &PerCustomer[T]{entries: l}
}

// GetOrCreate returns a customer's entry, which it creates if there is none.
func (l *PerCustomer[T]) GetOrCreate(customer string, create func() T) T {
	entry, ok := l.entries.Get(customer)
	if !ok {
		entry = create()
		l.entries.Add(customer, entry)
	}
	return entry
}

// Retain removes the entries of all customers for which keep returns false.
func (l *PerCustomer[T]) Retain(keep func(customer string) bool) {
	for _, customer := range l.entries.Keys() {
		if !keep(customer) {
			l.entries.Remove(customer)
		}
	}
}

// Customers returns the customers that have an entry, least recently used first.
func (l *PerCustomer[T]) Customers() []string { return l.entries.Keys() }
