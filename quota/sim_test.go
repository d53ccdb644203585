package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The nodes of the simulated fleets request and grant allotments, freeze, restart, lose messages and learn of changes
// late. The tests check the requests that passed, summed over all nodes, in every window.
const (
	simTick   = 10 * time.Millisecond
	simWindow = 5 * time.Second
	simSettle = 2 * time.Second
	// simAskTimeout is how long a node waits for an owner's answer.
	simAskTimeout = 40 * time.Millisecond
	simCustomer   = "acme"
)

// simNode is one node, whose clock differs from the fleet's by offset.
type simNode struct {
	host     Host
	offset   time.Duration
	owner    *Owner
	holder   *Holder
	fallback *Fallback
	// list is the index of the newest list of hosts that it has learned.
	list int
	// frozenUntil is until when it does nothing, cutUntil until when it reaches no other node, startedAt when its
	// process started.
	frozenUntil, cutUntil, startedAt time.Duration
	// grantedUntil is when its allotment expires by the owner's count.
	grantedUntil time.Duration
	// slow makes it learn of each list as late as possible.
	slow bool
}

// simFleet is a fleet in virtual time.
type simFleet struct {
	random *rand.Rand
	nodes  []*simNode
	// lists are the lists of hosts, and since the times at which they were published.
	lists    []*Placement
	since    []time.Duration
	now      time.Duration
	limit    Limit
	fallback int
	// evenShares makes every node grant to itself alone; longCuts lets nodes stay cut off for longer than a list takes
	// to settle.
	evenShares, longCuts bool
	// suspends makes hosts be suspended where they would freeze; clockStops makes their clocks stop meanwhile.
	suspends, clockStops bool
	// passed are the times at which requests passed.
	passed []time.Duration
	// staleSelfGrants counts the requests that nodes that were cut off granted to themselves by an outdated list.
	staleSelfGrants int
	// usedAfterExpiry counts the requests that passed on allotments that had expired by the owner's count.
	usedAfterExpiry int
	// asked counts the requests for allotments, arrived the customer's requests, refused those of them that were
	// refused.
	asked   int
	refused int
	arrived int
	// takenOver is the latest list by which a host has granted that was no owner by the list before it.
	takenOver int
	// violations describes each violation of an invariant.
	violations []string
}

// simStart is far from the zero time, which the code under test takes for "never".
var simStart = time.Unix(1_000_000, 0)

func (f *simFleet) clock(n *simNode) time.Time { return simStart.Add(f.now + n.offset) }

func newSimFleet(random *rand.Rand, nodes, halls int, limit Limit, fallback int) *simFleet {
	f := &simFleet{random: random, limit: limit, fallback: fallback}
	var hosts []Host
	for i := range nodes {
		h := Host{ID: fmt.Sprint("h", i), Hall: fmt.Sprint("hall", i%halls)}
		hosts = append(hosts, h)
		n := &simNode{host: h, offset: time.Duration(random.IntN(1e9)), slow: random.IntN(2) == 0}
		f.nodes = append(f.nodes, n)
		f.restart(n)
	}
	f.publishList(hosts)
	return f
}

func (f *simFleet) restart(n *simNode) {
	settle := simSettle
	if f.evenShares {
		settle = 0
	}
	n.startedAt = f.now
	n.owner = NewOwner(f.clock(n), settle)
	n.holder = NewHolder(DefaultHolderConfig())
	n.fallback = NewFallback(f.clock(n), simWindow)
}

// publishList makes a list of hosts the newest.
func (f *simFleet) publishList(hosts []Host) {
	f.lists = append(f.lists, NewPlacement(hosts))
	f.since = append(f.since, f.now)
}

// learn switches a node to a newer list; it ignores an older one.
func (f *simFleet) learn(n *simNode, list int) {
	if list <= n.list {
		return
	}
	old := f.lists[n.list]
	n.list = list
	if !f.lists[list].SameOwners(old) && !f.evenShares {
		n.owner.HostsChanged(f.clock(n), func(c string) bool { return f.isOwner(n, c) })
	}
}

func (f *simFleet) isOwner(n *simNode, customer string) bool {
	return slices.Contains(f.lists[n.list].Owners(customer), n.host)
}

// grant makes a node answer a request for an allotment; it returns false if the node is no owner by its own list.
func (f *simFleet) grant(n *simNode, want int) (Allotment, bool) {
	if f.evenShares {
		return n.owner.Grant(f.clock(n), simCustomer, f.limit.Share(len(f.nodes)), want), true
	}
	if !f.isOwner(n, simCustomer) {
		return Allotment{}, false
	}
	a := n.owner.Grant(f.clock(n), simCustomer, f.limit.Share(len(f.lists[n.list].Owners(simCustomer))), want)
	if a.Count > 0 {
		f.checkSingleOwner(n)
	}
	return a, true
}

// checkSingleOwner checks that no share of a limit is granted by two owners: once a new owner that was up when its list
// was published has granted from a share, no node that is no owner any more grants by an older list. With longCuts that
// may happen: staleSelfGrants counts it.
func (f *simFleet) checkSingleOwner(n *simNode) {
	if n.list > 0 && n.list > f.takenOver && n.startedAt < f.since[n.list] &&
		!slices.Contains(f.lists[n.list-1].Owners(simCustomer), n.host) {
		f.takenOver = n.list
	}
	if !f.longCuts && n.list < f.takenOver && !slices.Contains(f.lists[f.takenOver].Owners(simCustomer), n.host) {
		f.violations = append(f.violations, fmt.Sprintf("%v: %s grants by list %d, but list %d gave its share to a new owner",
			f.now, n.host.ID, n.list, f.takenOver))
	}
}

func (f *simFleet) reaches(a, b *simNode) bool {
	return a == b || a.cutUntil <= f.now && b.cutUntil <= f.now && b.frozenUntil <= f.now
}

// request simulates the arrival of one request of the customer at a node.
func (f *simFleet) request(n *simNode) {
	if n.frozenUntil > f.now {
		return
	}
	f.arrived++
	want := n.holder.RecordDemand(f.clock(n), simCustomer)
	if f.use(n) {
		return
	}
	owners := []Host{n.host}
	if !f.evenShares {
		owners = f.lists[n.list].Owners(simCustomer)
		slices.SortStableFunc(owners, func(a, b Host) int { return hallOrder(n.host, a) - hallOrder(n.host, b) })
	}
	names := make([]string, 0, len(owners))
	for _, h := range owners {
		names = append(names, h.ID)
		if n.holder.CanAsk(f.clock(n), simCustomer, h.ID) && f.ask(n, h, want) && f.use(n) {
			return
		}
	}
	_, reached := n.holder.RetryDelay(f.clock(n), simCustomer, names)
	if !reached && n.fallback.Use(f.clock(n), simCustomer, f.lists[n.list].Share(n.host.ID, simCustomer, f.fallback)) {
		f.passed = append(f.passed, f.now)
		return
	}
	f.refused++
}

func hallOrder(n, owner Host) int {
	if n.Hall == owner.Hall {
		return 0
	}
	return 1
}

func (f *simFleet) use(n *simNode) bool {
	if f.random.IntN(2000) == 0 {
		// The node freezes between the owner's answer and the request, while time goes on for the others.
		n.frozenUntil = f.now + time.Duration(f.random.IntN(3e9))
		f.stopClock(n)
		f.pass(n, n.frozenUntil)
		return true
	}
	return f.pass(n, f.now)
}

// suspendMany suspends most hosts at once, as a migration of their machines does.
func (f *simFleet) suspendMany() {
	length := time.Duration(f.random.IntN(4e9))
	for _, o := range f.nodes {
		if f.random.IntN(4) > 0 {
			o.frozenUntil = f.now + length
			f.stopClock(o)
		}
	}
}

// stopClock stops a node's clock while its host is suspended, if clockStops is set.
func (f *simFleet) stopClock(n *simNode) {
	if f.suspends && f.clockStops {
		n.offset -= n.frozenUntil - f.now
	}
}

// pass uses the node's allotment at a time, unless it has expired by the node's clock.
func (f *simFleet) pass(n *simNode, at time.Duration) bool {
	now := f.clock(n).Add(at - f.now)
	expiresAt, ok := n.holder.Use(now, simCustomer)
	if !ok {
		return false
	}
	f.passed = append(f.passed, at)
	if at > n.grantedUntil {
		f.usedAfterExpiry++
	}
	if !now.Before(expiresAt) {
		f.violations = append(f.violations, fmt.Sprintf("%v: %s uses an allotment %v after its expiry", at, n.host.ID, now.Sub(expiresAt)))
	}
	return true
}

// ask asks an owner for an allotment. The request or the answer may be lost, and the answer may come too late.
func (f *simFleet) ask(n *simNode, h Host, want int) bool {
	askedAt := f.clock(n)
	owner := f.nodes[slices.IndexFunc(f.nodes, func(o *simNode) bool { return o.host == h })]
	f.asked++
	if !f.reaches(n, owner) || n != owner && f.random.IntN(50) == 0 {
		n.holder.MarkUnresponsive(askedAt, h.ID)
		return false
	}
	a, ok := f.grant(owner, want)
	took := time.Duration(f.random.IntN(int(simAskTimeout / 20)))
	if n != owner && f.random.IntN(50) == 0 {
		took = simAskTimeout + 1
	}
	if n == owner && owner.cutUntil > f.now && f.lists[len(f.lists)-1] != f.lists[owner.list] {
		f.staleSelfGrants += a.Count
	}
	if !ok || took > simAskTimeout {
		// The allotment is lost: no node uses it.
		n.holder.MarkUnresponsive(askedAt, h.ID)
		return false
	}
	n.holder.Add(askedAt, askedAt.Add(took), simCustomer, h.ID, a)
	if a.Count > 0 {
		n.grantedUntil = max(n.grantedUntil, f.now+DefaultHolderConfig().AllotmentDuration)
	}
	return a.Count > 0
}

// injectFault draws the fault, if any, that happens in a tick.
func (f *simFleet) injectFault() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	switch f.random.IntN(60) {
	case 0:
		f.restart(n)
	case 1:
		n.frozenUntil = f.now + time.Duration(f.random.IntN(4e9))
		f.stopClock(n)
	case 2:
		// A slow node learns of a change after half the time to settle and may be cut off for the other half.
		maxLength := simSettle/2 - 3*simTick
		if f.longCuts {
			maxLength = 8 * time.Second
		}
		if n.cutUntil+2*simTick > f.now && n.cutUntil > 0 && !f.longCuts {
			// Without a pause between two cuts the node would not learn of a change in time.
			return
		}
		n.cutUntil = f.now + time.Duration(f.random.Int64N(int64(maxLength)))
	case 3:
		f.newList()
	case 5:
		if f.suspends {
			f.suspendMany()
		}
	case 4:
		// A third of the nodes restart at once.
		for _, o := range f.nodes {
			if f.random.IntN(3) == 0 {
				f.restart(o)
			}
		}
	}
}

// newList publishes a random list of hosts if the previous list has settled.
func (f *simFleet) newList() {
	if f.since[len(f.since)-1]+simSettle <= f.now {
		f.publishList(f.someHosts())
	}
}

// someHosts returns the hosts without a random one in ten.
func (f *simFleet) someHosts() []Host {
	var hosts []Host
	for _, n := range f.nodes {
		if f.random.IntN(10) > 0 {
			hosts = append(hosts, n.host)
		}
	}
	for _, n := range f.nodes[:min(OwnersPerCustomer, len(f.nodes))] {
		// The bound does not hold across changes between lists of fewer than OwnersPerCustomer hosts.
		if !slices.Contains(hosts, n.host) {
			hosts = append(hosts, n.host)
		}
	}
	return hosts
}

// step advances the time by a tick, in which some requests arrive.
func (f *simFleet) step(requests float64, to func() *simNode) {
	f.now += simTick
	newest := len(f.lists) - 1
	for _, n := range f.nodes {
		late := f.since[newest]+simSettle/2 <= f.now
		if n.cutUntil <= f.now && (late || !n.slow && f.random.IntN(10) == 0) {
			f.learn(n, newest)
		}
	}
	for range int(requests) + bernoulli(f.random, requests-math.Floor(requests)) {
		f.request(to())
	}
}

func bernoulli(r *rand.Rand, p float64) int {
	if r.Float64() < p {
		return 1
	}
	return 0
}

// maxPassed returns the maximum number of requests that passed in any window.
func (f *simFleet) maxPassed() int {
	slices.Sort(f.passed)
	highest, from := 0, 0
	for i, at := range f.passed {
		for at-f.passed[from] > simWindow {
			from++
		}
		highest = max(highest, i-from+1)
	}
	return highest
}
