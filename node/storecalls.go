package node

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/metrics"
	"github.com/lynxplank/lynxplank/platform"
)

// storeCalls counts the calls to the platform's store by kind, reason and failure, for the metrics and for the log.
type storeCalls struct {
	metrics *metrics.Metrics

	mu sync.Mutex
	// fresh are those since the last line of the log.
	fresh map[string]int
}

// note counts one call.
func (s *storeCalls) note(c platform.Call) {
	code := string(fault.CodeOf(c.Err))
	s.metrics.Store(c.Kind).Record(string(c.Reason), code, c.Took)
	name := c.Kind + "_" + string(c.Reason)
	if code != "" {
		name += "_" + code
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fresh == nil {
		s.fresh = make(map[string]int)
	}
	s.fresh[name]++
}

// take returns what was counted since it was last called, the names in order.
func (s *storeCalls) take() (names []string, counts map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, s.fresh = s.fresh, nil
	return slices.SortedFunc(maps.Keys(counts), strings.Compare), counts
}
