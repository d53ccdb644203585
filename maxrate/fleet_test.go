package maxrate

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestFleetKeepsToStatedRate guards against an endpoint that gets more than it stated from all nodes together. It draws
// fleets of 3 to 60 senders before one endpoint whose rate begins, changes and ends and that leaves requests unanswered, a
// node beside it that is suspended or restarted, often several times in a row, senders that know the rate, an older one or
// none, answers that overtake each other, and requests that arrive later than they were admitted; then it counts what the
// endpoint saw.
func TestFleetKeepsToStatedRate(t *testing.T) {
	for seed := range uint64(fleets) {
		f := newFleet(seed)
		for range 200 + f.random.IntN(1300) {
			f.step()
		}
		f.check(t)
		if t.Failed() {
			t.Fatalf("seed %d of the fleet", seed)
		}
	}
}

const (
	// fleets is the number of fleets that are drawn.
	fleets = 2000
	// bindsAfter is when a rate binds, counted from when the endpoint first states it.
	bindsAfter = 3 * time.Second
	// window, factor and slack are the bound: in a window an endpoint gets at most factor times what its rate allows and
	// slack more.
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
	// sendDelay is the longest time from the admission of a request to its arrival.
	sendDelay = 200 * time.Millisecond
)

// inFlight is a request at the endpoint. Its answer carries what the endpoint states when it is written.
type inFlight struct {
	sender          int
	sentAt, answers time.Time
	// life is the process of the node beside the endpoint that sent it.
	life int
}

// pending is a request that waits for the time for which it was admitted.
type pending struct {
	sender, life int
	at           time.Time
	version      uint64
}

// told is what a sender was told of the endpoint's latest statement.
type told struct {
	statement Statement
	at        time.Time
}

// period is a time in which the endpoint states one rate.
type period struct {
	from, to time.Time
	rate     float64
}

type fleet struct {
	random  *rand.Rand
	now     time.Time
	limiter *Limiter
	life    int
	slots   int
	demand  int
	stated  *float64
	// told is what senders know; the first one is part of the node beside the endpoint and forgets it at each start.
	told     []told
	waiting  []pending
	atWork   []inFlight
	arrivals []time.Time
	periods  []period
	// startsLeft is how many starts of a series are still to come, nextStart when the next one is; maxLife bounds the time
	// between two, in milliseconds.
	startsLeft int
	nextStart  time.Time
	maxLife    int
	// peerAt is when the peers tell the node what they know of earlier lives, and first hear of this one; heardAt is when they
	// heard of the latest life that they know of.
	peerAt  time.Time
	heardAt time.Time
}

// newFleet draws a fleet. All draws are even; the generators of rapid prefer small numbers, with which rates hardly ever bind.
func newFleet(seed uint64) *fleet {
	r := rand.New(rand.NewPCG(seed, 0))
	return &fleet{
		random: r, now: time.Unix(1000, 0), limiter: NewLimiter(NewLife(time.Unix(1000, 0)).WithEarlier(time.Time{}).WithoutRecord()), slots: 1 + r.IntN(8), demand: 1 + r.IntN(6),
		told: make([]told, 3+r.IntN(58)),
	}
}

// millis draws a time in milliseconds.
func (f *fleet) millis(least, most int) time.Duration {
	return time.Duration(least+f.random.IntN(most-least+1)) * time.Millisecond
}

func (f *fleet) step() {
	f.advance(f.millis(1, 60))
	switch event := f.random.IntN(601); {
	case event < 2:
		f.state([]float64{0, 0.3, 0.5, 1, 1.9, 4, 10, 40}[f.random.IntN(8)])
	case event < 3:
		f.stopStating()
	case event < 10 && f.startsLeft == 0:
		f.startsLeft, f.nextStart, f.maxLife = 1+f.random.IntN(12), f.now, []int{100, 400, 1000, 2500}[f.random.IntN(4)]
	case event < 14:
		f.advance(f.millis(500, 5000))
	case event < 18:
		f.told[f.random.IntN(len(f.told))] = told{}
	}
	if f.startsLeft > 0 && !f.now.Before(f.nextStart) {
		f.start()
	}
	f.hearPeers()
	for range f.random.IntN(f.demand + 1) {
		f.request()
	}
}

// start starts the node beside the endpoint anew: its work is answered to nobody.
func (f *fleet) start() {
	f.startsLeft--
	f.nextStart = f.now.Add(f.millis(20, f.maxLife))
	f.limiter, f.life = NewLimiter(NewLife(f.now)), f.life+1
	f.told[0] = told{}
	f.peerAt = f.now.Add(f.millis(0, 400))
	if f.random.IntN(10) == 0 {
		f.peerAt = f.now.Add(time.Hour)
	}
}

// hearPeers has the peers tell the node of its earlier lives once it has linked with them.
func (f *fleet) hearPeers() {
	if f.peerAt.IsZero() || f.now.Before(f.peerAt) {
		return
	}
	f.limiter.SetLife(f.limiter.life.WithEarlier(f.heardAt))
	f.heardAt, f.peerAt = f.now, time.Time{}
}

// advance lets time pass; answers that are due arrive, and requests whose time has come are sent.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.atWork = slices.DeleteFunc(f.atWork, func(r inFlight) bool {
		if r.answers.After(f.now) {
			return false
		}
		f.answer(r)
		return true
	})
	f.waiting = slices.DeleteFunc(f.waiting, func(w pending) bool {
		if w.at.After(f.now) {
			return false
		}
		f.send(w)
		return true
	})
}

func (f *fleet) answer(r inFlight) {
	if r.life != f.life {
		return
	}
	s := Statement{Kind: Absent}
	if f.stated != nil {
		s = Statement{Kind: Stated, Rate: *f.stated}
	}
	f.limiter.Observe(r.sentAt, f.now, s)
	f.report(r.sender)
}

// report tells a sender what the node beside the endpoint knows, if that is newer than what it was told.
func (f *fleet) report(sender int) {
	at, ok := f.limiter.StatedAt()
	if !ok || at.Before(f.told[sender].at) {
		return
	}
	f.told[sender] = told{at: at}
	if rate, ok := f.limiter.Limit(); ok {
		f.told[sender].statement = Statement{Kind: Stated, Rate: rate}
	}
}

// send sends a request whose time has come, unless its admission has lapsed or the limit has changed meanwhile.
func (f *fleet) send(w pending) {
	if w.life != f.life {
		return
	}
	late := f.now.Sub(w.at)
	if w.version != f.limiter.Version() || late > sendDelay || f.random.IntN(16) == 0 {
		f.limiter.Refund(f.now, w.at, w.version)
		return
	}
	arrival := f.now.Add(time.Duration(f.random.Int64N(int64(sendDelay-late) + 1)))
	f.arrivals = append(f.arrivals, arrival)
	work := f.millis(1, 900)
	if f.random.IntN(20) == 0 {
		work = 3 * time.Second
	}
	f.atWork = append(f.atWork, inFlight{sender: w.sender, sentAt: w.at, life: f.life, answers: arrival.Add(work)})
}

func (f *fleet) state(rate float64) {
	f.endPeriod()
	f.stated = &rate
	f.periods = append(f.periods, period{from: f.now, rate: rate})
}

func (f *fleet) stopStating() {
	f.endPeriod()
	f.stated = nil
}

func (f *fleet) endPeriod() {
	if n := len(f.periods); n > 0 && f.periods[n-1].to.IsZero() {
		f.periods[n-1].to = f.now
	}
}

func (f *fleet) request() {
	sender := f.random.IntN(len(f.told))
	if f.slotsTaken() >= f.slots {
		return
	}
	if known := f.told[sender]; !known.at.IsZero() {
		f.limiter.Adopt(f.now, known.at, known.statement)
	}
	wait := f.millis(-300, 600)
	at, _, ok := f.limiter.Reserve(f.now, f.now.Add(max(wait, 0)), f.random.IntN(2) == 0)
	if !ok {
		f.report(sender)
		return
	}
	w := pending{sender: sender, life: f.life, at: at, version: f.limiter.Version()}
	if at.After(f.now) {
		f.waiting = append(f.waiting, w)
		return
	}
	f.send(w)
}

// slotsTaken counts the requests that this process of the node has at the endpoint; it doesn't know those of earlier ones.
func (f *fleet) slotsTaken() int {
	n := 0
	for _, r := range f.atWork {
		if r.life == f.life {
			n++
		}
	}
	for _, w := range f.waiting {
		if w.life == f.life {
			n++
		}
	}
	return n
}

// check counts the arrivals in each window within a period, from when its rate binds on.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	f.endPeriod()
	slices.SortFunc(f.arrivals, time.Time.Compare)
	for _, p := range f.periods {
		allowed := int(factor*window.Seconds()*p.rate + slack)
		first := 0
		for i, at := range f.arrivals {
			if at.Before(p.from.Add(bindsAfter)) || at.After(p.to) {
				first = i + 1
				continue
			}
			for at.Sub(f.arrivals[first]) > window {
				first++
			}
			if got := i - first + 1; got > allowed {
				t.Errorf("rate %v: got %d in %v, want at most %d", p.rate, got, window, allowed)
			}
		}
	}
}
