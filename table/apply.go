package table

import (
	"cmp"
	"slices"
	"strings"

	"github.com/benbjohnson/immutable"

	"github.com/lynxplank/lynxplank/fault"
)

// Delta is the set of rows that leads from one revision to a later one.
type Delta struct {
	// From is the revision that the delta starts at; ignored when Full.
	From uint64
	// To is the revision that the delta ends at.
	To uint64
	// Full marks a delta that holds the whole table.
	Full bool
	// Rows are the changed rows, or every row when Full.
	Rows []Row
}

// With returns the state after a delta. A delta that would not lead forward leaves the state as it is;
// one that starts past the state's revision, or holds a row that cannot be read, is refused whole.
//
// Invariant: the revision of the result is never below that of s, and no row goes back to an older revision.
func (s *State) With(d Delta) (*State, error) {
	if d.To <= s.revision {
		return s, nil
	}
	if !d.Full && d.From > s.revision {
		return s, fault.New(fault.Protocol, "delta", "starts past the revision in force")
	}
	next := *s
	if d.Full {
		next = *NewState()
	}
	b := builder{state: &next, touched: make(map[string]bool)}
	for _, row := range d.Rows {
		if err := b.apply(row, d.Full); err != nil {
			return s, err
		}
	}
	b.rebuildServices()
	next.revision = d.To
	next.extendTail(s, d)
	return &next, nil
}

func (s *State) extendTail(old *State, d Delta) {
	if d.Full {
		s.tail = nil
		s.tailFrom = d.To
		return
	}
	tail := slices.Clone(old.tail)
	for _, row := range d.Rows {
		tail = append(tail, change{revision: row.Revision, kind: row.Kind, key: row.Key})
	}
	if extra := len(tail) - tailLength; extra > 0 {
		s.tailFrom = tail[extra-1].revision
		tail = tail[extra:]
	}
	s.tail = tail
}

type builder struct {
	state   *State
	touched map[string]bool
}

func (b *builder) apply(row Row, full bool) error {
	if full && row.Deleted {
		return nil
	}
	switch row.Kind {
	case KindService:
		return b.applyService(row)
	case KindEndpoint:
		return b.applyEndpoint(row)
	case KindRoute:
		return b.applyRoute(row)
	case KindCustomer:
		next, err := applyRow(b.state.customers, row)
		b.state.customers = next
		return err
	case KindHost:
		next, err := applyRow(b.state.hosts, row)
		b.state.hosts = next
		return err
	}
	return fault.New(fault.BadRow, row.Key, "no such kind of row")
}

func applyRow[T any](m *immutable.Map[string, Entry[T]], row Row) (*immutable.Map[string, Entry[T]], error) {
	if old, ok := m.Get(row.Key); ok && old.Revision >= row.Revision {
		return m, nil
	}
	if row.Deleted {
		return m.Delete(row.Key), nil
	}
	value, err := Decode[T](row)
	if err != nil {
		return m, err
	}
	key := strings.Clone(row.Key)
	return m.Set(key, Entry[T]{Meta: row.Meta, Key: key, Value: value}), nil
}

func (b *builder) applyService(row Row) error {
	view, _ := b.state.services.Get(row.Key)
	if view.Known && view.Revision >= row.Revision {
		return nil
	}
	view.Known = !row.Deleted
	view.Key = row.Key
	view.Meta = row.Meta
	if !row.Deleted {
		value, err := Decode[Service](row)
		if err != nil {
			return err
		}
		view.Value = value
	}
	b.state.services = b.state.services.Set(row.Key, view)
	return nil
}

func (b *builder) applyEndpoint(row Row) error {
	before, _ := b.state.endpoints.Get(row.Key)
	next, err := applyRow(b.state.endpoints, row)
	if err != nil {
		return err
	}
	b.state.endpoints = next
	after, _ := next.Get(row.Key)
	if before.Value.Service == after.Value.Service && before.Key != "" && after.Key != "" {
		b.replaceEndpoint(after)
		return nil
	}
	b.dropEndpoint(before)
	b.replaceEndpoint(after)
	return nil
}

func (b *builder) dropEndpoint(e Entry[Endpoint]) {
	if e.Key == "" {
		return
	}
	view, _ := b.state.services.Get(e.Value.Service)
	view.Endpoints = slices.DeleteFunc(slices.Clone(view.Endpoints), func(o Entry[Endpoint]) bool { return o.Key == e.Key })
	b.state.services = b.state.services.Set(e.Value.Service, view)
}

func (b *builder) replaceEndpoint(e Entry[Endpoint]) {
	if e.Key == "" {
		return
	}
	if e.Value.Phase == Retired {
		b.dropEndpoint(e)
		return
	}
	service := e.Value.Service
	view, _ := b.state.services.Get(service)
	if !b.touched[service] {
		view.Endpoints = slices.Clone(view.Endpoints)
		b.touched[service] = true
	}
	// The slice is the builder's own from here on; rebuildServices sorts it once at the end.
	i := slices.IndexFunc(view.Endpoints, func(o Entry[Endpoint]) bool { return o.Key == e.Key })
	if i >= 0 {
		view.Endpoints[i] = e
	} else {
		view.Endpoints = append(view.Endpoints, e)
	}
	b.state.services = b.state.services.Set(service, view)
}

func (b *builder) rebuildServices() {
	for service := range b.touched {
		view, _ := b.state.services.Get(service)
		slices.SortFunc(view.Endpoints, func(a, o Entry[Endpoint]) int { return cmp.Compare(a.Key, o.Key) })
	}
}

func (b *builder) applyRoute(row Row) error {
	before, had := b.state.routes.Get(row.Key)
	next, err := applyRow(b.state.routes, row)
	if err != nil {
		return err
	}
	b.state.routes = next
	if had {
		b.setRoutes(before.Value.Host, before.Key, nil)
	}
	if after, ok := next.Get(row.Key); ok {
		b.setRoutes(after.Value.Host, after.Key, &after)
	}
	return nil
}

func (b *builder) setRoutes(host, key string, add *Entry[Route]) {
	host = strings.ToLower(host)
	old, _ := b.state.byHost.Get(host)
	routes := slices.DeleteFunc(slices.Clone(old), func(o Entry[Route]) bool { return o.Key == key })
	if add != nil {
		routes = append(routes, *add)
	}
	sortRoutes(routes)
	b.state.byHost = b.state.byHost.Set(host, routes)
}
