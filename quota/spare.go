package quota

import "time"

// Spare is what a node may let pass of a customer while none of its homes can be reached. The fleet's part is dealt out by hosts, so
// that all of them together pass no more in a window, whoever is cut off from whom; its owner locks it.
type Spare struct {
	window time.Duration
	used   *PerCustomer[*[]time.Time]
}

// NewSpare returns a spare of which nothing is used.
func NewSpare(window time.Duration) *Spare {
	return &Spare{window: window, used: NewPerCustomer[*[]time.Time](nil)}
}

// Use lets one request of a customer pass if the node has passed fewer than part in the window before now.
func (s *Spare) Use(now time.Time, customer string, part int) bool {
	used := s.used.Of(customer, func() *[]time.Time { return new([]time.Time) })
	for len(*used) > 0 && !now.Before((*used)[0].Add(s.window)) {
		*used = (*used)[1:]
	}
	if len(*used) >= part {
		return false
	}
	*used = append(*used, now)
	return true
}
