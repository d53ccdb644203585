package egress

import (
	"sync/atomic"

	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// seenRevisions remembers the newest revisions by which requests were routed that arrived here, of the operators'
// rows and of the platform's configuration. This node's own table may be older.
type seenRevisions struct {
	newest [table.SourceConfig + 1]atomic.Uint64
}

// stale reports whether a request was routed by an older configuration than this node holds or has served, and its
// route may have changed since. A revision that this node skipped cannot be compared, so it counts as stale. While
// the node's own table is behind what it has served it cannot compare at all and accepts nothing older; its peers
// bring it up to date within a heartbeat or two.
//
// Invariant: once a request of a newer configuration was served here, no request is dispatched to a destination that
// only an older configuration allows.
func (c *seenRevisions) stale(s *table.State, d *peerpb.Dispatch) bool {
	byConfig := c.staleIn(s, d, table.SourceConfig, d.GetConfig())
	byRows := c.staleIn(s, d, table.SourceRows, d.GetRevision())
	return byConfig || byRows
}

// staleIn checks one source; sent is the revision of it by which the request was routed, 0 if the sender has none.
func (c *seenRevisions) staleIn(s *table.State, d *peerpb.Dispatch, source table.Source, sent uint64) bool {
	if sent == 0 {
		return false
	}
	held := s.Revisions()[source]
	newest := c.raise(source, max(held, sent))
	if sent >= newest {
		return false
	}
	return held < newest || !s.KnowsChangesSince(source, sent) || rowsChanged(s, d, source, sent)
}

// logOlderConfig logs a request that is dispatched although it was routed by an older configuration than the newest
// seen here.
func (e *Egress) logOlderConfig(d *peerpb.Dispatch) {
	seen := e.seenRevisions.newest[table.SourceConfig].Load()
	if d.GetConfig() == 0 || d.GetConfig() >= seen {
		return
	}
	events.OlderConfigUsed.Log(e.log).Str("request", d.GetRequestId()).Str("endpoint", d.GetEndpoint()).
		Str("route", d.GetRoute()).Uint64("config", d.GetConfig()).
		Uint64("holds", e.state().Revisions()[table.SourceConfig]).Uint64("seen", seen).Send()
}

// raise raises the newest revision seen of a source and returns it.
func (c *seenRevisions) raise(source table.Source, revision uint64) uint64 {
	newest := &c.newest[source]
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

// rowsChanged reports whether, since the revision by which the request was routed, the source has changed or removed
// the route or given a part of its paths to another route, or has changed or removed the customer whose key the
// request carries.
func rowsChanged(s *table.State, d *peerpb.Dispatch, source table.Source, since uint64) bool {
	row, ok := s.Route(d.GetRoute())
	return !ok || row.Source == source && row.Revision > since || s.Shadowed(row, source, since) ||
		d.GetKeyed() && customerChanged(s, d.GetCustomer(), source, since)
}

func customerChanged(s *table.State, customer string, source table.Source, since uint64) bool {
	row, ok := s.Customer(customer)
	return !ok || row.Source == source && row.Revision > since
}
