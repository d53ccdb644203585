package latency

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// lognormal draws service times of a median and a spread.
func lognormal(random *rand.Rand, median time.Duration, spread float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(spread*random.NormFloat64()))
}

// TestModelFindsQuantiles checks over medians and spreads that a model which has seen enough names quantiles that are
// the distribution's own to within a third of their time.
func TestModelFindsQuantiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		median := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Second)).Draw(t, "median"))
		spread := rapid.Float64Range(0.2, 0.9).Draw(t, "spread")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var m Model
		for range 3 * memory {
			m.Observe(lognormal(random, median, spread))
		}
		want := float64(jitter) + float64(median)*math.Exp(1.645*spread)
		if got := float64(m.Quantile(0.95)) / want; got < 0.66 || got > 1.5 {
			t.Fatalf("time of 95 in 100 over the distribution's own: got %v, want 1 to within a half", got)
		}
	})
}

// TestSurvivalFalls checks that work never becomes more likely to go on with its age, and that no age proves all.
func TestSurvivalFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Model
		for _, ms := range rapid.SliceOfN(rapid.IntRange(1, 5000), 0, 50).Draw(t, "times") {
			m.Observe(time.Duration(ms) * time.Millisecond)
		}
		last := 1.0
		for age := time.Millisecond; age < time.Minute; age *= 2 {
			got := m.Survival(age)
			if got > last || got < tailShare {
				t.Fatalf("after %v: got %v, want at most %v and at least %v", age, got, last, tailShare)
			}
			last = got
		}
	})
}

// TestKindsAreToldApart checks that short work is judged by its own times once some of it was seen, and by all work
// until then.
func TestKindsAreToldApart(t *testing.T) {
	k := NewModels()
	if got, want := k.For("lookup", 0).Known(), false; got != want {
		t.Errorf("at first: got known %v, want %v", got, want)
	}
	for range 50 {
		k.Observe("booking", 500*time.Millisecond)
	}
	if got, least := k.For("lookup", 0).Quantile(0.5), 400*time.Millisecond; got < least {
		t.Errorf("half of unseen work: got %v, want the time of all work, at least %v", got, least)
	}
	for range 50 {
		k.Observe("lookup", 100*time.Millisecond)
	}
	if got, most := k.For("lookup", 0).Quantile(0.5), 100*time.Millisecond+2*jitter; got > most {
		t.Errorf("half of the lookups: got %v, want at most %v", got, most)
	}
}

// TestUnseenKindGoesByWhatOthersKnow checks that an endpoint which has answered nothing yet is judged by the usual time of
// such work elsewhere.
func TestUnseenKindGoesByWhatOthersKnow(t *testing.T) {
	m := NewModels().For("booking", 500*time.Millisecond)
	if got, most := m.Survival(5*time.Second), 0.05; got > most {
		t.Errorf("share of work that takes ten times the usual: got %v, want at most %v", got, most)
	}
}

// TestKindsAreBounded checks that a service of many routes does not fill a node's memory.
func TestKindsAreBounded(t *testing.T) {
	k := NewModels()
	for i := range 10 * mostKinds {
		k.Observe(string(rune('a'+i)), time.Millisecond)
	}
	if got, want := k.models.Len(), mostKinds; got != want {
		t.Errorf("kinds held: got %d, want %d", got, want)
	}
}
