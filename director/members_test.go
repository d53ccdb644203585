package director

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/eject"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
)

// fleet is drawn halls of hosts with an endpoint of one service beside some of them.
type fleet struct {
	hosts     map[string][]string
	endpoints []table.Entry[table.Endpoint]
}

func drawFleet(t *rapid.T) fleet {
	f := fleet{hosts: make(map[string][]string)}
	for h := range rapid.IntRange(1, 6).Draw(t, "halls") {
		hall := fmt.Sprintf("hall-%d", h)
		hosts := rapid.IntRange(1, 90).Draw(t, "hosts")
		with := rapid.IntRange(0, hosts).Draw(t, "endpoints")
		for i := range hosts {
			host := fmt.Sprintf("%s-%03d", hall, i)
			f.hosts[hall] = append(f.hosts[hall], host)
			if i < with {
				f.endpoints = append(f.endpoints, entryOf(host, hall))
			}
		}
	}
	return f
}

func entryOf(host, hall string) table.Entry[table.Endpoint] {
	return table.Entry[table.Endpoint]{
		Key: "e-" + host, Value: table.Endpoint{Service: "desk", Host: host, Hall: hall, Slots: 4, Weight: 1},
	}
}

func always(int) bool { return true }

// members returns the places of the endpoints that each host sends to.
func (f fleet) members(open func(i int) bool) map[string][]int {
	out := make(map[string][]int)
	for hall, hosts := range f.hosts {
		for _, host := range hosts {
			out[host] = newMembership(host, hall, hosts, f.endpoints).members(0, open)
		}
	}
	return out
}

// TestMembersAreBoundedAndComplete draws fleets: each host sends to a bounded number of different endpoints, to its own among
// them, and to as many as there are where there are few.
func TestMembersAreBoundedAndComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		for host, members := range f.members(always) {
			unique := slices.Compact(slices.Sorted(slices.Values(members)))
			if got, want := len(unique), len(members); got != want {
				t.Fatalf("different members of %s: got %d, want %d", host, got, want)
			}
			// Five halls share the far members evenly, rounded up, and one endpoint beside the node may come on top.
			if got, most := len(members), nearMembers+farMembers+5; got > most {
				t.Fatalf("members of %s: got %d, want at most %d", host, got, most)
			}
			if got, least := len(members), min(nearMembers, len(f.endpoints)); got < least {
				t.Fatalf("members of %s: got %d, want at least %d", host, got, least)
			}
			own := slices.IndexFunc(f.endpoints, func(e table.Entry[table.Endpoint]) bool { return e.Value.Host == host })
			if own >= 0 && !slices.Contains(members, own) {
				t.Fatalf("members of %s: got %v, want its own among them", host, members)
			}
		}
	})
}

// TestClosedMembersAreMadeUpFor closes drawn endpoints, whole halls among them: each host still sends to as many open ones as
// before, as long as there are any.
func TestClosedMembersAreMadeUpFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		hallGone := rapid.Bool().Draw(t, "a hall gone")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		closed := make([]bool, len(f.endpoints))
		left := 0
		for i, e := range f.endpoints {
			closed[i] = random.IntN(3) == 0 || hallGone && e.Value.Hall == "hall-0"
			if !closed[i] {
				left++
			}
		}
		for host, members := range f.members(func(i int) bool { return !closed[i] }) {
			open := 0
			for _, i := range members {
				if !closed[i] {
					open++
				}
			}
			if got, least := open, min(nearMembers, left); got < least {
				t.Fatalf("open members of %s: got %d, want at least %d", host, got, least)
			}
		}
	})
}

// TestBusyNodeSendsToMore checks that a node whose own requests fill its members' slots sends to more of the hall.
func TestBusyNodeSendsToMore(t *testing.T) {
	var f fleet
	f.hosts = map[string][]string{"hall-0": nil}
	for i := range 60 {
		host := fmt.Sprintf("hall-0-%03d", i)
		f.hosts["hall-0"] = append(f.hosts["hall-0"], host)
		f.endpoints = append(f.endpoints, entryOf(host, "hall-0"))
	}
	m := newMembership("hall-0-000", "hall-0", f.hosts["hall-0"], f.endpoints)
	for _, c := range []struct{ need, want int }{{0, nearMembers}, {10, nearMembers}, {40, 40}, {100, 60}} {
		if got := len(m.members(c.need, always)); got < c.want || got > c.want+1 {
			t.Errorf("members for a need of %d: got %d, want %d, or one more for its own", c.need, got, c.want)
		}
	}
}

// TestFloorHoldsOverSubsets gives every host of a hall drawn work of its members and a detector of its own: the capacity that
// all choosers of it have ejected is at most what the floor allows of the whole, by as much as choosers are uneven.
func TestFloorHoldsOverSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(20, 60).Draw(t, "hosts")
		floor := rapid.Float64Range(0.3, 0.9).Draw(t, "floor")
		f := fleet{hosts: map[string][]string{"hall-0": nil}}
		for i := range n {
			host := fmt.Sprintf("hall-0-%03d", i)
			f.hosts["hall-0"] = append(f.hosts["hall-0"], host)
			f.endpoints = append(f.endpoints, entryOf(host, "hall-0"))
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		bad := rapid.Float64Range(0, 1).Draw(t, "bad")
		failing := make([]bool, n)
		for i := range failing {
			failing[i] = random.Float64() < bad
		}
		choosers, ejectors := make([]int, n), make([]int, n)
		for _, members := range f.members(always) {
			s := detectorOf(f, members, failing, floor, random)
			for _, i := range members {
				choosers[i]++
				if p := s.Verdict(f.endpoints[i].Key).Phase; p == eject.Ejected || p == eject.Trickle {
					ejectors[i]++
				}
			}
		}
		out, pairs := 0, 0
		for i := range choosers {
			pairs += choosers[i]
			if ejectors[i] == choosers[i] {
				out++
			}
		}
		uneven := float64(pairs) / float64(n) / float64(slices.Min(choosers))
		if got, most := float64(out), (1-floor)*float64(n)*uneven+1e-9; got > most {
			t.Fatalf("endpoints ejected by all their choosers: got %v of %d, want at most %v", got, n, most)
		}
	})
}

// detectorOf returns a host's detector after some work of its members.
func detectorOf(f fleet, members []int, failing []bool, floor float64, random *rand.Rand) *eject.Detector {
	s := eject.NewDetector(eject.DefaultConfig().With(1, floor))
	now := time.Unix(0, 0)
	var list []eject.Endpoint
	for _, i := range members {
		list = append(list, eject.Endpoint{Key: f.endpoints[i].Key, Capacity: 4, Usable: true})
	}
	s.SetEndpoints(now, list)
	for range 300 {
		i := members[random.IntN(len(members))]
		ev := eject.Observation{Kind: eject.Success, Latency: 5 * time.Millisecond}
		if failing[i] {
			ev.Kind = eject.Failure
		}
		now = now.Add(20 * time.Millisecond)
		s.Observe(now, f.endpoints[i].Key, ev)
		s.Tick(now)
	}
	return s
}

// ownHall returns a started director of host h001 in a hall of n hosts, an endpoint of two slots beside each.
func ownHall(t testing.TB, n int) *Director {
	t.Helper()
	service, err := table.NewRow(table.KindService, "desk", nil)
	if err != nil {
		t.Fatal(err)
	}
	rows := []table.Row{service}
	var hosts []string
	for i := 1; i <= n; i++ {
		host := fmt.Sprintf("h%03d", i)
		hosts = append(hosts, host)
		row, err := table.NewRow(table.KindEndpoint, "e-"+host, []string{"desk", host, "hall-1", "127.0.0.1:1", "2"})
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, row)
	}
	s, err := table.NewState().With(table.Delta{Full: true, To: 1, Rows: rows})
	if err != nil {
		t.Fatal(err)
	}
	log := zerolog.Nop()
	d := New(Config{Host: "h001", Hall: "hall-1", HallHosts: func() []string { return hosts }}, &log,
		func() *table.State { return s }, func(string) bool { return false }, func(string) bool { return true })
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Stop(context.Background()) })
	return d
}

// TestOwnEndpointComesFirst checks that a request goes to the endpoint beside the node while that is less than half full, but
// for the share that is drawn, and to others from then on.
func TestOwnEndpointComesFirst(t *testing.T) {
	d := ownHall(t, 40)
	const tries = 200
	own := 0
	for range tries {
		p, got := picked(t, d, PickOptions{RequireFreeSlot: true, LocalHallOnly: true})
		if got == "e-h001" {
			own++
		}
		d.Done(Report{Service: "desk", Pick: p})
	}
	if got, least := own, tries*3/4; got < least {
		t.Errorf("requests to the own endpoint, of %d one after the other: got %d, want at least %d", tries, got, least)
	}
	held := 0
	for range 10 {
		if _, got := picked(t, d, PickOptions{RequireFreeSlot: true, LocalHallOnly: true}); got == "e-h001" {
			held++
		}
	}
	if got, most := held, 2; got > most {
		t.Errorf("requests that the own endpoint of two slots holds at once: got %d, want at most %d", got, most)
	}
}

// TestOnlyReachesBeyondTheMembers checks that a key's home is found although this node would not choose it, and an endpoint
// that does not exist is not.
func TestOnlyReachesBeyondTheMembers(t *testing.T) {
	d := ownHall(t, 60)
	for i := 1; i <= 60; i++ {
		key := fmt.Sprintf("e-h%03d", i)
		if _, got := picked(t, d, PickOptions{Pinned: key}); got != key {
			t.Errorf("only %s: got %s", key, got)
		}
		if got, want := d.EligibleOwner(t.Context(), "desk", key), true; got != want {
			t.Errorf("%s may be a home: got %v, want %v", key, got, want)
		}
	}
	if _, got := picked(t, d, PickOptions{Pinned: "e-none"}); got != string(fault.NoEndpoint) {
		t.Errorf("only an endpoint that does not exist: got %s, want %s", got, fault.NoEndpoint)
	}
}
