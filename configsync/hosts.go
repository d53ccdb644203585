package configsync

import (
	"cmp"
	"slices"
	"strings"

	"github.com/lynxplank/lynxplank/table"
)

// mostGone bounds the removals that are remembered: several minutes of a fleet of 3,500 nodes of which 12,000 are
// replaced a day. Whoever is further behind is sent the whole list.
const mostGone = 4096

// goneHost is a host that was taken out of the list.
type goneHost struct {
	id string
	// version is the store's version of the removal.
	version uint64
}

// hostList is what a node knows of the hosts; a value that is not changed.
type hostList struct {
	// hosts are the lines by the hosts' names.
	hosts []table.HostInfo
	// revision is the newest version of a line, or of a removal.
	revision uint64
	// base is the revision from which on gone holds every removal, oldest first.
	base uint64
	gone []goneHost
}

// hostChanges is what leads from one revision of the list to another.
type hostChanges struct {
	// from is the revision that they start from, 0 where hosts is the whole list; revision is the one that they lead to.
	from, revision uint64
	// base is that of the list that they come from.
	base  uint64
	hosts []table.HostInfo
	gone  []goneHost
}

// since returns what has changed after a revision, the whole list if that cannot be told.
func (l hostList) since(from uint64) hostChanges {
	if from == 0 || from < l.base {
		return hostChanges{revision: l.revision, base: l.base, hosts: l.hosts}
	}
	c := hostChanges{from: from, revision: l.revision, base: l.base}
	for _, h := range l.hosts {
		if h.Version > from {
			c.hosts = append(c.hosts, h)
		}
	}
	for _, g := range l.gone {
		if g.version > from {
			c.gone = append(c.gone, g)
		}
	}
	return c
}

// with returns the list after some changes; false when they do not lead forward from here.
//
// Invariant: a line gives way only to a newer one, or to a later removal.
func (l hostList) with(c hostChanges) (hostList, bool) {
	if c.revision < l.revision || c.revision == l.revision && l.hosts != nil || c.from > l.revision {
		return l, false
	}
	if c.from == 0 {
		return hostList{hosts: byName(c.hosts), revision: c.revision, base: max(c.base, c.revision)}, true
	}
	next := hostList{revision: c.revision, base: l.base, gone: slices.Concat(l.gone, c.gone)}
	next.hosts = slices.Clone(l.hosts)
	for _, h := range c.hosts {
		next.put(h)
	}
	for _, g := range c.gone {
		next.remove(g)
	}
	return next.trimmed(), true
}

// put takes a line into a list that nobody else sees yet.
func (l *hostList) put(h table.HostInfo) {
	i, ok := l.find(h.ID)
	switch {
	case !ok:
		l.hosts = slices.Insert(l.hosts, i, h)
	case h.Version >= l.hosts[i].Version:
		l.hosts[i] = h
	}
}

// remove takes an older line out of a list that nobody else sees yet.
func (l *hostList) remove(g goneHost) {
	if i, ok := l.find(g.id); ok && l.hosts[i].Version < g.version {
		l.hosts = slices.Delete(l.hosts, i, i+1)
	}
}

// find returns where a host stands in the list, or would.
func (l *hostList) find(id string) (int, bool) {
	return slices.BinarySearchFunc(l.hosts, id, func(h table.HostInfo, id string) int { return strings.Compare(h.ID, id) })
}

// trimmed forgets the oldest removals beyond the bound.
func (l hostList) trimmed() hostList {
	slices.SortStableFunc(l.gone, func(a, b goneHost) int { return cmp.Compare(a.version, b.version) })
	l.gone = slices.Compact(l.gone)
	if over := len(l.gone) - mostGone; over > 0 {
		l.base = max(l.base, l.gone[over-1].version)
		l.gone = l.gone[over:]
	}
	return l
}

// byName returns the lines in the order of the hosts' names.
func byName(hosts []table.HostInfo) []table.HostInfo {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b table.HostInfo) int { return strings.Compare(a.ID, b.ID) })
	return sorted
}
