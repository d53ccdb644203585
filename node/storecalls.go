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

// storeCalls counts the calls to the platform's store by kind, reason and error code, for the metrics and for the log.
type storeCalls struct {
	metrics *metrics.Metrics

	mu sync.Mutex
	// unlogged counts the calls since the last line of the log, by kind, reason and error code.
	unlogged map[string]int
}

// record counts one call.
func (s *storeCalls) record(c platform.Call) {
	code := string(fault.CodeOf(c.Err))
	s.metrics.Store(c.Kind).Record(string(c.Reason), code, c.Took)
	name := c.Kind + "_" + string(c.Reason)
	if code != "" {
		name += "_" + code
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unlogged == nil {
		s.unlogged = make(map[string]int)
	}
	s.unlogged[name]++
}

// take returns the calls counted since it was last called and resets the counts; names is sorted.
func (s *storeCalls) take() (names []string, counts map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, s.unlogged = s.unlogged, nil
	return slices.SortedFunc(maps.Keys(counts), strings.Compare), counts
}
