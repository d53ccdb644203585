package virtual

import (
	"math"
	"time"
)

// Result holds what one run measured.
type Result struct {
	// DetectionTime is the time from the onset of the fault until the faulty endpoint got no more ordinary requests,
	// negative if that never happened.
	DetectionTime time.Duration
	// RequestsUntilDetection counts the requests that the faulty endpoint got in that time.
	RequestsUntilDetection int
	// FalseEjections counts ejections of healthy endpoints.
	FalseEjections int
	// Requests, Failed and Sends count, from the onset on, the requests, those that failed or were late, and the
	// attempts.
	Requests, Failed, Sends int
	// InTime counts the requests that were answered in time, from the onset on.
	InTime int
	// LatenciesMillis are the times from arrival to answer of the requests that were answered in time, in milliseconds.
	LatenciesMillis []float64
	// CompliantFailed and CompliantRequests count failed and all requests of the customers that keep to their share,
	// that is, all but customer 0.
	CompliantFailed, CompliantRequests int
}

// finish records the result of a request; only requests that arrived after the onset count.
func (r *run) finish(q *request, succeeded bool) {
	if !r.measured() || q.arrived.Before(time.Unix(0, 0).Add(Onset)) {
		return
	}
	duration := r.clock.now.Sub(q.arrived)
	succeeded = succeeded && duration <= deadline
	if succeeded {
		r.result.InTime++
		if r.Length <= maxRecordedLength {
			r.result.LatenciesMillis = append(r.result.LatenciesMillis, float64(duration)/float64(time.Millisecond))
		}
		return
	}
	r.result.Failed++
	if q.customer > 0 {
		r.result.CompliantFailed++
	}
}

// meanAndStddev returns the mean success rate of the endpoints that got enough requests, and its standard deviation.
func meanAndStddev(succeeded, total []float64) (mean, stddev float64) {
	var rates []float64
	for i := range total {
		if total[i] >= conventionalMinRequests {
			rates = append(rates, succeeded[i]/total[i])
		}
	}
	if len(rates) == 0 {
		return 0, 0
	}
	for _, rate := range rates {
		mean += rate / float64(len(rates))
	}
	for _, rate := range rates {
		stddev += (rate - mean) * (rate - mean) / float64(len(rates))
	}
	return mean, math.Sqrt(stddev)
}
