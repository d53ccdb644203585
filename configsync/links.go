package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/table"
)

// isReader tells whether this node is one of so many of its hall that read a table of the platform. The next ones in rank
// stand in for readers out of reach.
func (f *Follower) isReader(count int) bool {
	snap := f.Snapshot()
	if len(snap.Hosts) == 0 {
		return true
	}
	return slices.ContainsFunc(snap.ranked.readers(f.cfg.Hall, count, f.reachable), f.isSelf)
}

func (f *Follower) isSelf(h table.HostInfo) bool { return h.ID == f.cfg.Host }

// reachable tells whether this node has not found a host out of reach. Nodes that differ in this cost a few reads more and
// nothing else.
func (f *Follower) reachable(h table.HostInfo) bool { return f.isSelf(h) || f.links.Usable(h.Address) }

// keepLinks holds a link to the hall's readers and to those that stand in for them, from a reader also to those of the
// next halls, and in a small fleet to every host.
func (f *Follower) keepLinks(ctx context.Context, now time.Time, snap *Snapshot, reader bool) {
	wanted := snap.Hosts
	if len(wanted) > mostPinned || now.Sub(f.startedAt) < meshAfter {
		wanted = slices.Concat(snap.ranked.readers(f.cfg.Hall, f.cfg.Readers, anyOf),
			snap.ranked.readers(f.cfg.Hall, f.cfg.Readers, f.reachable))
		if reader {
			wanted = append(wanted, snap.ranked.neighbours(f.cfg.Hall, neighbourHalls, f.reachable)...)
		}
	}
	for _, h := range wanted {
		if !f.isSelf(h) {
			f.pin(ctx, h)
		}
	}
}

// pin notes word from a host whose link stands, and opens a link to one without.
func (f *Follower) pin(ctx context.Context, h table.HostInfo) {
	if f.links.HasLink(h.Address) {
		if f.links.Usable(h.Address) {
			f.heardAt = time.Now()
		}
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
		defer cancel()
		// A peer that cannot be reached is tried again at the next tick; the link's own events say why.
		_, _ = f.links.Pin(ctx, h.Address)
	}()
}
