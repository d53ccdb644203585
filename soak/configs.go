package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lynxplank/lynxplank/platform"
)

// ChangeConfig has the platform's operators write configurations in quick succession.
const ChangeConfig Kind = "change-config"

const (
	// configsSeed keeps these draws apart from those of other actions.
	configsSeed = 1 << 49
	// mostConfigs bounds the configurations of one action, leastGap and mostGap the time between two of them.
	mostConfigs                   = 8
	leastConfigGap, mostConfigGap = 300 * time.Millisecond, 800 * time.Millisecond
)

// PlanConfigs draws n such times.
func PlanConfigs(seed uint64, members, n int, length time.Duration) []Action {
	r := rand.New(rand.NewPCG(seed, configsSeed+uint64(members))) //nolint:gosec // seeded on purpose
	plan := make([]Action, 0, n)
	for range n {
		a := draw(r, members, length)
		a.Kind = ChangeConfig
		for range 1 + r.IntN(mostConfigs) {
			a.Gaps = append(a.Gaps, leastConfigGap+time.Duration(r.Int64N(int64(mostConfigGap-leastConfigGap))))
			a.For += a.Gaps[len(a.Gaps)-1]
		}
		plan = append(plan, a)
	}
	return plan
}

// configurationOf returns a configuration of the platform's operators.
func configurationOf(version uint64) []byte {
	return platform.EncodeRoute(version, "config.example", fmt.Sprintf("/config-%d/", version), "config-desk")
}

// changeConfig writes the configurations of an action, and looks when each is in force.
func (r *run) changeConfig(a Action) {
	for _, gap := range a.Gaps {
		r.platform.Lock()
		r.config++
		version, begun := r.config, time.Now()
		err := r.fleet.Configure(configurationOf(version))
		r.platform.Unlock()
		if err != nil {
			r.must("configuration", err)
			continue
		}
		accepted := time.Now()
		r.looks.Go(func() { r.checkConfig(version, begun, accepted) })
		time.Sleep(gap)
	}
}

// checkConfig looks whether a configuration is in force, 2 s after it was acknowledged, at every node that nothing but silent
// connections struck.
func (r *run) checkConfig(version uint64, begun, accepted time.Time) {
	time.Sleep(time.Until(accepted.Add(inForceWithin)))
	for i, m := range r.fleet.Members {
		s, err := m.Status()
		looked := time.Now()
		if err != nil || r.struck(i, begun, looked) {
			continue
		}
		r.mu.Lock()
		r.report.Configs++
		r.mu.Unlock()
		if s.Config < version {
			r.breaks("config: node %s holds configuration %d %v after %d was accepted", m.Host, s.Config, looked.Sub(accepted), version)
		}
	}
}
