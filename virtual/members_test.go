package virtual

import (
	"testing"
	"time"
)

// nodeRate is how many requests of one service a node in a fleet of hundreds sends per second, and manyEndpoints how
// many endpoints such a service has.
const (
	nodeRate      = 4.8
	manyEndpoints = 266
)

// TestFewerMembersAreDetectedSooner has one node send its few requests either to all endpoints of a large service or to
// 24 of them. Among the 24, an endpoint that fails nine of ten requests must be detected by the node's own observations
// in at most a quarter of the time, with no more false ejections.
func TestFewerMembersAreDetectedSooner(t *testing.T) {
	const seeds, length = 6, 5 * time.Minute
	measure := func(members int) (mean time.Duration, falseEjections int) {
		s := Stream{
			Service: Service{Name: "many", Endpoints: members, Slots: 6, FalseEjections: 0.05}, Policy: NewLynxplank,
			Rate: nodeRate / float64(members), Length: length,
		}
		for s.Seed = range uint64(seeds) {
			s.Fault = Fault{}
			falseEjections += s.Run().FalseEjections
			s.Fault = Fault{Name: "fails", Fail: 0.9}
			if detected := s.Run().DetectionTime; detected >= 0 {
				mean += detected / seeds
			} else {
				mean += length / seeds
			}
		}
		return mean, falseEjections
	}
	all, falseAll := measure(manyEndpoints)
	few, falseFew := measure(24)
	if got, limit := few, all/4; got > limit {
		t.Errorf("detection time among 24: got %v, want at most %v, a quarter of the time among %d", got, limit, manyEndpoints)
	}
	if got, limit := falseFew, falseAll; got > limit {
		t.Errorf("false ejections among 24: got %d, want at most the %d among %d", got, limit, manyEndpoints)
	}
}
