package egress

import (
	"testing"
	"time"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/dedupe"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/region"
	"github.com/lynxplank/lynxplank/table"
)

// withRegions returns a state with hall-1 in a region, and with the regions to which a route and a customer restrict
// their data.
func withRegions(t *testing.T, s *table.State, where, route, customer string) *table.State {
	t.Helper()
	to := s.Revision() + 1
	meta := table.Meta{Revision: to}
	next, err := s.With(table.Delta{From: to - 1, To: to, Rows: []table.Row{
		table.Encode(table.KindHall, "hall-1", meta, table.Hall{Region: where}),
		table.Encode(table.KindRoute, "r1", meta, table.Route{Host: "*", Prefix: "/", Service: "desk", Regions: table.Names(route)}),
		table.Encode(table.KindCustomer, "acme", meta, table.Customer{Regions: table.Names(customer)}),
	}})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestRequestsAreRefusedOutsideTheirRegions sends requests to a node whose region their data may not be in, because
// of their route, their customer or both, or because the node's region is unknown. Each one, keyed or not, is refused
// as not run before its body is read.
func TestRequestsAreRefusedOutsideTheirRegions(t *testing.T) {
	for _, c := range []struct {
		where, route, customer string
		want                   fault.Code
	}{
		{"a", "", "", fault.EndpointUnreachable},
		{"a", "a,b", "a", fault.EndpointUnreachable},
		{"a", "b", "", fault.OutOfRegion},
		{"a", "", "b", fault.OutOfRegion},
		{"a", "a", "b", fault.OutOfRegion},
		{"", "a", "", fault.OutOfRegion},
	} {
		for _, keyed := range []bool{false, true} {
			e := newTestEgress(t, "127.0.0.1:1", table.Active)
			s := withRegions(t, e.state(), c.where, c.route, c.customer)
			e.state = func() *table.State { return s }
			e.Observe(time.Now(), &configsync.Snapshot{State: s})
			d := payment()
			d.Route, d.Customer = "r1", "acme"
			if keyed {
				regions := s.RegionsFor(table.Route{Regions: table.Names(c.route)}, "acme")
				d.Claim = &peerpb.Claim{Scope: "s", Key: "k", Attempt: 1, Vouched: true, Bound: regions.IsRestricted(), Regions: regions.Names()}
			}
			end := serve(t, e, d)
			if got, want := end.GetCode(), string(c.want); got != want || end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
				t.Errorf("in %q, route in %q, customer in %q, keyed %v: got %v, want not run, %q", c.where, c.route, c.customer, keyed, end, want)
			}
		}
	}
}

// TestKeyOwnersChangeWithRegions changes the regions of a route, and has a sender assume other regions than the key's
// owner knows: for a window after that, the owner must not vouch that no request with the key has run.
func TestKeyOwnersChangeWithRegions(t *testing.T) {
	const window = time.Minute
	now := time.Unix(1e6, 0)
	k := newKeyStore(dedupe.NewStore(window, 1<<20), window, 0)
	original := newTestEgress(t, "127.0.0.1:1", table.Active).state()
	observe := func(s *table.State) { k.observe(now, &configsync.Snapshot{State: s, Ready: true}, "h1") }
	resend := func(name string, claimed, held []string) dedupe.Verdict {
		set := region.Any.Intersect(claimed)
		d := payment()
		d.Claim = &peerpb.Claim{Scope: "s", Key: name, Attempt: 2, Bound: set.IsRestricted(), Regions: set.Names()}
		v, _ := k.claim(now, d, region.Any.Intersect(held))
		return v
	}
	observe(withRegions(t, original, "a", "a,b", ""))
	now = now.Add(2 * window)
	if got, want := resend("known", []string{"a", "b"}, []string{"a", "b"}), dedupe.Grant; got != want {
		t.Errorf("after a window: got verdict %v, want %v", got, want)
	}
	if got, worse := resend("other", []string{"a"}, []string{"a", "b"}), dedupe.Grant; got == worse {
		t.Errorf("by other regions than the owner's: got verdict %v, want none that lets it run", got)
	}
	observe(withRegions(t, withRegions(t, original, "a", "a,b", ""), "a", "a", ""))
	now = now.Add(window / 2)
	if got, worse := resend("moved", []string{"a"}, []string{"a"}), dedupe.Grant; got == worse {
		t.Errorf("half a window after the regions changed: got verdict %v, want none that lets it run", got)
	}
	now = now.Add(window)
	if got, want := resend("settled", []string{"a"}, []string{"a"}), dedupe.Grant; got != want {
		t.Errorf("a window after the regions changed: got verdict %v, want %v", got, want)
	}
}
