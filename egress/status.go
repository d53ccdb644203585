package egress

// Status is the state of one endpoint as the egress knows it. In the JSON, an endpoint that drains is "leaving".
type Status struct {
	// Endpoint is the endpoint's key.
	Endpoint string `json:"endpoint"`
	// Busy is the number of slots taken.
	Busy int `json:"busy"`
	// Waiting is the number of queued requests.
	Waiting int `json:"waiting"`
	// Finished counts the requests that ran since the node started.
	Finished uint64 `json:"finished"`
	// Failed counts those of them that failed.
	Failed uint64 `json:"failed"`
	// Draining is set after the endpoint itself reported that it is draining.
	Draining bool `json:"leaving"`
	// Trial is set while its breaker lets only trials through.
	Trial bool `json:"trial"`
	// TrialsRunning is the number of trials in flight. SuccessChance is the chance that a suspect answers, nil unless the
	// setting suspect_room is on, and TrialRoom how many more trials it takes.
	TrialsRunning int      `json:"trials_running,omitempty"`
	SuccessChance *float64 `json:"success_chance,omitempty"`
	TrialRoom     int      `json:"trial_room,omitempty"`
	// Service is the endpoint's service.
	Service string `json:"service"`
	// MaxRate is the rate that the endpoint states that it takes, in requests a second, nil for none.
	MaxRate *float64 `json:"max_rate,omitempty"`
	// RateRefused and RateDelayed count the requests that were refused, and that had to wait, because of a stated rate.
	RateRefused uint64 `json:"rate_refused,omitempty"`
	RateDelayed uint64 `json:"rate_delayed,omitempty"`
	// NestedStarts counts the nested calls that started, Displaced the waiting requests that were refused for the place of
	// one.
	NestedStarts uint64 `json:"nested_starts,omitempty"`
	Displaced    uint64 `json:"displaced,omitempty"`
	// Arrivals counts what was dispatched to it since the node started.
	Arrivals Arrivals `json:"arrivals"`
}

// Statuses returns the state of every endpoint that the egress has had since the node started.
func (e *Egress) Statuses() []Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Status, 0, len(e.endpoints))
	for _, l := range e.endpoints {
		load := l.loadReport(0, 0)
		rate, limited := l.maxRateStatus()
		counts := l.queueCounts()
		status := Status{
			Endpoint: l.key, Busy: int(load.GetBusy()), Waiting: int(load.GetQueued()),
			Finished: load.GetFinished(), Failed: load.GetFailed(), Draining: load.GetLeaving(), Trial: load.GetTrial(),
			Arrivals: l.arrivalCounts(), Service: l.serviceName(), RateRefused: rate.Refused, RateDelayed: rate.Delayed,
			TrialsRunning: l.runningTrials(), SuccessChance: load.SuccessChance, TrialRoom: int(load.GetTrialRoom()),
			NestedStarts: counts.NestedStarts, Displaced: counts.Displaced,
		}
		if limited {
			status.MaxRate = &rate.Rate
		}
		out = append(out, status)
	}
	return out
}

// KeyCount returns the number of idempotency keys recorded on this node.
func (e *Egress) KeyCount() int { return e.keys.len() }
