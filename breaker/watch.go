package breaker

import (
	"math"
	"slices"
	"time"
)

const (
	// hangShare is the share of its work that an endpoint leaves without an answer while it hangs, as the test assumes it:
	// some answers still come meanwhile.
	hangShare = 0.7
	// mostEvidence bounds what one piece of work can prove, in nats: now and then one takes very long.
	mostEvidence = 2.5
	// mostEnded bounds the ended work that is remembered: about as much as outweighs all slots of an endpoint.
	mostEnded = 16
)

// answeredEvidence is what an answer in time says, in nats.
var answeredEvidence = math.Log(1 - hangShare)

// Work says what kind of work is under way, and its usual time elsewhere, 0 if that is not known.
type RequestClass struct {
	// Kind names the kind.
	Kind string
	// Usual is the time that such work usually takes elsewhere.
	UsualTime time.Duration
}

// Survival tells the share of ordinary work that takes longer than an age.
type Survival func(w RequestClass, age time.Duration) float64

// Watch weighs the work under way at one endpoint: work that ought to have ended and has not speaks against the endpoint
// long before its callers give up. Its owner locks it.
//
// The score is the log likelihood ratio of "since some moment the endpoint leaves hangShare of its new work without an
// answer" against "the endpoint is well", at the moment for which it is highest. Work under way is a censored observation
// of its time.
type InflightMonitor struct {
	// runs are by their start: what is under way, and some that has ended since.
	runs  []piece
	ended int
}

// piece is one piece of work; age is set once it has ended, answered if an answer came in time.
type piece struct {
	id       uint64
	work     RequestClass
	start    time.Time
	ended    bool
	answered bool
	age      time.Duration
	// held is since when the endpoint waits for somebody else, zero if it does not.
	held time.Time
}

// agedAt is for how long the endpoint has been at the work.
func (r piece) agedAt(now time.Time) time.Duration {
	switch {
	case r.ended:
		return r.age
	case !r.held.IsZero():
		return r.held.Sub(r.start)
	}
	return now.Sub(r.start)
}

// Begin notes work that was handed over.
func (w *InflightMonitor) Begin(now time.Time, id uint64, work RequestClass) {
	w.runs = append(w.runs, piece{id: id, work: work, start: now})
}

// Alive notes that the endpoint has shown a sign of a piece of work, such as a part of its answer: only its silence since then counts.
func (w *InflightMonitor) Progress(now time.Time, id uint64) {
	if r := w.find(id); r != nil {
		r.start = now
	}
}

// Hold notes that the endpoint waits for somebody else with a piece of work, until Resume: that time says nothing of it.
func (w *InflightMonitor) Pause(now time.Time, id uint64) {
	if r := w.find(id); r != nil && r.held.IsZero() {
		r.held = now
	}
}

// Resume ends a Hold.
func (w *InflightMonitor) Resume(now time.Time, id uint64) {
	if r := w.find(id); r != nil && !r.held.IsZero() {
		r.start = r.start.Add(now.Sub(r.held))
		r.held = time.Time{}
	}
}

// find returns a piece of work that is under way, nil if it is not.
func (w *InflightMonitor) find(id uint64) *piece {
	i := slices.IndexFunc(w.runs, func(r piece) bool { return r.id == id && !r.ended })
	if i < 0 {
		return nil
	}
	return &w.runs[i]
}

// End notes that work has ended, and whether the endpoint answered.
func (w *InflightMonitor) End(now time.Time, id uint64, answered bool) {
	r := w.find(id)
	if r == nil {
		return
	}
	r.ended, r.answered, r.age = true, answered, r.agedAt(now)
	if w.ended++; w.ended > mostEnded {
		w.ended--
		oldest := slices.IndexFunc(w.runs, func(r piece) bool { return r.ended })
		w.runs = slices.Delete(w.runs, oldest, oldest+1)
	}
}

// Score returns the evidence against the endpoint in nats, 0 for none.
func (w *InflightMonitor) Score(now time.Time, survival Survival) float64 {
	sum, most := 0.0, 0.0
	for _, r := range slices.Backward(w.runs) {
		sum += r.evidence(now, survival)
		most = max(most, sum)
	}
	return most
}

// evidence is the log likelihood ratio of one piece of work.
func (r piece) evidence(now time.Time, survival Survival) float64 {
	if r.answered {
		return answeredEvidence
	}
	s := survival(r.work, r.agedAt(now))
	return min(math.Log((hangShare+(1-hangShare)*s)/s), mostEvidence)
}

// Reset forgets all work so far: the endpoint has shown that it is well, and what is still silent was begun before that.
func (w *InflightMonitor) Reset() { w.runs, w.ended = nil, 0 }

// Age returns how long a piece of work is under way; false if it is not.
func (w *InflightMonitor) Age(now time.Time, id uint64) (work RequestClass, age time.Duration, ok bool) {
	r := w.find(id)
	if r == nil {
		return RequestClass{}, 0, false
	}
	return r.work, r.agedAt(now), true
}

// Idle tells whether no work is under way.
func (w *InflightMonitor) Idle() bool {
	return !slices.ContainsFunc(w.runs, func(r piece) bool { return !r.ended })
}

// Running returns the ids of the work under way.
func (w *InflightMonitor) InFlight() []uint64 {
	var ids []uint64
	for _, r := range w.runs {
		if !r.ended {
			ids = append(ids, r.id)
		}
	}
	return ids
}
