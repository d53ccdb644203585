package ingress

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/egress"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/table"
)

// countingLocal counts the offers to an egress, those in vain (the endpoint's node declined them), and those of the latter
// that were declined because the endpoint took only trials.
type countingLocal struct {
	*egress.Egress
	offers, vain, bySuspects atomic.Int64
}

// Serve implements Local.
func (c *countingLocal) Serve(ctx context.Context, d *peerpb.Dispatch, body io.Reader, sink peer.Sink) *peerpb.End {
	end := c.Egress.Serve(ctx, d, body, sink)
	c.offers.Add(1)
	if end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN {
		c.vain.Add(1)
		if fault.Code(end.GetCode()) == fault.Suspect {
			c.bySuspects.Add(1)
		}
	}
	return end
}

// startHangingEndpoint starts an endpoint with a service time that, while hanging reports true, leaves three in four
// requests without an answer.
func startHangingEndpoint(t *testing.T, service time.Duration, hanging func() bool) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hanging() && rand.IntN(4) > 0 {
			<-r.Context().Done()
			return
		}
		time.Sleep(service)
		_, _ = w.Write([]byte("ok"))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// loadResult is what callers experienced in a load test.
type loadResult struct{ requests, served, offers, vain, bySuspects int64 }

// perRequest returns a count for each request.
func (r loadResult) perRequest(n int64) float64 { return float64(n) / float64(r.requests) }

// runSpells has callers send repeatable requests for a while to twelve endpoints of which four hang for half of the
// time, and which cannot take them all.
func runSpells(t *testing.T, suspectRoom bool) loadResult {
	t.Helper()
	const (
		endpoints, hangingEndpoints = 12, 4
		callers                     = 200
		service                     = 100 * time.Millisecond
		spell                       = 600 * time.Millisecond
		length                      = 3 * time.Second
	)
	start := time.Now()
	var addresses []string
	for i := range endpoints {
		addresses = append(addresses, startHangingEndpoint(t, service, func() bool {
			return i < hangingEndpoints && time.Since(start)/spell%2 == 1
		}))
	}
	s := withTarget(t, fleetWithTarget(t, addresses), 3*service)
	log := zerolog.Nop()
	local := &countingLocal{Egress: egress.New(egress.Config{
		Host: "h1", ProbeInterval: time.Second, KeyWindow: time.Minute, KeyBytes: 1 << 20,
		Retries: retry.FleetSlack{Slack: 30, Window: time.Nanosecond, MaxShare: 10}, SuspectRoom: suspectRoom,
	}, &log, func() *table.State { return s })}
	g := ingressWith(t, s, local, func(cfg *Config, d *director.Config) { cfg.SuspectRoom, d.SuspectRoom = suspectRoom, suspectRoom })
	var requests, served atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for time.Since(start) < length {
				w := httptest.NewRecorder()
				r := httptest.NewRequest(http.MethodGet, "http://desk.example/x", nil)
				r.RequestURI = "/x"
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				serveCaller(g, w, r.WithContext(ctx))
				cancel()
				requests.Add(1)
				if w.Code == http.StatusOK {
					served.Add(1)
					continue
				}
				time.Sleep(service)
			}
		})
	}
	wg.Wait()
	r := loadResult{
		requests: requests.Load(), served: served.Load(), offers: local.offers.Load(), vain: local.vain.Load(), bySuspects: local.bySuspects.Load(),
	}
	t.Logf("suspect_room=%v: %d requests, %d served; offers a request: %.2f, in vain %.2f, in vain to suspects %.3f", suspectRoom,
		r.requests, r.served, r.perRequest(r.offers), r.perRequest(r.vain), r.perRequest(r.bySuspects))
	return r
}

// maxVainIncrease is the difference between the vain offers for each request of two runs that is taken for noise.
const maxVainIncrease = 0.05

// TestVainOffersUnderSpells guards against a use of suspects that costs offers: with the setting on, a request is
// declined no more often than without it, and by suspects less than half as often.
func TestVainOffersUnderSpells(t *testing.T) {
	off, on := runSpells(t, false), runSpells(t, true)
	if got, limit := on.perRequest(on.vain), off.perRequest(off.vain)+maxVainIncrease; got > limit {
		t.Errorf("vain offers a request: got %.2f, want at most %.2f", got, limit)
	}
	if got, limit := on.perRequest(on.bySuspects), off.perRequest(off.bySuspects)/2; got > limit {
		t.Errorf("vain offers to suspects a request: got %.3f, want at most %.3f", got, limit)
	}
}
