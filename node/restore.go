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
	// restoreEvery is the time between two questions to the endpoint, restoreFor how long they go on: an endpoint that
	// lives sends its next heartbeat within about that time.
	restoreEvery = 200 * time.Millisecond
	restoreFor   = 2 * time.Second
)

// restorer asks the endpoint beside a node that has started again who it is, so that it gets work before its next
// heartbeat. It is a kernel component.
type restorer struct {
	address  string
	registry *registry.Registry
	snapshot func() *configsync.Snapshot
	stop     context.CancelFunc
	done     chan struct{}
}

// Start begins to ask.
func (r *restorer) Start(context.Context) error {
	ctx, cancel := context.WithTimeout(context.Background(), restoreFor)
	r.stop = cancel
	r.done = make(chan struct{})
	go r.run(ctx)
	return nil
}

// Stop ends the asking.
func (r *restorer) Stop(context.Context) error {
	r.stop()
	<-r.done
	return nil
}

func (r *restorer) run(ctx context.Context) {
	defer close(r.done)
	tick := time.NewTicker(restoreEvery)
	defer tick.Stop()
	for r.registry.Count() == 0 {
		if snap := r.snapshot(); snap.Ready {
			r.ask(ctx, snap)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// ask restores the endpoint that the store's line of this host names, if that is what stands at the address now.
func (r *restorer) ask(ctx context.Context, snap *configsync.Snapshot) {
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

// probe returns the instance that answers a probe as well and not leaving, "" if none does, and how much longer it is cold.
func (r *restorer) probe(ctx context.Context, path string) (instance string, cold time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, restoreEvery)
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
