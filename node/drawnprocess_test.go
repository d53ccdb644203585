package node

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest"

	"github.com/lynxplank/lynxplank/announce"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/registry"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

// drawnProcess is one run of the host's node.
type drawnProcess struct {
	run       *drawnHostRun
	registry  *registry.Registry
	announcer *announce.Announcer
	restorer  *restorer
	routes    []rest.Route
	cancel    context.CancelFunc
	dead      bool
	snapshot  *configsync.Snapshot
}

// published checks what a process announces.
func (d *drawnHostRun) published(p *drawnProcess, info table.HostInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.dead {
		return
	}
	for _, e := range info.Endpoints {
		d.note(fmt.Sprintf("announces %s %s, past %v", e.Key, e.Value.Phase, info.PastIncarnations))
		if b := d.boots[e.Key]; e.Value.Phase == table.Active && !b.acknowledged.IsZero() && !b.withdrawn {
			d.violations = append(d.violations, fmt.Sprintf("%s is active %v after it was acknowledged as leaving", e.Key, time.Since(b.acknowledged)))
		}
	}
}

// startProcess starts the node. While the store is away, it may be ready by what peers tell it.
func (d *drawnHostRun) startProcess(t *testing.T, incarnation uint64) {
	log := zerolog.Nop()
	ctx, cancel := context.WithCancel(context.Background())
	p := &drawnProcess{run: d, cancel: cancel, snapshot: &configsync.Snapshot{State: d.state}}
	host := table.HostInfo{ID: drawnHost, Hall: "hall-1", Address: "10.0.0.1:81", Incarnation: incarnation}
	p.announcer = announce.New(announce.Config{
		Host: host, FirstDelay: announceDelay, RetryInterval: 50 * time.Millisecond, MaxRetryInterval: time.Second, Timeout: time.Second,
	}, &log, store.NewLocal(d.store), announce.WithRecordHook(func(record table.HostInfo, complete bool) { p.registry.Recover(record, complete) }))
	p.registry = newRegistry(host, &log, p.announcer, func(info table.HostInfo) { d.published(p, info) }, registry.WithClock(time.Now))
	p.routes = platform.EndpointRoutes(p.registry, func(string, error) {})
	p.restorer = &restorer{address: drawnAddress, registry: p.registry, snapshot: p.currentSnapshot, probe: d.probe}
	if d.chance(0.5) {
		p.snapshot = p.snapshotFromPeer()
	}
	for _, start := range []func(context.Context) error{p.announcer.Start, p.restorer.Start} {
		if err := start(ctx); err != nil {
			t.Error(err)
		}
	}
	if snap := p.currentSnapshot(); snap.Ready {
		p.announcer.Observe(snap)
	}
	go p.follow(ctx)
	d.mu.Lock()
	d.process = p
	d.note("node started")
	d.mu.Unlock()
}

func (p *drawnProcess) currentSnapshot() *configsync.Snapshot {
	p.run.mu.Lock()
	defer p.run.mu.Unlock()
	return p.snapshot
}

// snapshotFromPeer returns a ready snapshot with an announcement of the host that a peer may still hold.
func (p *drawnProcess) snapshotFromPeer() *configsync.Snapshot {
	d := p.run
	d.mu.Lock()
	defer d.mu.Unlock()
	snap := &configsync.Snapshot{State: d.state, Ready: true}
	if n := len(d.seen); n > 0 {
		snap.StoredAnnouncement = d.seen[max(0, n-1-d.random.IntN(3))]
		snap.State = snap.State.WithEndpoints(snap.StoredAnnouncement.Version, nil)
	}
	return snap
}

// follow reads the host's announcement as a follower does.
func (p *drawnProcess) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if recs, err := store.NewLocal(p.run.store).Get(ctx, configsync.HostPrefix+drawnHost); err == nil && ctx.Err() == nil {
			p.observe(recs[0])
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.run.draw(drawnRead/2, drawnRead)):
		}
	}
}

func (p *drawnProcess) observe(rec platform.Record) {
	var h table.HostInfo
	if rec.Version != 0 {
		if err := json.Unmarshal(rec.Value, &h); err != nil {
			panic(err)
		}
		h.Version = rec.Version
	}
	d := p.run
	d.mu.Lock()
	if rec.Version != 0 && (len(d.seen) == 0 || d.seen[len(d.seen)-1].Version < h.Version) {
		d.seen = append(d.seen, h)
	}
	p.snapshot = &configsync.Snapshot{State: d.state.WithEndpoints(rec.Version, h.Endpoints), StoredAnnouncement: h, HostsRead: true, Ready: true}
	snap := p.snapshot
	d.mu.Unlock()
	p.announcer.Observe(snap)
}

// stopProcess ends the node: killed, or by a planned stop, which withdraws the announcement of an endpoint that has ended.
func (d *drawnHostRun) stopProcess(planned bool) {
	d.mu.Lock()
	p := d.process
	gone := d.boot == nil || d.boot.ended
	d.mu.Unlock()
	if p == nil {
		return
	}
	if planned && gone && len(p.registry.Addresses()) > 0 && !p.registry.HasActive() {
		d.mu.Lock()
		for _, b := range d.boots {
			b.withdrawn = b.withdrawn || b.ended
		}
		d.mu.Unlock()
		p.announcer.Withdraw()
		time.Sleep(100 * time.Millisecond)
	}
	d.mu.Lock()
	d.process, p.dead = nil, true
	d.lastFault = time.Now()
	d.note(fmt.Sprintf("node ends, planned %v", planned))
	d.mu.Unlock()
	p.cancel()
	_ = p.announcer.Stop(context.Background())
	_ = p.restorer.Stop(context.Background())
}
