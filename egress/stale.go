package egress

import (
	"sync/atomic"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// seenConfig remembers the newest configuration by which a request has come, of the operators' rows and of the platform's
// configuration: this node may itself be behind it.
type seenConfig struct {
	newest [table.SourceConfig + 1]atomic.Uint64
}

// stale tells whether a request was sent by an older configuration than this node holds or has served, and its route may
// have changed since: a configuration that this node went past without seeing it tells nothing of that. While the node is
// behind what it has served it cannot tell, and takes nothing older; its peers bring it up to date within a heartbeat or two.
//
// Invariant: once a request of a newer configuration was served here, none goes by an older one to where only that
// would send it.
func (c *seenConfig) stale(s *table.State, d *peerpb.Dispatch) bool {
	byConfig := c.staleIn(s, d, table.SourceConfig, d.GetConfig())
	byRows := c.staleIn(s, d, table.SourceRows, d.GetRevision())
	return byConfig || byRows
}

// staleIn asks the same of one plane, by whose revision the request was sent; 0 where the sender has none.
func (c *seenConfig) staleIn(s *table.State, d *peerpb.Dispatch, plane table.Source, sent uint64) bool {
	if sent == 0 {
		return false
	}
	own := s.Revisions()[plane]
	newest := c.note(plane, max(own, sent))
	if sent >= newest {
		return false
	}
	return own < newest || !s.KnowsChangesSince(plane, sent) || changed(s, d, plane, sent)
}

// logOlder tells of a request that is handed over although it was sent by an older configuration than the newest seen here.
func (e *Egress) logOlder(d *peerpb.Dispatch) {
	seen := e.configs.newest[table.SourceConfig].Load()
	if d.GetConfig() == 0 || d.GetConfig() >= seen {
		return
	}
	events.OlderConfigUsed.Log(e.log).Str("request", d.GetRequestId()).Str("endpoint", d.GetEndpoint()).
		Str("route", d.GetRoute()).Uint64("config", d.GetConfig()).
		Uint64("holds", e.state().Revisions()[table.SourceConfig]).Uint64("seen", seen).Send()
}

// note raises the newest revision seen of a plane and returns it.
func (c *seenConfig) note(plane table.Source, revision uint64) uint64 {
	newest := &c.newest[plane]
	for {
		old := newest.Load()
		if revision <= old {
			return old
		}
		if newest.CompareAndSwap(old, revision) {
			return revision
		}
	}
}

// changed tells whether a plane has changed the route or taken it out, or no longer leaves it all that it took, since the
// revision by which the request came; or the customer whose key it bears, which may have been taken away.
func changed(s *table.State, d *peerpb.Dispatch, plane table.Source, since uint64) bool {
	row, ok := s.Route(d.GetRoute())
	return !ok || row.Source == plane && row.Revision > since || s.Shadowed(row, plane, since) ||
		d.GetKeyed() && customerChanged(s, d.GetCustomer(), plane, since)
}

func customerChanged(s *table.State, customer string, plane table.Source, since uint64) bool {
	row, ok := s.Customer(customer)
	return !ok || row.Source == plane && row.Revision > since
}
