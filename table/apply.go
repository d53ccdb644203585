package table

import (
	"cmp"
	"slices"
	"strings"

	"github.com/benbjohnson/immutable"

	"github.com/lynxplank/lynxplank/fault"
)

// Delta holds the row changes that lead a source from one revision to a later one.
type Delta struct {
	// Source is the source that the rows belong to.
	Source Source
	// From is the revision at which the delta starts; ignored if Full.
	From uint64
	// To is the revision at which the delta ends.
	To uint64
	// Full marks a delta that holds all rows of the source.
	Full bool
	// Steps are the revisions between From and To to which the delta can be applied as well, because its rows include
	// all changes since then. They are set only for a source that is read as snapshots.
	Steps []uint64
	// Rows are the changed rows, or all rows if Full.
	Rows []Row
}

// With returns the state after a delta. It returns the state unchanged if the delta does not lead to a newer revision or
// lacks changes since the state's revision, and an error if the delta starts after that revision. A row that cannot be
// decoded does not affect other rows: see UndecodableRow.
//
// Invariant: no source's revision of the result is below that of s, and no row goes back to an older revision.
func (s *State) With(d Delta) (*State, error) {
	if !d.Source.Valid() {
		return s, fault.New(fault.Protocol, "delta", "no such source")
	}
	revision := s.revisions[d.Source]
	if d.To <= revision {
		return s, nil
	}
	if !d.Full && d.From > revision {
		return s, fault.New(fault.Protocol, "delta", "starts past the revision in force")
	}
	if !d.coversSince(revision) {
		return s, nil
	}
	if d.Full {
		d.Rows = s.fullToChanges(d)
	}
	next := *s
	next.applyRows(d)
	next.revisions[d.Source] = d.To
	next.extendHistory(s, d)
	return &next, nil
}

// coversSince reports whether the delta holds all changes since a revision that is not before its start. For a source
// that is read as snapshots only certain revisions qualify: the sender of the delta does not know the changes of the
// ones that it skipped.
func (d Delta) coversSince(revision uint64) bool {
	return d.Full || !d.Source.snapshotOnly() || d.From == revision || slices.Contains(d.Steps, revision)
}

// WithEndpoints returns the state with exactly the given announced endpoints, at a revision of SourceHosts. Unlike the
// rows of other sources, each node assembles these itself, so that it sees its local endpoint before the store has its
// announcement.
//
// Only endpoints that differ are encoded as rows. Each announcement of any host causes a call with the complete list,
// in every node, and encoding and decoding hundreds of rows for one changed host cost a hundred times as much
// (BenchmarkCapacityAnnounced).
func (s *State) WithEndpoints(revision uint64, announced []Announced) *State {
	next := *s
	next.announcements++
	meta := Meta{Revision: next.announcements, Source: SourceHosts}
	var rows []Row
	present := make(map[string]bool, len(announced))
	for _, a := range announced {
		present[a.Key] = true
		old, ok := s.endpoints.Get(a.Key)
		if !ok || old.Source != SourceHosts || old.Value != a.Value {
			rows = append(rows, Encode(KindEndpoint, a.Key, meta, a.Value))
		}
	}
	for it := s.endpoints.Iterator(); !it.Done(); {
		key, e, _ := it.Next()
		if e.Source == SourceHosts && !present[key] {
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

// applyRows applies a delta's rows to s, which must not be shared yet.
func (s *State) applyRows(d Delta) {
	b := newBuilder(s, d.Source)
	for _, row := range d.Rows {
		b.apply(row)
	}
	b.finish()
}

// fullToChanges turns a full delta into changes: its rows, and deletions of the rows of the source that it lacks. For a
// source that is read as snapshots, unchanged rows are left out and changed rows get the delta's end as their revision:
// the sender may have read other revisions than this state, so that the revisions it gave the rows do not apply here.
func (s *State) fullToChanges(d Delta) []Row {
	present := make(map[RowID]bool, len(d.Rows))
	rows := make([]Row, 0, len(d.Rows))
	for _, row := range d.Rows {
		if row.Deleted {
			continue
		}
		present[row.ID()] = true
		if d.Source.snapshotOnly() {
			if s.hasEqualRow(d.Source, row) {
				continue
			}
			row.Revision = d.To
		}
		rows = append(rows, row)
	}
	s.RowsFrom(d.Source, func(r Row) {
		if !present[r.ID()] {
			rows = append(rows, deletion(r.ID(), Meta{Revision: d.To, Source: d.Source}))
		}
	})
	return rows
}

// hasEqualRow reports whether the state has a row of the source with the same kind, key and cells.
func (s *State) hasEqualRow(src Source, row Row) bool {
	old, ok := s.Row(row.Kind, row.Key)
	return ok && old.Source == src && slices.Equal(old.Cells, row.Cells)
}

// changesSince returns the changes after a revision, sorted by revision, because a delta that covers several revisions
// may hold its rows in any order.
//
// Invariant: the changes in a history are sorted by revision. State.Since searches backwards and stops at the first
// change that is too old; without the order it once omitted the deletion of a route from a delta for a peer.
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

// extendHistory adds a delta's changes to the history of the old state. A full delta starts an empty history, unless
// the source is read as snapshots and the old state already has a revision of it.
func (s *State) extendHistory(old *State, d Delta) {
	h := &s.histories[d.Source]
	if d.Full && (!d.Source.snapshotOnly() || old.revisions[d.Source] == 0) {
		*h = history{completeAfter: d.To, steps: []uint64{d.To}}
		return
	}
	h.steps = old.histories[d.Source].stepsAfter(d)
	changes := slices.Concat(old.histories[d.Source].changes, changesSince(old.revisions[d.Source], d.Rows))
	if excess := len(changes) - maxHistoryChanges; excess > 0 {
		h.completeAfter = changes[excess-1].revision
		changes = changes[excess:]
	}
	h.changes = changes
}

// builder applies rows of one source to a state that is not shared yet.
type builder struct {
	state  *State
	source Source
	// views are the services that may have changed, by key; routes are the routes that may have changed, by host name
	// in lower case. finish sorts both and stores them in the state.
	views  map[string]*ServiceView
	routes map[string][]Entry[Route]
}

func newBuilder(s *State, src Source) *builder {
	return &builder{state: s, source: src, views: make(map[string]*ServiceView), routes: make(map[string][]Entry[Route])}
}

// apply applies a row unless the state has a newer one. A row that cannot be decoded is stored as undecodable.
func (b *builder) apply(row Row) {
	row.Source = b.source
	if !b.newerThanUndecodable(row) {
		return
	}
	b.dropUndecodable(row.ID())
	if err := b.applyKind(row); err != nil && !row.Deleted {
		b.keepUndecodable(row, err)
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
		b.state.poisonRequests, err = applyRow(b.state.poisonRequests, row)
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

// outranks reports whether an existing row stays unchanged when row arrives. It does if it belongs to a source of higher
// precedence, if row is a deletion by another source, or if row is of the same source but not newer.
func outranks(old Meta, row Row) bool {
	if old.Source != row.Source {
		return old.Source > row.Source || row.Deleted
	}
	return old.Revision >= row.Revision
}

func applyRow[T any](m *immutable.Map[string, Entry[T]], row Row) (*immutable.Map[string, Entry[T]], error) {
	if old, ok := m.Get(row.Key); ok && outranks(old.Meta, row) {
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

// view returns the builder's copy of a service, which may be modified until finish.
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
	if view.Known && outranks(view.Meta, row) {
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
		view.Endpoints = slices.DeleteFunc(view.Endpoints, func(e Entry[Endpoint]) bool { return e.Key == row.Key })
	}
	if after, ok := next.Get(row.Key); ok && after.Value.Phase != Retired {
		view := b.view(after.Value.Service)
		view.Endpoints = append(view.Endpoints, after)
	}
	return nil
}

// applyCustomer applies a customer's row and updates the index of customers by key.
func (b *builder) applyCustomer(row Row) error {
	before, _ := b.state.customers.Get(row.Key)
	next, err := applyRow(b.state.customers, row)
	if err != nil {
		return err
	}
	b.state.customers = next
	after, _ := next.Get(row.Key)
	for _, d := range before.Value.Keys.Digests() {
		b.updateKeyHolders(d, func(names []string) []string {
			return slices.DeleteFunc(names, func(name string) bool { return name == row.Key })
		})
	}
	for _, d := range after.Value.Keys.Digests() {
		b.updateKeyHolders(d, func(names []string) []string {
			names = append(names, after.Key)
			slices.Sort(names)
			return names
		})
	}
	return nil
}

// updateKeyHolders applies change to the names of the customers that have a key; change may modify the slice that it
// gets.
func (b *builder) updateKeyHolders(d KeyDigest, change func(names []string) []string) {
	digest := string(d[:])
	old, _ := b.state.customersByKey.Get(digest)
	names := change(slices.Clone(old))
	if len(names) == 0 {
		b.state.customersByKey = b.state.customersByKey.Delete(digest)
		return
	}
	b.state.customersByKey = b.state.customersByKey.Set(digest, names)
}

// hostRoutes returns the builder's copy of the routes of a host name in lower case, which may be modified until finish.
func (b *builder) hostRoutes(host string) []Entry[Route] {
	if routes, ok := b.routes[host]; ok {
		return routes
	}
	old, _ := b.state.routesByHost.Get(host)
	return slices.Clone(old)
}

func (b *builder) applyRoute(row Row) error {
	before, existed := b.state.routes.Get(row.Key)
	next, err := applyRow(b.state.routes, row)
	if err != nil {
		return err
	}
	b.state.routes = next
	if existed {
		host := strings.ToLower(before.Value.Host)
		b.routes[host] = slices.DeleteFunc(b.hostRoutes(host), func(r Entry[Route]) bool { return r.Key == row.Key })
	}
	if after, ok := next.Get(row.Key); ok {
		host := strings.ToLower(after.Value.Host)
		b.routes[host] = append(b.hostRoutes(host), after)
	}
	return nil
}

// finish sorts the changed services' endpoints and hosts' routes, each once, and stores them in the state.
func (b *builder) finish() {
	for service, view := range b.views {
		slices.SortFunc(view.Endpoints, func(x, y Entry[Endpoint]) int { return cmp.Compare(x.Key, y.Key) })
		b.state.services = b.state.services.Set(strings.Clone(service), *view)
	}
	for host, routes := range b.routes {
		sortRoutes(routes)
		b.state.routesByHost = b.state.routesByHost.Set(host, routes)
	}
}
