package follow

import (
	"context"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/table"
)

// isReader tells whether this node is one of so many of its hall that read a table of the platform.
func (f *Follower) isReader(hosts []table.HostInfo, count int) bool {
	if len(hosts) == 0 {
		return true
	}
	for _, h := range Readers(hosts, f.cfg.Hall, count) {
		if h.ID == f.cfg.Host {
			return true
		}
	}
	return false
}

// reachable leaves out the hosts that this node has found out of reach: the next ones in rank stand in for readers among
// them, and this node itself if it is next. Nodes that differ in this cost a few reads more and nothing else.
func (f *Follower) reachable(hosts []table.HostInfo) []table.HostInfo {
	out := make([]table.HostInfo, 0, len(hosts))
	for _, h := range hosts {
		if h.ID == f.cfg.Host || f.links.Usable(h.Address) {
			out = append(out, h)
		}
	}
	return out
}

// keepLinks holds a link to the hall's readers and to those that stand in for them, from a reader also to those of the
// next halls, and in a small fleet to every host.
func (f *Follower) keepLinks(ctx context.Context, hosts, reachable []table.HostInfo, reader bool) {
	wanted := hosts
	if len(hosts) > mostPinned {
		wanted = slices.Concat(
			Readers(hosts, f.cfg.Hall, f.cfg.Readers), Readers(reachable, f.cfg.Hall, f.cfg.Readers))
		if reader {
			wanted = append(wanted, Neighbours(reachable, f.cfg.Hall, neighbourHalls)...)
		}
	}
	for _, h := range wanted {
		if h.ID != f.cfg.Host {
			f.pin(ctx, h)
		}
	}
}

// pin notes word from a host whose link stands, and opens a link to one without.
func (f *Follower) pin(ctx context.Context, h table.HostInfo) {
	if f.links.Linked(h.Address) {
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
