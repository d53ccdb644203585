package latency

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// lognormal draws a service time from a lognormal distribution.
func lognormal(random *rand.Rand, median time.Duration, stddev float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(stddev*random.NormFloat64()))
}

// TestQuantilesOfLognormal checks for random medians and deviations that the 95 % quantile of a model with enough
// observations is within a factor of 1.5 of the distribution's.
func TestQuantilesOfLognormal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		median := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Second)).Draw(t, "median"))
		stddev := rapid.Float64Range(0.2, 0.9).Draw(t, "stddev")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var m Model
		for range 3 * maxSamples {
			m.Observe(lognormal(random, median, stddev))
		}
		want := float64(jitter) + float64(median)*math.Exp(1.645*stddev)
		if got := float64(m.Quantile(0.95)) / want; got < 0.66 || got > 1.5 {
			t.Fatalf("95%% quantile over that of the distribution: got %v, want 1 to within a half", got)
		}
	})
}

// TestSurvivalFalls checks that the survival never grows with a request's age, and never falls below the share of the
// heavy tail.
func TestSurvivalFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Model
		for _, ms := range rapid.SliceOfN(rapid.IntRange(1, 5000), 0, 50).Draw(t, "times") {
			m.Observe(time.Duration(ms) * time.Millisecond)
		}
		last := 1.0
		for age := time.Millisecond; age < time.Minute; age *= 2 {
			got := m.Survival(age)
			if got > last || got < tailProbability {
				t.Fatalf("after %v: got %v, want at most %v and at least %v", age, got, last, tailProbability)
			}
			last = got
		}
	})
}

// TestKindsAreModeledSeparately checks that short requests are judged by their own times once there are enough of them,
// and by the times of all requests until then.
func TestKindsAreModeledSeparately(t *testing.T) {
	k := NewModels()
	if got, want := k.For("lookup", 0).Known(), false; got != want {
		t.Errorf("without observations: got known %v, want %v", got, want)
	}
	for range 50 {
		k.Observe("booking", 500*time.Millisecond)
	}
	if got, limit := k.For("lookup", 0).Quantile(0.5), 400*time.Millisecond; got < limit {
		t.Errorf("median of an unobserved kind: got %v, want that of all requests, at least %v", got, limit)
	}
	for range 50 {
		k.Observe("lookup", 100*time.Millisecond)
	}
	if got, limit := k.For("lookup", 0).Quantile(0.5), 100*time.Millisecond+2*jitter; got > limit {
		t.Errorf("median of the lookups: got %v, want at most %v", got, limit)
	}
}

// TestUnseenKindUsesTheUsualTime checks that requests to an endpoint without answers are judged by their usual time
// elsewhere.
func TestUnseenKindUsesTheUsualTime(t *testing.T) {
	m := NewModels().For("booking", 500*time.Millisecond)
	if got, limit := m.Survival(5*time.Second), 0.05; got > limit {
		t.Errorf("share of requests that take ten times the usual time: got %v, want at most %v", got, limit)
	}
}

// TestKindsAreBounded checks that the number of models is bounded, so that a service of many routes does not fill a
// node's memory.
func TestKindsAreBounded(t *testing.T) {
	k := NewModels()
	for i := range 10 * maxKinds {
		k.Observe(string(rune('a'+i)), time.Millisecond)
	}
	if got, want := k.models.Len(), maxKinds; got != want {
		t.Errorf("kinds held: got %d, want %d", got, want)
	}
}

// TestLateIsWhereSurvivalEnds checks that Late returns the age at which the survival passes a share, so that slots are
// counted as late by the same measure by which runs are ended.
func TestLateIsWhereSurvivalEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Model
		for _, ms := range rapid.SliceOfN(rapid.IntRange(1, 5000), minSamples, 50).Draw(t, "times") {
			m.Observe(time.Duration(ms) * time.Millisecond)
		}
		share := rapid.Float64Range(0.02, 0.9).Draw(t, "share")
		late := m.Late(share)
		if got := m.Survival(late); math.Abs(got-share) > 1e-3 {
			t.Fatalf("survival at %v: got %v, want %v", late, got, share)
		}
	})
}
