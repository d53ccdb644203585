package configsync

import (
	"cmp"
	"slices"
	"strings"

	"github.com/lynxplank/lynxplank/table"
)

// maxRemoved bounds the removals that are remembered: it covers several minutes in a fleet of 3,500 nodes of which
// 12,000 are replaced a day. A peer that is further behind gets the whole list.
const maxRemoved = 4096

// removedHost is a host that was removed from the list.
type removedHost struct {
	id string
	// version is the store version of the removal.
	version uint64
}

// hostList is a node's view of the hosts; it is immutable once published.
type hostList struct {
	// hosts are the announcements, sorted by the names of the hosts.
	hosts []table.HostInfo
	// revision is the newest version of an announcement or of a removal.
	revision uint64
	// base is the revision after which removed is complete; removed is sorted, oldest first.
	base    uint64
	removed []removedHost
}

// hostChanges are the changes between two revisions of the list of hosts.
type hostChanges struct {
	// from is the revision that the changes start from, 0 if hosts is the whole list; revision is the one they lead to.
	from, revision uint64
	// base is the base of the list that the changes were taken from.
	base    uint64
	hosts   []table.HostInfo
	removed []removedHost
}

// since returns the changes after a revision, or the whole list if the changes are not known that far back.
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
	for _, g := range l.removed {
		if g.version > from {
			c.removed = append(c.removed, g)
		}
	}
	return c
}

// with returns the list after some changes; false if they are not newer or start after this list's revision.
//
// Invariant: changes replace an announcement only by one that is not older, or remove it by a later removal.
func (l hostList) with(c hostChanges) (hostList, bool) {
	if c.revision < l.revision || c.revision == l.revision && l.hosts != nil || c.from > l.revision {
		return l, false
	}
	if c.from == 0 {
		return hostList{hosts: sortedByID(c.hosts), revision: c.revision, base: max(c.base, c.revision)}, true
	}
	next := hostList{revision: c.revision, base: l.base, removed: slices.Concat(l.removed, c.removed)}
	next.hosts = slices.Clone(l.hosts)
	for _, h := range c.hosts {
		next.upsert(h)
	}
	for _, g := range c.removed {
		next.remove(g)
	}
	return next.trimmed(), true
}

// upsert adds or updates an announcement in a list that is not shared yet.
func (l *hostList) upsert(h table.HostInfo) {
	i, ok := l.find(h.ID)
	switch {
	case !ok:
		l.hosts = slices.Insert(l.hosts, i, h)
	case h.Version >= l.hosts[i].Version:
		l.hosts[i] = h
	}
}

// remove deletes an announcement older than the removal from a list that is not shared yet.
func (l *hostList) remove(g removedHost) {
	if i, ok := l.find(g.id); ok && l.hosts[i].Version < g.version {
		l.hosts = slices.Delete(l.hosts, i, i+1)
	}
}

// find returns the index of a host in the list, or where it would be inserted.
func (l *hostList) find(id string) (int, bool) {
	return slices.BinarySearchFunc(l.hosts, id, func(h table.HostInfo, id string) int { return strings.Compare(h.ID, id) })
}

// trimmed returns the list with its removals sorted and without duplicates, and without the oldest ones beyond
// maxRemoved.
func (l hostList) trimmed() hostList {
	slices.SortStableFunc(l.removed, func(a, b removedHost) int { return cmp.Compare(a.version, b.version) })
	l.removed = slices.Compact(l.removed)
	if excess := len(l.removed) - maxRemoved; excess > 0 {
		l.base = max(l.base, l.removed[excess-1].version)
		l.removed = l.removed[excess:]
	}
	return l
}

// sortedByID returns a copy of the announcements, sorted by the names of the hosts.
func sortedByID(hosts []table.HostInfo) []table.HostInfo {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b table.HostInfo) int { return strings.Compare(a.ID, b.ID) })
	return sorted
}
