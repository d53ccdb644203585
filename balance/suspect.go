package balance

import (
	"math/rand/v2"
	"time"
)

// Suspect describes an endpoint whose breaker is open by the last report of its node.
type Suspect struct {
	// Chance is the chance that the endpoint answers a request sent now, 0 to 1.
	Chance float64
	// Room is how many more requests the endpoint takes, less those that this node has sent since the report.
	Room int
	// Age is the time since the report.
	Age time.Duration
	// Busy is set when the endpoint seems to have no free slot.
	Busy bool
}

const (
	// suspectReportTTL is how long the report of a suspect counts.
	suspectReportTTL = time.Second
	// fullSuspectTTL is how long a suspect without room is not asked: the interval between two trials at first, and
	// about the time that a short trial takes.
	fullSuspectTTL = 100 * time.Millisecond
)

// Known reports whether the report is recent enough to count.
func (s Suspect) Known() bool { return s.Age < suspectReportTTL }

// Full reports whether the endpoint has just reported that it takes no more requests.
func (s Suspect) Full() bool { return s.Age < fullSuspectTTL && s.Room <= 0 }

// LikeliestWithRoom returns the index of the suspect with the highest chance among those that have room and a chance of
// at least minChance, or -1 if there is none; ties are broken at random.
func LikeliestWithRoom(suspects []Suspect, minChance float64, r *rand.Rand) int {
	return likeliest(suspects, r, func(s Suspect) bool { return s.Room > 0 && s.Chance >= minChance })
}

// Likeliest returns the index of the suspect with the highest chance, with room or without, among those that have a
// chance of at least minChance, or -1 if there is none; ties are broken at random. A suspect without a free slot is
// chosen only if all are.
func Likeliest(suspects []Suspect, minChance float64, r *rand.Rand) int {
	if i := likeliest(suspects, r, func(s Suspect) bool { return !s.Busy && s.Chance >= minChance }); i >= 0 {
		return i
	}
	return likeliest(suspects, r, func(s Suspect) bool { return s.Chance >= minChance })
}

func likeliest(suspects []Suspect, r *rand.Rand, eligible func(Suspect) bool) int {
	best, ties := -1, 0
	for i, s := range suspects {
		if !s.Known() || !eligible(s) {
			continue
		}
		switch {
		case best < 0 || s.Chance > suspects[best].Chance:
			best, ties = i, 1
		case s.Chance == suspects[best].Chance:
			// Reservoir sampling: all suspects of this chance so far are equally likely.
			if ties++; r.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// TimeInQueue returns the expected time to an answer from a candidate in whose queue a request waits for a slot, 0
// while its service time is unknown.
func TimeInQueue(c Candidate) time.Duration {
	if c.Latency == 0 {
		return 0
	}
	ahead := float64(max(0, c.Outstanding+1-c.Slots)) / float64(max(c.Slots, 1))
	return time.Duration(float64(c.Latency)*(1+ahead)) + c.RTT + c.RateWait
}

// CanWait reports whether a request that waits in the queue of one of the candidates can expect its answer within a
// time.
func CanWait(candidates []Candidate, limit time.Duration) bool {
	for _, c := range candidates {
		if TimeInQueue(c) <= limit {
			return true
		}
	}
	return false
}
