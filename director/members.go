package director

import (
	"slices"

	"github.com/lynxplank/lynxplank/subset"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// nearMembers is how many endpoints of its own hall a node sends a service's requests to, farMembers how many of the other
	// halls' together. With fewer a node finds too few that are not under suspicion; with more its evidence is thin and its links
	// are many (docs/design/0011).
	nearMembers = 16
	farMembers  = 8
	// workShare is the most of its near members' slots that a node's own requests take before it sends to more of them.
	workShare = 0.5
	// workMemory is how much of an earlier need for members is left at the next look.
	workMemory = 0.98
)

// membership is which of a service's endpoints this node sends to; it is worked out anew when the endpoints or the hosts of the
// hall are others.
type membership struct {
	// endpoints and choosers are what it was worked out from.
	endpoints []table.Entry[table.Endpoint]
	choosers  []string
	// near and far are the places of the own hall's and of the other halls' endpoints, those that are chosen first and the
	// others in the order in which they follow; nearCount and farCount are how many are chosen.
	near, far           []int
	nearCount, farCount int
}

// fits tells whether the membership still follows from what it was worked out from.
func (m *membership) fits(endpoints []table.Entry[table.Endpoint], choosers []string) bool {
	if m == nil || !same(m.choosers, choosers) && !slices.Equal(m.choosers, choosers) {
		return false
	}
	return same(m.endpoints, endpoints) ||
		slices.EqualFunc(m.endpoints, endpoints, func(a, b table.Entry[table.Endpoint]) bool {
			return a.Key == b.Key && a.Value.Hall == b.Value.Hall && a.Value.Host == b.Value.Host
		})
}

// same tells whether two lists are one, which needs no look at what they hold.
func same[T any](a, b []T) bool { return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) }

// newMembership works out which endpoints a host sends to.
//
// Invariant: a host's own endpoints are always chosen, so that none is without a chooser.
func newMembership(self, hall string, choosers []string, endpoints []table.Entry[table.Endpoint]) *membership {
	m := &membership{endpoints: endpoints, choosers: choosers}
	byHall := make(map[string][]int)
	var halls []string
	for i, e := range endpoints {
		if byHall[e.Value.Hall] == nil {
			halls = append(halls, e.Value.Hall)
		}
		byHall[e.Value.Hall] = append(byHall[e.Value.Hall], i)
	}
	slices.Sort(halls)
	m.near, m.nearCount = m.choose(self, byHall[hall], nearMembers)
	m.nearCount = m.ownFirst(self)
	halls = slices.DeleteFunc(halls, func(h string) bool { return h == hall })
	m.addFar(self, halls, byHall)
	return m
}

// choose returns places in the order of preference, and how many of them are chosen.
func (m *membership) choose(self string, places []int, size int) ([]int, int) {
	keys := make([]string, len(places))
	for i, p := range places {
		keys[i] = m.endpoints[p].Key
	}
	order := subset.Choose(m.choosers, self, keys, size)
	count := len(order)
	for _, i := range subset.Order(self, keys) {
		if !slices.Contains(order[:count], i) {
			order = append(order, i)
		}
	}
	for n, i := range order {
		order[n] = places[i]
	}
	return order, count
}

// ownFirst brings the endpoints beside this node to the front and returns how many near ones are chosen with them.
func (m *membership) ownFirst(self string) int {
	count := m.nearCount
	for n, i := range m.near {
		if m.endpoints[i].Value.Host != self {
			continue
		}
		if n >= count {
			count++
		}
		m.near = slices.Insert(slices.Delete(m.near, n, n+1), 0, i)
	}
	return count
}

// addFar takes the other halls' endpoints in turn, a hall's share of the chosen ones each, then the rest.
func (m *membership) addFar(self string, halls []string, byHall map[string][]int) {
	if len(halls) == 0 {
		return
	}
	share := (farMembers + len(halls) - 1) / len(halls)
	var rest [][]int
	for _, h := range halls {
		order, count := m.choose(self, byHall[h], share)
		m.far = append(m.far, order[:count]...)
		rest = append(rest, order[count:])
	}
	m.farCount = len(m.far)
	for n, more := 0, true; more; n++ {
		more = false
		for _, list := range rest {
			if n < len(list) {
				m.far = append(m.far, list[n])
				more = true
			}
		}
	}
}

// members returns the places of the endpoints to send to: those that are chosen and, for each of them that is not open, the
// next one that is. A hall that has too few open endpoints of its own is made up for from the others. Need is how many near
// ones this node's requests take.
func (m *membership) members(need int, open func(i int) bool) []int {
	out, found := extend(nil, m.near, m.nearCount, max(m.nearCount, min(need, len(m.near))), open)
	missing := max(0, max(need, nearMembers)-found)
	out, _ = extend(out, m.far, m.farCount, m.farCount+missing, open)
	return out
}

// extend appends the first count of a list, and more of it until so many of them as wanted are open; it returns how many are.
func extend(out, list []int, count, want int, open func(i int) bool) ([]int, int) {
	found := 0
	for n, i := range list {
		if n >= count && found >= want {
			break
		}
		isOpen := open(i)
		if n >= count && !isOpen {
			continue
		}
		if isOpen {
			found++
		}
		out = append(out, i)
	}
	return out, found
}
