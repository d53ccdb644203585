package node

import (
	"context"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/registry"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// restoreInterval is the time between two probes of the endpoint, restoreTimeout the time after which an endpoint that
	// does not report is no longer probed: a live one sends its next heartbeat within about that time.
	restoreInterval = 200 * time.Millisecond
	restoreTimeout  = 2 * time.Second
)

// restorer identifies the endpoint beside a restarted node with a probe: the one that an earlier run announced, so that it
// receives requests before its next heartbeat, and one whose heartbeat is held while the store cannot be read. It is a
// kernel component.
type restorer struct {
	address  string
	registry *registry.Registry
	snapshot func() *configsync.Snapshot
	probe    probeFunc
	stop     context.CancelFunc
	done     chan struct{}
}

// Start starts probing.
func (r *restorer) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.done = make(chan struct{})
	go r.run(ctx)
	return nil
}

// Stop ends probing and waits until it has ended.
func (r *restorer) Stop(context.Context) error {
	r.stop()
	<-r.done
	return nil
}

func (r *restorer) run(ctx context.Context) {
	defer close(r.done)
	tick := time.NewTicker(restoreInterval)
	defer tick.Stop()
	timeout := time.After(restoreTimeout)
	for restoring := true; restoring || !r.registry.Recovered(); {
		snap := r.snapshot()
		r.confirm(ctx, snap)
		if restoring = restoring && !r.registry.HasActive(); restoring && snap.Ready {
			r.restore(ctx, snap)
		}
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			restoring = false
		case <-tick.C:
		}
	}
}

// confirm applies the heartbeat that is held for the endpoint that answers at the address now. It needs only the service,
// which peers may have passed on while the store is away.
func (r *restorer) confirm(ctx context.Context, snap *configsync.Snapshot) {
	for _, b := range r.registry.Held() {
		service, ok := snap.State.Service(b.Service)
		if !ok || service.Value.ProbePath == "" || b.Address != r.address {
			continue
		}
		if instance, _ := r.probe(ctx, r.address, service.Value.ProbePath); instance == b.Instance {
			r.registry.Confirm(b.Key())
		}
	}
}

// restore restores the endpoint that this host's announcement in the store names, if it is the one that answers at the
// address now.
func (r *restorer) restore(ctx context.Context, snap *configsync.Snapshot) {
	for _, a := range snap.StoredAnnouncement.Endpoints {
		service, ok := snap.State.Service(a.Value.Service)
		if !ok || service.Value.ProbePath == "" || a.Value.Phase != table.Active || a.Value.Address != r.address {
			continue
		}
		name, _ := registry.Instance(a.Key)
		if instance, cold := r.probe(ctx, r.address, service.Value.ProbePath); instance == name {
			r.registry.Restore(a, cold)
		}
	}
}

// probeFunc probes the endpoint at an address. It returns the instance that answers as healthy and not draining, "" if there
// is none, and how much longer that instance is cold.
type probeFunc func(ctx context.Context, address, path string) (instance string, cold time.Duration)

// probeEndpoint implements probeFunc over HTTP.
func probeEndpoint(ctx context.Context, address, path string) (instance string, cold time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, restoreInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return "", 0
	}
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return "", 0
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return "", 0
	}
	return platform.ProbeOf(resp.Header)
}
