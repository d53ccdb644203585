package configsync

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxplank/lynxplank/table"
)

// ranking is the hosts that are not leaving, by hall and there highest rank first; a value that is not changed. It is made
// once for a list: a node looks at it several times a second.
type ranking struct {
	// halls are the names of the halls in order.
	halls  []string
	byHall map[string][]table.HostInfo
}

// rankHosts ranks a list of hosts.
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
	for _, here := range r.byHall {
		sortByRank(here)
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

// readers returns the first hosts of a hall, in rank, that fit.
func (r ranking) readers(hall string, count int, fits func(table.HostInfo) bool) []table.HostInfo {
	var out []table.HostInfo
	for _, h := range r.byHall[hall] {
		if len(out) == count {
			break
		}
		if fits(h) {
			out = append(out, h)
		}
	}
	return out
}

// neighbours returns one reader of each of the next halls in the order of their names, around the circle. Readers
// stay linked to them, so that a hall that cannot reach the platform still hears of changes.
func (r ranking) neighbours(hall string, count int, fits func(table.HostInfo) bool) []table.HostInfo {
	at, _ := slices.BinarySearch(r.halls, hall)
	var out []table.HostInfo
	for i := 1; i <= len(r.halls) && len(out) < count; i++ {
		if next := r.halls[(at+i)%len(r.halls)]; next != hall {
			out = append(out, r.readers(next, 1, fits)...)
		}
	}
	return out
}

func anyOf(table.HostInfo) bool { return true }

// Readers returns the hosts of a hall that read the platform, highest rank first. Two views of the list that differ
// name different readers for a while, which costs reads and nothing else.
func Readers(hosts []table.HostInfo, hall string, count int) []table.HostInfo {
	return rankHosts(hosts).readers(hall, count, anyOf)
}
