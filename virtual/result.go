package virtual

import (
	"math"
	"time"
)

// Result is what one run showed.
type Result struct {
	// Detected is from the onset until the endpoint got no ordinary work, negative if it never came to that.
	DetectionTime time.Duration
	// Begun counts the requests that the endpoint got from the onset until then.
	RequestsUntilDetection int
	// FalseEjections counts healthy endpoints taken out.
	FalseEjections int
	// Requests, Bad and Sends count, from the onset on, the requests, those that failed or were late, and the sends.
	Requests, Failed, Sends int
	// Good counts answers in time, from the onset on.
	InTime int
	// Admitted are the times of admitted requests from their arrival, in milliseconds.
	LatenciesMillis []float64
	// ShareBad and ShareAll count the requests of customers that keep to their share.
	CompliantFailed, CompliantRequests int
}

func (r *run) finish(q *request, good bool) {
	if !r.measured() || q.arrived.Before(time.Unix(0, 0).Add(Onset)) {
		return
	}
	took := r.clock.now.Sub(q.arrived)
	good = good && took <= deadline
	if good {
		r.result.InTime++
		if r.Length <= longestKept {
			r.result.LatenciesMillis = append(r.result.LatenciesMillis, float64(took)/float64(time.Millisecond))
		}
		return
	}
	r.result.Failed++
	if q.customer > 0 {
		r.result.CompliantFailed++
	}
}

func meanAndSpread(ok, all []float64) (mean, spread float64) {
	var shares []float64
	for i := range all {
		if all[i] >= commonLeast {
			shares = append(shares, ok[i]/all[i])
		}
	}
	if len(shares) == 0 {
		return 0, 0
	}
	for _, s := range shares {
		mean += s / float64(len(shares))
	}
	for _, s := range shares {
		spread += (s - mean) * (s - mean) / float64(len(shares))
	}
	return mean, math.Sqrt(spread)
}
