package virtual

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/liveness"
)

// Silence simulates a fleet in which all links between nodes go silent at the same moment while new links work, and counts the
// links that the nodes open beside them.
type Silence struct {
	// Nodes is the size of the fleet, Links the number of links that each node has dialed.
	Nodes, Links int
	// Offers is the number of offers that a node makes each second, over all its links.
	Offers float64
	// Heartbeat is the interval between the heartbeats of an idle link.
	Heartbeat time.Duration
	// OfferTimeout is how long an offer may stay unanswered before its link is suspect.
	OfferTimeout time.Duration
	// Bounds are those of a link.
	Bounds liveness.Bounds
	// MaxOpenings bounds the links that a node opens at the same time.
	MaxOpenings int
	// RoundTrip is the longest time of a round trip; each link's is between a tenth of it and this.
	RoundTrip time.Duration
	// Frozen is the share of the nodes that accept links and answer on none.
	Frozen float64
	// Length is how long the fleet is simulated after the silence, Seed draws it.
	Length time.Duration
	Seed   uint64
}

// SilenceResult is what a Silence shows.
type SilenceResult struct {
	// Median and Last are when half and all of the links to nodes that answer were replaced.
	Median, Last time.Duration
	// Replaced is the number of links replaced, Openings that of links opened.
	Replaced, Openings int
	// MaxOpened and MaxAccepted are the most links that one node has opened and accepted in one tenth of a second.
	MaxOpened, MaxAccepted int
}

// silenceWindow is the time over which opened and accepted links are counted.
const silenceWindow = 100 * time.Millisecond

// silenceRun is one simulation under way.
type silenceRun struct {
	Silence
	clock  *clock
	random *rand.Rand
	start  time.Time
	nodes  []silenceNode
	times  []time.Duration
	result SilenceResult
}

// silenceNode is one node. opened and accepted count its links by window.
type silenceNode struct {
	frozen           bool
	links            []silenceLink
	suspects         int
	verified         bool
	opening          int
	opened, accepted map[int]int
}

// silenceLink is one dialed link. asked is when its oldest unanswered heartbeat was sent.
type silenceLink struct {
	to        int
	roundTrip time.Duration
	path      liveness.Path
	asked     time.Time
	suspect   bool
	replaced  bool
	// openedAt is when a link was last opened beside this one, zero for never.
	openedAt time.Time
}

// Run simulates the silence.
func (s Silence) Run() SilenceResult {
	r := &silenceRun{Silence: s, clock: newClock(), random: rand.New(rand.NewPCG(s.Seed, 0))} //nolint:gosec // seeded on purpose
	r.start = r.clock.now
	r.nodes = make([]silenceNode, s.Nodes)
	for i := range r.nodes {
		r.nodes[i] = silenceNode{
			frozen: r.random.Float64() < s.Frozen, links: make([]silenceLink, s.Links),
			opened: make(map[int]int), accepted: make(map[int]int),
		}
	}
	for i := range r.nodes {
		for k := range r.nodes[i].links {
			r.begin(&r.nodes[i], &r.nodes[i].links[k])
		}
	}
	r.clock.runUntil(r.start.Add(s.Length))
	return r.summary()
}

// begin draws the first offer and the next heartbeat of a link after the silence.
func (r *silenceRun) begin(n *silenceNode, l *silenceLink) {
	l.to = r.random.IntN(r.Nodes)
	l.roundTrip = r.RoundTrip/10 + time.Duration(r.random.Int64N(int64(r.RoundTrip)))*9/10
	beat := time.Duration(r.random.Int64N(int64(r.Heartbeat)))
	r.clock.after(beat, func() { r.ask(n, l) })
	if r.Offers <= 0 {
		return
	}
	offer := time.Duration(r.random.ExpFloat64() / r.Offers * float64(r.Links) * float64(time.Second))
	r.clock.after(offer+r.OfferTimeout, func() { r.suspect(n, l) })
}

// ask sends a heartbeat, which is not answered.
func (r *silenceRun) ask(n *silenceNode, l *silenceLink) {
	if !l.asked.IsZero() || l.replaced {
		return
	}
	l.asked = r.clock.now
	r.clock.after(r.Bounds.Answer+time.Nanosecond, func() { r.suspect(n, l) })
}

// suspect makes a link suspect; the second suspect link of a node has it verify all.
func (r *silenceRun) suspect(n *silenceNode, l *silenceLink) {
	if l.suspect || l.replaced {
		return
	}
	l.suspect = true
	l.path = l.path.WithSuspicion(r.Bounds, r.clock.now, r.random.Float64())
	r.check(n, l)
	if n.suspects++; n.suspects >= 2 && !n.verified {
		n.verified = true
		for k := range n.links {
			r.ask(n, &n.links[k])
		}
	}
}

// check opens a link beside a suspect one when that is due, and looks again at the time that the path states.
func (r *silenceRun) check(n *silenceNode, l *silenceLink) {
	now := r.clock.now
	if l.replaced {
		return
	}
	if l.path.State(r.Bounds, time.Time{}, now) == liveness.Replace {
		switch young := !l.openedAt.IsZero() && now.Sub(l.openedAt) < r.Bounds.MaxRetry; {
		case young:
			l.path = l.path.WithPostponement(now, r.Bounds.Retry, r.random.Float64())
		case n.opening < r.MaxOpenings:
			l.openedAt = now
			r.open(n, l)
			l.path = l.path.WithOpening(r.Bounds, now, r.random.Float64())
		default:
			l.path = l.path.WithPostponement(now, r.Bounds.Race, r.random.Float64())
		}
	}
	r.clock.after(max(l.path.Next(r.Bounds, time.Time{}).Sub(now), time.Millisecond), func() { r.check(n, l) })
}

// open opens a link; unless its peer is frozen, the echo on it comes a round trip after it is open.
func (r *silenceRun) open(n *silenceNode, l *silenceLink) {
	window := int(r.clock.now.Sub(r.start) / silenceWindow)
	n.opening++
	n.opened[window]++
	r.nodes[l.to].accepted[window]++
	r.result.Openings++
	r.clock.after(l.roundTrip, func() {
		n.opening--
		if r.nodes[l.to].frozen {
			return
		}
		r.clock.after(l.roundTrip, func() {
			if !l.replaced {
				l.replaced = true
				r.times = append(r.times, r.clock.now.Sub(r.start))
			}
		})
	})
}

func (r *silenceRun) summary() SilenceResult {
	slices.Sort(r.times)
	if n := len(r.times); n > 0 {
		r.result.Median, r.result.Last, r.result.Replaced = r.times[n/2], r.times[n-1], n
	}
	for _, n := range r.nodes {
		for _, c := range n.opened {
			r.result.MaxOpened = max(r.result.MaxOpened, c)
		}
		for _, c := range n.accepted {
			r.result.MaxAccepted = max(r.result.MaxAccepted, c)
		}
	}
	return r.result
}
