package egress

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/dedupe"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/keyowner"
	"github.com/lynxplank/lynxplank/region"
)

// The model: endpoints a to d, each with its key records; lists of endpoints, which every owner and every ingress
// adopts some time after they were made, within the convergence time; and one key, sent several times within the
// window. The sends go through the steps of the ingress's protocol concurrently, while owners restart with empty
// memory or cannot be reached.

const (
	modelWindow      = time.Minute
	modelConvergence = 5 * time.Second
	modelSkew        = modelConvergence - time.Second
)

type modelOwner struct {
	keys *keyStore
	list int
	down bool
}

type modelSend struct {
	attempt  uint32
	owners   []string
	asked    int
	notClean bool
	done     bool
}

type model struct {
	now         time.Time
	lists       [][]string
	since       []time.Time
	owners      map[string]*modelOwner
	sends       []*modelSend
	first       time.Time
	runs        int
	id          dedupe.ID
	convergence time.Duration
	window      time.Duration
}

func newModel(t *rapid.T, convergence time.Duration) *model {
	m := &model{now: time.Unix(1e6, 0), owners: make(map[string]*modelOwner), convergence: convergence, window: modelWindow}
	m.id = dedupe.ID{Scope: "s", Key: rapid.StringMatching("[a-z]").Draw(t, "key")}
	m.lists = [][]string{{"a", "b", "c"}}
	m.since = []time.Time{m.now}
	for _, name := range []string{"a", "b", "c", "d"} {
		m.owners[name] = &modelOwner{}
		m.restart(name)
	}
	m.now = m.now.Add(modelWindow + 2*modelConvergence)
	return m
}

func (m *model) restart(name string) {
	o := m.owners[name]
	o.keys = newKeyStore(dedupe.NewStore(m.window, 1<<20), m.window, m.convergence)
	o.keys.addList(endpointList{since: m.now, endpoints: m.lists[o.list]}, "desk")
}

// adopt has an owner adopt the newest list.
func (m *model) adopt(name string) {
	o := m.owners[name]
	o.list = len(m.lists) - 1
	o.keys.addList(endpointList{since: m.now, endpoints: m.lists[o.list]}, "desk")
}

// catchUp has every owner adopt a list that has been active for longer than a change takes to spread.
func (m *model) catchUp() {
	last := len(m.lists) - 1
	if m.now.Sub(m.since[last]) < modelSkew {
		return
	}
	for name, o := range m.owners {
		if o.list < last {
			m.adopt(name)
		}
	}
}

func (m *model) send(attempt uint32, list int) {
	if m.first.IsZero() {
		m.first = m.now
	}
	m.sends = append(m.sends, &modelSend{attempt: attempt, owners: keyowner.Owners(m.lists[list], m.id)})
}

// step performs the next step of a send as the ingress does it, see ingress/keyed.go.
func (m *model) step(s *modelSend, reachable bool) {
	switch {
	case s.attempt == 0:
		m.ran(m.ask(s, s.owners[0], &peerpb.Claim{}, reachable))
		s.done = true
	case s.attempt == 1:
		m.firstStep(s, reachable)
	case s.asked < len(s.owners):
		v, ok := m.ask(s, s.owners[s.asked], &peerpb.Claim{Fence: true}, reachable)
		s.notClean = s.notClean || !ok || v != dedupe.Clean
		s.asked++
		s.done = s.asked == len(s.owners) && s.notClean
	default:
		m.ran(m.ask(s, s.owners[0], &peerpb.Claim{}, reachable))
		s.done = true
	}
}

// firstStep performs the next step of a first attempt as the ingress does it: 0 claims at the first owner, 1 asks the
// second owner whether the key is clean, 2 claims at the first owner with that confirmation, 3 claims at the second
// owner.
func (m *model) firstStep(s *modelSend, reachable bool) {
	switch s.asked {
	case 0:
		v, ok := m.ask(s, s.owners[0], &peerpb.Claim{}, reachable)
		m.ran(v, ok)
		s.done = ok && v != dedupe.IncompleteHistory
		s.asked = 3
		if ok {
			s.asked = 1
		}
	case 1:
		v, ok := m.ask(s, s.owners[1], &peerpb.Claim{Fence: true}, reachable)
		s.done = !ok || v != dedupe.Clean
		s.asked = 2
	case 2:
		m.ran(m.ask(s, s.owners[0], &peerpb.Claim{Vouched: true}, reachable))
		s.done = true
	default:
		m.ran(m.ask(s, s.owners[1], &peerpb.Claim{}, reachable))
		s.done = true
	}
}

func (m *model) ran(v dedupe.Verdict, ok bool) {
	if ok && v == dedupe.Grant {
		m.runs++
	}
}

// ask sends a claim to an owner; ok is false if the owner cannot be reached.
func (m *model) ask(s *modelSend, name string, c *peerpb.Claim, reachable bool) (dedupe.Verdict, bool) {
	o := m.owners[name]
	if !reachable || o.down {
		return 0, false
	}
	c.Scope, c.Key, c.Attempt = m.id.Scope, m.id.Key, s.attempt
	d := &peerpb.Dispatch{Endpoint: name, Service: "desk", BudgetMicros: time.Second.Microseconds(), Claim: c}
	v, _ := o.keys.claim(m.now, d, region.Any)
	return v, true
}

func (m *model) actions(marked bool) map[string]func(*rapid.T) {
	names := []string{"a", "b", "c", "d"}
	name := func(t *rapid.T) string { return rapid.SampledFrom(names).Draw(t, "name") }
	return map[string]func(*rapid.T){
		"list": func(t *rapid.T) {
			if m.now.Sub(m.since[len(m.since)-1]) < modelSkew {
				return
			}
			next := slices.Clone(rapid.SliceOfNDistinct(rapid.SampledFrom(names), 2, 4, rapid.ID[string]).Draw(t, "list"))
			slices.Sort(next)
			m.lists = append(m.lists, next)
			m.since = append(m.since, m.now)
		},
		"adopt":   func(t *rapid.T) { m.adopt(name(t)) },
		"restart": func(t *rapid.T) { m.restart(name(t)) },
		"down": func(t *rapid.T) {
			o := m.owners[name(t)]
			o.down = !o.down
		},
		"finish": func(t *rapid.T) {
			m.owners[name(t)].keys.settle(m.now, m.id.Scope, m.id.Key, peerpb.Outcome_OUTCOME_RAN, dedupe.Answer{})
		},
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			m.catchUp()
		},
		"send": func(t *rapid.T) {
			if !m.first.IsZero() && m.now.Sub(m.first) > m.window {
				return
			}
			attempt := uint32(0)
			if marked {
				attempt = uint32(len(m.sends) + 1)
			}
			list := len(m.lists) - 1
			if list > 0 && m.now.Sub(m.since[list]) < modelSkew && rapid.Bool().Draw(t, "old view") {
				list--
			}
			m.send(attempt, list)
		},
		"step": func(t *rapid.T) {
			var open []*modelSend
			for _, s := range m.sends {
				if !s.done {
					open = append(open, s)
				}
			}
			if len(open) > 0 {
				m.step(rapid.SampledFrom(open).Draw(t, "send"), rapid.IntRange(0, 3).Draw(t, "reach") > 0)
			}
		},
		"": func(t *rapid.T) {
			if got, want := m.runs, 1; got > want {
				t.Fatalf("runs of one key: got %d, want at most %d", got, want)
			}
		},
	}
}

// TestKeyRunsAtMostOnce explores the protocol for sends with attempt numbers.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newModel(t, modelConvergence).actions(true)) })
}

// TestUnmarkedKeyRunsAtMostOnce explores the protocol for sends without attempt numbers.
func TestUnmarkedKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newModel(t, modelConvergence).actions(false)) })
}
