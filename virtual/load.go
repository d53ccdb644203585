package virtual

import "time"

// faulty tells whether the fault holds for an endpoint now.
func (r *run) faulty(i int) bool {
	if !r.measured() || !r.hit(i) {
		return false
	}
	period := r.Fault.Flap
	return period == 0 || ((r.since()-Onset)/period)%2 == 0
}

// hit tells whether the fault concerns an endpoint at all.
func (r *run) hit(i int) bool {
	if r.Fault.Name == "" {
		return false
	}
	return i == 0 || r.Fault.Hall && i%3 == 0
}

func (r *run) exponential(mean time.Duration) time.Duration {
	return time.Duration(r.random.ExpFloat64() * float64(mean))
}

func (r *run) arrive() {
	rate := r.Rate * float64(r.Service.Endpoints)
	if r.since()%burstEvery < burstLength && r.Flood == 0 && r.Fault.Name == "" {
		rate *= burstFactor
	}
	gap := r.exponential(time.Duration(float64(time.Second) / rate))
	r.clock.after(gap, func() {
		r.take()
		r.arrive()
	})
}

func (r *run) take() {
	q := &request{arrived: r.clock.now, customer: r.customer(), repeatable: r.random.IntN(repeatOneIn) == 0}
	if r.measured() {
		r.result.Requests++
		if q.customer > 0 {
			r.result.CompliantRequests++
		}
	}
	r.budget.CountRequest(r.clock.now, retryShare)
	r.send(q)
}

// customer draws who sends; customer 0 floods if there is a flood.
func (r *run) customer() int {
	if r.Flood == 0 {
		return r.random.IntN(customers)
	}
	if r.random.Float64()*(customers-1+r.Flood) < r.Flood {
		return 0
	}
	return 1 + r.random.IntN(customers-1)
}

// pause stops an endpoint for a moment now and then, as a garbage collector does: healthy, but all its work is late.
func (r *run) pause(i int) {
	r.clock.after(r.exponential(pauseEvery), func() {
		r.endpoints[i].pausedTo = r.clock.now.Add(pauseLength)
		r.pause(i)
	})
}

func (r *run) tick() {
	r.policy.Tick(r.clock.now)
	r.watch()
	r.clock.after(tickEvery, r.tick)
}

// watch notes endpoints that went out of service.
func (r *run) watch() {
	for i := range r.out {
		out := r.policy.OutOfService(i)
		if out && !r.out[i] {
			r.wentOut(i)
		}
		r.out[i] = out
	}
}

func (r *run) wentOut(i int) {
	switch {
	case !r.measured():
	case !r.hit(i):
		r.result.FalseEjections++
	case i == 0 && r.result.DetectionTime < 0:
		r.result.DetectionTime = r.since() - Onset
	}
}
