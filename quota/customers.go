package quota

import "github.com/hashicorp/golang-lru/v2/simplelru"

// mostCustomers bounds the customers that a node keeps something of, about 200 bytes each.
const mostCustomers = 20000

// PerCustomer keeps something for each customer that was met of late; its owner locks it.
type PerCustomer[T any] struct {
	entries *simplelru.LRU[string, T]
}

// NewPerCustomer returns an empty one; forgotten is told what had to make room.
func NewPerCustomer[T any](forgotten func(customer string, entry T)) *PerCustomer[T] {
	l, err := simplelru.NewLRU(mostCustomers, forgotten)
	if err != nil {
		// It fails for a size below one only.
		panic(err)
	}
	return &PerCustomer[T]{entries: l}
}

// Of returns what is kept for a customer, made anew where there is nothing.
func (l *PerCustomer[T]) Of(customer string, make func() T) T {
	entry, ok := l.entries.Get(customer)
	if !ok {
		entry = make()
		l.entries.Add(customer, entry)
	}
	return entry
}

// Retain forgets the customers that keep does not hold on to.
func (l *PerCustomer[T]) Retain(keep func(customer string) bool) {
	for _, customer := range l.entries.Keys() {
		if !keep(customer) {
			l.entries.Remove(customer)
		}
	}
}

// Customers returns the customers of which something is kept.
func (l *PerCustomer[T]) Customers() []string { return l.entries.Keys() }
