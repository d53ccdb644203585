package virtual

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lynxplank/lynxplank/liveness"
)

// TestSilences simulates the silences of testdata/silences, with the bounds of the users' platform. Command:
//
//	silence nodes=N links=N [offers=N] [frozen=PERCENT] [length=10s] seed=N
//
// frozen is the share of nodes that accept links and answer on none.
func TestSilences(t *testing.T) {
	datadriven.RunTest(t, "testdata/silences", func(t *testing.T, d *datadriven.TestData) string {
		s := Silence{
			Heartbeat: 4 * time.Second, OfferTimeout: 100 * time.Millisecond, MaxOpenings: 32, RoundTrip: 40 * time.Millisecond,
			Bounds: liveness.Bounds{
				Answer: 800 * time.Millisecond, Race: 100 * time.Millisecond, Retry: 800 * time.Millisecond, MaxRetry: 4 * time.Second, Close: 8 * time.Second,
			},
			Length: 10 * time.Second,
		}
		offers, frozen := 0, 0
		d.ScanArgs(t, "nodes", &s.Nodes)
		d.ScanArgs(t, "links", &s.Links)
		d.ScanArgs(t, "seed", &s.Seed)
		d.MaybeScanArgs(t, "offers", &offers)
		d.MaybeScanArgs(t, "frozen", &frozen)
		s.Offers, s.Frozen = float64(offers), float64(frozen)/100
		r := s.Run()
		return fmt.Sprintf("replaced %d, half after %v, last after %v\nopened %d, most in 100 ms: %d opened and %d accepted by one node\n",
			r.Replaced, r.Median.Round(10*time.Millisecond), r.Last.Round(10*time.Millisecond), r.Openings, r.MaxOpened, r.MaxAccepted)
	})
}
