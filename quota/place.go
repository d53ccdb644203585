package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Parts is how many homes a customer's limit has. A home that is gone takes its part with it until the list of hosts says so, ten
// seconds or more; where three in ten hosts are gone, one customer in 37 lost all of three homes, and one in 1,400 loses all of six.
const Parts = 6

// Host is a host that may be a home.
type Host struct {
	// ID names it.
	ID string
	// Hall is where it stands.
	Hall string
}

// Place places customers at homes by one list of hosts; immutable.
type Place struct {
	// all are the hashes of all hosts.
	all []uint64
	// hosts are those that may be homes, in order, and hashes theirs.
	hosts  []Host
	hashes []uint64
}

// NewPlace returns the placement by a list of hosts, in whatever order. In each hall some hosts are homes, about the root of their
// number: a node needs links to few, and each has its part of the questions.
func NewPlace(hosts []Host) *Place {
	p := &Place{all: make([]uint64, 0, len(hosts))}
	byHall := make(map[string][]scored)
	for _, h := range hosts {
		hash := xxhash.Sum64String(h.ID)
		p.all = append(p.all, hash)
		byHall[h.Hall] = append(byHall[h.Hall], scored{Host: h, score: mix(hash)})
	}
	for _, here := range byHall {
		sortByScore(here)
		homes := max(Parts, int(math.Ceil(math.Sqrt(float64(len(here))))))
		for _, h := range here[:min(homes, len(here))] {
			p.hosts = append(p.hosts, h.Host)
		}
	}
	slices.SortFunc(p.hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	for _, h := range p.hosts {
		p.hashes = append(p.hashes, xxhash.Sum64String(h.ID))
	}
	return p
}

// Same tells whether two placements have the same homes.
func (p *Place) Same(o *Place) bool { return slices.Equal(p.hosts, o.hosts) }

// Hosts returns how many hosts the list has.
func (p *Place) Hosts() int { return len(p.all) }

// scored is a host with a weight.
type scored struct {
	Host
	score uint64
}

// sortByScore puts the heaviest first.
func sortByScore(hosts []scored) {
	slices.SortFunc(hosts, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID)) })
}

// Homes returns the homes of a customer, at most Parts and in different halls as far as there are such: those that weigh most
// (rendezvous hashing), so that a host that comes or goes moves few customers.
func (p *Place) Homes(customer string) []Host {
	c := xxhash.Sum64String(customer)
	all := make([]scored, len(p.hosts))
	for i, h := range p.hosts {
		all[i] = scored{Host: h, score: mix(c ^ p.hashes[i])}
	}
	sortByScore(all)
	homes := make([]Host, 0, Parts)
	for _, h := range all {
		if len(homes) < Parts && !slices.ContainsFunc(homes, func(o Host) bool { return o.Hall == h.Hall }) {
			homes = append(homes, h.Host)
		}
	}
	for _, h := range all {
		if len(homes) < Parts && !slices.Contains(homes, h.Host) {
			homes = append(homes, h.Host)
		}
	}
	return homes
}

// Share returns a host's part of a whole number that is dealt out among all hosts of the list, for a customer.
func (p *Place) Share(host, customer string, whole int) int {
	n := len(p.all)
	if n == 0 || whole <= 0 {
		return 0
	}
	c := xxhash.Sum64String(customer)
	own, rank := mix(c^xxhash.Sum64String(host)), 0
	for _, hash := range p.all {
		if mix(c^hash) > own {
			rank++
		}
	}
	share := whole / n
	if rank < whole%n {
		share++
	}
	return share
}

// mix spreads a number over all others (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
