package routes

import (
	"fmt"
	"sync"
	"time"
)

const (
	// applyLimit is the time after its acknowledgement within which a configuration must be in force at every node.
	applyLimit = 2 * time.Second
	// rollbackLimit is the time after which a node that has shown a configuration must not act by an older one.
	rollbackLimit = 250 * time.Millisecond
	// touchTime is how long a node must have been undisturbed to owe a configuration in time.
	touchTime = 3 * time.Second
)

// version is a configuration as the operators wrote it.
type version struct {
	number uint64
	// sent is when it was written, acknowledged when the store had answered.
	sent, acknowledged time.Time
	// services are the services by the prefix of the route.
	services map[string]string
}

// outcome is what became of one request.
type outcome struct {
	// node is the number of the node that was asked, life counts its processes.
	node, life int
	prefix     string
	sent, end  time.Time
	// service ran the request, "" if the node answered that there is no such route.
	service string
}

// judge holds outcomes against the configurations that may have been in force.
type judge struct {
	mu       sync.Mutex
	versions []version
	// disturbed holds the disturbances of each node, from their beginning to their end.
	disturbed [][]span
	outcomes  []outcome
}

// span is a time with a beginning and an end; an end of zero is not known yet.
type span struct{ from, to time.Time }

func newJudge(nodes int) *judge { return &judge{disturbed: make([][]span, nodes)} }

// begin records that a disturbance of a node begins, and returns the function that records its end.
func (j *judge) begin(node int) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	i := len(j.disturbed[node])
	j.disturbed[node] = append(j.disturbed[node], span{from: time.Now()})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.disturbed[node][i].to = time.Now()
	}
}

func (j *judge) add(o outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes = append(j.outcomes, o)
}

// inTouch reports whether a node was undisturbed for touchTime before a request and until its end.
func (j *judge) inTouch(o outcome) bool {
	for _, s := range j.disturbed[o.node] {
		if s.from.Before(o.end) && (s.to.IsZero() || s.to.After(o.sent.Add(-touchTime))) {
			return false
		}
	}
	return true
}

// allowedBy returns the first and the last version, by their places, that allow an outcome and were written before its end; -1 for
// none.
func (j *judge) allowedBy(o outcome) (first, last int) {
	first, last = -1, -1
	for i, v := range j.versions {
		if v.sent.After(o.end) || v.services[o.prefix] != o.service {
			continue
		}
		if first < 0 {
			first = i
		}
		last = i
	}
	return first, last
}

// owed returns the place of the version that must have been in force when a request was sent.
func (j *judge) owed(o outcome) int {
	for i := len(j.versions) - 1; i > 0; i-- {
		if j.versions[i].acknowledged.Add(applyLimit).Before(o.sent) {
			return i
		}
	}
	return 0
}

// verdict is what the outcomes of a play show.
type verdict struct {
	// judged counts the outcomes of nodes in touch, excused the other ones.
	judged, excused int
	// latest is the longest time after an acknowledgement at which a node in touch acted by the version before.
	latest time.Duration
	// broken says what broke the rule, a line for each request.
	broken []string
}

// verdict judges all outcomes in the order in which they were added.
func (j *judge) verdict() verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	var v verdict
	shown := make(map[[2]int]outcome)
	for _, o := range j.outcomes {
		_, last := j.allowedBy(o)
		if last < 0 {
			v.broken = append(v.broken, fmt.Sprintf("%s at node %d was run by %q, which no configuration allows", o.prefix, o.node+1, o.service))
			continue
		}
		if !j.inTouch(o) {
			v.excused++
			continue
		}
		v.judged++
		if next := last + 1; next < len(j.versions) {
			v.latest = max(v.latest, o.sent.Sub(j.versions[next].acknowledged))
		}
		if owed := j.owed(o); last < owed {
			v.broken = append(v.broken, fmt.Sprintf("%s at node %d was run by %q as version %d or an older one allows, %v after version %d was acknowledged",
				o.prefix, o.node+1, o.service, j.versions[last].number, o.sent.Sub(j.versions[last+1].acknowledged), j.versions[last+1].number))
		}
		life := [2]int{o.node, o.life}
		if newest, ok := shown[life]; ok && o.sent.After(newest.end.Add(rollbackLimit)) {
			if seen := j.firstSince(newest); last < seen {
				v.broken = append(v.broken, fmt.Sprintf("%s at node %d was run by %q as version %d or an older one allows, after version %d had been shown there",
					o.prefix, o.node+1, o.service, j.versions[last].number, j.versions[seen].number))
			}
		}
		if newest, ok := shown[life]; !ok || j.firstSince(o) > j.firstSince(newest) {
			shown[life] = o
		}
	}
	return v
}

// firstSince returns the place of the oldest version that allows an outcome and may have been in force when it was sent.
func (j *judge) firstSince(o outcome) int {
	for i := j.owed(o); i < len(j.versions); i++ {
		if j.versions[i].services[o.prefix] == o.service && !j.versions[i].sent.After(o.end) {
			return i
		}
	}
	return 0
}
