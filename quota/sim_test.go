package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The simulated fleets ask, lend, freeze, restart, lose words and learn of changes late. Only what passed counts, summed over all nodes
// and over every window.
const (
	simTick   = 10 * time.Millisecond
	simWindow = 5 * time.Second
	simSettle = 2 * time.Second
	// simPatience is how long a home's answer is waited for.
	simPatience = 40 * time.Millisecond
	simCustomer = "acme"
)

// simNode is one node with a steady clock of its own.
type simNode struct {
	host     Host
	offset   time.Duration
	home     *Home
	borrower *Borrower
	spare    *Spare
	// view is which list of hosts it goes by, frozen until when it stands still, cut until when it reaches nobody, started when its
	// process was.
	view                 int
	frozen, cut, started time.Duration
	// lentUntil is when what it holds ends for its home.
	lentUntil time.Duration
	// slow has it learn of each list as late as may be.
	slow bool
}

// simFleet is a fleet over virtual time.
type simFleet struct {
	random *rand.Rand
	nodes  []*simNode
	// lists are the lists of hosts, since when each is the newest.
	lists []*Place
	since []time.Duration
	now   time.Duration
	limit Limit
	spare int
	// even has every node lend to itself alone; stray lets cut nodes outlive the time to settle.
	even, stray bool
	// suspend has hosts suspended where they would freeze, steady has nodes go by clocks that stand still meanwhile.
	suspend, steady bool
	// passed are the times at which requests passed, staleOwn those that a cut node lent to itself by a list that is no more.
	passed   []time.Duration
	staleOwn int
	// ended counts those that passed by loans that had ended for their homes.
	ended   int
	asked   int
	refused int
	all     int
	// taken is the latest list by which a host has lent that was no home by the list before, broken what must not be.
	taken  int
	broken []string
}

// simStart is far from the zero time, which means "never".
var simStart = time.Unix(1_000_000, 0)

func (f *simFleet) clock(n *simNode) time.Time { return simStart.Add(f.now + n.offset) }

func newSimFleet(random *rand.Rand, nodes, halls int, limit Limit, spare int) *simFleet {
	f := &simFleet{random: random, limit: limit, spare: spare}
	var hosts []Host
	for i := range nodes {
		h := Host{ID: fmt.Sprint("h", i), Hall: fmt.Sprint("hall", i%halls)}
		hosts = append(hosts, h)
		n := &simNode{host: h, offset: time.Duration(random.IntN(1e9)), slow: random.IntN(2) == 0}
		f.nodes = append(f.nodes, n)
		f.restart(n)
	}
	f.list(hosts)
	return f
}

func (f *simFleet) restart(n *simNode) {
	settle := simSettle
	if f.even {
		settle = 0
	}
	n.started = f.now
	n.home = NewHome(f.clock(n), settle)
	n.borrower = NewBorrower(DefaultTerms())
	n.spare = NewSpare(simWindow)
}

// list makes a list of hosts the newest.
func (f *simFleet) list(hosts []Host) {
	f.lists = append(f.lists, NewPlace(hosts))
	f.since = append(f.since, f.now)
}

// learn brings a node to a later list.
func (f *simFleet) learn(n *simNode, view int) {
	if view <= n.view {
		return
	}
	old := f.lists[n.view]
	n.view = view
	if !f.lists[view].Same(old) && !f.even {
		n.home.Changed(f.clock(n), func(c string) bool { return f.isHome(n, c) })
	}
}

func (f *simFleet) isHome(n *simNode, customer string) bool {
	return slices.Contains(f.lists[n.view].Homes(customer), n.host)
}

// lend has a node answer a question; false when it does not take itself for a home.
func (f *simFleet) lend(n *simNode, want int) (Allotment, bool) {
	if f.even {
		return n.home.Lend(f.clock(n), simCustomer, f.limit.Part(len(f.nodes)), want), true
	}
	if !f.isHome(n, simCustomer) {
		return Allotment{}, false
	}
	loan := n.home.Lend(f.clock(n), simCustomer, f.limit.Part(len(f.lists[n.view].Homes(simCustomer))), want)
	if loan.Count > 0 {
		f.checkHome(n)
	}
	return loan, true
}

// checkHome wants no part of a limit to be lent by two homes: none that has gone over to a new home, which was up when it did, is
// lent any more by a list from before that. Nodes that are cut off for long are counted apart.
func (f *simFleet) checkHome(n *simNode) {
	if n.view > 0 && n.view > f.taken && n.started < f.since[n.view] && !slices.Contains(f.lists[n.view-1].Homes(simCustomer), n.host) {
		f.taken = n.view
	}
	if !f.stray && n.view < f.taken && !slices.Contains(f.lists[f.taken].Homes(simCustomer), n.host) {
		f.broken = append(f.broken, fmt.Sprintf("%v: %s lends by list %d, its part went over by list %d", f.now, n.host.ID, n.view, f.taken))
	}
}

func (f *simFleet) reaches(a, b *simNode) bool {
	return a == b || a.cut <= f.now && b.cut <= f.now && b.frozen <= f.now
}

// request lets one request of the customer come to a node.
func (f *simFleet) request(n *simNode) {
	if n.frozen > f.now {
		return
	}
	f.all++
	want := n.borrower.Arrived(f.clock(n), simCustomer)
	if f.use(n) {
		return
	}
	homes := []Host{n.host}
	if !f.even {
		homes = f.lists[n.view].Homes(simCustomer)
		slices.SortStableFunc(homes, func(a, b Host) int { return hallOrder(n.host, a) - hallOrder(n.host, b) })
	}
	names := make([]string, 0, len(homes))
	for _, h := range homes {
		names = append(names, h.ID)
		if n.borrower.May(f.clock(n), simCustomer, h.ID) && f.ask(n, h, want) && f.use(n) {
			return
		}
	}
	_, reached := n.borrower.Wait(f.clock(n), simCustomer, names)
	if !reached && n.spare.Use(f.clock(n), simCustomer, f.lists[n.view].Share(n.host.ID, simCustomer, f.spare)) {
		f.passed = append(f.passed, f.now)
		return
	}
	f.refused++
}

func hallOrder(n, home Host) int {
	if n.Hall == home.Hall {
		return 0
	}
	return 1
}

func (f *simFleet) use(n *simNode) bool {
	if f.random.IntN(2000) == 0 {
		// It stands still between the answer and the request; time goes on for the others.
		n.frozen = f.now + time.Duration(f.random.IntN(3e9))
		f.standStill(n)
		f.pass(n, n.frozen)
		return true
	}
	return f.pass(n, f.now)
}

// suspendMany suspends most hosts at once, as a move of their machines does.
func (f *simFleet) suspendMany() {
	length := time.Duration(f.random.IntN(4e9))
	for _, o := range f.nodes {
		if f.random.IntN(4) > 0 {
			o.frozen = f.now + length
			f.standStill(o)
		}
	}
}

// standStill has a node's clock stand still while its host is suspended, if it goes by a steady one.
func (f *simFleet) standStill(n *simNode) {
	if f.suspend && f.steady {
		n.offset -= n.frozen - f.now
	}
}

// pass uses a loan at a time, within its term.
func (f *simFleet) pass(n *simNode, at time.Duration) bool {
	now := f.clock(n).Add(at - f.now)
	until, ok := n.borrower.Use(now, simCustomer)
	if !ok {
		return false
	}
	f.passed = append(f.passed, at)
	if at > n.lentUntil {
		f.ended++
	}
	if !now.Before(until) {
		f.broken = append(f.broken, fmt.Sprintf("%v: %s uses a loan %v after its end", at, n.host.ID, now.Sub(until)))
	}
	return true
}

// ask asks a home; the question or the answer may be lost, and the answer late.
func (f *simFleet) ask(n *simNode, h Host, want int) bool {
	asked := f.clock(n)
	home := f.nodes[slices.IndexFunc(f.nodes, func(o *simNode) bool { return o.host == h })]
	f.asked++
	if !f.reaches(n, home) || n != home && f.random.IntN(50) == 0 {
		n.borrower.Silent(asked, h.ID)
		return false
	}
	loan, ok := f.lend(home, want)
	took := time.Duration(f.random.IntN(int(simPatience / 20)))
	if n != home && f.random.IntN(50) == 0 {
		took = simPatience + 1
	}
	if n == home && home.cut > f.now && f.lists[len(f.lists)-1] != f.lists[home.view] {
		f.staleOwn += loan.Count
	}
	if !ok || took > simPatience {
		// What was lent is lost: nobody uses it.
		n.borrower.Silent(asked, h.ID)
		return false
	}
	n.borrower.Lent(asked, asked.Add(took), simCustomer, h.ID, loan)
	if loan.Count > 0 {
		n.lentUntil = max(n.lentUntil, f.now+DefaultTerms().Term)
	}
	return loan.Count > 0
}

// trouble draws what may happen within a tick to a fleet that lives for so long.
func (f *simFleet) trouble() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	switch f.random.IntN(60) {
	case 0:
		f.restart(n)
	case 1:
		n.frozen = f.now + time.Duration(f.random.IntN(4e9))
		f.standStill(n)
	case 2:
		// It hears of a change half the time late and is cut off for the other half.
		most := simSettle/2 - 3*simTick
		if f.stray {
			most = 8 * time.Second
		}
		if n.cut+2*simTick > f.now && n.cut > 0 && !f.stray {
			// Without a moment between two cuts it would not hear of a change in time.
			return
		}
		n.cut = f.now + time.Duration(f.random.Int64N(int64(most)))
	case 3:
		f.newList()
	case 5:
		if f.suspend {
			f.suspendMany()
		}
	case 4:
		// A third of the nodes start again at once.
		for _, o := range f.nodes {
			if f.random.IntN(3) == 0 {
				f.restart(o)
			}
		}
	}
}

// newList makes a list the newest once the one before has settled.
func (f *simFleet) newList() {
	if f.since[len(f.since)-1]+simSettle <= f.now {
		f.list(f.someHosts())
	}
}

// someHosts leaves out one host in ten.
func (f *simFleet) someHosts() []Host {
	var hosts []Host
	for _, n := range f.nodes {
		if f.random.IntN(10) > 0 {
			hosts = append(hosts, n.host)
		}
	}
	for _, n := range f.nodes[:min(Parts, len(f.nodes))] {
		// Lists of less than Parts hosts that differ are not part of the bound.
		if !slices.Contains(hosts, n.host) {
			hosts = append(hosts, n.host)
		}
	}
	return hosts
}

// step lets a tick pass, in which some requests come.
func (f *simFleet) step(requests float64, to func() *simNode) {
	f.now += simTick
	newest := len(f.lists) - 1
	for _, n := range f.nodes {
		late := f.since[newest]+simSettle/2 <= f.now
		if n.cut <= f.now && (late || !n.slow && f.random.IntN(10) == 0) {
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

// worst is the most that passed in a window, less what the rule of a test allows besides.
func (f *simFleet) worst() int {
	slices.Sort(f.passed)
	most, from := 0, 0
	for i, at := range f.passed {
		for at-f.passed[from] > simWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}
