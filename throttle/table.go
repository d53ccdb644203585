package throttle

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxKeys bounds the services and routes that are tracked, at about 500 bytes each. A node that meets more drops the one
// that had no request for longest, which then begins with empty counts.
const maxKeys = 1024

// Key names what a Throttle is for.
type Key struct {
	// Service and Route are the keys of the service and the route.
	Service, Route string
}

// Table holds the throttles of the services and routes whose requests a node received most recently. It does not lock:
// the caller serializes access.
type Table struct {
	throttles *simplelru.LRU[Key, *Throttle]
}

// NewTable returns an empty Table.
func NewTable() *Table {
	l, err := simplelru.NewLRU[Key, *Throttle](maxKeys, nil)
	if err != nil {
		// NewLRU fails only for a size below one.
		panic(err)
	}
	return &Table{throttles: l}
}

// Get returns the throttle of a service and route, which it creates if there is none.
func (t *Table) Get(k Key) *Throttle {
	th, ok := t.throttles.Get(k)
	if !ok {
		th = new(Throttle)
		t.throttles.Add(k, th)
	}
	return th
}

// Each calls f with every throttle, least recently used first.
func (t *Table) Each(f func(Key, *Throttle)) {
	for _, k := range t.throttles.Keys() {
		if th, ok := t.throttles.Peek(k); ok {
			f(k, th)
		}
	}
}
