package virtual

import "time"

// faulty reports whether the fault is active at an endpoint now.
func (r *run) faulty(i int) bool {
	if !r.measured() || !r.affected(i) {
		return false
	}
	period := r.Fault.Flap
	return period == 0 || ((r.elapsed()-Onset)/period)%2 == 0
}

// affected reports whether the fault concerns an endpoint at all.
func (r *run) affected(i int) bool {
	if r.Fault.Name == "" {
		return false
	}
	return i == 0 || r.Fault.Hall && i%3 == 0
}

// exponential draws a duration from an exponential distribution.
func (r *run) exponential(mean time.Duration) time.Duration {
	return time.Duration(r.random.ExpFloat64() * float64(mean))
}

// arrive schedules the next request of a Poisson process, which has bursts while no fault is simulated.
func (r *run) arrive() {
	rate := r.Rate * float64(r.Service.Endpoints)
	if r.elapsed()%burstInterval < burstLength && r.Flood == 0 && r.Fault.Name == "" {
		rate *= burstFactor
	}
	gap := r.exponential(time.Duration(float64(time.Second) / rate))
	r.clock.after(gap, func() {
		r.startRequest()
		r.arrive()
	})
}

// startRequest creates a request and sends it.
func (r *run) startRequest() {
	q := &request{arrived: r.clock.now, customer: r.customer(), repeatable: r.random.IntN(oneRepeatableIn) == 0}
	if r.measured() {
		r.result.Requests++
		if q.customer > 0 {
			r.result.CompliantRequests++
		}
	}
	r.budget.CountRequest(r.clock.now, retryShare)
	r.send(q)
}

// customer draws the customer that sends a request; customer 0 is the flooding one if there is a flood.
func (r *run) customer() int {
	if r.Flood == 0 {
		return r.random.IntN(customers)
	}
	if r.random.Float64()*(customers-1+r.Flood) < r.Flood {
		return 0
	}
	return 1 + r.random.IntN(customers-1)
}

// schedulePause stops an endpoint briefly from time to time, as a garbage collector does: the endpoint is healthy, but
// all its requests are late.
func (r *run) schedulePause(i int) {
	r.clock.after(r.exponential(pauseInterval), func() {
		r.endpoints[i].pausedTo = r.clock.now.Add(pauseLength)
		r.schedulePause(i)
	})
}

// tick advances the policy periodically.
func (r *run) tick() {
	r.policy.Tick(r.clock.now)
	r.detectEjections()
	r.clock.after(tickInterval, r.tick)
}

// detectEjections records the endpoints that have gone out of service since the last call.
func (r *run) detectEjections() {
	for i := range r.outOfService {
		outOfService := r.policy.OutOfService(i)
		if outOfService && !r.outOfService[i] {
			r.recordEjection(i)
		}
		r.outOfService[i] = outOfService
	}
}

// recordEjection counts a false ejection, or sets the detection time of the faulty endpoint.
func (r *run) recordEjection(i int) {
	switch {
	case !r.measured():
	case !r.affected(i):
		r.result.FalseEjections++
	case i == 0 && r.result.DetectionTime < 0:
		r.result.DetectionTime = r.elapsed() - Onset
	}
}
