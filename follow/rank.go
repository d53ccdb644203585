package follow

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxplank/lynxplank/table"
)

// Readers returns the hosts of a hall that read the platform, highest rank first. Two views of the list that differ
// name different readers for a while, which costs reads and nothing else.
func Readers(hosts []table.HostInfo, hall string, count int) []table.HostInfo {
	var here []table.HostInfo
	for _, h := range hosts {
		if h.Hall == hall && !h.Leaving {
			here = append(here, h)
		}
	}
	slices.SortFunc(here, func(a, b table.HostInfo) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.ID, b.ID))
	})
	return here[:min(count, len(here))]
}

func rank(h table.HostInfo) uint64 { return xxhash.Sum64String(h.Hall + "\x00" + h.ID) }

// Neighbours returns one reader of each of the next halls in the order of their names, around the circle. Readers
// stay linked to them, so that a hall that cannot reach the platform still hears of changes.
func Neighbours(hosts []table.HostInfo, hall string, count int) []table.HostInfo {
	var halls []string
	for _, h := range hosts {
		if !h.Leaving {
			halls = append(halls, h.Hall)
		}
	}
	slices.Sort(halls)
	halls = slices.Compact(halls)
	at, _ := slices.BinarySearch(halls, hall)
	var out []table.HostInfo
	for i := 1; i < len(halls) && len(out) < count; i++ {
		next := halls[(at+i)%len(halls)]
		if next != hall {
			out = append(out, Readers(hosts, next, 1)...)
		}
	}
	return out
}
