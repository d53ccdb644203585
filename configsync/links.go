package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lynxplank/lynxplank/table"
)

// maxHallReaders limits the nodes of a hall that read the platform at the same time: while it answers nobody, more of them would
// only add to its load.
const maxHallReaders = 16

// isReader reports whether this node is one of the hosts of its hall that read a table of the platform: the count highest-ranked
// reachable ones, and as many further ones in rank as the platform does not answer. Those go on reading, but others learn nothing
// from them.
func (f *Follower) isReader(count int) bool {
	if len(f.Snapshot().Hosts) == 0 {
		return true
	}
	if slices.ContainsFunc(f.Snapshot().ranked.readers(f.cfg.Hall, count, f.reachable), f.isSelf) {
		return true
	}
	return slices.ContainsFunc(f.answeredReaders(count), f.isSelf)
}

// hearsReader reports whether a link to another reader of the hall, which the platform answers, is usable. Other links work as well
// while nobody reads.
func (f *Follower) hearsReader() bool {
	return slices.ContainsFunc(f.answeredReaders(f.cfg.ConfigReaders), func(h table.HostInfo) bool {
		return !f.isSelf(h) && f.links.LinkHealthy(h.Address)
	})
}

// answeredReaders returns the count highest-ranked reachable hosts of the hall that have not reported that the platform does not
// answer them, this node always being one that has not.
func (f *Follower) answeredReaders(count int) []table.HostInfo {
	candidates := f.Snapshot().ranked.readers(f.cfg.Hall, maxHallReaders, f.reachable)
	answered := slices.DeleteFunc(candidates, func(h table.HostInfo) bool { return !f.isSelf(h) && f.links.ReadsUnanswered(h.Address) })
	return answered[:min(count, len(answered))]
}

func (f *Follower) isSelf(h table.HostInfo) bool { return h.ID == f.cfg.Host }

// maxWatchers is the number of nodes that watch a reader at the shortest interval; each node of a large hall watches its reader
// less often, so that the heartbeats cost a reader no more.
const maxWatchers = 32

// watchReaders has the links closely monitored over which this node receives the changes that it does not read itself: on a
// reader the links to the hall's other readers, on any other node the one to one of the readers.
func (f *Follower) watchReaders(snap *Snapshot) {
	readers := snap.ranked.readers(f.cfg.Hall, max(f.cfg.Readers, f.cfg.ConfigReaders), f.reachable)
	if len(readers) == 0 {
		return
	}
	factor := 1 + len(snap.HallHosts)/(maxWatchers*len(readers))
	if !slices.ContainsFunc(readers, f.isSelf) {
		i := xxhash.Sum64String(f.cfg.Host) % uint64(len(readers))
		readers = readers[i : i+1]
	}
	var addresses []string
	for _, h := range readers {
		if !f.isSelf(h) {
			addresses = append(addresses, h.Address)
		}
	}
	f.links.Watch(addresses, factor)
}

// reachable reports whether a host is this node or has a usable link. Nodes whose views differ make a few more reads;
// nothing else depends on it.
func (f *Follower) reachable(h table.HostInfo) bool { return f.isSelf(h) || f.links.Usable(h.Address) }

// keepLinks keeps links to the hall's readers and to their fallback readers, on a reader also to readers of the next
// halls, and in a small fleet to every host.
func (f *Follower) keepLinks(ctx context.Context, now time.Time, snap *Snapshot, reader bool) {
	wanted := snap.Hosts
	if len(wanted) > maxMeshHosts || now.Sub(f.startedAt) < meshDelay {
		wanted = slices.Concat(snap.ranked.readers(f.cfg.Hall, f.cfg.Readers, anyHost),
			snap.ranked.readers(f.cfg.Hall, f.cfg.Readers, f.reachable))
		if reader {
			wanted = append(wanted, snap.ranked.neighbours(f.cfg.Hall, neighbourHalls, f.reachable)...)
		}
	}
	for _, h := range wanted {
		if !f.isSelf(h) {
			f.pinLink(ctx, h)
		}
	}
}

// pinLink records a usable link to a host as a message from it, and opens a link if there is none.
func (f *Follower) pinLink(ctx context.Context, h table.HostInfo) {
	if f.links.HasLink(h.Address) {
		if f.links.Usable(h.Address) {
			f.lastPeerMessage = time.Now()
		}
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
		defer cancel()
		// An unreachable peer is retried at the next tick; the link's own events log the cause.
		_, _ = f.links.Pin(ctx, h.Address)
	}()
}
