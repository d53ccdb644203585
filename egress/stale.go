package egress

import (
	"sync"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// mostSeen bounds the routes of which the newest configuration seen is remembered.
const mostSeen = 100000

// seenConfigs remembers by which configuration each route's requests have come, for a node that is itself behind.
type seenConfigs struct {
	mu      sync.Mutex
	newest  uint64
	byRoute map[string]uint64
}

func newSeenConfigs() *seenConfigs { return &seenConfigs{byRoute: make(map[string]uint64)} }

// stale tells whether a request was sent by an older configuration than this node or one that it has served knows, and
// the route may have changed since.
//
// Invariant: once a request of a newer configuration was served here, none goes by an older one to where only that
// would send it.
func (c *seenConfigs) stale(s *table.State, d *peerpb.Dispatch) bool {
	own := s.Revisions()[table.PlaneConfig]
	if d.GetConfig() == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newest = max(c.newest, d.GetConfig())
	if d.GetConfig() >= c.newest {
		c.note(d)
		return d.GetConfig() < own && changed(s, d)
	}
	if own >= c.newest {
		return changed(s, d)
	}
	// This node does not hold the newest configuration it has served; what came by it shows at least that route.
	return d.GetConfig() < c.byRoute[d.GetRoute()] || c.byRoute[d.GetRoute()] == 0 || changed(s, d)
}

func (c *seenConfigs) note(d *peerpb.Dispatch) {
	if len(c.byRoute) >= mostSeen {
		clear(c.byRoute)
	}
	c.byRoute[d.GetRoute()] = d.GetConfig()
}

// changed tells whether the route has changed, or gone, since the configuration that the request came by.
func changed(s *table.State, d *peerpb.Dispatch) bool {
	if d.GetConfig() >= s.Revisions()[table.PlaneConfig] {
		return false
	}
	row, ok := s.Row(table.KindRoute, d.GetRoute())
	return !ok || row.Revision > d.GetConfig()
}
