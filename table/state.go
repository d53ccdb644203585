package table

import (
	"cmp"
	"slices"
	"strings"

	"github.com/benbjohnson/immutable"
)

// maxHistoryChanges is how many changes of each source a state keeps, to send deltas to peers that are slightly behind.
const maxHistoryChanges = 4096

// HostInfo is the announcement of a host by its node, in the form in which it is stored.
type HostInfo struct {
	// ID identifies the host.
	ID string `json:"id"`
	// Hall is the hall in which the host stands.
	Hall string `json:"hall"`
	// Address is the IP and port of the node's listener for peers.
	Address string `json:"address"`
	// Leaving is set while the host's node is stopping.
	Leaving bool `json:"leaving,omitempty"`
	// Incarnation identifies the run of the node that wrote the announcement. A later run does not rewrite an
	// announcement that already has the right content.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Endpoints are the host's endpoints that have announced themselves to the node.
	Endpoints []Announced `json:"endpoints,omitempty"`
	PastIncarnations
	// Version is the store's version of the announcement; a later version replaces an earlier one.
	Version uint64 `json:"-"`
}

// PastIncarnations are the keys of earlier incarnations of a host's endpoints, oldest first, the last ones of each kind. A
// later run of the host's node has to know them.
type PastIncarnations struct {
	// Ended have drained or left, and never get requests again.
	Ended []string `json:"ended,omitempty"`
	// Replaced had not drained when another incarnation took their place.
	Replaced []string `json:"replaced,omitempty"`
}

// Equal reports whether p and q hold the same keys.
func (p PastIncarnations) Equal(q PastIncarnations) bool {
	return slices.Equal(p.Ended, q.Ended) && slices.Equal(p.Replaced, q.Replaced)
}

// Announced is an endpoint that has announced itself to the node on its host.
type Announced struct {
	// Key identifies the instance of the endpoint.
	Key string `json:"key"`
	// Value is the endpoint's row.
	Value Endpoint `json:"value"`
}

// Entry is a decoded row.
type Entry[T any] struct {
	Meta
	// Key identifies the row within its sheet.
	Key string
	// Value holds the decoded cells.
	Value T
}

// ServiceView is a service with its endpoints, sorted by key.
type ServiceView struct {
	Entry[Service]
	// Known is false if endpoints refer to the service but it has no row.
	Known bool
	// Endpoints are the endpoints that are not retired.
	Endpoints []Entry[Endpoint]
}

// change records that a row changed at a revision.
type change struct {
	revision uint64
	row      RowID
}

// history holds the latest changes of one source, to send deltas to peers that are slightly behind.
type history struct {
	changes []change
	// completeAfter is the revision after which changes holds every change.
	completeAfter uint64
	// steps are, for a source that is read as snapshots, the latest revisions since which the changes are known, in
	// ascending order: a row has changed since such a revision only if the row's own revision is higher.
	steps []uint64
}

// maxSteps is how many steps a history keeps. It may be small: a change reaches all nodes within seconds, in which few
// other changes occur.
const maxSteps = 64

// stepsAfter returns the steps that a history has once a delta has been applied.
func (h history) stepsAfter(d Delta) []uint64 {
	if !d.Source.snapshotOnly() {
		return nil
	}
	steps := slices.Clone(h.steps)
	if !d.Full {
		for _, step := range d.Steps {
			if len(steps) == 0 || step > steps[len(steps)-1] {
				steps = append(steps, step)
			}
		}
	}
	steps = append(steps, d.To)
	return steps[max(0, len(steps)-maxSteps):]
}

// State is an immutable snapshot of the whole table.
type State struct {
	revisions Revisions
	services  *immutable.Map[string, ServiceView]
	endpoints *immutable.Map[string, Entry[Endpoint]]
	routes    *immutable.Map[string, Entry[Route]]
	// routesByHost holds the routes by their host in lower case, in the order of matching (see sortRoutes).
	routesByHost *immutable.Map[string, []Entry[Route]]
	customers    *immutable.Map[string, Entry[Customer]]
	// customersByKey holds the names of the customers that have a key, sorted, by the key's digest.
	customersByKey *immutable.Map[string, []string]
	hosts          *immutable.Map[string, Entry[Host]]
	listeners      *immutable.Map[string, Entry[Listener]]
	poisonRequests *immutable.Map[string, Entry[PoisonRequest]]
	halls          *immutable.Map[string, Entry[Hall]]
	// evacuations holds the evacuations by the platform's operators, by hall.
	evacuations *immutable.Map[string, Entry[Evacuation]]
	// undecodable holds the rows that cannot be decoded, unchanged.
	undecodable *immutable.Map[string, UndecodableRow]
	histories   [sourceCount]history
	// announcements counts the changes that WithEndpoints has made in this node; it is the revision of the rows it
	// writes.
	announcements uint64
}

// NewState returns the empty state at revision 0.
func NewState() *State {
	return &State{
		services:       immutable.NewMap[string, ServiceView](nil),
		endpoints:      immutable.NewMap[string, Entry[Endpoint]](nil),
		routes:         immutable.NewMap[string, Entry[Route]](nil),
		routesByHost:   immutable.NewMap[string, []Entry[Route]](nil),
		customers:      immutable.NewMap[string, Entry[Customer]](nil),
		customersByKey: immutable.NewMap[string, []string](nil),
		hosts:          immutable.NewMap[string, Entry[Host]](nil),
		listeners:      immutable.NewMap[string, Entry[Listener]](nil),
		poisonRequests: immutable.NewMap[string, Entry[PoisonRequest]](nil),
		halls:          immutable.NewMap[string, Entry[Hall]](nil),
		undecodable:    immutable.NewMap[string, UndecodableRow](nil),

		evacuations: immutable.NewMap[string, Entry[Evacuation]](nil),
	}
}

// Revision returns the state's revision of SourceRows, the rows that operators write.
func (s *State) Revision() uint64 { return s.revisions[SourceRows] }

// Revisions returns the state's revision of each source.
func (s *State) Revisions() Revisions { return s.revisions }

// Callers returns the row with the limits of the listeners for callers.
func (s *State) Callers() (Entry[Listener], bool) { return s.listeners.Get(CallersListener) }

// Service returns a service that has a row, with its endpoints.
func (s *State) Service(key string) (ServiceView, bool) {
	v, ok := s.services.Get(key)
	return v, ok && v.Known
}

// Services calls visit for each service that has a row.
func (s *State) Services(visit func(ServiceView)) {
	for it := s.services.Iterator(); !it.Done(); {
		if _, v, _ := it.Next(); v.Known {
			visit(v)
		}
	}
}

// Endpoint returns an endpoint's row.
func (s *State) Endpoint(key string) (Entry[Endpoint], bool) { return s.endpoints.Get(key) }

// Route returns a route's row.
func (s *State) Route(key string) (Entry[Route], bool) { return s.routes.Get(key) }

// PoisonRequest returns the record of a request that crashed endpoints, by its fingerprint.
func (s *State) PoisonRequest(key string) (Entry[PoisonRequest], bool) {
	return s.poisonRequests.Get(key)
}

// PoisonRequests calls visit for each record of a request that crashed endpoints.
func (s *State) PoisonRequests(visit func(Entry[PoisonRequest])) {
	for it := s.poisonRequests.Iterator(); !it.Done(); {
		_, e, _ := it.Next()
		visit(e)
	}
}

// Customer returns a customer's row.
func (s *State) Customer(key string) (Entry[Customer], bool) { return s.customers.Get(key) }

// CustomerByKey returns the customer that has a key, the first by name if several have it.
func (s *State) CustomerByKey(key KeyDigest) (Entry[Customer], bool) {
	names, ok := s.customersByKey.Get(string(key[:]))
	if !ok {
		return Entry[Customer]{}, false
	}
	return s.Customer(names[0])
}

// KeysRequired reports whether requests must carry a customer's key, except on open routes.
func (s *State) KeysRequired() bool {
	row, ok := s.Callers()
	return ok && bool(row.Value.Keys)
}

// HostPhase returns the phase that operators have set for a host; a host without a row is active.
func (s *State) HostPhase(id string) Phase {
	h, _ := s.hosts.Get(id)
	return h.Value.Phase
}

// EndpointPhase returns the latest of the endpoint's own phase, its host's phase and, in an evacuated hall, Draining.
func (s *State) EndpointPhase(e Entry[Endpoint]) Phase {
	phase := max(e.Value.Phase, s.HostPhase(e.Value.Host))
	if s.Evacuated(e.Value.Hall) {
		phase = max(phase, Draining)
	}
	return phase
}

// anyHost is the Route.Host that matches any host.
const anyHost = "*"

// Match returns the route with the longest matching prefix for the host or, if there is none, for any host.
func (s *State) Match(host, path string) (Entry[Route], bool) {
	if r, ok := s.matchIn(strings.ToLower(host), path); ok {
		return r, true
	}
	return s.matchIn(anyHost, path)
}

func (s *State) matchIn(host, path string) (Entry[Route], bool) {
	routes, _ := s.routesByHost.Get(host)
	for _, r := range routes {
		if hasPathPrefix(path, r.Value.Prefix) {
			return r, true
		}
	}
	return Entry[Route]{}, false
}

func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// Shadowed reports whether another route of a source, changed since a revision, takes precedence over r for some of r's
// requests: a route with a longer prefix or, if r is for any host, a route for a particular host.
func (s *State) Shadowed(r Entry[Route], src Source, since uint64) bool {
	later := func(o Entry[Route]) bool { return o.Source == src && o.Revision > since && o.Key != r.Key }
	longer := func(o Entry[Route]) bool { return later(o) && strings.HasPrefix(o.Value.Prefix, r.Value.Prefix) }
	host := strings.ToLower(r.Value.Host)
	sameHost, _ := s.routesByHost.Get(host)
	if slices.ContainsFunc(sameHost, longer) {
		return true
	}
	if host != anyHost {
		return false
	}
	shorter := func(o Entry[Route]) bool { return later(o) && strings.HasPrefix(r.Value.Prefix, o.Value.Prefix) }
	for it := s.routesByHost.Iterator(); !it.Done(); {
		name, routes, _ := it.Next()
		if name != anyHost && (slices.ContainsFunc(routes, longer) || slices.ContainsFunc(routes, shorter)) {
			return true
		}
	}
	return false
}

// Row returns a row of any kind in its text form; a row that cannot be decoded is returned unchanged.
func (s *State) Row(kind Kind, key string) (Row, bool) {
	if u, ok := s.undecodable.Get(undecodableKey(RowID{Kind: kind, Key: key})); ok {
		return u.Row, true
	}
	switch kind {
	case KindService:
		v, ok := s.Service(key)
		return Encode(kind, key, v.Meta, v.Value), ok
	case KindEndpoint:
		return rowOf(s.endpoints, kind, key)
	case KindRoute:
		return rowOf(s.routes, kind, key)
	case KindCustomer:
		return rowOf(s.customers, kind, key)
	case KindHost:
		return rowOf(s.hosts, kind, key)
	case KindListener:
		return rowOf(s.listeners, kind, key)
	case KindPoison:
		return rowOf(s.poisonRequests, kind, key)
	case KindHall:
		return rowOf(s.halls, kind, key)
	case KindEvacuation:
		return rowOf(s.evacuations, kind, key)
	}
	return Row{}, false
}

func rowOf[T any](m *immutable.Map[string, Entry[T]], kind Kind, key string) (Row, bool) {
	e, ok := m.Get(key)
	return Encode(kind, key, e.Meta, e.Value), ok
}

// Rows calls visitAny for every row of the table, sheet by sheet, then for those that cannot be decoded.
func (s *State) Rows(visitAny func(Row)) {
	visit := func(r Row) {
		if _, undecodable := s.undecodable.Get(undecodableKey(r.ID())); !undecodable {
			visitAny(r)
		}
	}
	s.Services(func(v ServiceView) { visit(Encode(KindService, v.Key, v.Meta, v.Value)) })
	visitRows(s.endpoints, KindEndpoint, visit)
	visitRows(s.routes, KindRoute, visit)
	visitRows(s.customers, KindCustomer, visit)
	visitRows(s.hosts, KindHost, visit)
	visitRows(s.listeners, KindListener, visit)
	visitRows(s.poisonRequests, KindPoison, visit)
	visitRows(s.halls, KindHall, visit)
	visitRows(s.evacuations, KindEvacuation, visit)
	s.UndecodableRows(func(u UndecodableRow) { visitAny(u.Row) })
}

func visitRows[T any](m *immutable.Map[string, Entry[T]], kind Kind, visit func(Row)) {
	for it := m.Iterator(); !it.Done(); {
		key, e, _ := it.Next()
		visit(Encode(kind, key, e.Meta, e.Value))
	}
}

// RowsFrom calls visit for every row of one source.
func (s *State) RowsFrom(src Source, visit func(Row)) {
	s.Rows(func(r Row) {
		if r.Source == src {
			visit(r)
		}
	})
}

// KnowsChangesSince reports whether the revisions of the rows show what has changed since an earlier revision of a
// source.
//
// Invariant: if it returns true, every row without a higher revision is the same as at that revision.
func (s *State) KnowsChangesSince(src Source, revision uint64) bool {
	return !src.snapshotOnly() || slices.Contains(s.histories[src].steps, revision)
}

// Since returns every row of a source that changed after a revision; ok is false if the state does not know all of them.
func (s *State) Since(src Source, from uint64) (rows []Row, ok bool) {
	if from < s.histories[src].completeAfter || !s.KnowsChangesSince(src, from) {
		return nil, false
	}
	seen := make(map[RowID]bool)
	// Backwards, so that the last change of a row comes first: a deleted row must carry the revision that deleted it.
	for _, c := range slices.Backward(s.histories[src].changes) {
		if c.revision <= from {
			break
		}
		if seen[c.row] {
			continue
		}
		seen[c.row] = true
		row, exists := s.Row(c.row.Kind, c.row.Key)
		if !exists || row.Source != src {
			row = deletion(c.row, Meta{Revision: c.revision, Source: src})
		}
		rows = append(rows, row)
	}
	return rows, true
}

func deletion(id RowID, meta Meta) Row {
	return Row{Kind: id.Kind, Key: id.Key, Deleted: true, Meta: meta}
}

// sortRoutes sorts routes by descending length of their prefixes, which is the order of matching.
func sortRoutes(routes []Entry[Route]) {
	slices.SortFunc(routes, func(a, b Entry[Route]) int {
		byLength := cmp.Compare(len(b.Value.Prefix), len(a.Value.Prefix))
		return cmp.Or(byLength, cmp.Compare(a.Key, b.Key))
	})
}
