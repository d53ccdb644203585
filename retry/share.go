package retry

import "time"

// Share is the slack of retries that the whole fleet may make for a service in a window besides a share of its requests.
type Share struct {
	// Slack is the fleet's retries in a window beyond the ratio.
	Slack float64
	// Window is the time over which the fleet's retries are counted.
	Window time.Duration
	// Most bounds one endpoint's part, for while few of a service's endpoints are known.
	Most float64
}

// Part returns what one endpoint may use in a window when its service has so many.
//
// Invariant: the parts of all endpoints are at most the slack.
func (s Share) Part(endpoints int) float64 {
	return min(s.Slack/float64(max(endpoints, 1)), s.Most)
}
