package configsync

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxplank/lynxplank/table"
)

// ranking holds the hosts that are not draining, by hall and in each hall highest rank first. It is immutable, and
// built once for each list of hosts, because a node uses it several times a second.
type ranking struct {
	// halls are the sorted names of the halls.
	halls  []string
	byHall map[string][]table.HostInfo
}

// rankHosts ranks a list of hosts by rendezvous hashing.
func rankHosts(hosts []table.HostInfo) ranking {
	r := ranking{byHall: make(map[string][]table.HostInfo)}
	for _, h := range hosts {
		if h.Leaving {
			continue
		}
		if r.byHall[h.Hall] == nil {
			r.halls = append(r.halls, h.Hall)
		}
		r.byHall[h.Hall] = append(r.byHall[h.Hall], h)
	}
	slices.Sort(r.halls)
	for _, hosts := range r.byHall {
		sortByRank(hosts)
	}
	return r
}

func sortByRank(hosts []table.HostInfo) {
	ranks := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		ranks[h.ID] = xxhash.Sum64String(h.Hall + "\x00" + h.ID)
	}
	slices.SortFunc(hosts, func(a, b table.HostInfo) int {
		return cmp.Or(cmp.Compare(ranks[b.ID], ranks[a.ID]), cmp.Compare(a.ID, b.ID))
	})
}

// readers returns the count highest-ranked eligible hosts of a hall.
func (r ranking) readers(hall string, count int, eligible func(table.HostInfo) bool) []table.HostInfo {
	var out []table.HostInfo
	for _, h := range r.byHall[hall] {
		if len(out) == count {
			break
		}
		if eligible(h) {
			out = append(out, h)
		}
	}
	return out
}

// neighbours returns one reader of each of the halls that follow in the order of their names, wrapping around. Readers
// keep links to them, so that a hall which cannot reach the platform still receives changes.
func (r ranking) neighbours(hall string, count int, eligible func(table.HostInfo) bool) []table.HostInfo {
	at, _ := slices.BinarySearch(r.halls, hall)
	var out []table.HostInfo
	for i := 1; i <= len(r.halls) && len(out) < count; i++ {
		if next := r.halls[(at+i)%len(r.halls)]; next != hall {
			out = append(out, r.readers(next, 1, eligible)...)
		}
	}
	return out
}

func anyHost(table.HostInfo) bool { return true }

// Readers returns the hosts of a hall that read the platform, highest rank first. Nodes with different views of the
// list name different readers for a while, which costs additional reads and has no other effect.
func Readers(hosts []table.HostInfo, hall string, count int) []table.HostInfo {
	return rankHosts(hosts).readers(hall, count, anyHost)
}
