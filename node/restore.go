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
	// restoreInterval is the time between two probes of the endpoint, restoreTimeout the time after which probing ends: a live
	// endpoint sends its next heartbeat within about that time.
	restoreInterval = 200 * time.Millisecond
	restoreTimeout  = 2 * time.Second
)

// restorer identifies the endpoint beside a restarted node with a probe, so that the endpoint receives requests before its
// next heartbeat. It is a kernel component.
type restorer struct {
	address  string
	registry *registry.Registry
	snapshot func() *configsync.Snapshot
	stop     context.CancelFunc
	done     chan struct{}
}

// Start starts probing.
func (r *restorer) Start(context.Context) error {
	ctx, cancel := context.WithTimeout(context.Background(), restoreTimeout)
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
	for r.registry.Count() == 0 {
		if snap := r.snapshot(); snap.Ready {
			r.restore(ctx, snap)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
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
		if instance, cold := r.probe(ctx, service.Value.ProbePath); instance == name {
			r.registry.Restore(a, cold)
		}
	}
}

// probe probes the endpoint. It returns the instance that answers as healthy and not draining, "" if there is none, and how
// much longer that instance is cold.
func (r *restorer) probe(ctx context.Context, path string) (instance string, cold time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, restoreInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address+path, nil)
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
