package table

import (
	"strconv"
	"strings"
)

// Unread is a row that this program cannot read: one of a later program, or of another writer.
//
// It is kept as it came, so that peers are told it as it is. What can be read of it is in force, the rest as an empty cell would be, and
// lets nothing happen that the row might forbid: a route or a customer is closed, an endpoint or a host takes nothing new.
type UndecodableRow struct {
	Row
	// Detail says what cannot be read.
	Detail string
}

// Unread calls visit for each row that cannot be read.
func (s *State) UndecodableRows(visit func(UndecodableRow)) {
	for it := s.unread.Iterator(); !it.Done(); {
		_, u, _ := it.Next()
		visit(u)
	}
}

func unreadKey(id RowID) string { return strconv.Itoa(int(id.Kind)) + "/" + id.Key }

// overtakes tells whether a row is later than one of its name that cannot be read, if there is one.
func (b *builder) overtakes(row Row) bool {
	u, ok := b.state.unread.Get(unreadKey(row.ID()))
	return !ok || !stands(u.Meta, row)
}

// forget takes out what could not be read of a row before.
func (b *builder) forget(id RowID) {
	b.state.unread = b.state.unread.Delete(unreadKey(id))
}

// setAside keeps a row that cannot be read, and puts in force what can be.
//
// Invariant: what is in force follows from the row alone, so that nodes agree whichever rows they have seen before.
func (b *builder) setAside(row Row, why error) {
	row.Key = strings.Clone(row.Key)
	readable := b.readable(row)
	if b.applyKind(readable) != nil {
		gone := deletion(row.ID(), row.Meta)
		_ = b.applyKind(gone)
	}
	b.state.unread = b.state.unread.Set(unreadKey(row.ID()), UndecodableRow{Row: row, Detail: why.Error()})
}

// readable is what can be read of a row, without what it might forbid.
func (b *builder) readable(row Row) Row {
	switch row.Kind {
	case KindService:
		return readableAs(row, func(*Service) {})
	case KindEndpoint:
		return readableAs(row, func(e *Endpoint) { e.Phase = Draining })
	case KindRoute:
		return readableAs(row, func(r *Route) { r.Closed = true })
	case KindCustomer:
		return readableAs(row, func(c *Customer) { c.Closed = true })
	case KindHost:
		return readableAs(row, func(h *Host) { h.Phase = Draining })
	case KindListener:
		return readableAs(row, func(*Listener) {})
	case KindHall:
		return readableAs(row, func(h *Hall) { h.Evacuated = true })
	case KindEvacuation:
		return readableAs(row, func(*Evacuation) {})
	case KindPoison:
	}
	return row
}

func readableAs[T any](row Row, change func(*T)) Row {
	value, _ := decodeCells[T](row)
	change(&value)
	return Encode(row.Kind, row.Key, row.Meta, value)
}
