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

// fleet is a random fleet: halls of hosts, some of which have an endpoint of the service.
type fleet struct {
	hosts     map[string][]string
	endpoints []table.Entry[table.Endpoint]
}

func drawFleet(t *rapid.T) fleet {
	f := fleet{hosts: make(map[string][]string)}
	for h := range rapid.IntRange(1, 6).Draw(t, "halls") {
		hall := fmt.Sprintf("hall-%d", h)
		hosts := rapid.IntRange(1, 90).Draw(t, "hosts")
		endpoints := rapid.IntRange(0, hosts).Draw(t, "endpoints")
		for i := range hosts {
			host := fmt.Sprintf("%s-%03d", hall, i)
			f.hosts[hall] = append(f.hosts[hall], host)
			if i < endpoints {
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

func alwaysAvailable(int) bool { return true }

// members returns the indexes of the endpoints that each host sends requests to.
func (f fleet) members(available func(i int) bool) map[string][]int {
	result := make(map[string][]int)
	for hall, hosts := range f.hosts {
		for _, host := range hosts {
			result[host] = newMembership(host, hall, hosts, f.endpoints).members(0, available)
		}
	}
	return result
}

// TestMembersAreBoundedAndComplete checks for random fleets that each host selects a bounded number of different
// endpoints, with its own among them, and all endpoints if there are few.
func TestMembersAreBoundedAndComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		for host, members := range f.members(alwaysAvailable) {
			unique := slices.Compact(slices.Sorted(slices.Values(members)))
			if got, want := len(unique), len(members); got != want {
				t.Fatalf("different members of %s: got %d, want %d", host, got, want)
			}
			// Five other halls share the remote members evenly, rounded up, and the endpoint on the host itself may
			// come in addition.
			if got, limit := len(members), localMembers+remoteMembers+5; got > limit {
				t.Fatalf("members of %s: got %d, want at most %d", host, got, limit)
			}
			if got, limit := len(members), min(localMembers, len(f.endpoints)); got < limit {
				t.Fatalf("members of %s: got %d, want at least %d", host, got, limit)
			}
			own := slices.IndexFunc(f.endpoints, func(e table.Entry[table.Endpoint]) bool { return e.Value.Host == host })
			if own >= 0 && !slices.Contains(members, own) {
				t.Fatalf("members of %s: got %v, want its own among them", host, members)
			}
		}
	})
}

// TestClosedMembersAreReplaced makes random endpoints unavailable, and in some fleets a whole hall: each host must
// still select as many available endpoints as before, if there are enough.
func TestClosedMembersAreReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		hallUnavailable := rapid.Bool().Draw(t, "hall unavailable")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		unavailable := make([]bool, len(f.endpoints))
		remaining := 0
		for i, e := range f.endpoints {
			unavailable[i] = random.IntN(3) == 0 || hallUnavailable && e.Value.Hall == "hall-0"
			if !unavailable[i] {
				remaining++
			}
		}
		for host, members := range f.members(func(i int) bool { return !unavailable[i] }) {
			available := 0
			for _, i := range members {
				if !unavailable[i] {
					available++
				}
			}
			if got, limit := available, min(localMembers, remaining); got < limit {
				t.Fatalf("available members of %s: got %d, want at least %d", host, got, limit)
			}
		}
	})
}

// TestBusyNodeAddsMembers checks that a node whose own requests fill its members' slots sends requests to more
// endpoints of its hall.
func TestBusyNodeAddsMembers(t *testing.T) {
	var f fleet
	f.hosts = map[string][]string{"hall-0": nil}
	for i := range 60 {
		host := fmt.Sprintf("hall-0-%03d", i)
		f.hosts["hall-0"] = append(f.hosts["hall-0"], host)
		f.endpoints = append(f.endpoints, entryOf(host, "hall-0"))
	}
	m := newMembership("hall-0-000", "hall-0", f.hosts["hall-0"], f.endpoints)
	for _, c := range []struct{ required, want int }{{0, localMembers}, {10, localMembers}, {40, 40}, {100, 60}} {
		if got := len(m.members(c.required, alwaysAvailable)); got < c.want || got > c.want+1 {
			t.Errorf("members when %d are required: got %d, want %d, or one more for the host's own endpoint", c.required, got, c.want)
		}
	}
}

// TestFloorHoldsOverSubsets checks the floor when each host ejects only among its own members. Every host of a hall
// gets random results of its members and a detector of its own. The number of endpoints that are ejected by all hosts
// sending to them may exceed what the floor allows only as far as the numbers of hosts per endpoint are uneven.
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
		senders, ejectors := make([]int, n), make([]int, n)
		for _, members := range f.members(alwaysAvailable) {
			s := detectorOf(f, members, failing, floor, random)
			for _, i := range members {
				senders[i]++
				if p := s.Verdict(f.endpoints[i].Key).Phase; p == eject.Ejected || p == eject.Trickle {
					ejectors[i]++
				}
			}
		}
		ejectedByAll, pairs := 0, 0
		for i := range senders {
			pairs += senders[i]
			if ejectors[i] == senders[i] {
				ejectedByAll++
			}
		}
		uneven := float64(pairs) / float64(n) / float64(slices.Min(senders))
		if got, limit := float64(ejectedByAll), (1-floor)*float64(n)*uneven+1e-9; got > limit {
			t.Fatalf("endpoints ejected by all hosts that send to them: got %v of %d, want at most %v", got, n, limit)
		}
	})
}

// detectorOf returns a host's detector after random results of its members.
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
		o := eject.Observation{Kind: eject.Success, Latency: 5 * time.Millisecond}
		if failing[i] {
			o.Kind = eject.Failure
		}
		now = now.Add(20 * time.Millisecond)
		s.Observe(now, f.endpoints[i].Key, o)
		s.Tick(now)
	}
	return s
}

// singleHallDirector returns a started director of host h001 in a hall of n hosts, each with an endpoint of two slots.
func singleHallDirector(t testing.TB, n int) *Director {
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

// TestColocatedEndpointIsPreferred checks that requests go to the endpoint on the node's own host while it is less than
// half full, but for the share that is balanced over all endpoints, and to other endpoints from then on.
func TestColocatedEndpointIsPreferred(t *testing.T) {
	d := singleHallDirector(t, 40)
	const tries = 200
	colocated := 0
	for range tries {
		p, got := pickKey(t, d, PickOptions{RequireFreeSlot: true, LocalHallOnly: true})
		if got == "e-h001" {
			colocated++
		}
		d.Done(Report{Service: "desk", Pick: p})
	}
	if got, limit := colocated, tries*3/4; got < limit {
		t.Errorf("sequential requests to the co-located endpoint, of %d: got %d, want at least %d", tries, got, limit)
	}
	held := 0
	for range 10 {
		if _, got := pickKey(t, d, PickOptions{RequireFreeSlot: true, LocalHallOnly: true}); got == "e-h001" {
			held++
		}
	}
	if got, limit := held, 2; got > limit {
		t.Errorf("requests that the co-located endpoint of two slots holds at once: got %d, want at most %d", got, limit)
	}
}

// TestPinnedEndpointNeedNotBeAMember checks that a request can be pinned to any endpoint of the service, such as a
// key's owner, and not to an endpoint that does not exist.
func TestPinnedEndpointNeedNotBeAMember(t *testing.T) {
	d := singleHallDirector(t, 60)
	for i := 1; i <= 60; i++ {
		key := fmt.Sprintf("e-h%03d", i)
		if _, got := pickKey(t, d, PickOptions{Pinned: key}); got != key {
			t.Errorf("pinned to %s: got %s", key, got)
		}
		if got, want := d.EligibleOwner(t.Context(), "desk", key), true; got != want {
			t.Errorf("%s is an eligible owner: got %v, want %v", key, got, want)
		}
	}
	if _, got := pickKey(t, d, PickOptions{Pinned: "e-none"}); got != string(fault.NoEndpoint) {
		t.Errorf("pinned to an endpoint that does not exist: got %s, want %s", got, fault.NoEndpoint)
	}
}
