// The race detector of some platforms does not survive thousands of goroutines in virtual time; make test runs this without it.

//go:build !race

package virtual

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/platform"
	"github.com/lynxplank/lynxplank/standin/network"
	"github.com/lynxplank/lynxplank/standin/store"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// applyLimit is the time after its acknowledgement within which a configuration must be in force on each node.
	applyLimit = 2 * time.Second
	// storeDelay is how long the store takes for an answer, linkDelay how long bytes are on their way between nodes.
	storeDelay, linkDelay = 4 * time.Millisecond, 1500 * time.Microsecond
	// storeTimeout limits a call to the store, the wait of a feed aside.
	storeTimeout = time.Second
	// fleetHalls is the number of halls.
	fleetHalls = 3
)

// syncSettings are the settings of a fleet that matter to how changes spread.
type syncSettings struct {
	name                      string
	heartbeat, cutAfter, poll time.Duration
	readers                   int
}

// storeClient is a node's way to the store. Calls that are under way when it goes silent get no answer.
type storeClient struct {
	store.Local

	mu       sync.Mutex
	silenced chan struct{}
	// cut is set while the node has no path to the store.
	cut bool
}

func newStoreClient(s *store.Store) *storeClient {
	return &storeClient{Local: store.NewLocal(s), silenced: make(chan struct{})}
}

// silence has the calls that are under way get no answer.
func (c *storeClient) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.silenced)
	c.silenced = make(chan struct{})
}

// setCut cuts the path to the store or restores it; what is under way is lost.
func (c *storeClient) setCut(cut bool) {
	c.silence()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// answer waits until an answer arrives, or the context ends if the connection has gone silent meanwhile.
func (c *storeClient) answer(ctx context.Context, call func(context.Context) (platform.Records, error)) (platform.Records, error) {
	c.mu.Lock()
	silenced, cut := c.silenced, c.cut
	c.mu.Unlock()
	if cut {
		<-ctx.Done()
		return platform.Records{}, ctx.Err()
	}
	type result struct {
		recs platform.Records
		err  error
	}
	answered := make(chan result, 1)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		time.Sleep(storeDelay)
		recs, err := call(callCtx)
		answered <- result{recs, err}
	}()
	select {
	case r := <-answered:
		return r.recs, r.err
	case <-silenced:
		<-ctx.Done()
		return platform.Records{}, ctx.Err()
	case <-ctx.Done():
		return platform.Records{}, ctx.Err()
	}
}

// All implements configsync.Platform.
func (c *storeClient) All(ctx context.Context, name string) (platform.Records, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.answer(ctx, func(ctx context.Context) (platform.Records, error) { return c.Local.All(ctx, name) })
}

// Feed implements configsync.Platform.
func (c *storeClient) Feed(ctx context.Context, name string, after uint64, wait time.Duration) (platform.Records, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	return c.answer(ctx, func(ctx context.Context) (platform.Records, error) { return c.Local.Feed(ctx, name, after, wait) })
}

// syncNode is a node as far as it follows the configuration.
type syncNode struct {
	peer.Handler
	host, hall string
	client     *storeClient
	links      *peer.Manager
	follower   *configsync.Follower
}

// Deltas implements peer.Handler.
func (n *syncNode) Deltas(from table.Revisions, changesOnly bool) []*peerpb.Delta {
	return configsync.Deltas(n.follower.Snapshot(), from, changesOnly)
}

// Confirm implements peer.Handler.
func (n *syncNode) Confirm(ctx context.Context) (uint64, bool) {
	known := n.follower.ConfirmForPeer(ctx)
	return n.config(), known
}

func (n *syncNode) config() uint64 { return n.follower.State().Revisions()[table.SourceConfig] }

// hostNetwork is the transport of one node.
type hostNetwork struct {
	n    *network.Network
	host string
}

// Dial implements peer.Transport.
func (t hostNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return t.n.Dial(ctx, t.host, address)
}

// Listen implements peer.Transport. The links' window is never full: yamux holds locks while it writes, which virtual time would
// wait for.
func (t hostNetwork) Listen(_ context.Context, address string) (net.Listener, error) {
	l, err := t.n.Listen(address)
	if err != nil {
		return nil, err
	}
	l.SetWindow(math.MaxInt)
	return l, nil
}

// syncFleet is a fleet of nodes that follow one store, in virtual time.
type syncFleet struct {
	net     *network.Network
	store   *store.Store
	nodes   []*syncNode
	version uint64
}

// configure writes the next configuration and returns its version.
func (f *syncFleet) configure(t *testing.T) uint64 {
	t.Helper()
	f.version++
	text := platform.EncodeRoute(f.version, "x", fmt.Sprintf("/v%d/", f.version), "desk")
	f.store.SetOperatorRow(platform.TableOperators, platform.KeyConfig, text)
	return f.version
}

func startSyncFleet(t *testing.T, nodes int, s syncSettings) *syncFleet {
	t.Helper()
	f := &syncFleet{net: network.New(linkDelay), store: store.New()}
	f.configure(t)
	for i := range nodes {
		f.startNode(t, i, s)
	}
	return f
}

func (f *syncFleet) startNode(t *testing.T, i int, s syncSettings) {
	t.Helper()
	log := zerolog.Nop()
	host, id, hall := fmt.Sprintf("10.0.%d.%d", i/200, i%200+1), fmt.Sprintf("h%d", i+1), fmt.Sprintf("hall-%d", i%fleetHalls+1)
	n := &syncNode{host: host, hall: hall, client: newStoreClient(f.store)}
	n.links = peer.NewManager(peer.Config{
		Node: id, Hall: hall, Incarnation: uint64(i+1) << 40, Listen: host + ":7000", Heartbeat: s.heartbeat, EchoTimeout: s.cutAfter,
		IdleTimeout: 10 * time.Minute, MaxConns: 1000,
	}, &log, peer.WithTransport(hostNetwork{f.net, host}), peer.WithRevisionHook(func(name string, r table.Revisions) { n.follower.Hint(name, r) }),
		peer.WithSilenceHook(func() { n.follower.ConnectionsSilent() }))
	n.follower = configsync.New(configsync.Config{
		Host: id, Hall: hall, RetryInterval: 250 * time.Millisecond, MaxRetryInterval: time.Second, LongPollTimeout: s.poll,
		Readers: s.readers, ConfigReaders: s.readers, Timeout: time.Second, WithConfig: true,
	}, &log, n.client, n.links)
	n.links.Handle(n)
	if err := n.links.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(table.HostInfo{ID: id, Hall: hall, Address: host + ":7000"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := n.client.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: configsync.HostPrefix + id, Value: value}}}); err != nil {
		t.Fatal(err)
	}
	if err := n.follower.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.nodes = append(f.nodes, n)
}

func (f *syncFleet) stop() {
	for _, n := range f.nodes {
		_ = n.follower.Stop(context.Background())
		_ = n.links.Stop(context.Background())
	}
	// What runs on timers ends with its next one.
	time.Sleep(time.Minute)
}

// silence has all open connections go silent, between nodes and to the store.
func (f *syncFleet) silence() {
	f.net.SilenceAll()
	for _, n := range f.nodes {
		n.client.silence()
	}
}

// cutReaders cuts the nodes of a hall that read the configuration from the store, and returns the other nodes.
func (f *syncFleet) cutReaders(hall string) (others []*syncNode) {
	for _, n := range f.nodes {
		if _, reads := n.follower.Reads(); reads && n.hall == hall {
			n.client.setCut(true)
		} else {
			others = append(others, n)
		}
	}
	return others
}

// heal restores all paths to the store.
func (f *syncFleet) heal() {
	for _, n := range f.nodes {
		n.client.setCut(false)
	}
}

// awaitVersion waits until nodes have a version; it returns how long that took the last one and which that was.
func awaitVersion(nodes []*syncNode, version uint64) (last time.Duration, lastNode string) {
	start := time.Now()
	for ; time.Since(start) < 5*applyLimit; time.Sleep(time.Millisecond) {
		i := slices.IndexFunc(nodes, func(n *syncNode) bool { return n.config() < version })
		if i < 0 {
			return time.Since(start), lastNode
		}
		lastNode = nodes[i].host
	}
	return time.Since(start), lastNode
}

// disturb makes connections go silent or cuts a hall's readers off the store, and returns the nodes on which a change must be in
// force in time.
func (f *syncFleet) disturb(how string, draw func(time.Duration) time.Duration) []*syncNode {
	if how == silenceAll {
		f.silence()
		return f.nodes
	}
	return f.cutReaders(fmt.Sprintf("hall-%d", 1+draw(fleetHalls)))
}

// The disturbances of a round.
const silenceAll, cutReaders = "silence", "readers cut"

// TestChangesReachAllNodesInTime guards against a configuration that single nodes hold later than 2 s after its acknowledgement, as
// their connections went silent without a reset, or the readers of their hall lost the store, at about the moment of the change.
//
// All fleets run in one bubble: yamux keeps timers for its next sessions.
func TestChangesReachAllNodesInTime(t *testing.T) {
	const restBetween = 6 * time.Second
	inBubble(t, func(t *testing.T) {
		for _, s := range []syncSettings{
			{"platform", 500 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second, 3},
			{"default", 250 * time.Millisecond, time.Second, 2 * time.Second, 2},
		} {
			for _, size := range []struct{ nodes, rounds int }{{6, 24}, {12, 20}, {21, 10}} {
				nodes, rounds := size.nodes, size.rounds
				random := rand.New(rand.NewPCG(uint64(nodes), 0))
				draw := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
				f := startSyncFleet(t, nodes, s)
				time.Sleep(10 * time.Second)
				for round := range rounds {
					time.Sleep(restBetween + draw(6*time.Second))
					how := []string{silenceAll, cutReaders}[round%2]
					owed := f.disturb(how, draw)
					time.Sleep(draw(time.Second))
					last, node := awaitVersion(owed, f.configure(t))
					t.Logf("%s, %d nodes, %s: after %v", s.name, nodes, how, last)
					if last > applyLimit {
						t.Errorf("%s settings, %d nodes, round %d (%s): got the change in force on %s after %v, want at most %v", s.name, nodes, round, how, node, last, applyLimit)
					}
					f.heal()
				}
				f.stop()
			}
		}
	})
}
