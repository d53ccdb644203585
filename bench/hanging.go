package bench

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/latency"
)

const (
	// hangingSeeds is how many endpoints are played for each fault.
	hangingSeeds = 99
	// hangingRate is the work that an endpoint gets, requests a second: four slots of mixed work at about half load.
	hangingRate = 6
	// hangingStep is the time between two looks, as the nodes take them.
	hangingStep = 25 * time.Millisecond
	// hangingOnset is when the fault begins, once the times of the work are known, hangingLength how long it lasts.
	hangingOnset  = time.Minute
	hangingLength = time.Minute
	// hangingSpread is the deviation of the logarithm of the work's times; one in hangingTail takes hangingTailTimes as long.
	hangingSpread    = 0.5
	hangingTail      = 100
	hangingTailTimes = 3
	// suspectScore is the evidence at which nodes open a breaker, in nats.
	suspectScore = 4
)

// mixedWork is one kind of the work that an endpoint gets, with the time after which its callers give up.
type mixedWork struct {
	breaker.RequestClass
	limit time.Duration
}

var mixed = []mixedWork{
	{RequestClass: breaker.RequestClass{Kind: "lookup", UsualTime: 100 * time.Millisecond}, limit: 1500 * time.Millisecond},
	{RequestClass: breaker.RequestClass{Kind: "booking", UsualTime: 500 * time.Millisecond}, limit: 5 * time.Second},
}

// hang is a fault of an endpoint that takes work.
type hang struct {
	name string
	// share of the work is never answered, slow is the factor on the time of the rest, flap the time between its being
	// there and not, 0 for a fault that stays.
	share float64
	slow  float64
	flap  time.Duration
}

var hangs = []hang{
	{name: "hangs_75", share: 0.75, slow: 1},
	{name: "hangs_100", share: 1, slow: 1},
	{name: "hangs_1s_in_2", share: 1, slow: 1, flap: time.Second},
	{name: "slow_8", slow: 8},
}

// there tells whether the fault strikes work that begins so long after its onset.
func (f hang) there(after time.Duration) bool {
	return after >= 0 && (f.flap == 0 || after/f.flap%2 == 0)
}

// judge decides from an endpoint's work whether it hangs.
type judge interface {
	begin(now time.Time, id uint64, w breaker.RequestClass)
	end(now time.Time, id uint64, w breaker.RequestClass, took time.Duration, answered bool)
	hangs(now time.Time) bool
	reset()
}

// byWork judges by the work under way, as the nodes do.
type byWork struct {
	watch breaker.InflightMonitor
	times *latency.Models
}

func newByWork() judge { return &byWork{times: latency.NewModels()} }

func (j *byWork) begin(now time.Time, id uint64, w breaker.RequestClass) { j.watch.Begin(now, id, w) }

func (j *byWork) end(now time.Time, id uint64, w breaker.RequestClass, took time.Duration, answered bool) {
	j.watch.End(now, id, answered)
	if answered {
		j.times.Observe(w.Kind, took)
	}
}

func (j *byWork) hangs(now time.Time) bool {
	return j.watch.Score(now, func(w breaker.RequestClass, age time.Duration) float64 {
		return j.times.For(w.Kind, w.UsualTime).Survival(age)
	}) >= suspectScore
}

func (j *byWork) reset() { j.watch.Reset() }

// atEnd is the rule that it replaced: two pieces of work in a row, once they have ended, without an answer within three times
// the usual time of all work.
type atEnd struct {
	usual float64
	row   int
}

func newAtEnd() judge { return &atEnd{} }

const (
	atEndTimes  = 3
	atEndRow    = 2
	atEndMemory = 0.1
)

func (j *atEnd) begin(time.Time, uint64, breaker.RequestClass) {}

func (j *atEnd) end(_ time.Time, _ uint64, _ breaker.RequestClass, took time.Duration, answered bool) {
	if !answered || j.usual > 0 && took.Seconds() > atEndTimes*j.usual {
		j.row++
		return
	}
	j.row = 0
	if j.usual == 0 {
		j.usual = took.Seconds()
	}
	j.usual += (took.Seconds() - j.usual) * atEndMemory
}

func (j *atEnd) hangs(time.Time) bool { return j.row >= atEndRow }

func (j *atEnd) reset() { j.row = 0 }

// underWay is one piece of work at the played endpoint.
type underWay struct {
	id       uint64
	work     mixedWork
	began    time.Duration
	ends     time.Duration
	answered bool
}

// playHanging plays an endpoint until a time and calls found whenever the judge says that it hangs.
func playHanging(seed uint64, f hang, j judge, until time.Duration, found func(at time.Duration, begun int) (stop bool)) {
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // seeded on purpose
	start := time.Unix(0, 0)
	var running []underWay
	begun := 0
	for at, id := time.Duration(0), uint64(0); at < until; at += hangingStep {
		now := start.Add(at)
		running = slices.DeleteFunc(running, func(u underWay) bool {
			if u.ends <= at {
				j.end(now, u.id, u.work.RequestClass, u.ends-u.began, u.answered)
			}
			return u.ends <= at
		})
		if random.Float64() < hangingRate*hangingStep.Seconds() {
			id++
			u := drawWork(random, f, id, at)
			j.begin(now, id, u.work.RequestClass)
			running = append(running, u)
			if at >= hangingOnset {
				begun++
			}
		}
		if j.hangs(now) {
			if found(at, begun) {
				return
			}
			j.reset()
		}
	}
}

// drawWork begins a piece of work.
func drawWork(random *rand.Rand, f hang, id uint64, at time.Duration) underWay {
	u := underWay{id: id, work: mixed[random.IntN(len(mixed))], began: at}
	took := time.Duration(float64(u.work.UsualTime) * math.Exp(hangingSpread*random.NormFloat64()))
	if random.IntN(hangingTail) == 0 {
		took *= hangingTailTimes
	}
	lost := random.Float64() < f.share
	if f.there(at - hangingOnset) {
		took = time.Duration(float64(took) * f.slow)
	} else {
		lost = false
	}
	u.answered = !lost && took <= u.work.limit
	if !u.answered {
		took = u.work.limit
	}
	u.ends = at + took
	return u
}

// Hanging prints, for endpoints that hang or turn slow under mixed work, how soon each rule finds them and how much work had
// begun there by then, and how often each errs on an endpoint that is well.
func Hanging(out io.Writer, endpointHours float64) {
	rules := []struct {
		name string
		make func() judge
	}{{"ours", newByWork}, {"at_end", newAtEnd}}
	for _, rule := range rules {
		for _, f := range hangs {
			hangingOf(out, rule.name, f, rule.make)
		}
		wrong := 0
		length := time.Duration(endpointHours * float64(time.Hour))
		playHanging(1, hang{}, rule.make(), length, func(time.Duration, int) bool { wrong++; return false })
		measure(out, "hanging.well."+rule.name+".false_openings", float64(wrong), fmt.Sprintf("in_%.0f_endpoint_hours", endpointHours))
	}
}

// hangingOf prints the medians over the seeds for one fault and rule; -1 where it is not found within a minute.
func hangingOf(out io.Writer, rule string, f hang, newJudge func() judge) {
	detections, works := make([]float64, 0, hangingSeeds), make([]float64, 0, hangingSeeds)
	for seed := range uint64(hangingSeeds) {
		detected, begun := math.Inf(1), math.Inf(1)
		playHanging(seed, f, newJudge(), hangingOnset+hangingLength, func(at time.Duration, n int) bool {
			if at < hangingOnset {
				return false
			}
			detected, begun = (at - hangingOnset).Seconds(), float64(n)
			return true
		})
		detections, works = append(detections, detected), append(works, begun)
	}
	measure(out, "hanging."+f.name+"."+rule+".detection", middle(detections), "s")
	measure(out, "hanging."+f.name+"."+rule+".begun", middle(works), "requests")
}
