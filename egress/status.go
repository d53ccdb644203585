package egress

// Status is what the egress knows of one endpoint.
type Status struct {
	// Endpoint is the endpoint's key.
	Endpoint string `json:"endpoint"`
	// Busy is the number of slots taken.
	Busy int `json:"busy"`
	// Waiting is the number of queued requests.
	Waiting int `json:"waiting"`
	// Finished counts the requests that ran, since the node started.
	Finished uint64 `json:"finished"`
	// Failed counts those of them that failed.
	Failed uint64 `json:"failed"`
	// Leaving is set after the endpoint said so itself.
	Draining bool `json:"leaving"`
	// Trial is set while it takes only trials.
	Trial bool `json:"trial"`
	// Arrivals is what was handed to it since the node started.
	Arrivals Arrivals `json:"arrivals"`
}

// Statuses returns the endpoints that have had work since the node started.
func (e *Egress) Statuses() []Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Status, 0, len(e.locals))
	for _, l := range e.locals {
		load := l.load(0, 0)
		out = append(out, Status{
			Endpoint: l.key, Busy: int(load.GetBusy()), Waiting: int(load.GetQueued()),
			Finished: load.GetFinished(), Failed: load.GetFailed(), Draining: load.GetLeaving(), Trial: load.GetTrial(),
			Arrivals: l.handed(),
		})
	}
	return out
}

// Keys returns the number of idempotency keys at home here.
func (e *Egress) KeyCount() int { return e.keys.len() }
