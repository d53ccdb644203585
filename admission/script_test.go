package admission

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestScripts runs the scenarios of testdata. Commands:
//
//	queue slots=N most=N service=5ms     creates a queue with that mean service time
//	offer id=N by=NAME [weight=W] [rank=N] [kind=NAME] [work=5ms] [target=20ms] within=50ms [nested]
//	lookups from=N to=N ...              offers several requests as offer does; prints how many ended in which way
//	done id=N [took=5ms]
//	learn kind=NAME took=5ms             the kind is known to take this long
//	pause id=N yields=300ms              the request's caller doesn't read
//	resume id=N
//	cancel id=N
//	wait for=10ms                        lets time pass
//	expire
//	check                                prints in how long the queue must be checked
//	counts                               prints the counts of nested starts and of displaced requests
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var q *Queue
		now := time.Unix(0, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out []Decision
			switch d.Cmd {
			case "queue":
				q = NewQueue(number(t, d, "slots"), number(t, d, "most"), rand.New(rand.NewPCG(1, 1)))
				q.meanServiceTime = span(t, d, "service").Seconds()
			case "offer":
				decision, evicted := q.Offer(now, request(t, d, now, uint64(number(t, d, "id"))))
				out = append([]Decision{decision}, evicted...)
			case "lookups":
				counts := map[Action]int{}
				for id := number(t, d, "from"); id <= number(t, d, "to"); id++ {
					decision, evicted := q.Offer(now, request(t, d, now, uint64(id)))
					counts[decision.Action]++
					counts[Refuse] += len(evicted)
				}
				return fmt.Sprintf("run %d wait %d refuse %d\n", counts[Run], counts[Wait], counts[Refuse])
			case "learn":
				kind := ""
				d.ScanArgs(t, "kind", &kind)
				q.Learn(kind, span(t, d, "took"), span(t, d, "took"))
			case "pause":
				q.Pause(now, uint64(number(t, d, "id")), span(t, d, "yields"))
			case "resume":
				q.Resume(now, uint64(number(t, d, "id")))
			case "check":
				at, ok := q.NextCheck(now)
				return fmt.Sprintln(at.Sub(now).Round(time.Millisecond), ok)
			case "counts":
				c := q.Counts()
				return fmt.Sprintf("nested starts %d, displaced %d\n", c.NestedStarts, c.Displaced)
			case "done":
				out = q.Done(now, uint64(number(t, d, "id")), span(t, d, "took"))
			case "expire":
				out = q.Expire(now)
			case "cancel":
				return fmt.Sprintln(q.Cancel(uint64(number(t, d, "id"))))
			case "wait":
				now = now.Add(span(t, d, "for"))
			default:
				d.Fatalf(t, "no such command")
			}
			return show(q, out)
		})
	})
}

// request returns the request that an offer's arguments describe.
func request(t *testing.T, d *datadriven.TestData, now time.Time, id uint64) Request {
	t.Helper()
	r := Request{ID: id, Weight: 1, Deadline: now.Add(span(t, d, "within")), Nested: d.HasArg("nested")}
	d.ScanArgs(t, "by", &r.Customer)
	d.MaybeScanArgs(t, "weight", &r.Weight)
	d.MaybeScanArgs(t, "rank", &r.Priority)
	d.MaybeScanArgs(t, "kind", &r.Kind)
	if d.HasArg("work") {
		r.ServiceTime = span(t, d, "work")
	}
	if d.HasArg("target") {
		r.TargetTime = now.Add(span(t, d, "target"))
	}
	return r
}

func number(t *testing.T, d *datadriven.TestData, name string) int {
	t.Helper()
	var n int
	d.ScanArgs(t, name, &n)
	return n
}

func span(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	t.Helper()
	text := "5ms"
	d.MaybeScanArgs(t, name, &text)
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return v
}

func show(q *Queue, list []Decision) string {
	var b strings.Builder
	for _, d := range list {
		fmt.Fprintf(&b, "%d %s", d.ID, []string{"run", "wait", "refuse"}[d.Action])
		if d.Action == Refuse {
			fmt.Fprintf(&b, " %s come back in %s", d.Code, d.RetryAfter.Round(time.Millisecond))
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(&b, "busy %d waiting %d\n", q.Busy(), q.Waiting())
	return b.String()
}

// model follows the decisions of a queue.
type model struct {
	q     *Queue
	slots int
	// patient is set if the requests may wait for long, so that the queue is full of both kinds.
	patient bool
	now     time.Time
	next    uint64
	// state is the last decision about each request that has not ended; nested are the nested calls.
	state  map[uint64]Action
	nested map[uint64]bool
	// finals is the number of final decisions, offered that of the requests.
	finals, offered int
	// streak is the number of successive nested starts while both kinds waited.
	streak int
}

func newModel(t *rapid.T) *model {
	slots, most, patient := rapid.IntRange(1, 5).Draw(t, "slots"), rapid.IntRange(0, 8).Draw(t, "most"), rapid.Bool().Draw(t, "patient")
	if patient {
		most = 36
	}
	return &model{
		q: NewQueue(slots, most, rand.New(rand.NewPCG(1, 1))), slots: slots, patient: patient, now: time.Unix(0, 0), state: map[uint64]Action{}, nested: map[uint64]bool{},
	}
}

// count returns the number of requests with a last decision, nested or not.
func (m *model) count(a Action, nested bool) (n int) {
	for id, s := range m.state {
		if s == a && m.nested[id] == nested {
			n++
		}
	}
	return n
}

// settle records decisions in their order.
func (m *model) settle(t *rapid.T, list []Decision) {
	for _, d := range list {
		before, ok := m.state[d.ID]
		if !ok || before != Wait {
			t.Fatalf("request %d: got a decision %v after %v, want only one that is final", d.ID, d.Action, before)
		}
		if d.Action == Run {
			m.checkStart(t, m.nested[d.ID], m.count(Wait, true) > 0 && m.count(Wait, false) > 0)
		}
		if d.Action != Wait {
			m.finals++
		}
		m.state[d.ID] = d.Action
		if d.Action == Refuse {
			delete(m.state, d.ID)
		}
	}
}

// checkStart checks the quarter floor at the start of a request.
func (m *model) checkStart(t *rapid.T, nested, bothWait bool) {
	if !nested || !bothWait {
		m.streak = 0
		return
	}
	m.streak++
	if got, limit := m.streak, 3; got > limit {
		t.Fatalf("successive starts of nested calls while others wait: got %d, want at most %d", got, limit)
	}
}

func (m *model) offer(t *rapid.T) {
	m.next++
	m.offered++
	r := Request{
		ID: m.next, Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "by"),
		Weight:      rapid.Float64Range(0.1, 4).Draw(t, "weight"),
		Priority:    rapid.IntRange(0, 2).Draw(t, "rank"),
		Nested:      rapid.IntRange(0, 3).Draw(t, "nested") > 0,
		NoWait:      rapid.IntRange(0, 9).Draw(t, "no wait") == 0,
		ServiceTime: time.Duration(rapid.IntRange(0, 20).Draw(t, "work")) * time.Millisecond,
		Deadline:    m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "within")) * time.Millisecond),
	}
	if rapid.Bool().Draw(t, "has target") {
		r.TargetTime = m.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "target")) * time.Millisecond)
	}
	if m.patient {
		r.TargetTime, r.Deadline = time.Time{}, m.now.Add(time.Hour)
	}
	direct := m.q.Waiting() == 0 && m.q.Busy() < m.slots
	decision, evicted := m.q.Offer(m.now, r)
	if got, want := decision.Action == Run, direct; got != want {
		t.Fatalf("starts at once: got %v, want %v", got, want)
	}
	m.nested[r.ID], m.state[r.ID] = r.Nested, Wait
	for _, d := range evicted {
		if m.nested[d.ID] && !r.Nested {
			t.Fatalf("nested call %d is evicted for a request that is not nested", d.ID)
		}
	}
	m.settle(t, append(evicted, decision))
}

// done ends one of the running requests.
func (m *model) done(t *rapid.T) {
	for id := range m.next {
		if m.state[id+1] == Run && m.running(id+1) {
			delete(m.state, id+1)
			m.settle(t, m.q.Done(m.now, id+1, time.Duration(rapid.IntRange(1, 50).Draw(t, "took"))*time.Millisecond))
			return
		}
	}
}

// running reports whether a request runs: Run is the zero Action.
func (m *model) running(id uint64) bool {
	a, ok := m.state[id]
	return ok && a == Run
}

func (m *model) cancel(t *rapid.T) {
	id := rapid.Uint64Range(0, m.next).Draw(t, "id")
	a, ok := m.state[id]
	if got, want := m.q.Cancel(id), ok && a == Wait; got != want {
		t.Fatalf("canceled: got %v, want %v", got, want)
	}
	if ok && a == Wait {
		m.finals++
		delete(m.state, id)
	}
}

func (m *model) check(t *rapid.T) {
	running := m.count(Run, true) + m.count(Run, false)
	if got, want := running, m.slots; got > want {
		t.Fatalf("running: got %d, want at most %d", got, want)
	}
	if got, want := m.q.Busy(), running; got != want {
		t.Fatalf("busy: got %d, want %d", got, want)
	}
	if m.q.Waiting() > 0 && m.q.Busy() < m.slots {
		t.Fatalf("got %d waiting with a free slot, want none", m.q.Waiting())
	}
	waiting := m.count(Wait, true) + m.count(Wait, false)
	if got, want := m.q.Waiting(), waiting; got != want {
		t.Fatalf("waiting: got %d, want %d", got, want)
	}
	if got, want := m.finals, m.offered-waiting; got != want {
		t.Fatalf("final decisions: got %d, want %d", got, want)
	}
}

// TestQueueProperties checks on random sequences that slots are never exceeded, that every request gets exactly one
// final decision, that no request waits while a slot is free, that nested calls leave one start in four to the others
// while both kinds wait, and that no nested call is evicted for another request.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.offer,
			"done":   m.done,
			"cancel": m.cancel,
			"expire": func(t *rapid.T) { m.settle(t, m.q.Expire(m.now)) },
			"pause": func(t *rapid.T) {
				m.q.Pause(m.now, rapid.Uint64Range(0, m.next).Draw(t, "id"), 30*time.Millisecond)
			},
			"resume": func(t *rapid.T) { m.q.Resume(m.now, rapid.Uint64Range(0, m.next).Draw(t, "id")) },
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
	})
}

// TestNestedCallsLeaveAQuarter keeps a queue full of both kinds, with any mix of them, so that the check of successive
// starts is exercised by long runs of nested calls.
func TestNestedCallsLeaveAQuarter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.patient = true
		m.q.SetLimits(m.slots, 36)
		for range 60 {
			for range rapid.IntRange(0, 2).Draw(t, "offers") {
				m.offer(t)
			}
			m.done(t)
			m.check(t)
		}
	})
}

// TestNextCheckIsInTime checks on random queues in which nothing ends that no waiting request runs out of time before
// NextCheck, by more than minCheckInterval, so that an owner who relies on it refuses in time.
func TestNextCheckIsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(0, 30).Draw(t, "requests") {
			m.offer(t)
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "ms")) * time.Millisecond)
		}
		m.settle(t, m.q.Expire(m.now))
		at, ok := m.q.NextCheck(m.now)
		if got, want := ok, m.q.Waiting() > 0; got != want {
			t.Fatalf("has a next check: got %v, want %v", got, want)
		}
		if before := at.Add(-time.Microsecond); ok && at.Sub(m.now) > minCheckInterval {
			if got, want := len(m.q.Expire(before)), 0; got != want {
				t.Fatalf("refused before the next check: got %d, want %d", got, want)
			}
		}
	})
}

// BenchmarkFullQueue measures, with 10 slots and 36 waiting requests, an offer that is refused by a full queue, an end after
// which the next request starts and another one comes, the memory of the queue, and the time of its next check.
func BenchmarkFullQueue(b *testing.B) {
	now := time.Unix(0, 0)
	full := func() (q *Queue, next uint64, running []uint64) {
		q = NewQueue(10, 36, rand.New(rand.NewPCG(1, 1)))
		for next = 1; next <= 46; next++ {
			if d, _ := q.Offer(now, benchmarkRequest(now, next)); d.Action == Run {
				running = append(running, next)
			}
		}
		return q, next, running
	}
	b.Run("offer", func(b *testing.B) {
		q, id, _ := full()
		for b.Loop() {
			q.Offer(now, benchmarkRequest(now, id))
			id++
		}
	})
	b.Run("done and offer", func(b *testing.B) {
		q, id, running := full()
		for i := 0; b.Loop(); i = (i + 1) % len(running) {
			started := q.Done(now, running[i], time.Millisecond)
			if got, want := len(started), 1; got != want {
				b.Fatalf("decisions: got %d, want %d", got, want)
			}
			running[i] = started[0].ID
			q.Offer(now, benchmarkRequest(now, id))
			id++
		}
	})
	b.Run("build", func(b *testing.B) {
		for b.Loop() {
			full()
		}
	})
	b.Run("check", func(b *testing.B) {
		q, _, _ := full()
		for b.Loop() {
			q.NextCheck(now)
		}
	})
}

func benchmarkRequest(now time.Time, id uint64) Request {
	return Request{
		ID: id, Customer: "a", Weight: 1, Priority: 1, Nested: id%3 == 0, ServiceTime: 40 * time.Millisecond,
		SlotTime: 10 * time.Millisecond, Deadline: now.Add(10 * time.Second),
	}
}
