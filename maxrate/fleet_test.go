package maxrate

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFleetKeepsToStatedRate guards against an endpoint that gets more than it stated from all nodes together. It draws
// fleets of 3 to 60 senders before one endpoint whose rate begins, changes and ends, a node beside it that is restarted or
// suspended, senders that are restarted, answers that overtake each other, and requests that arrive later than they were
// admitted; then it counts what the endpoint saw.
func TestFleetKeepsToStatedRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range rapid.IntRange(200, 1500).Draw(t, "steps") {
			f.step(t)
		}
		f.check(t)
	})
}

const (
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

// period is a time in which the endpoint states one rate.
type period struct {
	from, to time.Time
	rate     float64
}

type fleet struct {
	now      time.Time
	limiter  *Limiter
	life     int
	slots    int
	demand   int
	stated   *float64
	told     []*float64
	atWork   []inFlight
	arrivals []time.Time
	periods  []period
}

func newFleet(t *rapid.T) *fleet {
	return &fleet{
		now: time.Unix(1000, 0), limiter: NewLimiter(), slots: rapid.IntRange(1, 8).Draw(t, "slots"),
		demand: rapid.IntRange(1, 6).Draw(t, "demand"), told: make([]*float64, rapid.IntRange(3, 60).Draw(t, "senders")),
	}
}

func (f *fleet) step(t *rapid.T) {
	f.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * time.Millisecond)
	switch rapid.IntRange(0, 150).Draw(t, "event") {
	case 0, 1:
		f.state(rapid.SampledFrom([]float64{0, 0.3, 0.5, 1, 1.9, 4, 10, 40}).Draw(t, "rate"))
	case 2:
		f.stopStating()
	case 3, 4:
		// The node beside the endpoint restarts: its work is answered to nobody.
		f.limiter, f.life = NewLimiter(), f.life+1
	case 5:
		f.advance(time.Duration(rapid.IntRange(500, 5000).Draw(t, "suspended")) * time.Millisecond)
	case 6:
		// A sender restarts. The rule excuses what it sends until it is told again, so the fleet is told at once.
		f.told[rapid.IntRange(0, len(f.told)-1).Draw(t, "sender")] = f.stated
	}
	for range rapid.IntRange(0, f.demand).Draw(t, "requests") {
		f.request(t)
	}
}

// advance lets time pass; answers that are due arrive.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.atWork = slices.DeleteFunc(f.atWork, func(r inFlight) bool {
		if r.answers.After(f.now) {
			return false
		}
		f.answer(r)
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

// report tells a sender what the node beside the endpoint knows.
func (f *fleet) report(sender int) {
	f.told[sender] = nil
	if rate, ok := f.limiter.Limit(); ok {
		f.told[sender] = &rate
	}
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

func (f *fleet) request(t *rapid.T) {
	sender := rapid.IntRange(0, len(f.told)-1).Draw(t, "from")
	if f.slotsTaken() >= f.slots {
		return
	}
	if rate := f.told[sender]; rate != nil {
		f.limiter.Adopt(f.now, *rate)
	}
	wait := time.Duration(rapid.IntRange(-300, 600).Draw(t, "wait")) * time.Millisecond
	at, _, ok := f.limiter.Reserve(f.now, f.now.Add(max(wait, 0)), rapid.Bool().Draw(t, "repeatable"))
	if !ok {
		f.report(sender)
		return
	}
	version := f.limiter.Version()
	arrival := at.Add(time.Duration(rapid.Int64Range(0, int64(sendDelay)).Draw(t, "delay")))
	if rapid.IntRange(0, 15).Draw(t, "lapses") == 0 {
		f.limiter.Refund(f.now, version)
		return
	}
	f.arrivals = append(f.arrivals, arrival)
	f.atWork = append(f.atWork, inFlight{
		sender: sender, sentAt: at, life: f.life,
		answers: arrival.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "work")) * time.Millisecond),
	})
}

// slotsTaken counts the requests that this process of the node has at the endpoint; it doesn't know those of earlier ones.
func (f *fleet) slotsTaken() int {
	n := 0
	for _, r := range f.atWork {
		if r.life == f.life {
			n++
		}
	}
	return n
}

// check counts the arrivals in each window within a period, from when its rate binds on.
func (f *fleet) check(t *rapid.T) {
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
				t.Fatalf("rate %v: got %d in %v, want at most %d", p.rate, got, window, allowed)
			}
		}
	}
}
