package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/standin/relay"
)

// The kinds of silence: open connections carry nothing any more and are not ended, new ones work.
const (
	// SilenceLinks silences the open connections to a node's peers listener.
	SilenceLinks Kind = "silence-links"
	// SilenceStore silences a node's open connections to the store.
	SilenceStore Kind = "silence-store"
	// SilenceSome silences a part of all open connections.
	SilenceSome Kind = "silence-some"
	// SilenceAll silences all open connections at the moment of a change.
	SilenceAll Kind = "silence-all"
)

const (
	// silencesSeed keeps these draws apart from those of other actions.
	silencesSeed = 1 << 43
	// inForceWithin is when a change must be in force on every node that only the silence struck.
	inForceWithin = 2 * time.Second
)

// PlanSilences draws n silences, without changing what Plan draws.
func PlanSilences(seed uint64, members, n int, length time.Duration) []Action {
	r := rand.New(rand.NewPCG(seed, silencesSeed+uint64(members))) //nolint:gosec // seeded on purpose
	plan := make([]Action, 0, n)
	for range n {
		a := draw(r, members, length)
		a.Kind, a.For = []Kind{SilenceLinks, SilenceStore, SilenceSome, SilenceAll, SilenceAll}[r.IntN(5)], inForceWithin
		a.Share = r.Float64()
		plan = append(plan, a)
	}
	return plan
}

// silence silences the connections of an action.
func (r *run) silence(a Action) {
	switch a.Kind {
	case SilenceLinks:
		r.must("silence", r.links[a.On].Silence())
	case SilenceStore:
		r.must("silence", r.stores[a.On].Silence())
	case SilenceSome:
		for _, p := range r.relays() {
			r.must("silence", p.SilenceShare(a.Share, rand.Float64))
		}
	default:
		r.silenceAtChange(a)
	}
}

// relays returns the relays before the nodes and before the store.
func (r *run) relays() []*relay.Proxy { return slices.Concat(r.links, r.stores) }

// silenceAtChange silences all connections, has an operator change a row at the same moment, and looks when the change is in force.
func (r *run) silenceAtChange(a Action) {
	r.rows[a.On].Lock()
	defer r.rows[a.On].Unlock()
	for _, p := range r.relays() {
		r.must("silence", p.Silence())
	}
	key := r.fleet.Members[a.On].Key()
	begun := time.Now()
	_, err := r.fleet.Ctl("set", "endpoint", key, "weight="+a.Weight)
	accepted := time.Now()
	r.noteWeight(key, a.Weight, err)
	if err != nil {
		return
	}
	time.Sleep(time.Until(accepted.Add(inForceWithin)))
	for i, m := range r.fleet.Members {
		row, err := m.Row("endpoint", key)
		looked := time.Now()
		if err != nil || r.struck(i, begun, looked) {
			continue
		}
		r.mu.Lock()
		r.report.Silences++
		r.mu.Unlock()
		if got := row.Cells["weight"]; got != a.Weight {
			r.breaks("silence: node %s holds weight %s of %s %v after %s was accepted", m.Host, got, key, looked.Sub(accepted), a.Weight)
		}
	}
}

// noteWeight records what came of a change of a weight.
func (r *run) noteWeight(key, weight string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.unknown[key] = true
		return
	}
	r.weights[key], r.unknown[key] = weight, false
}

// struck tells whether anything but a silence struck a node, or the store, in some time or just before it.
func (r *run) struck(on int, from, to time.Time) bool {
	for _, a := range r.plan {
		begin, end := r.start.Add(a.At), r.start.Add(a.At+a.For+lengthUnknown(a.Kind))
		if begin.After(to) || end.Before(from.Add(-struckBefore)) {
			continue
		}
		switch a.Kind {
		case StoreFault:
			return true
		case Endpoint, Weight, Drain, StateRate, SilenceLinks, SilenceStore, SilenceSome, SilenceAll, ChangeConfig:
		default:
			if a.On == on {
				return true
			}
		}
	}
	return false
}

const (
	// struckBefore is the time for which a node may still suffer from what struck it.
	struckBefore = 3 * time.Second
	// restartWithin bounds the time in which a node that was ended is up again.
	restartWithin = 4 * time.Second
)

// lengthUnknown returns by how much an action may last longer than planned.
func lengthUnknown(k Kind) time.Duration {
	switch k {
	case KillNode, StopNode, ReloadNode, StopSeries:
		return restartWithin
	default:
		return 0
	}
}
