package signals

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// arrival is a signal on its way to the receiver.
type arrival struct {
	at   time.Time
	stop bool
}

// drawnPath is the way of signals to a receiver, by which they arrive late but in the order in which they were sent, except that
// probes may overtake the stop signal.
type drawnPath struct {
	t *rapid.T
	// blocked holds the beginnings and ends of the times in which nothing arrives.
	blocked []time.Time
	onWay   []arrival
	latest  time.Time
}

func (d *drawnPath) millis(name string, most int64) time.Duration {
	return time.Duration(rapid.Int64Range(0, most).Draw(d.t, name)) * time.Millisecond
}

// draw draws the times in which nothing arrives. The first probe returns: until then, the ticks take its place after a while.
func (d *drawnPath) draw(start time.Time) {
	for range rapid.IntRange(0, 3).Draw(d.t, "blocks") {
		from := start.Add(200*time.Millisecond + d.millis("from", 20_000))
		d.blocked = append(d.blocked, from, from.Add(d.millis("for", 8_000)))
	}
}

// send puts a signal on its way.
func (d *drawnPath) send(now time.Time, stop bool) {
	at := now.Add(d.millis("delay", 50))
	for i := 0; i < len(d.blocked); i += 2 {
		if !at.Before(d.blocked[i]) && at.Before(d.blocked[i+1]) {
			at = d.blocked[i+1]
		}
	}
	if at.Before(d.latest) {
		at = d.latest
	}
	d.latest = at
	if stop {
		at = at.Add(d.millis("overtaken", overtakeTime.Milliseconds()/2))
	}
	d.onWay = append(d.onWay, arrival{at, stop})
}

// next returns the next signal that has arrived, false if there is none.
func (d *drawnPath) next(now time.Time) (arrival, bool) {
	i := slices.IndexFunc(d.onWay, func(a arrival) bool { return !a.at.After(now) })
	if i < 0 {
		return arrival{}, false
	}
	a := d.onWay[i]
	d.onWay = slices.Delete(d.onWay, i, i+1)
	return a, true
}

// TestStopCountsFromBeforeItWasSent draws processes whose signals are received late, by any time, while the ticks of the receiver go
// on; probes may overtake the stop signal. It guards against a stop that counts from later than its signal, so that requests are
// taken that come too late.
func TestStopCountsFromBeforeItWasSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		d := &drawnPath{t: t, latest: start}
		stopSent := start.Add(d.millis("stop", 20_000))
		d.draw(start)
		p, stopped := path{clearUntil: start}, false
		for now := start; ; now = now.Add(10 * time.Millisecond) {
			if !stopped && !now.Before(stopSent) {
				d.send(stopSent, true)
				stopped = true
			}
			for a, ok := d.next(now); ok; a, ok = d.next(now) {
				if a.stop {
					return
				}
				p = p.withReturn(now)
			}
			if p.clearUntil.After(now) || stopped && p.clearUntil.After(stopSent) {
				t.Fatalf("clear until %v at %v, want no later than a signal that is on its way", p.clearUntil.Sub(start), now.Sub(start))
			}
			if now.Sub(start)%probeInterval != 0 {
				continue
			}
			p = p.withTick(now)
			if p.probeDue(now) {
				p = p.withProbe(now)
				d.send(now, false)
			}
		}
	})
}

// TestTicksTakePlaceOfProbes checks that a process whose probes never return still learns that no stop signal was sent: by its
// ticks, once the first probe has taken too long.
func TestTicksTakePlaceOfProbes(t *testing.T) {
	start := time.Unix(1000, 0)
	p := path{clearUntil: start}.withProbe(start)
	now := start
	for now.Sub(start) <= unsupportedAfter {
		p = p.withTick(now)
		if got, want := p.clearUntil, start; !got.Equal(want) {
			t.Fatalf("after %v: clear until %v, want %v", now.Sub(start), got, want)
		}
		now = now.Add(probeInterval)
	}
	p = p.withTick(now)
	if got, want := p.clearUntil, now.Add(-probeInterval); !got.Equal(want) {
		t.Errorf("after %v: clear until %v, want %v", now.Sub(start), got, want)
	}
}
