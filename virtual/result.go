package virtual

import (
	"math"
	"time"
)

// Result is what one run showed.
type Result struct {
	// Detected is from the onset until the endpoint got no ordinary work, negative if it never came to that.
	Detected time.Duration
	// Begun counts the requests that the endpoint got from the onset until then.
	Begun int
	// FalseEjections counts healthy endpoints taken out.
	FalseEjections int
	// Requests, Bad and Sends count, from the onset on, the requests, those that failed or were late, and the sends.
	Requests, Bad, Sends int
	// Good counts answers in time, from the onset on.
	Good int
	// Admitted are the times of admitted requests from their arrival, in milliseconds.
	Admitted []float64
	// ShareBad and ShareAll count the requests of customers that keep to their share.
	ShareBad, ShareAll int
}

func (r *run) finish(q *request, good bool) {
	if !r.measured() || q.arrived.Before(time.Unix(0, 0).Add(Onset)) {
		return
	}
	took := r.clock.now.Sub(q.arrived)
	good = good && took <= deadline
	if good {
		r.result.Good++
		if r.Length <= longestKept {
			r.result.Admitted = append(r.result.Admitted, float64(took)/float64(time.Millisecond))
		}
		return
	}
	r.result.Bad++
	if q.customer > 0 {
		r.result.ShareBad++
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
