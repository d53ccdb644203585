package retry

import "time"

// FleetSlack is the number of retries that the whole fleet may make for a service per window in addition to a ratio of
// its requests, and how it is divided among the endpoints.
type FleetSlack struct {
	// Slack is the number of the fleet's retries per window beyond the ratio.
	Slack float64
	// Window is the time over which the fleet's retries are counted.
	Window time.Duration
	// MaxShare bounds one endpoint's share, for the time while only few of the service's endpoints are known.
	MaxShare float64
}

// EndpointShare returns the retries per window of one endpoint, given the number of the service's endpoints and how
// many of them are ranked before it. Where equal shares would be too small to ever save up one retry, only the first
// endpoints get one.
//
// Invariant: the shares of all endpoints add up to at most Slack, even while some of them still count endpoints that
// have been removed.
func (s FleetSlack) EndpointShare(endpoints, rank int) float64 {
	holders := s.Holders()
	if rank >= holders {
		return 0
	}
	return min(s.Slack/float64(max(1, min(endpoints, holders))), s.MaxShare)
}

// Holders returns how many endpoints of a service can have a share of the slack.
func (s FleetSlack) Holders() int { return max(1, int(savedShare*s.Slack)) }
