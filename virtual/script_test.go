package virtual

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestStreams runs the seeded streams of testdata/streams, twice each: the same seed must show the same. Command:
//
//	stream service=N policy=ours|common [fail=F] [slow=F] [cut] seed=N
func TestStreams(t *testing.T) {
	policies := map[string]NewPolicy{"ours": NewLynxplank, "common": NewConventional}
	datadriven.RunTest(t, "testdata/streams", func(t *testing.T, d *datadriven.TestData) string {
		s := Stream{Length: 20 * time.Second, Fault: Fault{Name: "fault", Cut: d.HasArg("cut")}}
		service, policy := 0, ""
		d.ScanArgs(t, "service", &service)
		d.ScanArgs(t, "policy", &policy)
		d.ScanArgs(t, "seed", &s.Seed)
		d.MaybeScanArgs(t, "fail", &s.Fault.Fail)
		d.MaybeScanArgs(t, "slow", &s.Fault.Slow)
		s.Service, s.Policy = Services[service], policies[policy]
		show := func() string {
			r := s.Run()
			return fmt.Sprintf("detected %v after %d requests, false %d\n", r.DetectionTime.Round(10*time.Millisecond), r.RequestsUntilDetection, r.FalseEjections)
		}
		first := show()
		if got := show(); got != first {
			d.Fatalf(t, "second run: got %s, want %s", got, first)
		}
		return first
	})
}
