package egress

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/latency"
)

// TestLooksAreInTime draws work under way, of which nothing ends, and follows the planned looks: the moment from which it says
// that the endpoint hangs is found within lookWithin, with a few looks.
func TestLooksAreInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		start := time.Unix(1000, 0)
		l := &local{breaker: breaker.New(breaker.DefaultConfig()), times: latency.NewModels()}
		usual := time.Duration(rapid.IntRange(20, 600).Draw(t, "usual ms")) * time.Millisecond
		for id := range uint64(rapid.IntRange(1, 10).Draw(t, "pieces")) {
			begun := start.Add(-time.Duration(random.Int64N(int64(usual))))
			l.watch.Begin(begun, id+1, breaker.RequestClass{Kind: "r", UsualTime: usual})
		}
		const most = 5 * time.Second
		var says time.Duration
		for says = 0; says < most && !l.saysSomething(start.Add(says)); says += time.Millisecond {
			continue
		}
		found, looks := time.Duration(0), 0
		for found < most && !l.saysSomething(start.Add(found)) {
			found += l.nextLook(start.Add(found))
			looks++
		}
		if got, limit := found, says+lookWithin; says < most && got > limit {
			t.Fatalf("found after: got %v, want at most %v", got, limit)
		}
		if got, limit := looks, int(min(says, most)/lookAhead)+2; got > limit {
			t.Fatalf("looks: got %d, want at most %d", got, limit)
		}
	})
}
