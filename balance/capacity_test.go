package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkCapacityChoose reports the time of a choice by the number of endpoints.
func BenchmarkCapacityChoose(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			var list []Candidate
			for range n {
				list = append(list, Candidate{Weight: 4, Slots: 4, Outstanding: r.IntN(4), Latency: time.Millisecond, SuccessRate: 1})
			}
			for b.Loop() {
				Choose(list, r)
			}
		})
	}
}

// TestChoosePreferences checks what a choice prefers: a free endpoint to a full one, a fast or near one to a slow or
// distant one, and a last choice only when the others are full. A suspect endpoint is chosen as often as the others.
func TestChoosePreferences(t *testing.T) {
	free := Candidate{Weight: 1, Slots: 2, Latency: 10 * time.Millisecond, SuccessRate: 1}
	full, distant, last, slow, suspect := free, free, free, free, free
	full.Outstanding = 2
	distant.RTT = 5 * time.Millisecond
	last.LastChoice = true
	slow.Latency = 50 * time.Millisecond
	suspect.Latency, suspect.SuccessRate, suspect.Suspect = 50*time.Millisecond, 0.2, true
	cases := []struct {
		name     string
		other    Candidate
		maxShare float64
		minShare float64
	}{
		{"full", full, 0, 0},
		{"last choice", last, 0, 0},
		{"distant", distant, 0.35, 0.15},
		{"slow", slow, 0.35, 0.15},
		{"suspect", suspect, 0.6, 0.4},
	}
	const draws = 2000
	for _, c := range cases {
		r := rand.New(rand.NewPCG(1, 1))
		hits := 0
		for range draws {
			if Choose([]Candidate{free, c.other}, r) == 1 {
				hits++
			}
		}
		if got := float64(hits) / draws; got > c.maxShare || got < c.minShare {
			t.Errorf("%s: got a share of %.2f, want %.2f to %.2f", c.name, got, c.minShare, c.maxShare)
		}
	}
	if got, want := Choose(nil, rand.New(rand.NewPCG(1, 1))), -1; got != want {
		t.Errorf("no candidates: got %d, want %d", got, want)
	}
	if got, want := Choose([]Candidate{full, last}, rand.New(rand.NewPCG(1, 1))), 1; got != want {
		t.Errorf("last choice when the others are full: got %d, want %d", got, want)
	}
}
