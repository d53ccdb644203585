package announce

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/table"
)

// linkModel models one node's links to a fleet in which some hosts are unreachable. The node learns of that only for
// hosts to which it keeps a link.
type linkModel struct {
	down map[string]time.Time
	kept map[string]bool
}

func (l *linkModel) UnreachableSince(address string) time.Time {
	if !l.kept[address] {
		return time.Time{}
	}
	return l.down[address]
}

func (l *linkModel) LinkHealthy(address string) bool {
	return l.kept[address] && l.down[address].IsZero()
}

func (l *linkModel) KeepOpen(address string) { l.kept[address] = true }

// TestEachExpiredHostIsRemovedOnce draws fleets of up to 120 hosts of which some are expired. Exactly one of the others
// must remove each expired host, and the links opened for watching must not outnumber the hosts.
func TestEachExpiredHostIsRemovedOnce(t *testing.T) {
	log := zerolog.Nop()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 120).Draw(t, "hosts")
		var hosts []table.HostInfo
		down := make(map[string]time.Time)
		for i := range n {
			id := fmt.Sprintf("h%03d", i)
			hosts = append(hosts, table.HostInfo{ID: id, Address: id})
			if rapid.IntRange(0, 4).Draw(t, "down") == 0 && len(down) < n/4 {
				down[id] = time.Now().Add(-time.Minute)
			}
		}
		removals := make(map[string]int)
		links := 0
		for _, h := range hosts {
			if !down[h.ID].IsZero() {
				continue
			}
			l := &linkModel{down: down, kept: make(map[string]bool)}
			// A node also has links to the hosts to which it sends requests.
			for i := range min(n, 16) {
				if o := hosts[(i*7)%n]; down[o.ID].IsZero() {
					l.kept[o.Address] = true
				}
			}
			before := len(l.kept)
			r := NewReaper(h.ID, time.Second, time.Second, &log, nil, l, nil)
			// A check opens links; a later check sees which of them failed.
			for range 2 {
				r.expired(time.Now(), hosts)
			}
			for _, g := range r.expired(time.Now(), hosts) {
				removals[g.ID]++
			}
			links += len(l.kept) - before
		}
		for id := range down {
			if got, want := removals[id], 1; got != want {
				t.Fatalf("removals of %s: got %d, want %d", id, got, want)
			}
		}
		if got, want := len(removals), len(down); got != want {
			t.Fatalf("hosts removed: got %d, want %d", got, want)
		}
		if got, limit := links, n; got > limit {
			t.Fatalf("links for watching: got %d, want at most %d", got, limit)
		}
	})
}

// TestAnnouncementOfDrainingEndpointIsKept guards against an endpoint that gets requests again because another node has
// deleted its host's announcement, with the leaving in it, while the host's node was down.
func TestAnnouncementOfDrainingEndpointIsKept(t *testing.T) {
	const limit = 10 * time.Second
	log := zerolog.Nop()
	now := time.Now()
	// The hosts in the order of the ring after h1; the first of them has the draining endpoint.
	hosts := []table.HostInfo{{ID: "h1", Address: "h1"}, {ID: "h2", Address: "h2"}, {ID: "h3", Address: "h3"}, {ID: "h4", Address: "h4"}, {ID: "h5", Address: "h5"}, {ID: "h6", Address: "h6"}}
	first, _ := (&Reaper{host: "h1"}).nextOnRing(hosts, "h1")
	second, _ := (&Reaper{host: "h1"}).nextOnRing(hosts, first.ID)
	for i := range hosts {
		if hosts[i].ID == first.ID {
			hosts[i].Endpoints = []table.Announced{{Key: "i1", Value: table.Endpoint{Phase: table.Draining}}}
		}
	}
	for _, c := range []struct {
		down time.Duration
		want []string
	}{
		{limit - time.Second, nil},
		{limit + time.Second, []string{second.ID}},
		{drainingExpiryFactor*limit - time.Second, []string{second.ID}},
		{drainingExpiryFactor*limit + time.Second, []string{first.ID, second.ID}},
	} {
		links := &linkModel{down: map[string]time.Time{first.ID: now.Add(-c.down), second.ID: now.Add(-c.down)}, kept: make(map[string]bool)}
		for _, h := range hosts {
			links.kept[h.Address] = true
		}
		r := NewReaper("h1", limit, time.Second, &log, nil, links, nil)
		var got []string
		for _, h := range r.expired(now, hosts) {
			got = append(got, h.ID)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("two hosts down for %v: got %v to remove, want %v", c.down, got, c.want)
		}
	}
}
