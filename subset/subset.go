package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// pointsPerEndpoint is how many points each endpoint has on the ring, so that their sections of the ring are of similar
// length. With one point, a fifth of the choices in a hall of 167 change when an endpoint is removed; with eight, a
// tenth (TestTable).
const pointsPerEndpoint = 8

// point is the end of a section of the ring that belongs to an endpoint.
type point struct {
	hash     uint64
	endpoint int
}

// ring holds the endpoints of one hall.
type ring struct {
	points []point
	// capacity is how many more nodes may choose each endpoint.
	capacity []int
}

func newRing(endpoints []string, capacity int) *ring {
	r := &ring{points: make([]point, 0, pointsPerEndpoint*len(endpoints)), capacity: make([]int, len(endpoints))}
	for i, key := range endpoints {
		r.capacity[i] = capacity
		hash := xxhash.Sum64String(key)
		for n := range uint64(pointsPerEndpoint) {
			r.points = append(r.points, point{hash: mix(hash, n), endpoint: i})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.endpoint, b.endpoint))
	})
	return r
}

// Choose returns the indexes of the endpoints that a node (self) chooses, in order of preference; if there are no more
// than size, all of them. Both lists may be in any order that all nodes share, such as by name.
//
// Invariant: it returns as many endpoints as asked for, all different. Over the choices that all nodes compute from the
// same lists, no endpoint is chosen by more nodes than the mean rounded up, nor by fewer than the mean rounded down,
// apart from a few where the last nodes find no other endpoint that they have not chosen yet.
func Choose(nodes []string, self string, endpoints []string, size int) []int {
	if size >= len(endpoints) || !slices.Contains(nodes, self) {
		return Order(self, endpoints)[:min(size, len(endpoints))]
	}
	mean := float64(size) * float64(len(nodes)) / float64(len(endpoints))
	r := newRing(endpoints, int(mean))
	var chosen []int
	for _, h := range byHash(nodes) {
		chosen = r.draw(chosen[:0], h.hash, size)
		if nodes[h.index] == self {
			break
		}
	}
	return chosen
}

// draw chooses the endpoints of one node and reduces their capacity.
func (r *ring) draw(chosen []int, node uint64, size int) []int {
	for n := range size {
		hash := mix(node, uint64(n))
		e := r.next(chosen, hash)
		for e < 0 {
			r.raiseCapacity()
			e = r.next(chosen, hash)
		}
		r.capacity[e]--
		chosen = append(chosen, e)
	}
	return chosen
}

// next returns the first endpoint at or after a point that has capacity and is not chosen yet, or -1 if there is none.
func (r *ring) next(chosen []int, from uint64) int {
	start, _ := slices.BinarySearchFunc(r.points, from, func(p point, from uint64) int { return cmp.Compare(p.hash, from) })
	for i := range r.points {
		e := r.points[(start+i)%len(r.points)].endpoint
		if r.capacity[e] > 0 && !slices.Contains(chosen, e) {
			return e
		}
	}
	return -1
}

// raiseCapacity lets one more node choose each endpoint, when the current node finds none with capacity.
func (r *ring) raiseCapacity() {
	for e := range r.capacity {
		r.capacity[e]++
	}
}

// hashed is the index of a list's element and the hash of the element.
type hashed struct {
	index int
	hash  uint64
}

// byHash returns the elements of a list in the order of their hashes.
func byHash(list []string) []hashed {
	out := make([]hashed, len(list))
	for i, key := range list {
		out[i] = hashed{index: i, hash: xxhash.Sum64String(key)}
	}
	slices.SortFunc(out, func(a, b hashed) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.index, b.index)) })
	return out
}

// Order returns the indexes of all endpoints in the order in which a node goes beyond those of Choose. Rendezvous
// hashing gives each node an order of its own.
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

// mix combines two numbers into one that depends on every bit of both (the finalizer of splitmix64, Steele, Lea and
// Flood, 2014).
func mix(a, b uint64) uint64 {
	z := a ^ (b+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
