package announce

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/changes"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/follow"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/table"
)

// Links tells how long a peer has been out of reach.
type Links interface {
	// Unreachable returns since when a peer cannot be reached, the zero time for one that can or was not tried.
	Unreachable(address string) time.Time
}

// Reaper takes out the lines of hosts that are gone; it is a kernel component. Of the nodes that are live it is the one
// that hashing names for the host, so that usually one node writes. A host that is only out of this node's reach sees
// that its line is gone and writes it again.
type Reaper struct {
	host string
	// after is how long a host must be out of reach, timeout bounds one write.
	after    time.Duration
	timeout  time.Duration
	log      *zerolog.Logger
	table    changes.Table
	links    Links
	snapshot func() *follow.Snapshot
	stop     context.CancelFunc
	done     chan struct{}
}

// reapEvery is the time between two looks at the hosts.
const reapEvery = 500 * time.Millisecond

// NewReaper returns a reaper for a node's host; after is how long a host must be out of reach.
func NewReaper(
	host string, after, timeout time.Duration, log *zerolog.Logger, t changes.Table, links Links,
	snapshot func() *follow.Snapshot,
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
		hosts := r.snapshot().Hosts
		for _, h := range hosts {
			if r.mine(time.Now(), hosts, h) {
				r.take(ctx, h)
			}
		}
	}
}

// lost tells whether a host has been out of this node's reach for long enough.
func (r *Reaper) lost(now time.Time, h table.HostInfo) bool {
	if h.ID == r.host {
		return false
	}
	since := r.links.Unreachable(h.Address)
	return !since.IsZero() && now.Sub(since) > r.after
}

// mine tells whether a host is gone and this node is the one to say so.
func (r *Reaper) mine(now time.Time, hosts []table.HostInfo, gone table.HostInfo) bool {
	if !r.lost(now, gone) {
		return false
	}
	lost := 0
	var live []table.HostInfo
	for _, h := range hosts {
		if r.lost(now, h) {
			lost++
			continue
		}
		// The hosts are ranked within a hall, by its name too: as if all stood in one of the lost host's name, a different
		// one comes first for each lost host.
		h.Hall = gone.ID
		live = append(live, h)
	}
	// A node that has lost most of the others is more likely to be cut off itself.
	if lost > len(live) {
		return false
	}
	first := follow.Readers(live, gone.ID, 1)
	return len(first) == 1 && first[0].ID == r.host
}

// take takes out the line of a host that is gone, provided that it still is the one that this node saw.
func (r *Reaper) take(ctx context.Context, h table.HostInfo) {
	ctx, cancel := context.WithTimeout(platform.WithReason(ctx, platform.ReasonReap), r.timeout)
	defer cancel()
	key := follow.HostPrefix + h.ID
	reply, err := r.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: h.Version}}, Writes: []platform.Write{{Key: key, Delete: true}},
	})
	if err != nil {
		events.AnnounceFailed.Log(r.log).Str("host", h.ID).Err(err).Send()
		return
	}
	events.HostReaped.Log(r.log).Str("host", h.ID).Uint64("version", h.Version).Bool("written", reply.Committed).Send()
}
