package director

import (
	"slices"

	"github.com/lynxplank/lynxplank/subset"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// localMembers is how many endpoints of its own hall a node sends a service's requests to, and remoteMembers how
	// many of all other halls together. With fewer members a node finds too few that are not suspect; with more, it has
	// too few observations of each and too many links (docs/design/0011).
	localMembers  = 16
	remoteMembers = 8
	// maxMemberLoad is the share of the local members' slots that a node's own requests may take before the node adds
	// members.
	maxMemberLoad = 0.5
	// requiredDecay is the factor by which an earlier number of required members decays at each refresh.
	requiredDecay = 0.98
)

// membership is the selection of a service's endpoints that this node sends requests to. It is recomputed when the
// endpoints or the hosts of the hall change.
type membership struct {
	// endpoints and nodes are the inputs that the membership was computed from; nodes are the hosts of the hall.
	endpoints []table.Entry[table.Endpoint]
	nodes     []string
	// local and remote are the indexes of the endpoints of the node's own hall and of the other halls, in order of
	// preference. The first localCount and remoteCount of them are selected; the rest are the replacements.
	local, remote           []int
	localCount, remoteCount int
}

// upToDate reports whether the membership still matches its inputs.
func (m *membership) upToDate(endpoints []table.Entry[table.Endpoint], nodes []string) bool {
	if m == nil || !sameSlice(m.nodes, nodes) && !slices.Equal(m.nodes, nodes) {
		return false
	}
	return sameSlice(m.endpoints, endpoints) ||
		slices.EqualFunc(m.endpoints, endpoints, func(a, b table.Entry[table.Endpoint]) bool {
			return a.Key == b.Key && a.Value.Hall == b.Value.Hall && a.Value.Host == b.Value.Host
		})
}

// sameSlice reports whether two slices share their memory, which spares comparing the elements.
func sameSlice[T any](a, b []T) bool { return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) }

// newMembership selects the endpoints that a host sends requests to.
//
// Invariant: endpoints on the host itself are always selected, so that every endpoint is selected by at least one node.
func newMembership(self, hall string, nodes []string, endpoints []table.Entry[table.Endpoint]) *membership {
	m := &membership{endpoints: endpoints, nodes: nodes}
	byHall := make(map[string][]int)
	var halls []string
	for i, e := range endpoints {
		if byHall[e.Value.Hall] == nil {
			halls = append(halls, e.Value.Hall)
		}
		byHall[e.Value.Hall] = append(byHall[e.Value.Hall], i)
	}
	slices.Sort(halls)
	m.local, m.localCount = m.rank(self, byHall[hall], localMembers)
	m.localCount = m.promoteColocated(self)
	halls = slices.DeleteFunc(halls, func(h string) bool { return h == hall })
	m.addRemote(self, halls, byHall)
	return m
}

// rank returns the given indexes in order of preference, and how many of them are selected.
func (m *membership) rank(self string, indexes []int, size int) ([]int, int) {
	keys := make([]string, len(indexes))
	for i, index := range indexes {
		keys[i] = m.endpoints[index].Key
	}
	order := subset.Choose(m.nodes, self, keys, size)
	count := len(order)
	for _, i := range subset.Order(self, keys) {
		if !slices.Contains(order[:count], i) {
			order = append(order, i)
		}
	}
	for n, i := range order {
		order[n] = indexes[i]
	}
	return order, count
}

// promoteColocated moves the endpoints on this host to the front of the local ones and returns the number of selected
// local endpoints including them.
func (m *membership) promoteColocated(self string) int {
	count := m.localCount
	for n, i := range m.local {
		if m.endpoints[i].Value.Host != self {
			continue
		}
		if n >= count {
			count++
		}
		m.local = slices.Insert(slices.Delete(m.local, n, n+1), 0, i)
	}
	return count
}

// addRemote selects an equal share of endpoints from each of the other halls. The replacements follow, one hall after
// the other in turn.
func (m *membership) addRemote(self string, halls []string, byHall map[string][]int) {
	if len(halls) == 0 {
		return
	}
	share := (remoteMembers + len(halls) - 1) / len(halls)
	var rest [][]int
	for _, h := range halls {
		order, count := m.rank(self, byHall[h], share)
		m.remote = append(m.remote, order[:count]...)
		rest = append(rest, order[count:])
	}
	m.remoteCount = len(m.remote)
	for n, more := 0, true; more; n++ {
		more = false
		for _, list := range rest {
			if n < len(list) {
				m.remote = append(m.remote, list[n])
				more = true
			}
		}
	}
}

// members returns the indexes of the endpoints to send requests to: the selected ones, plus the next available endpoint
// for each selected one that is unavailable. If the own hall has too few available endpoints, other halls make up the
// difference. required is how many local endpoints this node's requests need.
func (m *membership) members(required int, available func(i int) bool) []int {
	out, found := appendAvailable(nil, m.local, m.localCount, max(m.localCount, min(required, len(m.local))), available)
	missing := max(0, max(required, localMembers)-found)
	out, _ = appendAvailable(out, m.remote, m.remoteCount, m.remoteCount+missing, available)
	return out
}

// appendAvailable appends the first count entries of list, and further available entries until out has gained wanted
// available ones. It also returns how many available entries it appended.
func appendAvailable(out, list []int, count, wanted int, available func(i int) bool) ([]int, int) {
	found := 0
	for n, i := range list {
		if n >= count && found >= wanted {
			break
		}
		isAvailable := available(i)
		if n >= count && !isAvailable {
			continue
		}
		if isAvailable {
			found++
		}
		out = append(out, i)
	}
	return out, found
}
