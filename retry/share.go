package retry

// Share is what one node may take of a budget of retries that the whole fleet keeps without agreeing on each.
//
// In any window, a service's retries over all nodes are at most its share of its requests plus Slack: each node earns
// the share for each of its own requests, and the nodes' bursts add up to Slack at most, as long as there are no more
// nodes than that: a Budget holds one retry at least. Nodes that have not heard of each other yet count fewer nodes than
// there are; MostBurst bounds what one of them takes meanwhile.
type Share struct {
	// Slack is the fleet's retries beyond the ratio.
	Slack float64
	// MostBurst bounds one node's part of it.
	MostBurst float64
}

// Burst returns the retries that a node may hold back when the fleet has so many nodes.
func (s Share) Burst(nodes int) float64 {
	return min(s.Slack/float64(max(nodes, 1)), s.MostBurst)
}
