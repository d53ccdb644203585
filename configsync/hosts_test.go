package configsync

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// fleetModel models a store of announcements, and nodes that read it or pull from each other.
type fleetModel struct {
	version   uint64
	announced map[string]uint64
	removed   []removedHost
	nodes     []hostList
}

// read brings a node to the store's list: by the changes since the node's revision, or by a read of the whole table.
func (m *fleetModel) read(n int, whole bool) {
	l := m.nodes[n]
	next := hostList{revision: l.revision, base: l.base, removed: l.removed}
	if whole || l.hosts == nil {
		next.base, next.removed = m.version, nil
	}
	for id, v := range m.announced {
		next.hosts = append(next.hosts, table.HostInfo{ID: id, Hall: "hall", Address: "127.0.0.1:1", Version: v})
		next.revision = max(next.revision, v)
	}
	for _, g := range m.removed {
		if g.version > l.revision && next.base < g.version {
			next.removed = append(slices.Clone(next.removed), g)
			next.revision = max(next.revision, g.version)
		}
	}
	next.hosts = sortedByID(next.hosts)
	m.nodes[n] = next.trimmed()
}

// pull brings a node to the list of another node, encoded for the wire and decoded.
func (m *fleetModel) pull(n, from int) {
	if m.nodes[from].revision <= m.nodes[n].revision {
		return
	}
	snap := &Snapshot{list: m.nodes[from], Hosts: m.nodes[from].hosts}
	_, c := deltasFromParts([]*peerpb.Delta{hostsDelta(snap.hostsSince(m.nodes[n].revision, true))})
	m.nodes[n], _ = m.nodes[n].with(*c)
}

// TestHostListsConverge adds, changes and removes hosts while nodes read the store or pull from each other in any
// order: a node that has reached the store's newest revision in any way holds exactly the store's list.
func TestHostListsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{announced: make(map[string]uint64), nodes: make([]hostList, 4)}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			n := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
			id := fmt.Sprintf("h%d", rapid.IntRange(0, 5).Draw(t, "host"))
			switch rapid.SampledFrom([]string{"write", "remove", "read", "read whole", "pull", "pull", "pull"}).Draw(t, "what") {
			case "write":
				m.version++
				m.announced[id] = m.version
			case "remove":
				if _, ok := m.announced[id]; ok {
					m.version++
					delete(m.announced, id)
					m.removed = append(m.removed, removedHost{id: id, version: m.version})
				}
			case "read":
				m.read(n, false)
			case "read whole":
				m.read(n, true)
			case "pull":
				m.pull(n, rapid.IntRange(0, len(m.nodes)-1).Draw(t, "from"))
			}
		}
		for i, l := range m.nodes {
			if l.revision != m.version {
				continue
			}
			got := make(map[string]uint64)
			for _, h := range l.hosts {
				got[h.ID] = h.Version
			}
			if !maps.Equal(got, m.announced) {
				t.Fatalf("node %d at revision %d: got %v, want %v", i, l.revision, got, m.announced)
			}
		}
	})
}

// TestHostChangesAreSmall checks that a peer which lacks one of many announcements is sent only this one, and that a
// peer which does not accept changes is sent the whole list.
func TestHostChangesAreSmall(t *testing.T) {
	var l hostList
	for i := range 1000 {
		l.hosts = append(l.hosts, table.HostInfo{ID: fmt.Sprintf("h%04d", i), Version: uint64(i + 1)})
	}
	l.revision, l.base = 1000, 500
	snap := &Snapshot{list: l, Hosts: l.hosts}
	for _, c := range []struct {
		from    uint64
		changes bool
		want    int
	}{{999, true, 1}, {999, false, 1000}, {499, true, 1000}, {0, true, 1000}} {
		if got := len(hostsDelta(snap.hostsSince(c.from, c.changes)).GetHosts()); got != c.want {
			t.Errorf("from %d, changes only %v: got %d announcements, want %d", c.from, c.changes, got, c.want)
		}
	}
}

// TestRestartedNodePassesOnStoredEndpoints guards against a peer that loses an endpoint, or the leaving of one, because the
// endpoint's node was restarted and passes on its announcement before the endpoint has reported again.
func TestRestartedNodePassesOnStoredEndpoints(t *testing.T) {
	const version, from = 7, 8
	endpoint := func(key string, phase table.Phase) []table.Announced {
		return []table.Announced{{Key: key, Value: table.Endpoint{Service: "desk", Host: "h1", Hall: "hall-1", Address: "10.0.0.1:80", Slots: 4, Weight: 1, Phase: phase}}}
	}
	stored := table.HostInfo{ID: "h1", Hall: "hall-1", Address: "10.0.0.1:1", Version: version, Incarnation: 1, Endpoints: endpoint("i1", table.Draining)}
	stored.Ended = []string{"i0"}
	restarted := table.HostInfo{ID: "h1", Hall: "hall-1", Address: "10.0.0.1:2", Version: version, Incarnation: 2}
	reported := restarted
	reported.Endpoints = endpoint("i2", table.Active)
	other := table.HostInfo{ID: "h2", Hall: "hall-1", Address: "10.0.0.2:1", Version: from + 1}
	for _, c := range []struct {
		name    string
		local   table.HostInfo
		changes bool
		want    []table.Announced
		ended   []string
	}{
		{"nothing reported, changes", restarted, true, stored.Endpoints, stored.Ended},
		{"nothing reported, whole list", restarted, false, stored.Endpoints, stored.Ended},
		{"an endpoint reported, changes", reported, true, reported.Endpoints, nil},
		{"an endpoint reported, whole list", reported, false, reported.Endpoints, nil},
	} {
		snap := &Snapshot{
			list:               hostList{hosts: []table.HostInfo{stored, other}, revision: other.Version, base: 1},
			Hosts:              []table.HostInfo{c.local, other},
			ByID:               map[string]table.HostInfo{c.local.ID: c.local, other.ID: other},
			StoredAnnouncement: stored,
		}
		_, got := deltasFromParts([]*peerpb.Delta{hostsDelta(snap.hostsSince(from, c.changes))})
		i := slices.IndexFunc(got.hosts, func(h table.HostInfo) bool { return h.ID == "h1" })
		if i < 0 {
			t.Errorf("%s: got %+v, want the host's own announcement", c.name, got.hosts)
			continue
		}
		if h := got.hosts[i]; !slices.Equal(h.Endpoints, c.want) || !slices.Equal(h.Ended, c.ended) || h.Address != restarted.Address {
			t.Errorf("%s: got %+v, want endpoints %+v, ended %v, address %s", c.name, h, c.want, c.ended, restarted.Address)
		}
		if got, want := len(got.hosts), 2; got != want {
			t.Errorf("%s: hosts: got %d, want %d", c.name, got, want)
		}
	}
}
