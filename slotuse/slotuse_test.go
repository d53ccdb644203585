package slotuse

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/latency"
)

// lateAfter100ms is the age from which the tests count a run as late, whatever its class.
func lateAfter100ms(breaker.RequestClass) time.Duration { return 100 * time.Millisecond }

// TestScripts runs the scenarios of testdata, and guards against slot time that is lost, counted twice or put down to
// another state. Requests are late after 100 ms. Commands:
//
//	new slots=N                      creates a meter
//	levels slots=N busy=N waiting=N  records the levels
//	breaker open|closed              records the breaker's state
//	begin id=N route=R               records a dispatch
//	answer id=N                      records the beginning of an answer
//	end id=N                         records the end of a request
//	wait for=40ms                    lets time pass
//	load slots=N every=5ms takes=T hangs=N for=D   has requests arrive at free slots, of which N in ten are not answered
//	take                             prints the use since the last take
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		now := time.Unix(1000, 0)
		m := New(now, 4)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var id uint64
			var slots, busy, waiting int
			var route string
			d.MaybeScanArgs(t, "id", &id)
			d.MaybeScanArgs(t, "slots", &slots)
			d.MaybeScanArgs(t, "busy", &busy)
			d.MaybeScanArgs(t, "waiting", &waiting)
			d.MaybeScanArgs(t, "route", &route)
			switch d.Cmd {
			case "new":
				m = New(now, slots)
			case "levels":
				m.SetLevels(now, slots, busy, waiting)
			case "breaker":
				m.SetBreaker(now, d.HasArg("open"), lateAfter100ms)
			case "begin":
				m.Begin(now, id, route, breaker.RequestClass{Kind: route})
			case "answer":
				m.Answer(now, id, lateAfter100ms)
			case "end":
				m.End(now, id, lateAfter100ms)
			case "wait":
				now = now.Add(scanDuration(t, d, "for"))
			case "load":
				now = load(t, d, m, now, slots)
			case "take":
				use, ok := m.Take(now, lateAfter100ms)
				if !ok {
					return "idle\n"
				}
				return describe(use)
			default:
				d.Fatalf(t, "no such command")
			}
			return ""
		})
	})
}

func scanDuration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	t.Helper()
	var text string
	d.ScanArgs(t, name, &text)
	span, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return span
}

// load steps through a load by the millisecond. A request that finds no free slot is dropped.
func load(t *testing.T, d *datadriven.TestData, m *Meter, now time.Time, slots int) time.Time {
	t.Helper()
	var hangs int
	d.ScanArgs(t, "hangs", &hangs)
	every, takes, span := scanDuration(t, d, "every"), scanDuration(t, d, "takes"), scanDuration(t, d, "for")
	begun := make(map[uint64]time.Time)
	var id uint64
	for at := time.Duration(0); at < span; at += time.Millisecond {
		now = now.Add(time.Millisecond)
		for id, start := range begun {
			if now.Sub(start) >= takes && int(id*7%10) >= hangs {
				m.Answer(now, id, lateAfter100ms)
				m.End(now, id, lateAfter100ms)
				delete(begun, id)
				m.SetLevels(now, slots, len(begun), 0)
			}
		}
		if at%every == 0 && len(begun) < slots {
			id++
			begun[id] = now
			m.SetLevels(now, slots, len(begun), 0)
			m.Begin(now, id, "lookup", breaker.RequestClass{Kind: "lookup"})
		}
	}
	return now
}

func describe(u Use) string {
	var b strings.Builder
	fmt.Fprintf(&b, "for %v, %d slots, waiting %v\n", u.For, u.Slots, u.Waiting)
	for _, s := range []struct {
		name string
		Seconds
	}{{"closed", u.Closed}, {"open", u.Open}} {
		fmt.Fprintf(&b, "%s: working %v, late %v, grant %v, idle %v\n", s.name, s.Working, s.Late, s.Grant, s.Idle)
	}
	for _, r := range u.Routes {
		fmt.Fprintf(&b, "route %q: working %v, late %v\n", r.Route, r.Working, r.Late)
	}
	return b.String()
}

func (s Seconds) total() time.Duration { return s.Working + s.Late + s.Idle + s.Grant }

// TestSlotTimeIsConserved draws sequences of events and checks that the slot times of each window add up to its length
// times the number of slots, and those of the routes to the working and late times.
func TestSlotTimeIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 4
		now := time.Unix(1000, 0)
		m := New(now, slots)
		var running []uint64
		granted, waiting := 0, 0
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "events")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
			case event == 0 && len(running)+granted < slots:
				granted++
			case event == 1 && granted > 0:
				granted--
				running = append(running, id)
				m.Begin(now, id, fmt.Sprint(id%12), breaker.RequestClass{})
			case event == 2 && len(running) > 0:
				m.Answer(now, running[0], lateAfter100ms)
			case event == 3 && len(running) > 0:
				m.End(now, running[0], lateAfter100ms)
				running = running[1:]
			case event == 4:
				m.SetBreaker(now, rapid.Bool().Draw(t, "open"), lateAfter100ms)
			case event == 5:
				use, _ := m.Take(now, lateAfter100ms)
				checkConserved(t, use, slots)
			}
			m.SetLevels(now, slots, len(running)+granted, waiting)
		}
		use, _ := m.Take(now.Add(time.Second), lateAfter100ms)
		checkConserved(t, use, slots)
	})
}

func checkConserved(t *rapid.T, use Use, slots int) {
	if got, want := use.Closed.total()+use.Open.total(), use.For*time.Duration(slots); got != want {
		t.Fatalf("slot time: got %v, want %v in %+v", got, want, use)
	}
	var working, late time.Duration
	for _, r := range use.Routes {
		working += r.Working
		late += r.Late
	}
	if got, want := working, use.Closed.Working+use.Open.Working; got != want {
		t.Fatalf("working by route: got %v, want %v", got, want)
	}
	if got, want := late, use.Closed.Late+use.Open.Late; got != want {
		t.Fatalf("late by route: got %v, want %v", got, want)
	}
	if got, limit := len(use.Routes), maxRoutes+1; got > limit {
		t.Fatalf("routes: got %d, want at most %d", got, limit)
	}
}

// BenchmarkRun measures the accounting of one run at an endpoint with 10 busy slots: its grant, dispatch, answer and end.
func BenchmarkRun(b *testing.B) {
	const slots = 10
	models := latency.NewModels()
	for i := range 100 {
		models.Observe("lookup", time.Duration(15+i%10)*time.Millisecond)
	}
	late := func(c breaker.RequestClass) time.Duration { return models.For(c.Kind, c.UsualTime).Late(0.05) }
	class := breaker.RequestClass{Kind: "lookup", UsualTime: 20 * time.Millisecond}
	now := time.Unix(1000, 0)
	m := New(now, slots)
	for id := range uint64(slots) {
		m.SetLevels(now, slots, int(id)+1, 0)
		m.Begin(now, id, "lookup", class)
	}
	b.ReportAllocs()
	for id := uint64(slots); b.Loop(); id++ {
		now = now.Add(5 * time.Millisecond)
		m.Answer(now, id-slots, late)
		m.End(now, id-slots, late)
		m.SetLevels(now, slots, slots-1, 0)
		m.SetLevels(now, slots, slots, 0)
		m.Begin(now, id, "lookup", class)
		if id%400 == 0 {
			m.Take(now, late)
		}
	}
}
