package demo

import "time"

const (
	// RateWindow is the window over which requests to an endpoint that states a rate are counted.
	RateWindow = 4 * time.Second
	// RateBindsAfter is when a rate binds, counted from when the endpoint began to state it.
	RateBindsAfter = 3 * time.Second
	// maxRateFactor and maxRateSlack are the bound: in a window an endpoint gets at most factor times what its rate allows
	// and slack more.
	maxRateFactor = 1.5
	maxRateSlack  = 5
)

// MaxArrivals returns how many requests may arrive in a RateWindow at an endpoint that states a rate.
func MaxArrivals(rate float64) int {
	return int(maxRateFactor*RateWindow.Seconds()*rate + maxRateSlack)
}

// MostArrivals returns the largest number of times within a RateWindow, of those that are not before from. The times are
// Unix milliseconds in order.
func MostArrivals(times []int64, from time.Time) int {
	first, most := 0, 0
	for i, at := range times {
		for times[first] < from.UnixMilli() && first < i || at-times[first] > RateWindow.Milliseconds() {
			first++
		}
		if at >= from.UnixMilli() {
			most = max(most, i-first+1)
		}
	}
	return most
}
