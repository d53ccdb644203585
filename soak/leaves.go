package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/registry"
	"github.com/lynxplank/lynxplank/standin/backend"
)

// Leave has an endpoint that announces itself leave, its node end around the acknowledgement, and late heartbeats come.
const Leave Kind = "leave"

const (
	// leavesSeed keeps these draws apart from those of other actions.
	leavesSeed = 1 << 45
	// heartbeatInterval is the time between two heartbeats of an endpoint, repeatInterval between two reports of a leaving that
	// is not acknowledged.
	heartbeatInterval = 1500 * time.Millisecond
	repeatInterval    = 500 * time.Millisecond
	// giveUpAfter is when an endpoint whose leaving is not acknowledged serves on all the same: nothing is checked then.
	giveUpAfter = 6 * time.Second
	// drainTime is how long after the acknowledgement requests may still arrive.
	drainTime = 2 * time.Second
	// mostLate bounds how late a heartbeat comes.
	mostLate = 7 * time.Second
)

// Leaving is how an endpoint leaves; times count from the acknowledgement.
type Leaving struct {
	// Drains has the endpoint report that it drains, else that it leaves.
	Drains bool
	// Kills are the times at which its node is killed, Down how long it is down each time. Stop makes the first one a planned
	// stop.
	Kills []time.Duration
	Down  time.Duration
	Stop  bool
	// Late are the times at which heartbeats come that were written before.
	Late []time.Duration
}

// PlanLeaves draws n times in which endpoints leave, without changing what Plan draws.
func PlanLeaves(seed uint64, members, n int, length time.Duration) []Action {
	r := rand.New(rand.NewPCG(seed, leavesSeed+uint64(members))) //nolint:gosec // seeded on purpose
	plan := make([]Action, 0, n)
	for range n {
		a := draw(r, members, length)
		a.Kind, a.For, a.Leaving = Leave, mostLate+time.Second, drawLeaving(r)
		plan = append(plan, a)
	}
	return plan
}

// drawLeaving draws how an endpoint leaves.
func drawLeaving(r *rand.Rand) Leaving {
	l := Leaving{
		Drains: r.IntN(2) == 0, Stop: r.IntN(4) == 0, Down: 100*time.Millisecond + time.Duration(r.Int64N(int64(time.Second))),
	}
	// Kills right after the acknowledgement, and some later.
	for range r.IntN(3) {
		l.Kills = append(l.Kills, time.Duration(r.Int64N(int64([]time.Duration{50 * time.Millisecond, 3 * time.Second}[r.IntN(2)]))))
	}
	for range 1 + r.IntN(3) {
		l.Late = append(l.Late, time.Duration(r.Int64N(int64(mostLate))))
	}
	slices.Sort(l.Kills)
	return l
}

// withLeaves adds leaves to a plan, without the actions on rows of endpoints: there are none then.
func withLeaves(plan, leaves []Action) []Action {
	if len(leaves) == 0 {
		return plan
	}
	plan = slices.DeleteFunc(plan, func(a Action) bool { return a.Kind == Weight || a.Kind == Drain })
	plan = append(plan, leaves...)
	slices.SortStableFunc(plan, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// boot is an incarnation of an endpoint that announces itself, and the next ones of its member.
type boot struct {
	m *demo.Member

	mu     sync.Mutex
	number int
	// born is its start time by its host's time of day, in milliseconds since 1970, 0 if it reports none.
	born     int64
	sequence uint64
	leaving  bool
}

// heartbeat returns the next heartbeat.
func (b *boot) heartbeat() registry.Heartbeat {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return b.m.Heartbeat(serviceName, b.instance(), b.born, b.sequence)
}

// instance returns the name of the present incarnation; the caller holds the lock.
func (b *boot) instance() string { return fmt.Sprintf("%s-%d", b.m.Key(), b.number) }

// run sends heartbeats until ctx ends, but for the time in which the endpoint leaves.
func (b *boot) run(ctx context.Context) {
	for {
		b.mu.Lock()
		leaving := b.leaving
		b.mu.Unlock()
		if !leaving {
			// The next one follows whatever comes of it.
			_ = b.m.Report(b.heartbeat())
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// setLeaving stops the heartbeats, or begins a new incarnation.
func (b *boot) setLeaving(leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = leaving
	if !leaving {
		b.number, b.sequence = b.number+1, 0
		if b.born != 0 {
			b.born = time.Now().UnixMilli()
		}
	}
}

// announceEndpoints has every endpoint announce itself, until the returned function is called.
func (r *run) announceEndpoints() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, m := range r.fleet.Members {
		b := &boot{m: m, number: 1}
		r.boots = append(r.boots, b)
		running.Go(func() { b.run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// leave has an endpoint leave, and checks that no request reaches it later than drainTime after the acknowledgement,
// whatever becomes of its node. Then its next incarnation starts.
func (r *run) leave(a Action) {
	r.ends[a.On].Lock()
	defer r.ends[a.On].Unlock()
	r.leaveNow(a)
}

// leaveNow is leave for an endpoint that no other action strikes.
func (r *run) leaveNow(a Action) {
	b, how := r.boots[a.On], a.Leaving
	late := make([]registry.Heartbeat, 0, len(how.Late))
	for range how.Late {
		late = append(late, b.heartbeat())
	}
	b.setLeaving(true)
	defer b.setLeaving(false)
	acknowledged, ok := r.reportLeaving(b, how.Drains)
	if !ok {
		return
	}
	var arrivals sync.WaitGroup
	for i, at := range how.Late {
		arrivals.Go(func() {
			time.Sleep(time.Until(acknowledged.Add(at)))
			// It may find no node.
			_ = b.m.Report(late[i])
		})
	}
	for i, at := range how.Kills {
		time.Sleep(time.Until(acknowledged.Add(at)))
		kind := KillNode
		if how.Stop && i == 0 {
			kind = StopNode
		}
		r.process(Action{Kind: kind, On: a.On, For: how.Down})
	}
	time.Sleep(time.Until(acknowledged.Add(a.For)))
	arrivals.Wait()
	r.checkLeft(a.On, acknowledged, time.Now(), len(late))
}

// reportLeaving repeats that an endpoint leaves until that is acknowledged; false if it is not in time.
func (r *run) reportLeaving(b *boot, drains bool) (acknowledged time.Time, ok bool) {
	for begin := time.Now(); time.Since(begin) < giveUpAfter; time.Sleep(repeatInterval) {
		var err error
		if drains {
			draining := b.heartbeat()
			draining.Draining = true
			err = b.m.Report(draining)
		} else {
			b.mu.Lock()
			instance, born := b.instance(), b.born
			b.mu.Unlock()
			err = b.m.ReportLeaving(instance, born)
		}
		if err == nil {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

// checkLeft looks whether requests reached an endpoint between the time allowed to it and until. A request that a paused
// node holds may reach it later.
func (r *run) checkLeft(on int, acknowledged, until time.Time, late int) {
	for _, a := range r.plan {
		begin, end := r.start.Add(a.At), r.start.Add(a.At+a.For)
		if a.Kind == PauseNode && a.On == on && begin.Before(until) && end.After(acknowledged.Add(-touched)) {
			return
		}
	}
	m := r.fleet.Members[on]
	runs, err := m.Runs()
	r.must("endpoint's record", err)
	r.mu.Lock()
	r.report.Leavings++
	r.report.Late += late
	r.mu.Unlock()
	for call, after := range runsBetween(runs, acknowledged, drainTime, until) {
		r.breaks("leave: %s reached %s %v after its leaving was acknowledged", call, m.Key(), after)
	}
}

// runsBetween returns the requests that began later than allowed after a time and before until, with how long after that time.
func runsBetween(runs map[string]backend.Run, from time.Time, allowed time.Duration, until time.Time) map[string]time.Duration {
	late := make(map[string]time.Duration)
	for call, run := range runs {
		if at := time.UnixMilli(run.LastMillis); at.After(from.Add(allowed)) && at.Before(until) {
			late[call] = at.Sub(from)
		}
	}
	return late
}
