package table

import (
	"cmp"
	"slices"
	"strings"

	"github.com/benbjohnson/immutable"

	"github.com/lynxplank/lynxplank/fault"
)

// Delta is the set of rows that leads a plane from one revision to a later one.
type Delta struct {
	// Plane is the part of the table that the rows belong to.
	Source Source
	// From is the revision that the delta starts at; ignored when Full.
	From uint64
	// To is the revision that the delta ends at.
	To uint64
	// Full marks a delta that holds the whole plane.
	Full bool
	// Steps are the revisions of a sparse plane between From and To for which the rows tell, too, what has changed since.
	Steps []uint64
	// Rows are the changed rows, or every row when Full.
	Rows []Row
}

// With returns the state after a delta. A delta that would not lead forward leaves the state as it is; one that starts past the state's
// revision is refused. A row that cannot be read costs itself and no other: see Unread.
//
// Invariant: no plane's revision of the result is below that of s, and no row goes back to an older revision.
func (s *State) With(d Delta) (*State, error) {
	if !d.Source.Valid() {
		return s, fault.New(fault.Protocol, "delta", "no such plane")
	}
	revision := s.revisions[d.Source]
	if d.To <= revision {
		return s, nil
	}
	if !d.Full && d.From > revision {
		return s, fault.New(fault.Protocol, "delta", "starts past the revision in force")
	}
	if !d.leadsFrom(revision) {
		return s, nil
	}
	if d.Full {
		d.Rows = s.fullChanges(d)
	}
	next := *s
	next.applyRows(d)
	next.revisions[d.Source] = d.To
	next.extendTail(s, d)
	return &next, nil
}

// leadsFrom tells whether the delta holds all that has changed since a revision, none of which is before its start: whoever
// went past a configuration without seeing it does not know what that had changed.
func (d Delta) leadsFrom(revision uint64) bool {
	return d.Full || !d.Source.sparse() || d.From == revision || slices.Contains(d.Steps, revision)
}

// WithEndpoints returns the state with the endpoints that the hosts announce, at the hosts' revision. Unlike other
// planes this one is put together by each node, whose own endpoint is known here before the store has heard of it.
//
// Only what differs is written as rows: each line of a host brings the whole list here, in every node, and to write and read
// hundreds of rows anew for one of them was a hundred times the work (BenchmarkCapacityAnnounced).
func (s *State) WithEndpoints(revision uint64, announced []Announced) *State {
	next := *s
	next.announcements++
	meta := Meta{Revision: next.announcements, Source: SourceHosts}
	var rows []Row
	kept := make(map[string]bool, len(announced))
	for _, a := range announced {
		kept[a.Key] = true
		old, ok := s.endpoints.Get(a.Key)
		if !ok || old.Source != SourceHosts || old.Value != a.Value {
			rows = append(rows, Encode(KindEndpoint, a.Key, meta, a.Value))
		}
	}
	for it := s.endpoints.Iterator(); !it.Done(); {
		key, e, _ := it.Next()
		if e.Source == SourceHosts && !kept[key] {
			rows = append(rows, deletion(RowID{Kind: KindEndpoint, Key: key}, meta))
		}
	}
	if revision <= s.revisions[SourceHosts] && len(rows) == 0 {
		return s
	}
	next.applyRows(Delta{Source: SourceHosts, Rows: rows})
	next.revisions[SourceHosts] = max(revision, s.revisions[SourceHosts])
	return &next
}

// applyRows applies a delta's rows to a state that nobody else sees yet.
func (s *State) applyRows(d Delta) {
	b := newBuilder(s, d.Source)
	for _, row := range d.Rows {
		b.apply(row)
	}
	b.finish()
}

// fullChanges turns a whole plane into what it changes: the rows that it holds, and deletions of those that it lacks. Of a
// sparse plane the sender's revisions say nothing to a state that has come another way: what differs has changed by the
// delta's end.
func (s *State) fullChanges(d Delta) []Row {
	kept := make(map[RowID]bool, len(d.Rows))
	rows := make([]Row, 0, len(d.Rows))
	for _, row := range d.Rows {
		if row.Deleted {
			continue
		}
		kept[row.ID()] = true
		if d.Source.sparse() {
			if s.holds(d.Source, row) {
				continue
			}
			row.Revision = d.To
		}
		rows = append(rows, row)
	}
	s.RowsFrom(d.Source, func(r Row) {
		if !kept[r.ID()] {
			rows = append(rows, deletion(r.ID(), Meta{Revision: d.To, Source: d.Source}))
		}
	})
	return rows
}

// holds tells whether the state has a plane's row with the same cells.
func (s *State) holds(p Source, row Row) bool {
	old, ok := s.Row(row.Kind, row.Key)
	return ok && old.Source == p && slices.Equal(old.Cells, row.Cells)
}

// changesSince returns the changes of rows after a revision, the earliest first: a delta that covers several revisions may hold its rows
// in any order.
//
// Invariant: the changes of a tail rise. Whoever looks for those after a revision stops at the first that is not, and once told a peer
// nothing of a route that had been dropped.
func changesSince(revision uint64, rows []Row) []change {
	var out []change
	for _, row := range rows {
		if row.Revision > revision {
			out = append(out, change{revision: row.Revision, row: row.ID()})
		}
	}
	slices.SortStableFunc(out, func(a, b change) int { return cmp.Compare(a.revision, b.revision) })
	return out
}

// extendTail adds a delta's changes to those of the old state; a whole plane starts the tail anew, but that of a sparse one
// that the old state held.
func (s *State) extendTail(old *State, d Delta) {
	t := &s.tails[d.Source]
	if d.Full && (!d.Source.sparse() || old.revisions[d.Source] == 0) {
		*t = tail{from: d.To, steps: []uint64{d.To}}
		return
	}
	t.steps = old.tails[d.Source].stepsThrough(d)
	changes := slices.Concat(old.tails[d.Source].changes, changesSince(old.revisions[d.Source], d.Rows))
	if extra := len(changes) - tailLength; extra > 0 {
		t.from = changes[extra-1].revision
		changes = changes[extra:]
	}
	t.changes = changes
}

// builder applies rows to a state that nobody else sees yet.
type builder struct {
	state *State
	plane Source
	// views are the services whose endpoints may have changed, routes the hosts' routes by the host in lower case; both
	// are sorted and put in place by finish.
	views  map[string]*ServiceView
	routes map[string][]Entry[Route]
}

func newBuilder(s *State, p Source) *builder {
	return &builder{state: s, plane: p, views: make(map[string]*ServiceView), routes: make(map[string][]Entry[Route])}
}

// apply takes a row in, or sets it aside if it cannot be read.
func (b *builder) apply(row Row) {
	row.Source = b.plane
	if !b.overtakes(row) {
		return
	}
	b.forget(row.ID())
	if err := b.applyKind(row); err != nil && !row.Deleted {
		b.setAside(row, err)
	}
}

func (b *builder) applyKind(row Row) (err error) {
	switch row.Kind {
	case KindService:
		return b.applyService(row)
	case KindEndpoint:
		return b.applyEndpoint(row)
	case KindRoute:
		return b.applyRoute(row)
	case KindCustomer:
		return b.applyCustomer(row)
	case KindHost:
		b.state.hosts, err = applyRow(b.state.hosts, row)
		return err
	case KindListener:
		b.state.listeners, err = applyRow(b.state.listeners, row)
		return err
	case KindPoison:
		b.state.fatals, err = applyRow(b.state.fatals, row)
		return err
	case KindHall:
		b.state.halls, err = applyRow(b.state.halls, row)
		return err
	case KindEvacuation:
		b.state.evacuations, err = applyRow(b.state.evacuations, row)
		return err
	}
	return fault.New(fault.BadRow, row.Key, "no such kind of row")
}

// stands tells whether a row that is there stays as it is under a change: one of a later plane does, and within a plane
// one that is as new.
func stands(old Meta, row Row) bool {
	if old.Source != row.Source {
		return old.Source > row.Source || row.Deleted
	}
	return old.Revision >= row.Revision
}

func applyRow[T any](m *immutable.Map[string, Entry[T]], row Row) (*immutable.Map[string, Entry[T]], error) {
	if old, ok := m.Get(row.Key); ok && stands(old.Meta, row) {
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

// view returns the builder's own copy of a service, whose endpoints may be changed until finish.
func (b *builder) view(service string) *ServiceView {
	if v := b.views[service]; v != nil {
		return v
	}
	found, _ := b.state.services.Get(service)
	found.Endpoints = slices.Clone(found.Endpoints)
	b.views[service] = &found
	return &found
}

func (b *builder) applyService(row Row) error {
	view := b.view(row.Key)
	if view.Known && stands(view.Meta, row) {
		return nil
	}
	if !row.Deleted {
		value, err := Decode[Service](row)
		if err != nil {
			return err
		}
		view.Value = value
	}
	view.Known = !row.Deleted
	view.Key = strings.Clone(row.Key)
	view.Meta = row.Meta
	return nil
}

func (b *builder) applyEndpoint(row Row) error {
	before, _ := b.state.endpoints.Get(row.Key)
	next, err := applyRow(b.state.endpoints, row)
	if err != nil {
		return err
	}
	b.state.endpoints = next
	if before.Key != "" {
		view := b.view(before.Value.Service)
		view.Endpoints = slices.DeleteFunc(view.Endpoints, func(o Entry[Endpoint]) bool { return o.Key == row.Key })
	}
	if after, ok := next.Get(row.Key); ok && after.Value.Phase != Retired {
		view := b.view(after.Value.Service)
		view.Endpoints = append(view.Endpoints, after)
	}
	return nil
}

// applyCustomer applies a customer's row and keeps the index of its keys.
func (b *builder) applyCustomer(row Row) error {
	before, _ := b.state.customers.Get(row.Key)
	next, err := applyRow(b.state.customers, row)
	if err != nil {
		return err
	}
	b.state.customers = next
	after, _ := next.Get(row.Key)
	for _, d := range before.Value.Keys.Digests() {
		b.setHolders(d, func(names []string) []string {
			return slices.DeleteFunc(names, func(name string) bool { return name == row.Key })
		})
	}
	for _, d := range after.Value.Keys.Digests() {
		b.setHolders(d, func(names []string) []string {
			names = append(names, after.Key)
			slices.Sort(names)
			return names
		})
	}
	return nil
}

// setHolders changes the names of the customers that hold a key; change may change its copy of them.
func (b *builder) setHolders(d KeyDigest, change func(names []string) []string) {
	digest := string(d[:])
	old, _ := b.state.holders.Get(digest)
	names := change(slices.Clone(old))
	if len(names) == 0 {
		b.state.holders = b.state.holders.Delete(digest)
		return
	}
	b.state.holders = b.state.holders.Set(digest, names)
}

// hostRoutes returns the builder's own copy of the routes of a host in lower case, which may be changed until finish.
func (b *builder) hostRoutes(host string) []Entry[Route] {
	if routes, ok := b.routes[host]; ok {
		return routes
	}
	old, _ := b.state.byHost.Get(host)
	return slices.Clone(old)
}

func (b *builder) applyRoute(row Row) error {
	before, had := b.state.routes.Get(row.Key)
	next, err := applyRow(b.state.routes, row)
	if err != nil {
		return err
	}
	b.state.routes = next
	if had {
		host := strings.ToLower(before.Value.Host)
		b.routes[host] = slices.DeleteFunc(b.hostRoutes(host), func(o Entry[Route]) bool { return o.Key == row.Key })
	}
	if after, ok := next.Get(row.Key); ok {
		host := strings.ToLower(after.Value.Host)
		b.routes[host] = append(b.hostRoutes(host), after)
	}
	return nil
}

// finish sorts what was touched, once, and puts it in place.
func (b *builder) finish() {
	for service, view := range b.views {
		slices.SortFunc(view.Endpoints, func(a, o Entry[Endpoint]) int { return cmp.Compare(a.Key, o.Key) })
		b.state.services = b.state.services.Set(strings.Clone(service), *view)
	}
	for host, routes := range b.routes {
		sortRoutes(routes)
		b.state.byHost = b.state.byHost.Set(host, routes)
	}
}
