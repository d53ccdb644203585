package announce

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// Links tells which peers are out of reach.
type Links interface {
	// Unreachable returns since when a peer cannot be reached, the zero time for one that can or was not tried.
	UnreachableSince(address string) time.Time
	// Reached tells whether a link to a peer stands that is not under suspicion.
	LinkHealthy(address string) bool
	// Keep has a link to a peer opened and kept.
	KeepOpen(address string)
}

// Reaper takes out the lines of hosts that are gone; it is a kernel component. The hosts stand on a circle by their hashes, and
// each node watches the next one, and beyond that as long as those in between are out of reach: so each host is watched by one
// node, whatever the size of the fleet, and usually one node writes. A host that is only out of that node's reach sees that its
// line is gone and writes it again.
type Reaper struct {
	host string
	// after is how long a host must be out of reach, timeout bounds one write.
	after    time.Duration
	timeout  time.Duration
	log      *zerolog.Logger
	table    changes.Table
	links    Links
	snapshot func() *configsync.Snapshot
	stop     context.CancelFunc
	done     chan struct{}
}

// reapEvery is the time between two looks at the hosts.
const reapEvery = 500 * time.Millisecond

// NewReaper returns a reaper for a node's host; after is how long a host must be out of reach.
func NewReaper(
	host string, after, timeout time.Duration, log *zerolog.Logger, t changes.Table, links Links,
	snapshot func() *configsync.Snapshot,
) *Reaper {
	return &Reaper{
		host: host, after: after, timeout: timeout, log: log, table: t, links: links, snapshot: snapshot,
		done: make(chan struct{}),
	}
}

// Start begins to look.
func (r *Reaper) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go r.run(ctx)
	return nil
}

// Stop ends the looking.
func (r *Reaper) Stop(context.Context) error {
	r.stop()
	<-r.done
	return nil
}

func (r *Reaper) run(ctx context.Context) {
	defer close(r.done)
	for sleep(ctx, reapEvery) {
		for _, h := range r.gone(time.Now(), r.snapshot().Hosts) {
			r.take(ctx, h)
		}
	}
}

// gone returns the hosts that are gone and that it is up to this node to take out. It keeps a link to those that it watches.
func (r *Reaper) gone(now time.Time, hosts []table.HostInfo) []table.HostInfo {
	var out []table.HostInfo
	h, ok := r.next(hosts, r.host)
	for ; ok; h, ok = r.next(hosts, h.ID) {
		r.links.KeepOpen(h.Address)
		if !r.lost(now, h) {
			break
		}
		out = append(out, h)
	}
	if len(out) > 0 && r.cutOff(now, hosts) {
		return nil
	}
	return out
}

// next returns the host that follows another one on the circle, false once that is this node's own.
func (r *Reaper) next(hosts []table.HostInfo, after string) (next table.HostInfo, ok bool) {
	self := placeOf(r.host)
	from, best := placeOf(after)-self, uint64(0)
	for _, h := range hosts {
		if at := placeOf(h.ID) - self; at > from && (!ok || at < best) {
			next, best, ok = h, at, true
		}
	}
	return next, ok
}

// placeOf is a host's place on the circle.
func placeOf(host string) uint64 { return xxhash.Sum64String(host) }

// lost tells whether a host has been out of this node's reach for long enough.
func (r *Reaper) lost(now time.Time, h table.HostInfo) bool {
	since := r.links.UnreachableSince(h.Address)
	return !since.IsZero() && now.Sub(since) > r.after
}

// cutOff tells whether this node has lost more hosts than it reaches, itself counted: it is more likely to be cut off itself.
func (r *Reaper) cutOff(now time.Time, hosts []table.HostInfo) bool {
	lost, reached := 0, 1
	for _, h := range hosts {
		switch {
		case h.ID == r.host:
		case r.lost(now, h):
			lost++
		case r.links.LinkHealthy(h.Address):
			reached++
		}
	}
	return lost > reached
}

// take takes out the line of a host that is gone, provided that it still is the one that this node saw.
func (r *Reaper) take(ctx context.Context, h table.HostInfo) {
	ctx, cancel := context.WithTimeout(platform.WithReason(ctx, platform.ReasonReap), r.timeout)
	defer cancel()
	key := configsync.HostPrefix + h.ID
	reply, err := r.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: h.Version}}, Writes: []platform.Write{{Key: key, Delete: true}},
	})
	if err != nil {
		events.AnnounceFailed.Log(r.log).Str("host", h.ID).Err(err).Send()
		return
	}
	events.HostReaped.Log(r.log).Str("host", h.ID).Uint64("version", h.Version).Bool("written", reply.Committed).Send()
}
