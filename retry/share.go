package retry

import "time"

// Share is the slack of retries that the whole fleet may make for a service in a window besides a share of its requests.
type FleetSlack struct {
	// Slack is the fleet's retries in a window beyond the ratio.
	Slack float64
	// Window is the time over which the fleet's retries are counted.
	Window time.Duration
	// Most bounds one endpoint's part, for while few of a service's endpoints are known.
	MaxShare float64
}

// Part returns what an endpoint may use in a window when its service has so many, of which rank come before it. Where the
// parts of all would be too small to ever save up one retry, only the first ones have a part.
//
// Invariant: the parts of all endpoints are at most the slack, also while some of them count others that have left.
func (s FleetSlack) EndpointShare(endpoints, rank int) float64 {
	holders := s.Holders()
	if rank >= holders {
		return 0
	}
	return min(s.Slack/float64(max(1, min(endpoints, holders))), s.MaxShare)
}

// Holders returns how many endpoints of a service can have a part of the slack.
func (s FleetSlack) Holders() int { return max(1, int(savedShare*s.Slack)) }
