package egress

import (
	"sync/atomic"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// seenConfig remembers the newest configuration by which a request has come: this node may itself be behind it.
type seenConfig struct {
	newest atomic.Uint64
}

// stale tells whether a request was sent by an older configuration than this node holds or has served, and its route may
// have changed since. While the node is behind what it has served it cannot tell, and takes nothing older; its peers
// bring it up to date within a heartbeat or two.
//
// Invariant: once a request of a newer configuration was served here, none goes by an older one to where only that
// would send it.
func (c *seenConfig) stale(s *table.State, d *peerpb.Dispatch) bool {
	own := s.Revisions()[table.PlaneConfig]
	if d.GetConfig() == 0 {
		return false
	}
	newest := c.note(max(own, d.GetConfig()))
	if d.GetConfig() >= newest {
		return false
	}
	return own < newest || changed(s, d)
}

// note raises the newest configuration seen and returns it.
func (c *seenConfig) note(version uint64) uint64 {
	for {
		old := c.newest.Load()
		if version <= old {
			return old
		}
		if c.newest.CompareAndSwap(old, version) {
			return version
		}
	}
}

// changed tells whether the route has changed, or gone, since the configuration that the request came by.
func changed(s *table.State, d *peerpb.Dispatch) bool {
	row, ok := s.Row(table.KindRoute, d.GetRoute())
	return !ok || row.Revision > d.GetConfig()
}
