package breaker

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

const (
	// serviceTimeDeviation is the standard deviation of the logarithm of the simulated service times.
	serviceTimeDeviation = 0.6
	// hangingScore is the score, in nats, from which the tests consider an endpoint hanging.
	hangingScore = 4
)

// usualTimes is the survival function of the simulated requests: lognormal around the class's usual time, with a heavy
// tail of one in a hundred.
func usualTimes(class RequestClass, age time.Duration) float64 {
	z := math.Log(age.Seconds()/class.UsualTime.Seconds()) / serviceTimeDeviation
	return 0.01 + 0.99*math.Erfc(z/math.Sqrt2)/2
}

// TestMonitorScripts runs the scenarios of testdata/watches. Commands:
//
//	begin id=N kind=lookup|booking   dispatches a request: lookups usually take 100 ms, bookings 500 ms
//	end id=N [silent]                finishes it, without an answer if silent
//	alive id=N                       part of its answer arrives
//	hold id=N, resume id=N           the endpoint waits for the caller, and continues
//	wait for=40ms
//	reset
//
// Each prints whether the requests so far show a hanging endpoint ("hangs") or not ("well").
func TestMonitorScripts(t *testing.T) {
	usual := map[string]time.Duration{"lookup": 100 * time.Millisecond, "booking": 500 * time.Millisecond}
	var m InflightMonitor
	now := time.Unix(1000, 0)
	datadriven.RunTest(t, "testdata/watches/watch", func(t *testing.T, d *datadriven.TestData) string {
		var id uint64
		var text string
		d.MaybeScanArgs(t, "id", &id)
		switch d.Cmd {
		case "begin":
			d.ScanArgs(t, "kind", &text)
			m.Begin(now, id, RequestClass{Kind: text, UsualTime: usual[text]})
		case "end":
			m.End(now, id, !d.HasArg("silent"))
		case "alive":
			m.Progress(now, id)
		case "hold":
			m.Pause(now, id)
		case "resume":
			m.Resume(now, id)
		case "reset":
			m.Reset()
		case "wait":
			d.ScanArgs(t, "for", &text)
			span, err := time.ParseDuration(text)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			now = now.Add(span)
		default:
			d.Fatalf(t, "no such command")
		}
		if m.Score(now, usualTimes) >= hangingScore {
			return "hangs\n"
		}
		return "well\n"
	})
}

// simulateHang simulates an endpoint that receives requests of one class at a rate and hangs from hangsFrom on. It
// returns when the monitor first reported it hanging, 0 if it never did.
func simulateHang(random *rand.Rand, rate float64, hangsFrom, until time.Duration) time.Duration {
	class := RequestClass{Kind: "booking", UsualTime: 500 * time.Millisecond}
	start := time.Unix(1000, 0)
	var m InflightMonitor
	ends := make(map[uint64]time.Duration)
	const step = 10 * time.Millisecond
	for at, id := time.Duration(0), uint64(0); at < until; at += step {
		now := start.Add(at)
		if random.Float64() < rate*step.Seconds() {
			id++
			m.Begin(now, id, class)
			ends[id] = at + time.Duration(float64(class.UsualTime)*math.Exp(serviceTimeDeviation*random.NormFloat64()))
			if at >= hangsFrom && random.Float64() < 0.75 {
				ends[id] = at + 5*time.Second
			}
		}
		for i, end := range ends {
			if end <= at {
				m.End(now, i, true)
				delete(ends, i)
			}
		}
		if m.Score(now, usualTimes) >= hangingScore {
			return at
		}
	}
	return 0
}

// TestMonitorDetectsHangBeforeTimeouts checks that a hanging endpoint is detected while its requests are in flight, not
// only when the first callers time out five seconds later.
func TestMonitorDetectsHangBeforeTimeouts(t *testing.T) {
	const runs = 200
	detected, sum := 0, time.Duration(0)
	for seed := range uint64(runs) {
		at := simulateHang(rand.New(rand.NewPCG(seed, 1)), 6, 0, 5*time.Second)
		if at > 0 {
			detected++
			sum += at
		}
	}
	if got, want := detected, runs*99/100; got < want {
		t.Errorf("detected of %d: got %d, want at least %d", runs, got, want)
	}
	if got, want := sum/runs, 1500*time.Millisecond; got > want {
		t.Errorf("mean time until detected: got %v, want at most %v", got, want)
	}
}

// TestMonitorFalsePositives checks how often a healthy endpoint is taken for a hanging one: at most once in 15 seconds
// at six requests a second. A higher threshold would lose more requests to endpoints that hang (docs/DECISIONS.md).
func TestMonitorFalsePositives(t *testing.T) {
	const runs, length = 40, time.Minute
	falsePositives, healthy := 0, time.Duration(0)
	for seed := range uint64(runs) {
		at := simulateHang(rand.New(rand.NewPCG(seed, 2)), 6, length, length)
		if at > 0 {
			falsePositives++
			healthy += at
			continue
		}
		healthy += length
	}
	if got, want := healthy/time.Duration(max(falsePositives, 1)), 15*time.Second; got < want {
		t.Errorf("mean time between false positives: got %v, want at least %v", got, want)
	}
}

// TestSingleRequestIsNotEnough checks that no single request, however long unanswered, makes an endpoint count as
// hanging.
func TestSingleRequestIsNotEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m InflightMonitor
		now := time.Unix(1000, 0)
		m.Begin(now, 1, RequestClass{Kind: "booking", UsualTime: 500 * time.Millisecond})
		age := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "age"))
		if got := m.Score(now.Add(age), usualTimes); got >= hangingScore {
			t.Fatalf("after %v: got %v, want less than %v", age, got, hangingScore)
		}
	})
}

// TestMonitorBoundsFinishedRequests checks that at most maxEnded finished requests are remembered.
func TestMonitorBoundsFinishedRequests(t *testing.T) {
	var m InflightMonitor
	now := time.Unix(1000, 0)
	for id := range uint64(10 * maxEnded) {
		m.Begin(now, id, RequestClass{})
		m.End(now, id, true)
	}
	if got, want := len(m.requests), maxEnded; got != want {
		t.Errorf("finished requests remembered: got %d, want %d", got, want)
	}
}
