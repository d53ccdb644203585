package egress

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// The incident: within one life of its process, a node dispatched a request to an endpoint that only an older
// configuration allowed, half a second after it had served a request by a newer one. Its check asked whether the row
// of the request's route had changed since the configuration by which the request was routed. As far as the node knew
// it had not, because the node had skipped that configuration. Nor does the row change when a route with a longer
// path takes over a part of its paths. The model below found both faults.

// callerKeyDigest is the digest of the key that callers send, as long as some customer holds it.
var callerKeyDigest = table.DigestKey("k1")

// paths are the paths of requests. The routes are drawn so that the longer path has a route of its own in some
// configurations.
var paths = []string{"/a/1", "/a/b/1"}

// drawRoutes returns the rows of a source at a version of it.
func drawRoutes(t *rapid.T, source table.Source, version uint64) []table.Row {
	var rows []table.Row
	add := func(kind table.Kind, key string, cells ...string) {
		row, err := table.NewRow(kind, key, cells)
		if err != nil {
			t.Fatal(err)
		}
		row.Meta = table.Meta{Revision: version, Source: source}
		rows = append(rows, row)
	}
	add(table.KindService, "x")
	add(table.KindService, "y")
	if key := rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "key"); key != "" {
		add(table.KindCustomer, "acme", "", "", "", "", "plain:"+key)
	}
	for _, r := range [][3]string{{"any", "*", "/a/"}, {"short", "h", "/a/"}, {"long", "h", "/a/b/"}} {
		if service := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, r[0]); service != "" {
			add(table.KindRoute, r[0], r[1], r[2], service)
		}
	}
	return rows
}

// fleetNode is a node's view of one source of the table, and the newest version of it that the node has seen.
type fleetNode struct {
	source table.Source
	state  *table.State
	seen   *seenRevisions
	// replies are other nodes' answers that have not arrived yet; offers are requests that wait on this node.
	replies []table.Delta
	offers  []*peerpb.Dispatch
}

func newFleetNode(source table.Source) *fleetNode {
	return &fleetNode{source: source, state: table.NewState(), seen: &seenRevisions{}}
}

func (n *fleetNode) version() uint64 { return n.state.Revisions()[n.source] }

func (n *fleetNode) take(d table.Delta) {
	if next, err := n.state.With(d); err == nil {
		n.state = next
	}
}

// dispatch returns a request as the node sends it by its view, nil if that has no route for it.
func (n *fleetNode) dispatch(path string) *peerpb.Dispatch {
	r, ok := n.state.Match("h", path)
	if !ok {
		return nil
	}
	d := &peerpb.Dispatch{Route: r.Key, Service: r.Value.Service, Target: path}
	if holder, ok := n.state.CustomerByKey(callerKeyDigest); ok {
		d.Customer, d.Keyed = holder.Key, true
	}
	if n.source == table.SourceConfig {
		d.Config = n.version()
	} else {
		d.Revision = n.version()
	}
	return d
}

// read updates the node to a version of the source from the store: either the whole configuration, where the store
// has one version only, or the operators' rows, which carry the revisions of their changes.
func (n *fleetNode) read(whole *table.State, rows []table.Row) {
	if n.source == table.SourceConfig {
		n.take(n.state.DeltaTo(n.source, whole.Revisions()[n.source], rows))
	} else {
		n.take(whole.DeltaSince(n.source, n.version()))
	}
}

// TestOlderConfigurationIsNeverServed checks that once a node has held a configuration, or served a request by it, it
// dispatches no request to a service that only older configurations allow, nor one with a key that only older ones
// know. This must hold in whatever order configurations and requests arrive, however long these wait, whichever nodes
// restart meanwhile, and both for the platform's configuration and for the operators' rows.
func TestOlderConfigurationIsNeverServed(t *testing.T) {
	for _, source := range []table.Source{table.SourceConfig, table.SourceRows} {
		t.Run(source.String(), func(t *testing.T) { checkOlderIsNeverServed(t, source) })
	}
}

func checkOlderIsNeverServed(t *testing.T, source table.Source) {
	rapid.Check(t, func(t *rapid.T) {
		var history []*table.State
		newest := func() uint64 { return uint64(len(history)) }
		nodes := []*fleetNode{newFleetNode(source), newFleetNode(source), newFleetNode(source)}
		node := func(what string) *fleetNode { return rapid.SampledFrom(nodes).Draw(t, what) }
		var rows []table.Row
		allowed := func(d *peerpb.Dispatch, from uint64) bool {
			return slices.ContainsFunc(history[from-1:], func(s *table.State) bool {
				r, ok := s.Match("h", d.GetTarget())
				_, held := s.CustomerByKey(callerKeyDigest)
				return ok && r.Value.Service == d.GetService() && (held || !d.GetKeyed())
			})
		}
		actions := []func(){
			func() { // The operators write.
				rows = drawRoutes(t, source, newest()+1)
				last := table.NewState()
				if newest() > 0 {
					last = history[newest()-1]
				}
				whole, err := last.With(last.DeltaTo(source, newest()+1, rows))
				if err != nil {
					t.Fatal(err)
				}
				history = append(history, whole)
			},
			func() { // A node reads the store.
				if n := node("reader"); newest() > n.version() {
					n.read(history[newest()-1], rows)
				}
			},
			func() { // A node asks another one for the changes that it lacks.
				if n, other := node("asker"), node("asked"); other.version() > n.version() {
					n.replies = append(n.replies, other.state.DeltaSince(source, n.version()))
				}
			},
			func() { // A node receives the oldest reply to it.
				if n := node("asker"); len(n.replies) > 0 {
					n.take(n.replies[0])
					n.replies = n.replies[1:]
				}
			},
			func() { // A node sends a request, which waits on another one.
				to := node("receiver")
				if d := node("sender").dispatch(rapid.SampledFrom(paths).Draw(t, "path")); d != nil {
					to.offers = append(to.offers, d)
				}
			},
			func() { // A waiting request is dispatched unless it is stale.
				n := node("receiver")
				if len(n.offers) == 0 {
					return
				}
				i := rapid.IntRange(0, len(n.offers)-1).Draw(t, "request")
				d := n.offers[i]
				n.offers = slices.Delete(n.offers, i, i+1)
				known := max(n.version(), n.seen.newest[source].Load())
				if !n.seen.stale(n.state, d) && known > 0 && !allowed(d, known) {
					t.Fatalf("request of %s by %d to %s at a node that has seen %d: got served, want refused",
						d.GetTarget(), max(d.GetConfig(), d.GetRevision()), d.GetService(), known)
				}
			},
			func() { // A node restarts.
				*node("restarted") = *newFleetNode(source)
			},
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			actions[rapid.SampledFrom([]int{0, 1, 1, 2, 3, 4, 4, 5, 5, 0, 1, 2, 3, 4, 5, 6}).Draw(t, "action")]()
		}
	})
}
