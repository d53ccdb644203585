package egress

import (
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

const (
	// dueQuantile is the share of usual requests that are answered before their answers count as due. One request in
	// twenty is hedged needlessly, a quarter of what a retry budget of 20% allows.
	dueQuantile = 0.95
	// minDueQuantile replaces dueQuantile where the answer to a hedge would miss the latency target otherwise.
	minDueQuantile = 0.8
	// unknownDueDivisor sets when an answer is due while the endpoint's latencies are not known: after the latency
	// target divided by it, which leaves a hedge enough time.
	unknownDueDivisor = 2
)

// answerDue returns the time within which the answer to a request is due, 0 if the sender did not ask for it.
//
// A hedge must be sent early enough for its answer to be in time, but not earlier than that, nor before most answers
// have arrived.
func (l *localEndpoint) answerDue(d *peerpb.Dispatch) time.Duration {
	if !d.GetTellDue() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	work, target := workOf(d), latencyTarget(d)
	model := l.latencies.For(work.Kind, work.UsualTime)
	if !model.Known() {
		return target / unknownDueDivisor
	}
	usual, soon := model.Quantile(dueQuantile), model.Quantile(minDueQuantile)
	inTime := max(soon, min(usual, target-soon))
	return max(inTime, min(target/unknownDueDivisor, target-2*usual))
}

// expectedQuantile is the share of usual requests that take no longer than the expected duration.
const expectedQuantile = 0.7

// expectedDurations returns how long a request is expected to take, 0 if that is not known, and how long requests of its
// kind hold a slot on average.
//
// Where nothing is known of a kind, its requests are taken to hold a slot as long as the others here: an estimate from
// the time budget is ten times too long where callers allow plenty, and would have a queue of short requests refused.
func (l *localEndpoint) expectedDurations(d *peerpb.Dispatch) (expected, mean time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	work := workOf(d)
	model := l.latencies.For(work.Kind, work.UsualTime)
	if d.GetUsualMicros() == 0 && !l.latencies.Knows(work.Kind) {
		return model.Quantile(expectedQuantile), l.queue.TypicalServiceTime()
	}
	return model.Quantile(expectedQuantile), model.Mean()
}

// learn passes what was learned of a kind on to the queue; the lock must be held.
func (l *localEndpoint) learn(kind string) {
	if l.latencies.Knows(kind) {
		model := l.latencies.For(kind, 0)
		l.queue.Learn(kind, model.Quantile(expectedQuantile), model.Mean())
	}
}
