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

// The simulated fleets hand requests that end endpoints to them, tell each other, write rows, stand still, start anew and are cut off,
// over virtual time. Only what begins to run counts.
const (
	simTick = 10 * time.Millisecond
	// simTouch is how long nothing must have disturbed a node for the bound to hold for it.
	simTouch = 3 * time.Second
	// simDown is how long an endpoint that ended is gone.
	simDown = 3 * time.Second
	// simRow is the longest time in which a row reaches a node that is not disturbed: a look, its gathering and a pull.
	simRow = 1500 * time.Millisecond
	// simLinks is to how many others a node of a large fleet has links.
	simLinks   = 24
	simService = "docket-desk"
)

// simStart is far from the zero time.
var simStart = time.Unix(1_000_000, 0)

// simNode is one node with the endpoint beside it.
type simNode struct {
	known *known
	own   map[poison.Fingerprint]bool
	// down is until when the endpoint is gone, frozen and cut until when the node stands still and reaches nobody, quiet since when
	// nothing has disturbed it.
	down, frozen, cut, quiet time.Duration
	// shown is the newest state of the rows that it has seen: one never goes back to an older state.
	shown uint64
}

// simFleet is a fleet over virtual time.
type simFleet struct {
	random *rand.Rand
	nodes  []*simNode
	now    time.Duration
	later  []simEvent
	// store is the rows, away until when the store says nothing, stable since when it does.
	store   map[poison.Fingerprint]table.Entry[table.PoisonRequest]
	away    time.Duration
	stable  time.Duration
	version uint64
	// states counts the states of the rows.
	states uint64
	// object tells whether a node that hears of a content has seen it run well, and then says so.
	object func(n *simNode, c poison.Fingerprint) bool
	// alone has each node count for itself, as a way to compare with.
	alone bool
	// ends are the times at which endpoints ended under each content, late how many began it past the bound.
	ends map[poison.Fingerprint][]time.Duration
	late map[poison.Fingerprint]int
	ran  int
	// named counts the ends that were told.
	named int
}

type simEvent struct {
	at  time.Duration
	run func()
}

func newSimFleet(random *rand.Rand, nodes int) *simFleet {
	f := &simFleet{
		random: random, store: make(map[poison.Fingerprint]table.Entry[table.PoisonRequest]),
		ends: make(map[poison.Fingerprint][]time.Duration), late: make(map[poison.Fingerprint]int),
	}
	for range nodes {
		f.nodes = append(f.nodes, &simNode{known: newKnown(), own: make(map[poison.Fingerprint]bool)})
	}
	return f
}

func (f *simFleet) time() time.Time { return simStart.Add(f.now) }

func (f *simFleet) after(d time.Duration, run func()) {
	f.later = append(f.later, simEvent{at: f.now + d, run: run})
}

// step lets a tick pass.
func (f *simFleet) step() {
	f.now += simTick
	due := f.later
	f.later = nil
	slices.SortStableFunc(due, func(a, b simEvent) int { return cmp.Compare(a.at, b.at) })
	for _, e := range due {
		if e.at > f.now {
			f.later = append(f.later, e)
			continue
		}
		e.run()
	}
}

func (f *simFleet) up(n *simNode) bool      { return n.frozen <= f.now }
func (f *simFleet) reaches(n *simNode) bool { return f.up(n) && n.cut <= f.now }

// barred tells whether a node keeps a content from all.
func (f *simFleet) barred(n *simNode, c poison.Fingerprint) bool {
	return poison.Blocked(n.known.of(c))
}

// arrive brings a request to a node, which sends it to endpoints of others or its own.
func (f *simFleet) arrive(n *simNode, c poison.Fingerprint) {
	if !f.up(n) || f.barred(n, c) {
		return
	}
	f.send(n, c, 0)
}

// send hands the request to a free endpoint; once that has ended it goes to a second one, if the policy allows.
func (f *simFleet) send(n *simNode, c poison.Fingerprint, sent int) {
	to := f.nodes[f.random.IntN(len(f.nodes))]
	if !f.reaches(to) || !f.reaches(n) {
		to = n
	}
	if to.down > f.now || f.barred(to, c) || f.barred(n, c) {
		return
	}
	f.begin(n, to, c)
	f.after(time.Duration(30+f.random.IntN(90))*time.Millisecond, func() {
		if to.down <= f.now {
			to.down = f.now + simDown
			f.ends[c] = append(f.ends[c], f.now)
			f.after(endSeen, func() { f.ended(to, c) })
		}
		if sent == 0 && len(n.known.of(c).Ends.List()) < poison.NoRetryThreshold && f.up(n) {
			f.send(n, c, 1)
		}
	})
}

// endSeen is how long a node takes to tell that its endpoint has ended.
const endSeen = 60 * time.Millisecond

// begin counts what begins to run past the bound, sent and taken by nodes that nothing has disturbed.
func (f *simFleet) begin(from, to *simNode, c poison.Fingerprint) {
	f.ran++
	ends := f.ends[c]
	touched := f.now - simTouch
	if len(ends) >= poison.BlockThreshold && ends[poison.BlockThreshold-1] < touched && from.quiet < touched && to.quiet < touched && f.stable < touched {
		f.late[c]++
	}
}

// ended has the node beside an endpoint that ended tell the others and write the row.
func (f *simFleet) ended(n *simNode, c poison.Fingerprint) {
	if !f.up(n) {
		f.after(n.frozen-f.now, func() { f.ended(n, c) })
		return
	}
	f.named++
	name := poison.EndOf(fmt.Sprint("e", f.named), f.time())
	if !n.known.hear(f.time(), c, simService, name, f.time()) {
		return
	}
	n.own[c] = true
	f.write(n, c)
	if f.alone {
		return
	}
	f.tell(n, c, name, f.time(), min(simLinks, len(f.nodes)))
}

// tell tells some others, who pass on what is news to them; one word in twenty is lost.
func (f *simFleet) tell(n *simNode, c poison.Fingerprint, name string, at time.Time, most int) {
	if !f.reaches(n) {
		return
	}
	for range most {
		to := f.nodes[f.random.IntN(len(f.nodes))]
		if f.random.IntN(20) == 0 {
			continue
		}
		f.after(time.Duration(1+f.random.IntN(40))*time.Millisecond, func() {
			if !f.reaches(to) || !to.known.hear(f.time(), c, simService, name, at) {
				return
			}
			if f.object != nil && f.object(to, c) {
				return
			}
			f.tell(to, c, name, at, passOn)
		})
	}
}

// write has a node write what it has seen, again and again while the store says nothing.
func (f *simFleet) write(n *simNode, c poison.Fingerprint) {
	if f.alone || !n.own[c] {
		return
	}
	if f.away > f.now || !f.reaches(n) {
		f.after(time.Duration(200+f.random.IntN(800))*time.Millisecond, func() { f.write(n, c) })
		return
	}
	f.after(time.Duration(5+f.random.IntN(40))*time.Millisecond, func() {
		word := n.known.of(c)
		if word.Ends == "" {
			return
		}
		f.version++
		row := f.store[c]
		row.Value = poison.WithCrashes(row.Value, word.Service, word.Ends.List(), word.At.Time())
		row.Version = f.version
		f.store[c] = row
		delete(n.own, c)
		f.publish()
	})
}

// publish brings the rows to every node some time later.
func (f *simFleet) publish() {
	f.states++
	rows, state := maps.Clone(f.store), f.states
	for _, n := range f.nodes {
		f.after(time.Duration(f.random.Int64N(int64(simRow))), func() { f.show(n, state, rows) })
	}
}

// show brings rows to a node once it can hear of them.
func (f *simFleet) show(n *simNode, state uint64, rows map[poison.Fingerprint]table.Entry[table.PoisonRequest]) {
	if !f.reaches(n) || f.away > f.now {
		wait := max(n.frozen, n.cut, f.away) - f.now
		f.after(wait+time.Duration(f.random.Int64N(int64(simRow))), func() { f.show(n, state, rows) })
		return
	}
	if state > n.shown {
		n.shown = state
		n.known.show(rows)
	}
}

// trouble draws what may happen to a fleet within a tick.
func (f *simFleet) trouble() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	length := time.Duration(f.random.Int64N(int64(4 * time.Second)))
	switch f.random.IntN(200) {
	case 0:
		// It stands still; whether its clock does too changes nothing: what it knows has no term.
		n.frozen = f.now + length
		f.disturb(n, n.frozen)
	case 1:
		n.cut = f.now + length
		f.disturb(n, n.cut)
	case 2:
		f.restart(n)
	case 3:
		if f.random.IntN(4) == 0 {
			f.away = f.now + length
			f.stable = f.away
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

func (f *simFleet) disturb(n *simNode, until time.Duration) { n.quiet = max(n.quiet, until) }

// restart has a node start anew with what the store holds, once that answers.
func (f *simFleet) restart(n *simNode) {
	n.known, n.own, n.shown = newKnown(), make(map[poison.Fingerprint]bool), 0
	n.frozen = max(f.now+300*time.Millisecond, f.away)
	f.disturb(n, n.frozen)
	f.after(n.frozen-f.now, func() {
		n.shown = f.states
		n.known.show(maps.Clone(f.store))
	})
}
