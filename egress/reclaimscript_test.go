package egress

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/latency"
)

// reclaimScript is the state of one script: the runs at an endpoint and the times of its answers.
type reclaimScript struct {
	now  time.Time
	runs runSet
	l    *localEndpoint
}

// TestReclaimScripts runs the scenarios of testdata/reclaim, and guards against ending runs that would be answered or
// must not be ended, and against keeping those that hold slots in vain. Commands:
//
//	new                                  creates an endpoint without runs and without a known time of any kind
//	learn kind=K time=20ms [n=50]        has the endpoint answer n requests of a kind in about that time
//	begin id=N kind=K [unrepeatable] [claimed] [streamed]   starts a run
//	answer id=N [failed]                 begins the answer to a run
//	done id=N                            ends a run
//	closes                               has the breaker close after an outage
//	need open|closed                     prints which run is ended for a request that needs a slot, by the breaker's state
//	wait for=40ms                        lets time pass
//	load open|closed|off slots=N every=5ms kind=K takes=T [hangs=N] for=D   has requests arrive at an endpoint that answers
//	                                     them after T, or leaves N in ten unanswered until 15 s have passed; prints their
//	                                     number, how many were answered, ended, unanswered at 15 s, and found no slot
func TestReclaimScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/reclaim", func(t *testing.T, path string) {
		s := newReclaimScript()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "new":
				s = newReclaimScript()
			case "learn":
				s.learn(t, d)
			case "begin":
				s.begin(t, d)
			case "answer":
				s.answer(t, d)
			case "done":
				s.runs.end(scanID(t, d))
			case "need":
				r := s.runs.reclaim(s.now, d.HasArg("open"), s.l.knownSurvival)
				if r == nil {
					return "ends none\n"
				}
				return fmt.Sprintf("ends %d after %v\n", r.id, s.now.Sub(r.start))
			case "closes":
				s.runs.breakerClosed()
			case "load":
				return s.load(t, d)
			case "wait":
				s.now = s.now.Add(scanDuration(t, d, "for"))
			default:
				d.Fatalf(t, "no such command")
			}
			return ""
		})
	})
}

func newReclaimScript() *reclaimScript {
	return &reclaimScript{now: time.Unix(1000, 0), l: &localEndpoint{latencies: latency.NewModels()}}
}

func scanID(t *testing.T, d *datadriven.TestData) (id uint64) {
	t.Helper()
	d.ScanArgs(t, "id", &id)
	return id
}

func scanDuration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	t.Helper()
	var text string
	d.ScanArgs(t, name, &text)
	span, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return span
}

// learn has the times spread evenly from half the time to one and a half times.
func (s *reclaimScript) learn(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	var kind string
	n := 50
	d.ScanArgs(t, "kind", &kind)
	d.MaybeScanArgs(t, "n", &n)
	usual := scanDuration(t, d, "time")
	for i := range n {
		s.l.latencies.Observe(kind, usual/2+usual*time.Duration(i)/time.Duration(n))
	}
}

func (s *reclaimScript) begin(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	request := &peerpb.Dispatch{Repeatable: !d.HasArg("unrepeatable")}
	d.ScanArgs(t, "kind", &request.Route)
	if d.HasArg("claimed") {
		request.Claim = &peerpb.Claim{Key: "k"}
	}
	if d.HasArg("streamed") {
		request.BodyLength = -1
	}
	s.runs.begin(newTrackedRun(scanID(t, d), s.now, request))
}

func (s *reclaimScript) answer(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	id := scanID(t, d)
	success := !d.HasArg("failed")
	if r := s.runs.find(id); r != nil && r.ended {
		d.Fatalf(t, "run %d was ended before", id)
	}
	s.runs.answered(s.now, id, success, s.l.knownSurvival)
	if r := s.runs.find(id); success {
		s.l.latencies.Observe(r.class.Kind, s.now.Sub(r.start))
	}
}

// loadDeadline is when the requests of a load end without an answer.
const loadDeadline = 15 * time.Second

// load steps through a load by the millisecond.
func (s *reclaimScript) load(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var slots, hangs int
	d.ScanArgs(t, "slots", &slots)
	d.MaybeScanArgs(t, "hangs", &hangs)
	every, takes, span := scanDuration(t, d, "every"), scanDuration(t, d, "takes"), scanDuration(t, d, "for")
	request := &peerpb.Dispatch{Repeatable: true}
	d.ScanArgs(t, "kind", &request.Route)
	var id uint64
	var arrived, answered, ended, unanswered, refused int
	for at := time.Duration(0); at < span; at += time.Millisecond {
		s.now = s.now.Add(time.Millisecond)
		for _, r := range slices.Clone(s.runs.runs) {
			switch age := s.now.Sub(r.start); {
			// The factor spreads the hangs evenly over the load.
			case age >= takes && int(r.id*7%10) >= hangs:
				s.runs.answered(s.now, r.id, true, s.l.knownSurvival)
				s.l.latencies.Observe(request.GetRoute(), age)
				answered++
			case age >= loadDeadline:
				unanswered++
			default:
				continue
			}
			s.runs.end(r.id)
		}
		if at%every != 0 {
			continue
		}
		arrived++
		if len(s.runs.runs) < slots {
			id++
			s.runs.begin(newTrackedRun(id, s.now, request))
			continue
		}
		refused++
		if d.HasArg("off") {
			continue
		}
		if r := s.runs.reclaim(s.now, d.HasArg("open"), s.l.knownSurvival); r != nil {
			s.runs.end(r.id)
			ended++
		}
	}
	return fmt.Sprintf("arrived %d: answered %d, ended %d, unanswered %d, no slot %d\n", arrived, answered, ended, unanswered, refused)
}
