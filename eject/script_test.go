package eject

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts runs the scenarios of testdata. Commands:
//
//	service floor=F false=N endpoints=a,b,...      a new detector; time starts at 0
//	work on=a,b n=N every=10ms [fail=P%] [slow=X]  N rounds of one answer of each endpoint, 5 ms of work
//	drain on=a                                     the endpoint is no longer usable
//	wait for=1s                                    ticks while time passes
//
// Each prints the endpoints that are not simply serving.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s script
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

const work = 5 * time.Millisecond

type script struct {
	now      time.Time
	detector *Detector
	list     []Endpoint
	count    int
}

func arg[T any](t *testing.T, d *datadriven.TestData, name string, value T) T {
	t.Helper()
	d.MaybeScanArgs(t, name, &value)
	return value
}

func span(t *testing.T, d *datadriven.TestData, name, value string) time.Duration {
	t.Helper()
	v, err := time.ParseDuration(arg(t, d, name, value))
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return v
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "service":
		s.service(t, d)
	case "work":
		s.work(t, d)
	case "drain":
		name := arg(t, d, "on", "")
		for i := range s.list {
			if s.list[i].Key == name {
				s.list[i].Usable = false
			}
		}
		s.detector.SetEndpoints(s.now, s.list)
	case "wait":
		s.pass(span(t, d, "for", "1s"))
	default:
		d.Fatalf(t, "no such command")
	}
	return s.show()
}

func (s *script) service(t *testing.T, d *datadriven.TestData) {
	cfg := DefaultConfig().With(arg(t, d, "false", 0.05), arg(t, d, "floor", 0.5))
	*s = script{now: time.Unix(0, 0), detector: NewDetector(cfg)}
	for _, name := range strings.Split(arg(t, d, "endpoints", ""), "/") {
		s.list = append(s.list, Endpoint{Key: name, Capacity: 4, Usable: true})
	}
	s.detector.SetEndpoints(s.now, s.list)
}

func (s *script) work(t *testing.T, d *datadriven.TestData) {
	names := strings.Split(arg(t, d, "on", ""), "/")
	every := span(t, d, "every", "10ms")
	fail, slow := arg(t, d, "fail", 0), arg(t, d, "slow", 1.0)
	for range arg(t, d, "n", 1) {
		s.count++
		for _, name := range names {
			ev := Observation{Kind: Success, Latency: time.Duration(slow * float64(work))}
			if s.count*fail/100 != (s.count-1)*fail/100 {
				ev.Kind = Failure
			}
			s.detector.Observe(s.now, name, ev)
		}
		s.pass(every)
	}
}

func (s *script) pass(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(min(step, end.Sub(s.now)))
		s.detector.Tick(s.now)
	}
}

func (s *script) show() string {
	var b strings.Builder
	for _, e := range s.list {
		v := s.detector.Verdict(e.Key)
		if v.Phase == Serving && v.Share == 1 && v.Ejections == 0 {
			continue
		}
		fmt.Fprintf(&b, "%s %s share=%.2f ejections=%d\n", e.Key, v.Phase, v.Share, v.Ejections)
	}
	if b.Len() == 0 {
		return "all serving\n"
	}
	return b.String()
}
