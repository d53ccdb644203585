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

// bind returns a state in which hall-1 is in a region, and the data of a route and a customer may be in some alone.
func bind(t *testing.T, s *table.State, where, route, customer string) *table.State {
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

// TestDataIsAskedForWhereItMayBe has requests come to a node whose region their data may not be in, by their route, their customer, both, or
// because nobody says where the node is: each is refused as not run before its body is asked for, keyed ones too.
func TestDataIsAskedForWhereItMayBe(t *testing.T) {
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
			e := at(t, "127.0.0.1:1", table.Active)
			s := bind(t, e.state(), c.where, c.route, c.customer)
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

// TestHomesMoveWithTheirRegions has the regions of a route change, and a sender that goes by other regions than the key's home knows: for the
// window after it the home does not say that it knows of no run.
func TestHomesMoveWithTheirRegions(t *testing.T) {
	const window = time.Minute
	now := time.Unix(1e6, 0)
	k := newKeys(dedupe.NewStore(window, 1<<20), window, 0)
	home := at(t, "127.0.0.1:1", table.Active).state()
	observe := func(s *table.State) { k.observe(now, &configsync.Snapshot{State: s, Ready: true}, "h1") }
	resend := func(name string, claimed, held []string) dedupe.Verdict {
		set := region.Any.Intersect(claimed)
		d := payment()
		d.Claim = &peerpb.Claim{Scope: "s", Key: name, Attempt: 2, Bound: set.IsRestricted(), Regions: set.Names()}
		v, _ := k.claim(now, d, region.Any.Intersect(held))
		return v
	}
	observe(bind(t, home, "a", "a,b", ""))
	now = now.Add(2 * window)
	if got, want := resend("known", []string{"a", "b"}, []string{"a", "b"}), dedupe.Grant; got != want {
		t.Errorf("after a window: got verdict %v, want %v", got, want)
	}
	if got, worse := resend("other", []string{"a"}, []string{"a", "b"}), dedupe.Grant; got == worse {
		t.Errorf("by other regions than the home's: got verdict %v, want none that lets it run", got)
	}
	observe(bind(t, bind(t, home, "a", "a,b", ""), "a", "a", ""))
	now = now.Add(window / 2)
	if got, worse := resend("moved", []string{"a"}, []string{"a"}), dedupe.Grant; got == worse {
		t.Errorf("half a window after the regions changed: got verdict %v, want none that lets it run", got)
	}
	now = now.Add(window)
	if got, want := resend("settled", []string{"a"}, []string{"a"}), dedupe.Grant; got != want {
		t.Errorf("a window after the regions changed: got verdict %v, want %v", got, want)
	}
}
