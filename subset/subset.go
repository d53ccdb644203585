package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// places is how many places an endpoint has on the circle, so that the parts of it which end there are about alike: with one
// place a fifth of the choices of a hall of 167 move when an endpoint goes, with eight a tenth (TestTable).
const places = 8

// place is where a choice falls to an endpoint.
type place struct {
	at       uint64
	endpoint int
}

// circle is the endpoints of one hall.
type circle struct {
	places []place
	// room is how many more choosers each endpoint may have.
	room []int
}

func newCircle(endpoints []string, room int) *circle {
	c := &circle{places: make([]place, 0, places*len(endpoints)), room: make([]int, len(endpoints))}
	for i, key := range endpoints {
		c.room[i] = room
		h := xxhash.Sum64String(key)
		for n := range uint64(places) {
			c.places = append(c.places, place{at: mix(h, n), endpoint: i})
		}
	}
	slices.SortFunc(c.places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.endpoint, b.endpoint))
	})
	return c
}

// Choose returns the places in endpoints of those that a chooser sends to, in the order of its preference: all of them where
// there are no more than size. Both lists are in any order that every chooser shares, such as by name.
//
// Invariant: it returns as many as asked for, all different. Of the choices of all choosers, worked out from the same lists, no
// endpoint has more than the mean rounded up, nor less than the mean rounded down, but for a few where the last choosers find
// no other that they have not chosen.
func Choose(choosers []string, self string, endpoints []string, size int) []int {
	if size >= len(endpoints) || !slices.Contains(choosers, self) {
		return Order(self, endpoints)[:min(size, len(endpoints))]
	}
	mean := float64(size) * float64(len(choosers)) / float64(len(endpoints))
	c := newCircle(endpoints, int(mean))
	var chosen []int
	for _, h := range ranked(choosers) {
		chosen = c.draw(chosen[:0], h.hash, size)
		if choosers[h.index] == self {
			break
		}
	}
	return chosen
}

// draw takes a chooser's endpoints off the circle's room.
func (c *circle) draw(chosen []int, chooser uint64, size int) []int {
	for n := range size {
		at := mix(chooser, uint64(n))
		e := c.next(chosen, at)
		for e < 0 {
			c.raise()
			e = c.next(chosen, at)
		}
		c.room[e]--
		chosen = append(chosen, e)
	}
	return chosen
}

// next returns the next endpoint from a place on that has room and is not chosen yet, -1 if there is none.
func (c *circle) next(chosen []int, from uint64) int {
	at, _ := slices.BinarySearchFunc(c.places, from, func(p place, at uint64) int { return cmp.Compare(p.at, at) })
	for i := range c.places {
		e := c.places[(at+i)%len(c.places)].endpoint
		if c.room[e] > 0 && !slices.Contains(chosen, e) {
			return e
		}
	}
	return -1
}

// raise makes room for one chooser more at every endpoint, once the chooser under way finds none.
func (c *circle) raise() {
	for e := range c.room {
		c.room[e]++
	}
}

// hashed is an entry of a list with its hash.
type hashed struct {
	index int
	hash  uint64
}

// ranked returns the places of a list's entries by their hashes.
func ranked(list []string) []hashed {
	out := make([]hashed, len(list))
	for i, key := range list {
		out[i] = hashed{index: i, hash: xxhash.Sum64String(key)}
	}
	slices.SortFunc(out, func(a, b hashed) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.index, b.index)) })
	return out
}

// Order returns the places in endpoints of all of them, in the order in which a chooser goes beyond those of Choose
// (rendezvous hashing, so that each chooser's order is its own).
func Order(self string, endpoints []string) []int {
	h := xxhash.Sum64String(self)
	order := make([]hashed, len(endpoints))
	for i, key := range endpoints {
		order[i] = hashed{index: i, hash: mix(h, xxhash.Sum64String(key))}
	}
	slices.SortFunc(order, func(a, b hashed) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.index, b.index)) })
	out := make([]int, len(order))
	for i, o := range order {
		out[i] = o.index
	}
	return out
}

// mix joins two numbers into one that depends on every bit of both (the finalizer of splitmix64, Steele, Lea and Flood, 2014).
func mix(a, b uint64) uint64 {
	z := a ^ (b+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
