package egress

import (
	"sync/atomic"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// seenConfig remembers the newest configuration by which a request has come: this node may itself be behind it.
type seenConfig struct {
	newest atomic.Uint64
}

// stale tells whether a request was sent by an older configuration than this node holds or has served, and its route may
// have changed since: a configuration that this node went past without seeing it tells nothing of that. While the node is
// behind what it has served it cannot tell, and takes nothing older; its peers bring it up to date within a heartbeat or two.
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
	return own < newest || !s.Knows(table.PlaneConfig, d.GetConfig()) || changed(s, d)
}

// logOlder tells of a request that is handed over although it was sent by an older configuration than the newest seen here.
func (e *Egress) logOlder(d *peerpb.Dispatch) {
	seen := e.configs.newest.Load()
	if d.GetConfig() == 0 || d.GetConfig() >= seen {
		return
	}
	events.OlderTaken.Log(e.log).Str("request", d.GetRequestId()).Str("endpoint", d.GetEndpoint()).
		Str("route", d.GetRoute()).Uint64("config", d.GetConfig()).
		Uint64("holds", e.state().Revisions()[table.PlaneConfig]).Uint64("seen", seen).Send()
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

// changed tells whether the route has changed or gone, or no longer takes all that it took, since the configuration that the
// request came by.
func changed(s *table.State, d *peerpb.Dispatch) bool {
	row, ok := s.Route(d.GetRoute())
	return !ok || row.Revision > d.GetConfig() || s.Overtaken(row, d.GetConfig())
}
