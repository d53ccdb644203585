package soak

import (
	"time"

	"github.com/lynxplank/lynxplank/demo"
	"github.com/lynxplank/lynxplank/standin/relay"
	"github.com/lynxplank/lynxplank/standin/store"
)

const (
	// leaveWithin is when a leaving endpoint must have had its last new work.
	leaveWithin = 3 * time.Second
	// touched is how long before a drain nothing may have kept its node from hearing of it.
	touched = time.Second
	// ctlTries and ctlPause bound how often operators repeat a change that must not be left undone.
	ctlTries = 40
	ctlPause = 250 * time.Millisecond
)

// do does one action and takes it back when its time is over.
func (r *run) do(a Action) {
	switch a.Kind {
	case KillNode, StopNode, PauseNode, ReloadNode:
		r.process(a)
	case CutLinkTo, CutLinkOf, SlowLink, ResetLink, CutStore:
		r.link(a)
	case StoreFault:
		r.store(a)
	case Endpoint:
		r.endpoint(a)
	case Weight:
		r.weight(a)
	case Drain:
		r.drain(a)
	case StopSeries:
		r.stopSeries(a)
	case StateRate:
		r.stateRate(a)
	case SilenceLinks, SilenceStore, SilenceSome, SilenceAll:
		r.silence(a)
	case Leave:
		r.leave(a)
	case StepClock:
		r.stepClock(a)
	case ChangeLimits:
		r.changeLimits(a)
	case ChangeConfig:
		r.changeConfig(a)
	}
}

// process strikes a node's process; actions on one process follow each other.
func (r *run) process(a Action) {
	r.procs[a.On].Lock()
	defer r.procs[a.On].Unlock()
	m := r.fleet.Members[a.On]
	switch a.Kind {
	case KillNode:
		r.restart(a, m, m.KillNode)
	case StopNode:
		r.restart(a, m, m.StopNode)
	case ReloadNode:
		r.must("reload", m.Reload())
	default:
		r.must("pause", m.Pause(true))
		time.Sleep(a.For)
		r.must("go on", m.Pause(false))
	}
}

// restart ends a node and starts it again. A node that does not listen yet takes no signal, so that is waited for.
func (r *run) restart(a Action, m *demo.Member, end func() error) {
	r.must(string(a.Kind), end())
	r.watch.ended(a.On)
	time.Sleep(a.For)
	r.startAgain(m)
}

// startAgain starts a node and waits until it listens.
func (r *run) startAgain(m *demo.Member) {
	r.must("start", r.fleet.StartNode(m))
	if !waitFor(func() bool { _, err := m.Status(); return err == nil }) {
		r.breaks("start: node %s does not listen", m.Host)
	}
}

// link disturbs the way to a node's peers listener, or that of the node to the store.
func (r *run) link(a Action) {
	p := r.links[a.On]
	switch a.Kind {
	case ResetLink:
		p.Reset()
	case SlowLink:
		p.Slow(a.Delay)
		time.Sleep(a.For)
		p.Slow(0)
	case CutLinkOf:
		cut(p, relay.From, a.For)
	case CutStore:
		cut(r.stores[a.On], relay.To, a.For)
	default:
		cut(p, relay.To, a.For)
	}
}

// cut holds the bytes of one direction for some time.
func cut(p *relay.Proxy, direction relay.Direction, length time.Duration) {
	p.Hold(direction, true)
	time.Sleep(length)
	p.Hold(direction, false)
}

// store has the store fail; its faults follow each other.
func (r *run) store(a Action) {
	r.platform.Lock()
	defer r.platform.Unlock()
	r.must("store", r.fleet.SetFaults(a.Store))
	time.Sleep(a.For)
	r.must("store", r.fleet.SetFaults(store.Faults{}))
}

// endpoint has an endpoint misbehave; actions on one endpoint follow each other.
func (r *run) endpoint(a Action) {
	r.ends[a.On].Lock()
	defer r.ends[a.On].Unlock()
	m := r.fleet.Members[a.On]
	r.must("endpoint", m.Behave(r.behaviour(a.Behaviour)))
	time.Sleep(a.For)
	r.must("endpoint", m.Behave(r.behaviour(normal())))
}

// weight has an operator write a cell; what came of it is held against what is in force in the end.
func (r *run) weight(a Action) {
	r.rows[a.On].Lock()
	defer r.rows[a.On].Unlock()
	key := r.fleet.Members[a.On].Key()
	_, err := r.fleet.Ctl("set", "endpoint", key, "weight="+a.Weight)
	r.noteWeight(key, a.Weight, err)
}

// drain has an operator drain an endpoint and looks, unless something kept its node from hearing of it, whether new work
// reached it later than allowed.
func (r *run) drain(a Action) {
	r.rows[a.On].Lock()
	defer r.rows[a.On].Unlock()
	m := r.fleet.Members[a.On]
	if _, err := r.fleet.Ctl("drain", "endpoint", m.Key()); err == nil {
		accepted := time.Now()
		time.Sleep(leaveWithin + a.For)
		r.checkDrained(a.On, accepted, time.Now())
	}
	for range ctlTries {
		if _, err := r.fleet.Ctl("resume", "endpoint", m.Key()); err == nil {
			return
		}
		time.Sleep(ctlPause)
	}
	r.breaks("drain: endpoint %s cannot be resumed", m.Key())
}

// checkDrained looks whether work reached a drained endpoint between the time allowed to it and until.
func (r *run) checkDrained(on int, accepted, until time.Time) {
	if r.disturbed(on, accepted, until) {
		return
	}
	m := r.fleet.Members[on]
	runs, err := m.Runs()
	r.must("endpoint's record", err)
	r.mu.Lock()
	r.report.Drains++
	r.mu.Unlock()
	for call, after := range runsBetween(runs, accepted, leaveWithin, until) {
		r.breaks("drain: %s reached %s %v after the drain was accepted", call, m.Key(), after)
	}
}

// disturbed tells whether something kept the node beside an endpoint from hearing of changes in some time.
func (r *run) disturbed(on int, from, to time.Time) bool {
	for _, a := range r.plan {
		begin, end := r.start.Add(a.At), r.start.Add(a.At+a.For)
		if begin.After(to) || end.Before(from.Add(-touched)) {
			continue
		}
		switch a.Kind {
		case StoreFault:
			if a.Store.Down || a.Store.DelayMillis > 0 {
				return true
			}
		case CutLinkTo, CutLinkOf, CutStore, PauseNode, SlowLink:
			if a.On == on {
				return true
			}
		case KillNode, StopNode, ReloadNode, ResetLink, Endpoint, Weight, Drain, StopSeries, StateRate,
			SilenceLinks, SilenceStore, SilenceSome, SilenceAll, Leave, StepClock, ChangeLimits, ChangeConfig:
		}
	}
	return false
}
