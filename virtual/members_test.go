package virtual

import (
	"testing"
	"time"
)

// nodeRate is how many requests of one service a node of a fleet of hundreds sends in a second, and manyEndpoints how many
// endpoints such a service has.
const (
	nodeRate      = 4.8
	manyEndpoints = 266
)

// TestFewerMembersAreJudgedSooner has one node send its few requests to all endpoints of a large service, or to two dozen: an
// endpoint that fails nine in ten is found by the node's own evidence in a fraction of the time, and no healthy one is taken out.
func TestFewerMembersAreJudgedSooner(t *testing.T) {
	const seeds, length = 6, 5 * time.Minute
	watch := func(members int) (mean time.Duration, wrong int) {
		s := Stream{
			Service: Service{Name: "many", Endpoints: members, Slots: 6, FalseEjections: 0.05}, Policy: NewLynxplank,
			Rate: nodeRate / float64(members), Length: length,
		}
		for s.Seed = range uint64(seeds) {
			s.Fault = Fault{}
			wrong += s.Run().FalseEjections
			s.Fault = Fault{Name: "fails", Fail: 0.9}
			if found := s.Run().DetectionTime; found >= 0 {
				mean += found / seeds
			} else {
				mean += length / seeds
			}
		}
		return mean, wrong
	}
	all, wrongAll := watch(manyEndpoints)
	few, wrongFew := watch(24)
	if got, most := few, all/4; got > most {
		t.Errorf("found among 24: got after %v, want within %v, a quarter of the time among %d", got, most, manyEndpoints)
	}
	if got, most := wrongFew, wrongAll; got > most {
		t.Errorf("false ejections among 24: got %d, want at most the %d among %d", got, most, manyEndpoints)
	}
}
