package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/poison"
)

// simWork is one request under way at an endpoint.
type simWork struct {
	content poison.Fingerprint
	ends    time.Duration
}

// innocentDay is a fleet in which endpoints end by themselves, alone and a third of them at once, and no request ends any. Some of what callers
// ask for is the same for many, and whoever gets no answer comes back with the same up to four times.
type innocentDay struct {
	*simFleet
	// work is what is under way at each node's endpoint, ran what ran well there lately.
	work map[*simNode][]simWork
	ran  map[*simNode]*poison.Recent
	// asked counts the requests, held those that were kept from all although they do no harm.
	asked, held int
}

// drawInnocent prints what is held back of requests that do no harm, per million.
func drawInnocent(d *datadriven.TestData, days, least, most int) string {
	asked, held, seeds := 0, 0, 0
	for seed := range days {
		random := rand.New(rand.NewPCG(uint64(seed), 11))
		day := &innocentDay{
			simFleet: newSimFleet(random, least+random.IntN(most-least+1)), work: make(map[*simNode][]simWork), ran: make(map[*simNode]*poison.Recent),
		}
		if !d.HasArg("mute") {
			day.object = day.ranHere
		}
		day.live(!d.HasArg("calm"))
		asked, held = asked+day.asked, held+day.held
		if day.held > 0 {
			seeds++
		}
	}
	return fmt.Sprintf("%d of %d requests held back, %.1f in a million, in %d of %d days\n", held, asked, 1e6*float64(held)/float64(asked), seeds, days)
}

func (f *innocentDay) live(troubles bool) {
	common := 1 + f.random.IntN(20)
	for i := 0; f.now < 30*time.Second; i++ {
		if troubles {
			f.trouble()
		}
		if f.random.IntN(100) == 0 {
			f.end(f.nodes[f.random.IntN(len(f.nodes))])
		}
		if f.random.IntN(1000) == 0 {
			for _, n := range f.nodes {
				if f.random.IntN(3) == 0 {
					f.end(n)
				}
			}
		}
		name := fmt.Sprint("one of ", i)
		if f.random.IntN(5) == 0 {
			name = fmt.Sprint("common ", f.random.IntN(common))
		}
		f.ask(poison.FingerprintOf("", "GET", "", name, nil), 0)
		f.step()
		f.finish()
	}
}

// ask has a caller ask for something at some node, which sends it to some endpoint.
func (f *innocentDay) ask(c poison.Fingerprint, again int) {
	f.asked++
	n, to := f.nodes[f.random.IntN(len(f.nodes))], f.nodes[f.random.IntN(len(f.nodes))]
	if !f.reaches(n) || !f.reaches(to) || to.down > f.now {
		return
	}
	if f.barred(n, c) || f.barred(to, c) {
		f.held++
		return
	}
	f.work[to] = append(f.work[to], simWork{content: c, ends: f.now + time.Duration(20+f.random.IntN(400))*time.Millisecond})
	if again < 4 {
		started := f.now
		f.after(time.Second, func() {
			if to.down > started && to.down < started+simDown+time.Second {
				f.ask(c, again+1)
			}
		})
	}
}

// end ends a node's endpoint with all that it has.
func (f *innocentDay) end(n *simNode) {
	if n.down > f.now {
		return
	}
	n.down = f.now + simDown
	for _, w := range f.work[n] {
		if !f.recent(n).Within(f.time(), w.content, ranWithin) {
			f.after(endSeen, func() { f.ended(n, w.content) })
		}
	}
	f.work[n] = nil
}

func (f *innocentDay) recent(n *simNode) *poison.Recent {
	if f.ran[n] == nil {
		f.ran[n] = poison.NewRecent()
	}
	return f.ran[n]
}

// finish ends the work whose time has come: what ran well is no longer suspect.
func (f *innocentDay) finish() {
	for _, n := range f.nodes {
		f.work[n] = slices.DeleteFunc(f.work[n], func(w simWork) bool {
			if w.ends > f.now {
				return false
			}
			f.recent(n).Note(f.time(), w.content)
			if n.known.of(w.content).Ends != "" {
				f.cleared(n, w.content)
				if f.object != nil {
					f.tellRan(n, w.content, min(simLinks, len(f.nodes)))
				}
			}
			return true
		})
	}
}

// ranHere has a node that has seen a content run well say so.
func (f *innocentDay) ranHere(n *simNode, c poison.Fingerprint) bool {
	if !f.recent(n).Within(f.time(), c, ranWithin) {
		return false
	}
	f.cleared(n, c)
	f.tellRan(n, c, min(simLinks, len(f.nodes)))
	return true
}

// tellRan tells some others, who pass on what is news to them.
func (f *innocentDay) tellRan(n *simNode, c poison.Fingerprint, most int) {
	for range most {
		to := f.nodes[f.random.IntN(len(f.nodes))]
		if !f.reaches(n) || f.random.IntN(20) == 0 {
			continue
		}
		f.after(time.Duration(1+f.random.IntN(40))*time.Millisecond, func() {
			if f.reaches(to) && to.known.lift(c, to.known.of(c)) {
				f.cleared(to, c)
				f.tellRan(to, c, passOn)
			}
		})
	}
}

// cleared has a node take out the row of what ran well, unless that says more by then.
func (f *innocentDay) cleared(n *simNode, c poison.Fingerprint) {
	n.known.lift(c, n.known.of(c))
	version := n.known.rows[c].Version
	if version == 0 || f.away > f.now {
		return
	}
	f.after(time.Duration(5+f.random.IntN(40))*time.Millisecond, func() {
		if f.store[c].Version == version {
			delete(f.store, c)
			f.publish()
		}
	})
}
