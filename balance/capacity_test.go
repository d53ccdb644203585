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

// TestChooseSpares checks what a choice prefers: a free endpoint to a full one, a near one to a far one, a last choice
// only when the others are full, and an endpoint under suspicion no less than others.
func TestChooseSpares(t *testing.T) {
	free := Candidate{Weight: 1, Slots: 2, Latency: 10 * time.Millisecond, SuccessRate: 1}
	full, far, last, slow, suspect := free, free, free, free, free
	full.Outstanding = 2
	far.RTT = 5 * time.Millisecond
	last.LastChoice = true
	slow.Latency = 50 * time.Millisecond
	suspect.Latency, suspect.SuccessRate, suspect.Suspect = 50*time.Millisecond, 0.2, true
	cases := []struct {
		name  string
		other Candidate
		most  float64
		least float64
	}{
		{"full", full, 0, 0},
		{"last choice", last, 0, 0},
		{"far", far, 0.35, 0.15},
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
		if got := float64(hits) / draws; got > c.most || got < c.least {
			t.Errorf("%s: got a share of %.2f, want %.2f to %.2f", c.name, got, c.least, c.most)
		}
	}
	if got, want := Choose(nil, rand.New(rand.NewPCG(1, 1))), -1; got != want {
		t.Errorf("no candidates: got %d, want %d", got, want)
	}
	if got, want := Choose([]Candidate{full, last}, rand.New(rand.NewPCG(1, 1))), 1; got != want {
		t.Errorf("last choice when the others are full: got %d, want %d", got, want)
	}
}
