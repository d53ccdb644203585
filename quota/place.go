package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// OwnersPerCustomer is how many owners a customer's limit is split between. The share of an owner whose host is down is
// lost until the list of hosts shows it, ten seconds or more. Where three in ten hosts are down, one customer in 37
// would lose all of three owners; one in 1,400 loses all of six.
const OwnersPerCustomer = 6

// Host is a host whose node may be an owner.
type Host struct {
	// ID is the host's name.
	ID string
	// Hall is the hall that the host is in.
	Hall string
}

// Placement assigns owners to customers by one list of hosts. It is immutable.
type Placement struct {
	// allHashes are the hashes of all hosts.
	allHashes []uint64
	// candidates are the hosts that may be owners, sorted by ID, and candidateHashes their hashes.
	candidates      []Host
	candidateHashes []uint64
}

// NewPlacement returns the placement by a list of hosts, whose order does not matter. In each hall about the square
// root of the number of hosts may be owners: a node then needs links to few of them, and they share the requests for
// allotments.
func NewPlacement(hosts []Host) *Placement {
	p := &Placement{allHashes: make([]uint64, 0, len(hosts))}
	byHall := make(map[string][]scoredHost)
	for _, h := range hosts {
		hash := xxhash.Sum64String(h.ID)
		p.allHashes = append(p.allHashes, hash)
		byHall[h.Hall] = append(byHall[h.Hall], scoredHost{Host: h, score: mix(hash)})
	}
	for _, inHall := range byHall {
		sortByScore(inHall)
		count := max(OwnersPerCustomer, int(math.Ceil(math.Sqrt(float64(len(inHall))))))
		for _, h := range inHall[:min(count, len(inHall))] {
			p.candidates = append(p.candidates, h.Host)
		}
	}
	slices.SortFunc(p.candidates, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	for _, h := range p.candidates {
		p.candidateHashes = append(p.candidateHashes, xxhash.Sum64String(h.ID))
	}
	return p
}

// SameOwners reports whether two placements have the same candidates, and hence the same owners for every customer.
func (p *Placement) SameOwners(o *Placement) bool { return slices.Equal(p.candidates, o.candidates) }

// HostCount returns the number of hosts in the list.
func (p *Placement) HostCount() int { return len(p.allHashes) }

// scoredHost is a host with its score in rendezvous hashing.
type scoredHost struct {
	Host
	score uint64
}

// sortByScore sorts hosts by descending score.
func sortByScore(hosts []scoredHost) {
	slices.SortFunc(hosts, func(a, b scoredHost) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
}

// Owners returns the owners of a customer's limit, at most OwnersPerCustomer and in different halls as far as possible.
// They are the candidates with the highest scores (rendezvous hashing), so that a host that is added or removed moves
// few customers.
func (p *Placement) Owners(customer string) []Host {
	c := xxhash.Sum64String(customer)
	all := make([]scoredHost, len(p.candidates))
	for i, h := range p.candidates {
		all[i] = scoredHost{Host: h, score: mix(c ^ p.candidateHashes[i])}
	}
	sortByScore(all)
	owners := make([]Host, 0, OwnersPerCustomer)
	for _, h := range all {
		if len(owners) < OwnersPerCustomer && !slices.ContainsFunc(owners, func(o Host) bool { return o.Hall == h.Hall }) {
			owners = append(owners, h.Host)
		}
	}
	for _, h := range all {
		if len(owners) < OwnersPerCustomer && !slices.Contains(owners, h.Host) {
			owners = append(owners, h.Host)
		}
	}
	return owners
}

// Share returns a host's share of total, an integer that is divided among all hosts of the list. The hosts that get one
// more than the others, where it does not divide evenly, differ by customer.
func (p *Placement) Share(host, customer string, total int) int {
	n := len(p.allHashes)
	if n == 0 || total <= 0 {
		return 0
	}
	c := xxhash.Sum64String(customer)
	own, rank := mix(c^xxhash.Sum64String(host)), 0
	for _, hash := range p.allHashes {
		if mix(c^hash) > own {
			rank++
		}
	}
	share := total / n
	if rank < total%n {
		share++
	}
	return share
}

// mix is the finalizer of splitmix64: it maps similar numbers to unrelated ones.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
