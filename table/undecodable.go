package table

import (
	"strconv"
	"strings"
)

// UndecodableRow is a row that this version of the program cannot decode completely because a later version or another
// program wrote it.
//
// The row is stored unchanged, so that peers receive it as it was written. The cells that can be decoded are active,
// the others count as empty. Whatever the undecodable cells might forbid is forbidden: a route or customer is closed,
// an endpoint or host takes no new work, a hall is evacuated.
type UndecodableRow struct {
	Row
	// Detail says which cell cannot be decoded and why.
	Detail string
}

// UndecodableRows calls visit for each row that cannot be decoded.
func (s *State) UndecodableRows(visit func(UndecodableRow)) {
	for it := s.undecodable.Iterator(); !it.Done(); {
		_, u, _ := it.Next()
		visit(u)
	}
}

func undecodableKey(id RowID) string { return strconv.Itoa(int(id.Kind)) + "/" + id.Key }

// newerThanUndecodable reports whether a row replaces the undecodable row of the same kind and key; true if there is
// none.
func (b *builder) newerThanUndecodable(row Row) bool {
	u, ok := b.state.undecodable.Get(undecodableKey(row.ID()))
	return !ok || !outranks(u.Meta, row)
}

// dropUndecodable removes the undecodable row of this kind and key, if there is one.
func (b *builder) dropUndecodable(id RowID) {
	b.state.undecodable = b.state.undecodable.Delete(undecodableKey(id))
}

// keepUndecodable stores a row that cannot be decoded, and activates the cells that can be.
//
// Invariant: what becomes active depends on this row alone, so that nodes agree whichever rows they have received before.
func (b *builder) keepUndecodable(row Row, cause error) {
	row.Key = strings.Clone(row.Key)
	active := b.restricted(row)
	if b.applyKind(active) != nil {
		removal := deletion(row.ID(), row.Meta)
		_ = b.applyKind(removal)
	}
	b.state.undecodable = b.state.undecodable.Set(undecodableKey(row.ID()), UndecodableRow{Row: row, Detail: cause.Error()})
}

// restricted returns the row with its undecodable cells emptied and with everything forbidden that those cells might
// forbid.
func (b *builder) restricted(row Row) Row {
	switch row.Kind {
	case KindService:
		return restrictedAs(row, func(*Service) {})
	case KindEndpoint:
		return restrictedAs(row, func(e *Endpoint) { e.Phase = Draining })
	case KindRoute:
		return restrictedAs(row, func(r *Route) { r.Closed = true })
	case KindCustomer:
		return restrictedAs(row, func(c *Customer) { c.Closed = true })
	case KindHost:
		return restrictedAs(row, func(h *Host) { h.Phase = Draining })
	case KindListener:
		return restrictedAs(row, func(*Listener) {})
	case KindHall:
		return restrictedAs(row, func(h *Hall) { h.Evacuated = true })
	case KindEvacuation:
		return restrictedAs(row, func(*Evacuation) {})
	case KindPoison:
	}
	return row
}

func restrictedAs[T any](row Row, restrict func(*T)) Row {
	value, _ := decodeCells[T](row)
	restrict(&value)
	return Encode(row.Kind, row.Key, row.Meta, value)
}
