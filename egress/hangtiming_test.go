package egress

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/latency"
)

// TestHangIsDetectedInTime draws in-flight requests, none of which ends, and follows the scheduled evaluations: the
// moment from which the requests show that the endpoint hangs is found within detectionPrecision, after few
// evaluations.
func TestHangIsDetectedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		start := time.Unix(1000, 0)
		l := &localEndpoint{breaker: breaker.New(breaker.DefaultConfig()), latencies: latency.NewModels()}
		usual := time.Duration(rapid.IntRange(20, 600).Draw(t, "usual ms")) * time.Millisecond
		for id := range uint64(rapid.IntRange(1, 10).Draw(t, "pieces")) {
			begun := start.Add(-time.Duration(random.Int64N(int64(usual))))
			l.monitor.Begin(begun, id+1, breaker.RequestClass{Kind: "r", UsualTime: usual})
		}
		const maxTime = 5 * time.Second
		var hangsAt time.Duration
		for hangsAt = 0; hangsAt < maxTime && !l.wouldTrigger(start.Add(hangsAt)); hangsAt += time.Millisecond {
			continue
		}
		detectedAt, evaluations := time.Duration(0), 0
		for detectedAt < maxTime && !l.wouldTrigger(start.Add(detectedAt)) {
			detectedAt += l.nextEvaluation(start.Add(detectedAt))
			evaluations++
		}
		if got, limit := detectedAt, hangsAt+detectionPrecision; hangsAt < maxTime && got > limit {
			t.Fatalf("detected after: got %v, want at most %v", got, limit)
		}
		if got, limit := evaluations, int(min(hangsAt, maxTime)/evaluationHorizon)+2; got > limit {
			t.Fatalf("evaluations: got %d, want at most %d", got, limit)
		}
	})
}
