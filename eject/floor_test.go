package eject

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFloorHolds drives a detector with random fleets, floors, drains and work, and checks the floor after each step.
func TestFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { driveFloor(t) })
}

// TestFloorHoldsFleetWide gives several choosers different work of the same endpoints: what they all eject leaves the
// floor in use, because it is a subset of what any one of them ejects.
func TestFloorHoldsFleetWide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawEndpoints(t)
		floor := rapid.Float64Range(0, 1).Draw(t, "floor")
		var choosers []*Detector
		for range rapid.IntRange(2, 5).Draw(t, "choosers") {
			s := NewDetector(DefaultConfig().With(1, floor))
			s.SetEndpoints(time.Unix(0, 0), list)
			feed(s, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), list)
			choosers = append(choosers, s)
		}
		total, inUse := 0.0, 0.0
		for _, e := range list {
			total += e.Capacity
			everywhere := true
			for _, s := range choosers {
				everywhere = everywhere && out(s.Verdict(e.Key).Phase)
			}
			if !everywhere {
				inUse += e.Capacity
			}
		}
		if got, want := inUse, floor*total; got < want-1e-9 {
			t.Fatalf("capacity in use: got %v, want at least %v", got, want)
		}
	})
}

// TestFloorCheckCanFail shows that the property fails when the floor is switched off in the detector but not in the
// check.
func TestFloorCheckCanFail(t *testing.T) {
	broken := false
	for seed := range uint64(20) {
		list := []Endpoint{{"a", 1, true}, {"b", 1, true}, {"c", 1, true}}
		s := NewDetector(DefaultConfig().With(1, 0))
		s.SetEndpoints(time.Unix(0, 0), list)
		feed(s, rand.New(rand.NewPCG(seed, 0)), list)
		broken = broken || inUseOf(s, list) < 0.9*3
	}
	if got, want := broken, true; got != want {
		t.Errorf("some run without a floor goes below it: got %v, want %v", got, want)
	}
}

func drawEndpoints(t *rapid.T) []Endpoint {
	var list []Endpoint
	for i := range rapid.IntRange(1, 12).Draw(t, "n") {
		capacity := rapid.Float64Range(0.5, 8).Draw(t, "capacity")
		list = append(list, Endpoint{Key: string(rune('a' + i)), Capacity: capacity, Usable: true})
	}
	return list
}

func feed(s *Detector, r *rand.Rand, list []Endpoint) {
	now := time.Unix(0, 0)
	bad := map[string]bool{}
	for i := range 600 {
		if i%100 == 0 {
			for _, e := range list {
				bad[e.Key] = r.IntN(3) == 0
			}
		}
		e := list[r.IntN(len(list))]
		ev := Observation{Kind: Success, Latency: time.Duration(1+r.IntN(10)) * time.Millisecond}
		if bad[e.Key] {
			ev.Kind = Failure
		}
		now = now.Add(20 * time.Millisecond)
		s.Observe(now, e.Key, ev)
		s.Tick(now)
	}
}

func inUseOf(s *Detector, list []Endpoint) float64 {
	sum := 0.0
	for _, e := range list {
		if e.Usable && !out(s.Verdict(e.Key).Phase) {
			sum += e.Capacity
		}
	}
	return sum
}

func driveFloor(t *rapid.T) {
	list := drawEndpoints(t)
	floor := rapid.Float64Range(0, 1).Draw(t, "floor")
	s := NewDetector(DefaultConfig().With(1, floor))
	now := time.Unix(0, 0)
	s.SetEndpoints(now, list)
	r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	t.Repeat(map[string]func(*rapid.T){
		"work": func(t *rapid.T) {
			e := rapid.SampledFrom(list).Draw(t, "on")
			kind := rapid.SampledFrom([]Kind{Success, Failure, Overdue}).Draw(t, "kind")
			for range rapid.IntRange(1, 40).Draw(t, "n") {
				now = now.Add(time.Duration(r.IntN(50)) * time.Millisecond)
				s.Observe(now, e.Key, Observation{Kind: kind, Latency: time.Duration(1+r.IntN(50)) * time.Millisecond})
			}
		},
		"drain": func(t *rapid.T) {
			i := rapid.IntRange(0, len(list)-1).Draw(t, "which")
			list[i].Usable = !list[i].Usable
			s.SetEndpoints(now, list)
		},
		"floor": func(t *rapid.T) {
			floor = rapid.Float64Range(0, 1).Draw(t, "to")
			s.SetConfig(now, DefaultConfig().With(1, floor))
		},
		"time": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 10000).Draw(t, "ms")) * time.Millisecond)
			s.Tick(now)
		},
		"": func(t *rapid.T) {
			total, ejected := 0.0, 0
			for _, e := range list {
				total += e.Capacity
				if e.Usable && out(s.Verdict(e.Key).Phase) {
					ejected++
				}
			}
			if got, want := inUseOf(s, list), floor*total; ejected > 0 && got < want-1e-9 {
				t.Fatalf("capacity in use with %d ejected: got %v, want at least %v", ejected, got, want)
			}
		},
	})
}
