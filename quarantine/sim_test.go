package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/table"
)

// The nodes of the simulated fleets send poison requests to endpoints, report crashes to each other, write rows,
// freeze, restart and are cut off, in virtual time. The tests check the requests that begin to run.
const (
	simTick = 10 * time.Millisecond
	// simRecovery is how long a node must have been without a fault for the bound to hold for it.
	simRecovery = 3 * time.Second
	// simDown is how long an endpoint is down after a crash.
	simDown = 3 * time.Second
	// simRowDelay is the maximum time in which a row reaches a node without faults: a poll of the store, the
	// collection of what it has found, and a pull.
	simRowDelay = 1500 * time.Millisecond
	// simLinks is how many links a node of a large fleet has.
	simLinks   = 24
	simService = "docket-desk"
)

// simStart is far from the zero time.
var simStart = time.Unix(1_000_000, 0)

// simNode is one node with the endpoint beside it.
type simNode struct {
	view    *view
	toWrite map[poison.Fingerprint]bool
	// downUntil is until when the endpoint is down, frozenUntil until when the node does nothing, cutUntil until when
	// it reaches no other node, and faultyUntil when its last fault ends.
	downUntil, frozenUntil, cutUntil, faultyUntil time.Duration
	// rowsState is the newest state of the rows that the node has received: it never goes back to an older one.
	rowsState uint64
}

// simFleet is a fleet in virtual time.
type simFleet struct {
	random *rand.Rand
	nodes  []*simNode
	now    time.Duration
	events []simEvent
	// store has the rows. storeDownUntil is until when the store does not answer, storeUpSince since when it has.
	store          map[poison.Fingerprint]table.Entry[table.PoisonRequest]
	storeDownUntil time.Duration
	storeUpSince   time.Duration
	version        uint64
	// states counts the changes of the rows.
	states uint64
	// onReport is called when a node receives a report. It returns true if the request succeeded at that node, which
	// then reports that.
	onReport func(n *simNode, c poison.Fingerprint) bool
	// alone makes each node count only the crashes of its own endpoint, for comparison.
	alone bool
	// crashedAt has the times of the crashes that each request caused, late how many copies of it began to run past the
	// bound.
	crashedAt map[poison.Fingerprint][]time.Duration
	late      map[poison.Fingerprint]int
	ran       int
	// crashIDs counts the crashes that nodes have reported, for their names.
	crashIDs int
}

type simEvent struct {
	at  time.Duration
	run func()
}

func newSimFleet(random *rand.Rand, nodes int) *simFleet {
	f := &simFleet{
		random: random, store: make(map[poison.Fingerprint]table.Entry[table.PoisonRequest]),
		crashedAt: make(map[poison.Fingerprint][]time.Duration), late: make(map[poison.Fingerprint]int),
	}
	for range nodes {
		f.nodes = append(f.nodes, &simNode{view: newView(), toWrite: make(map[poison.Fingerprint]bool)})
	}
	return f
}

func (f *simFleet) time() time.Time { return simStart.Add(f.now) }

func (f *simFleet) after(d time.Duration, run func()) {
	f.events = append(f.events, simEvent{at: f.now + d, run: run})
}

// step advances the time by a tick and runs the events that are due.
func (f *simFleet) step() {
	f.now += simTick
	pending := f.events
	f.events = nil
	slices.SortStableFunc(pending, func(a, b simEvent) int { return cmp.Compare(a.at, b.at) })
	for _, e := range pending {
		if e.at > f.now {
			f.events = append(f.events, e)
			continue
		}
		e.run()
	}
}

func (f *simFleet) up(n *simNode) bool      { return n.frozenUntil <= f.now }
func (f *simFleet) reaches(n *simNode) bool { return f.up(n) && n.cutUntil <= f.now }

// blocked reports whether a node blocks a request.
func (f *simFleet) blocked(n *simNode, c poison.Fingerprint) bool {
	return poison.Blocked(n.view.get(c))
}

// arrive simulates the arrival of a request at a node, which sends it to the endpoint beside it or beside another node.
func (f *simFleet) arrive(n *simNode, c poison.Fingerprint) {
	if !f.up(n) || f.blocked(n, c) {
		return
	}
	f.send(n, c, 0)
}

// send sends a request to a random endpoint; after that has crashed it retries it once, if the policy allows that.
func (f *simFleet) send(n *simNode, c poison.Fingerprint, retries int) {
	to := f.nodes[f.random.IntN(len(f.nodes))]
	if !f.reaches(to) || !f.reaches(n) {
		to = n
	}
	if to.downUntil > f.now || f.blocked(to, c) || f.blocked(n, c) {
		return
	}
	f.begin(n, to, c)
	f.after(time.Duration(30+f.random.IntN(90))*time.Millisecond, func() {
		if to.downUntil <= f.now {
			to.downUntil = f.now + simDown
			f.crashedAt[c] = append(f.crashedAt[c], f.now)
			f.after(crashDetection, func() { f.crashed(to, c) })
		}
		if retries == 0 && len(n.view.get(c).Ends.List()) < poison.NoRetryThreshold && f.up(n) {
			f.send(n, c, 1)
		}
	})
}

// crashDetection is how long a node takes to detect that its endpoint has crashed.
const crashDetection = 60 * time.Millisecond

// begin counts a request that begins to run. It counts it as past the bound if it had caused enough crashes before and
// neither the nodes nor the store had faults since.
func (f *simFleet) begin(from, to *simNode, c poison.Fingerprint) {
	f.ran++
	crashes := f.crashedAt[c]
	since := f.now - simRecovery
	if len(crashes) >= poison.BlockThreshold && crashes[poison.BlockThreshold-1] < since &&
		from.faultyUntil < since && to.faultyUntil < since && f.storeUpSince < since {
		f.late[c]++
	}
}

// crashed makes the node beside an endpoint that crashed report that to others and write the row.
func (f *simFleet) crashed(n *simNode, c poison.Fingerprint) {
	if !f.up(n) {
		f.after(n.frozenUntil-f.now, func() { f.crashed(n, c) })
		return
	}
	f.crashIDs++
	id := poison.CrashID(fmt.Sprint("e", f.crashIDs), f.time())
	if !n.view.addReport(f.time(), c, simService, id, f.time()) {
		return
	}
	n.toWrite[c] = true
	f.write(n, c)
	if f.alone {
		return
	}
	f.report(n, c, id, f.time(), min(simLinks, len(f.nodes)))
}

// report reports a crash to random nodes, which forward the report if it is new to them. One report in twenty is lost.
func (f *simFleet) report(n *simNode, c poison.Fingerprint, id string, at time.Time, receivers int) {
	if !f.reaches(n) {
		return
	}
	for range receivers {
		to := f.nodes[f.random.IntN(len(f.nodes))]
		if f.random.IntN(20) == 0 {
			continue
		}
		f.after(time.Duration(1+f.random.IntN(40))*time.Millisecond, func() {
			if !f.reaches(to) || !to.view.addReport(f.time(), c, simService, id, at) {
				return
			}
			if f.onReport != nil && f.onReport(to, c) {
				return
			}
			f.report(to, c, id, at, gossipFanout)
		})
	}
}

// write makes a node write the crashes in its view to the row, and retry while the store is down.
func (f *simFleet) write(n *simNode, c poison.Fingerprint) {
	if f.alone || !n.toWrite[c] {
		return
	}
	if f.storeDownUntil > f.now || !f.reaches(n) {
		f.after(time.Duration(200+f.random.IntN(800))*time.Millisecond, func() { f.write(n, c) })
		return
	}
	f.after(time.Duration(5+f.random.IntN(40))*time.Millisecond, func() {
		fatal := n.view.get(c)
		if fatal.Ends == "" {
			return
		}
		f.version++
		row := f.store[c]
		row.Value = poison.WithCrashes(row.Value, fatal.Service, fatal.Ends.List(), fatal.At.Time())
		row.Version = f.version
		f.store[c] = row
		delete(n.toWrite, c)
		f.publish()
	})
}

// publish passes the rows to every node after a random delay.
func (f *simFleet) publish() {
	f.states++
	rows, state := maps.Clone(f.store), f.states
	for _, n := range f.nodes {
		f.after(time.Duration(f.random.Int64N(int64(simRowDelay))), func() { f.show(n, state, rows) })
	}
}

// show passes rows to a node once it can receive them.
func (f *simFleet) show(n *simNode, state uint64, rows map[poison.Fingerprint]table.Entry[table.PoisonRequest]) {
	if !f.reaches(n) || f.storeDownUntil > f.now {
		wait := max(n.frozenUntil, n.cutUntil, f.storeDownUntil) - f.now
		f.after(wait+time.Duration(f.random.Int64N(int64(simRowDelay))), func() { f.show(n, state, rows) })
		return
	}
	if state > n.rowsState {
		n.rowsState = state
		n.view.setRows(rows)
	}
}

// injectFault draws the fault, if any, that happens in a tick.
func (f *simFleet) injectFault() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	length := time.Duration(f.random.Int64N(int64(4 * time.Second)))
	switch f.random.IntN(200) {
	case 0:
		// The node freezes. Whether its clock stops too makes no difference, because its view does not expire within
		// the test.
		n.frozenUntil = f.now + length
		f.markFaulty(n, n.frozenUntil)
	case 1:
		n.cutUntil = f.now + length
		f.markFaulty(n, n.cutUntil)
	case 2:
		f.restart(n)
	case 3:
		if f.random.IntN(4) == 0 {
			f.storeDownUntil = f.now + length
			f.storeUpSince = f.storeDownUntil
		}
	case 4:
		if f.random.IntN(10) == 0 {
			for _, o := range f.nodes {
				if f.random.IntN(3) == 0 {
					f.restart(o)
				}
			}
		}
	}
}

func (f *simFleet) markFaulty(n *simNode, until time.Duration) {
	n.faultyUntil = max(n.faultyUntil, until)
}

// restart restarts a node, which starts with the rows in the store once that answers.
func (f *simFleet) restart(n *simNode) {
	n.view, n.toWrite, n.rowsState = newView(), make(map[poison.Fingerprint]bool), 0
	n.frozenUntil = max(f.now+300*time.Millisecond, f.storeDownUntil)
	f.markFaulty(n, n.frozenUntil)
	f.after(n.frozenUntil-f.now, func() {
		n.rowsState = f.states
		n.view.setRows(maps.Clone(f.store))
	})
}
