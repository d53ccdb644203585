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

// The model: endpoints a to d, each with its keys; lists of endpoints that every home and every ingress adopts some
// time after it was made, within the slack; one key, sent several times within the window, each send stepping through
// the ingress's protocol while others do, while homes restart with empty memory and cannot be reached.

const (
	modelWindow = time.Minute
	modelSlack  = 5 * time.Second
	modelSkew   = modelSlack - time.Second
)

type modelHome struct {
	keys *keys
	list int
	down bool
}

type modelSend struct {
	attempt uint32
	homes   []string
	asked   int
	doubt   bool
	done    bool
}

type model struct {
	now    time.Time
	lists  [][]string
	since  []time.Time
	homes  map[string]*modelHome
	sends  []*modelSend
	first  time.Time
	runs   int
	id     dedupe.ID
	slack  time.Duration
	window time.Duration
}

func newModel(t *rapid.T, slack time.Duration) *model {
	m := &model{now: time.Unix(1e6, 0), homes: make(map[string]*modelHome), slack: slack, window: modelWindow}
	m.id = dedupe.ID{Scope: "s", Key: rapid.StringMatching("[a-z]").Draw(t, "key")}
	m.lists = [][]string{{"a", "b", "c"}}
	m.since = []time.Time{m.now}
	for _, name := range []string{"a", "b", "c", "d"} {
		m.homes[name] = &modelHome{}
		m.restart(name)
	}
	m.now = m.now.Add(modelWindow + 2*modelSlack)
	return m
}

func (m *model) restart(name string) {
	h := m.homes[name]
	h.keys = newKeys(dedupe.NewStore(m.window, 1<<20), m.window, m.slack)
	h.keys.noteList(keyList{from: m.now, endpoints: m.lists[h.list]}, "desk")
}

// adopt lets a home take the newest list.
func (m *model) adopt(name string) {
	h := m.homes[name]
	h.list = len(m.lists) - 1
	h.keys.noteList(keyList{from: m.now, endpoints: m.lists[h.list]}, "desk")
}

// catchUp makes every home adopt what has been in force for longer than a change takes to spread.
func (m *model) catchUp() {
	last := len(m.lists) - 1
	if m.now.Sub(m.since[last]) < modelSkew {
		return
	}
	for name, h := range m.homes {
		if h.list < last {
			m.adopt(name)
		}
	}
}

func (m *model) send(attempt uint32, list int) {
	if m.first.IsZero() {
		m.first = m.now
	}
	m.sends = append(m.sends, &modelSend{attempt: attempt, homes: keyowner.Owners(m.lists[list], m.id)})
}

// step does the next step of a send, as ingress.runKeyed does it.
func (m *model) step(s *modelSend, reachable bool) {
	switch {
	case s.attempt == 0:
		m.ran(m.ask(s, s.homes[0], &peerpb.Claim{}, reachable))
		s.done = true
	case s.attempt == 1:
		m.firstStep(s, reachable)
	case s.asked < len(s.homes):
		v, ok := m.ask(s, s.homes[s.asked], &peerpb.Claim{Fence: true}, reachable)
		s.doubt = s.doubt || !ok || v != dedupe.Clean
		s.asked++
		s.done = s.asked == len(s.homes) && s.doubt
	default:
		m.ran(m.ask(s, s.homes[0], &peerpb.Claim{}, reachable))
		s.done = true
	}
}

// firstStep follows ingress.firstAttempt: 0 the first home, 1 the second home's word, 2 the first home with it, 3 the
// second home.
func (m *model) firstStep(s *modelSend, reachable bool) {
	switch s.asked {
	case 0:
		v, ok := m.ask(s, s.homes[0], &peerpb.Claim{}, reachable)
		m.ran(v, ok)
		s.done = ok && v != dedupe.IncompleteHistory
		s.asked = 3
		if ok {
			s.asked = 1
		}
	case 1:
		v, ok := m.ask(s, s.homes[1], &peerpb.Claim{Fence: true}, reachable)
		s.done = !ok || v != dedupe.Clean
		s.asked = 2
	case 2:
		m.ran(m.ask(s, s.homes[0], &peerpb.Claim{Vouched: true}, reachable))
		s.done = true
	default:
		m.ran(m.ask(s, s.homes[1], &peerpb.Claim{}, reachable))
		s.done = true
	}
}

func (m *model) ran(v dedupe.Verdict, ok bool) {
	if ok && v == dedupe.Grant {
		m.runs++
	}
}

// ask brings a claim to a home; ok is false when it cannot be reached.
func (m *model) ask(s *modelSend, name string, c *peerpb.Claim, reachable bool) (dedupe.Verdict, bool) {
	h := m.homes[name]
	if !reachable || h.down {
		return 0, false
	}
	c.Scope, c.Key, c.Attempt = m.id.Scope, m.id.Key, s.attempt
	d := &peerpb.Dispatch{Endpoint: name, Service: "desk", BudgetMicros: time.Second.Microseconds(), Claim: c}
	v, _ := h.keys.claim(m.now, d, region.Any)
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
			h := m.homes[name(t)]
			h.down = !h.down
		},
		"finish": func(t *rapid.T) {
			m.homes[name(t)].keys.settle(m.now, m.id.Scope, m.id.Key, peerpb.Outcome_OUTCOME_RAN, dedupe.Answer{})
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

// TestKeyRunsAtMostOnce explores the protocol of marked sends.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newModel(t, modelSlack).actions(true)) })
}

// TestUnmarkedKeyRunsAtMostOnce explores the protocol of sends without attempt numbers.
func TestUnmarkedKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newModel(t, modelSlack).actions(false)) })
}
