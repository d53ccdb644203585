package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/poison"
)

// simRequest is one request in flight at an endpoint.
type simRequest struct {
	fingerprint poison.Fingerprint
	finishesAt  time.Duration
}

// innocentFleet is a fleet in which endpoints crash by themselves, singly and a third of them at once, and no request
// crashes any. Many callers send some of the same requests, and a caller that gets no answer repeats its request up to
// four times.
type innocentFleet struct {
	*simFleet
	// inFlight has the requests in flight at each node's endpoint, succeeded the requests that succeeded there
	// recently.
	inFlight  map[*simNode][]simRequest
	succeeded map[*simNode]*poison.Recent
	// asked counts the requests, blockedCount those of them that were blocked although they are harmless.
	asked, blockedCount int
}

// drawInnocent prints how many harmless requests are blocked, in total and per million.
func drawInnocent(d *datadriven.TestData, days, minNodes, maxNodes int) string {
	asked, blocked, seeds := 0, 0, 0
	for seed := range days {
		random := rand.New(rand.NewPCG(uint64(seed), 11))
		day := &innocentFleet{
			simFleet: newSimFleet(random, minNodes+random.IntN(maxNodes-minNodes+1)),
			inFlight: make(map[*simNode][]simRequest), succeeded: make(map[*simNode]*poison.Recent),
		}
		if !d.HasArg("mute") {
			day.onReport = day.reportIfSucceeded
		}
		day.run(!d.HasArg("calm"))
		asked, blocked = asked+day.asked, blocked+day.blockedCount
		if day.blockedCount > 0 {
			seeds++
		}
	}
	return fmt.Sprintf("%d of %d requests held back, %.1f in a million, in %d of %d days\n", blocked, asked, 1e6*float64(blocked)/float64(asked), seeds, days)
}

func (f *innocentFleet) run(faults bool) {
	common := 1 + f.random.IntN(20)
	for i := 0; f.now < 30*time.Second; i++ {
		if faults {
			f.injectFault()
		}
		if f.random.IntN(100) == 0 {
			f.crash(f.nodes[f.random.IntN(len(f.nodes))])
		}
		if f.random.IntN(1000) == 0 {
			for _, n := range f.nodes {
				if f.random.IntN(3) == 0 {
					f.crash(n)
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

// ask simulates a caller that sends a request to a random node, which passes it to a random endpoint.
func (f *innocentFleet) ask(c poison.Fingerprint, retries int) {
	f.asked++
	n, to := f.nodes[f.random.IntN(len(f.nodes))], f.nodes[f.random.IntN(len(f.nodes))]
	if !f.reaches(n) || !f.reaches(to) || to.downUntil > f.now {
		return
	}
	if f.blocked(n, c) || f.blocked(to, c) {
		f.blockedCount++
		return
	}
	f.inFlight[to] = append(f.inFlight[to], simRequest{fingerprint: c, finishesAt: f.now + time.Duration(20+f.random.IntN(400))*time.Millisecond})
	if retries < 4 {
		started := f.now
		f.after(time.Second, func() {
			if to.downUntil > started && to.downUntil < started+simDown+time.Second {
				f.ask(c, retries+1)
			}
		})
	}
}

// crash crashes the endpoint beside a node, with all requests in flight there.
func (f *innocentFleet) crash(n *simNode) {
	if n.downUntil > f.now {
		return
	}
	n.downUntil = f.now + simDown
	for _, w := range f.inFlight[n] {
		if !f.recent(n).SucceededWithin(f.time(), w.fingerprint, recentSuccessWindow) {
			f.after(crashDetection, func() { f.crashed(n, w.fingerprint) })
		}
	}
	f.inFlight[n] = nil
}

func (f *innocentFleet) recent(n *simNode) *poison.Recent {
	if f.succeeded[n] == nil {
		f.succeeded[n] = poison.NewRecent()
	}
	return f.succeeded[n]
}

// finish completes the requests that are due; their success clears them of suspicion.
func (f *innocentFleet) finish() {
	for _, n := range f.nodes {
		f.inFlight[n] = slices.DeleteFunc(f.inFlight[n], func(w simRequest) bool {
			if w.finishesAt > f.now {
				return false
			}
			f.recent(n).Add(f.time(), w.fingerprint)
			if ids := n.view.get(w.fingerprint).Ends.List(); len(ids) > 0 {
				ids = f.cleared(n, w.fingerprint, ids)
				if f.onReport != nil {
					f.reportSuccess(n, w.fingerprint, ids, min(simLinks, len(f.nodes)))
				}
			}
			return true
		})
	}
}

// reportIfSucceeded reports the success of a request at a node if it succeeded there recently, and returns whether it
// did.
func (f *innocentFleet) reportIfSucceeded(n *simNode, c poison.Fingerprint) bool {
	if !f.recent(n).SucceededWithin(f.time(), c, recentSuccessWindow) {
		return false
	}
	f.reportSuccess(n, c, f.cleared(n, c, n.view.get(c).Ends.List()), min(simLinks, len(f.nodes)))
	return true
}

// reportSuccess reports the crashes of which a request was cleared to random nodes, which forward the report if it is new
// to them.
func (f *innocentFleet) reportSuccess(n *simNode, c poison.Fingerprint, ids []string, receivers int) {
	for range receivers {
		to := f.nodes[f.random.IntN(len(f.nodes))]
		if !f.reaches(n) || f.random.IntN(20) == 0 {
			continue
		}
		f.after(time.Duration(1+f.random.IntN(40))*time.Millisecond, func() {
			if !f.reaches(to) {
				return
			}
			if cleared := f.cleared(to, c, ids); len(cleared) > 0 {
				f.reportSuccess(to, c, cleared, gossipFanout)
			}
		})
	}
}

// cleared clears a request of crashes at a node, which corrects its row unless that has changed by then. It returns the
// crashes that the node had not cleared before.
func (f *innocentFleet) cleared(n *simNode, c poison.Fingerprint, ids []string) []string {
	isNew := n.view.clear(c, ids)
	version := n.view.rows[c].Version
	if version == 0 || f.storeDownUntil > f.now {
		return isNew
	}
	f.after(time.Duration(5+f.random.IntN(40))*time.Millisecond, func() {
		row := f.store[c]
		if row.Version != version {
			return
		}
		if row.Value = n.view.withoutCleared(c, row.Value); row.Value.Ends == "" {
			delete(f.store, c)
		} else {
			f.version++
			row.Version = f.version
			f.store[c] = row
		}
		f.publish()
	})
	return isNew
}
