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

// Links opens links to peers and reports their state.
type Links interface {
	// UnreachableSince returns the time since which a peer has been unreachable, the zero time for a peer that is reachable
	// or was not tried.
	UnreachableSince(address string) time.Time
	// LinkHealthy reports whether there is a link to the peer that is not suspect.
	LinkHealthy(address string) bool
	// KeepOpen opens a link to a peer and keeps it open.
	KeepOpen(address string)
}

// Reaper removes the announcements of expired hosts: those that have been unreachable for too long. It is a kernel
// component. The hosts form a ring in the order of their hashes. Each node watches its successor on the ring; while the
// successor has expired, also the host after it, and so on. So each host is watched by one node, whatever the size of
// the fleet, and usually one node writes. A host that is unreachable only from the node that watches it sees that its
// announcement is missing and writes it again.
type Reaper struct {
	host string
	// unreachableLimit is how long a host must be unreachable to expire; writeTimeout bounds one write.
	unreachableLimit time.Duration
	writeTimeout     time.Duration
	log              *zerolog.Logger
	table            changes.Table
	links            Links
	snapshot         func() *configsync.Snapshot
	stop             context.CancelFunc
	done             chan struct{}
}

const (
	// reapInterval is the time between two checks of the hosts.
	reapInterval = 500 * time.Millisecond
	// drainingExpiryFactor is how many times longer a host with a draining endpoint must be unreachable to expire: a node that
	// fails several times in a row is back by then, and late heartbeats have arrived.
	drainingExpiryFactor = 12
)

// NewReaper returns a reaper for the node of the given host. A host expires when it has been unreachable for
// unreachableLimit, one with a draining endpoint later; writeTimeout bounds one write.
func NewReaper(
	host string, unreachableLimit, writeTimeout time.Duration, log *zerolog.Logger, t changes.Table, links Links,
	snapshot func() *configsync.Snapshot,
) *Reaper {
	return &Reaper{
		host: host, unreachableLimit: unreachableLimit, writeTimeout: writeTimeout, log: log, table: t, links: links, snapshot: snapshot,
		done: make(chan struct{}),
	}
}

// Start begins to check the hosts.
func (r *Reaper) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go r.run(ctx)
	return nil
}

// Stop ends the checks and waits for a running one.
func (r *Reaper) Stop(context.Context) error {
	r.stop()
	<-r.done
	return nil
}

func (r *Reaper) run(ctx context.Context) {
	defer close(r.done)
	for sleep(ctx, reapInterval) {
		for _, h := range r.expired(time.Now(), r.snapshot().Hosts) {
			r.remove(ctx, h)
		}
	}
}

// expired returns the expired hosts that this node has to remove. It keeps a link open to each host that it watches, and
// returns none if this node is likely to be isolated itself.
func (r *Reaper) expired(now time.Time, hosts []table.HostInfo) []table.HostInfo {
	var list []table.HostInfo
	h, ok := r.nextOnRing(hosts, r.host)
	for ; ok; h, ok = r.nextOnRing(hosts, h.ID) {
		r.links.KeepOpen(h.Address)
		if !r.unreachableFor(now, h, r.unreachableLimit) {
			break
		}
		if r.unreachableFor(now, h, r.expiry(h)) {
			list = append(list, h)
		}
	}
	if len(list) > 0 && r.likelyIsolated(now, hosts) {
		return nil
	}
	return list
}

// nextOnRing returns the host that follows the host named after on the ring; ok is false when the ring is back at this
// node.
func (r *Reaper) nextOnRing(hosts []table.HostInfo, after string) (next table.HostInfo, ok bool) {
	self := ringPosition(r.host)
	start, nearest := ringPosition(after)-self, uint64(0)
	for _, h := range hosts {
		if distance := ringPosition(h.ID) - self; distance > start && (!ok || distance < nearest) {
			next, nearest, ok = h, distance, true
		}
	}
	return next, ok
}

// ringPosition returns a host's position on the ring.
func ringPosition(host string) uint64 { return xxhash.Sum64String(host) }

// expiry returns how long a host must be unreachable to expire.
//
// Invariant: while an endpoint that drains may still run, its host's announcement stays, because a later process of the
// host's node knows from it alone that the endpoint drains.
func (r *Reaper) expiry(h table.HostInfo) time.Duration {
	if drainingCount(h.Endpoints) > 0 {
		return drainingExpiryFactor * r.unreachableLimit
	}
	return r.unreachableLimit
}

// unreachableFor reports whether this node has been unable to reach a host for longer than d.
func (r *Reaper) unreachableFor(now time.Time, h table.HostInfo, d time.Duration) bool {
	since := r.links.UnreachableSince(h.Address)
	return !since.IsZero() && now.Sub(since) > d
}

// likelyIsolated reports whether more hosts are unreachable than reachable, this node counted as reachable. Then this
// node is more likely to be isolated than all of those hosts to be down.
func (r *Reaper) likelyIsolated(now time.Time, hosts []table.HostInfo) bool {
	unreachable, reachable := 0, 1
	for _, h := range hosts {
		switch {
		case h.ID == r.host:
		case r.unreachableFor(now, h, r.unreachableLimit):
			unreachable++
		case r.links.LinkHealthy(h.Address):
			reachable++
		}
	}
	return unreachable > reachable
}

// remove deletes the announcement of an expired host, provided that its version is still the one that this node has
// seen.
func (r *Reaper) remove(ctx context.Context, h table.HostInfo) {
	ctx, cancel := context.WithTimeout(platform.WithReason(ctx, platform.ReasonReap), r.writeTimeout)
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
