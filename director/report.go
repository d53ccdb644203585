package director

import (
	"time"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/eject"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// Report describes the result of one exchange with an endpoint.
type Report struct {
	// Service is the service's key.
	Service string
	// Pick is the choice that led to the exchange.
	Pick Pick
	// Received is set when the endpoint received the request.
	Received bool
	// Failed is set when the endpoint did not do the work.
	Failed bool
	// Refused is set when the endpoint's node refused the request before anything was sent to the endpoint.
	Refused bool
	// OutOfRetries is set when the endpoint's retry budget was used up.
	OutOfRetries bool
	// WasOverdue is set when ReportOverdue was called for the exchange.
	WasOverdue bool
	// Load is the load report that the egress attached, nil if no answer came back.
	Load *peerpb.Load
}

// Done releases a pick and records the result of its exchange.
func (d *Director) Done(r Report) {
	now := time.Now()
	t := r.Pick.target
	t.inFlight.Add(-1)
	if r.Pick.Trial {
		t.trialInFlight.Store(false)
	}
	t.applyLoad(now, r.Load)
	d.applySuspectReport(now, r)
	if r.Refused {
		t.refusedAt.Store(clock.Nanos(now))
	}
	if r.OutOfRetries {
		t.outOfRetriesAt.Store(clock.Nanos(now))
	}
	if r.Received {
		success := 1.0
		if r.Failed {
			success = 0
		}
		updateAverage(&t.success, max(success, 1e-9))
		if service := r.Load.GetServiceMicros(); service > 0 && !r.Failed {
			updateAverage(&t.latency, float64(time.Duration(service)*time.Microsecond))
		}
	}
	d.send(r)
}

func (r Report) apply(d *Director, now time.Time) {
	rt := d.runtimeOf(now, r.Service)
	if rt == nil {
		return
	}
	key := r.Pick.Endpoint.Key
	before := rt.detector.Verdict(key)
	if r.Received {
		o := eject.Observation{Kind: eject.Success, WasOverdue: r.WasOverdue}
		if r.Failed {
			o.Kind = eject.Failure
		}
		o.Latency = time.Duration(r.Load.GetServiceMicros()) * time.Microsecond
		rt.detector.Observe(now, key, o)
	}
	r.observeOtherNodes(now, rt, key)
	if rt.detector.Verdict(key).Differs(before) {
		d.refresh(now, rt)
	}
}

// observeOtherNodes passes to the detector the results of other nodes' requests: the growth of the egress's totals
// since the last load report, less this node's own requests.
func (r Report) observeOtherNodes(now time.Time, rt *runtime, key string) {
	t := r.Pick.target
	if r.Load == nil {
		return
	}
	if r.Received {
		t.ownFinished++
		if r.Failed {
			t.ownFailed++
		}
	}
	finished, failed := r.Load.GetFinished(), r.Load.GetFailed()
	if t.incarnation != r.Load.GetIncarnation() {
		t.incarnation = r.Load.GetIncarnation()
	} else if finished > t.totalFinished {
		others := withoutOwn(finished-t.totalFinished, t.ownFinished)
		othersFailed := min(others, withoutOwn(failed-min(failed, t.totalFailed), t.ownFailed))
		rt.detector.ObserveCounts(now, key, others, othersFailed)
	} else {
		// A later answer has overtaken this one, and its totals already include this exchange.
		return
	}
	t.totalFinished, t.totalFailed = finished, failed
	t.ownFinished, t.ownFailed = 0, 0
}

// withoutOwn subtracts this node's own requests from a total, down to zero.
func withoutOwn(total, own uint64) uint64 { return total - min(total, own) }

// ReportOverdue records that an exchange has taken longer than the pick's OverdueAfter and has not ended.
func (d *Director) ReportOverdue(service string, p Pick) {
	d.send(overdueMessage{service: service, pick: p})
}

type overdueMessage struct {
	service string
	pick    Pick
}

func (m overdueMessage) apply(d *Director, now time.Time) {
	rt := d.runtimeOf(now, m.service)
	if rt == nil {
		return
	}
	key := m.pick.Endpoint.Key
	before := rt.detector.Verdict(key)
	rt.detector.Observe(now, key, eject.Observation{Kind: eject.Overdue, Latency: m.pick.OverdueAfter + time.Microsecond})
	if rt.detector.Verdict(key).Differs(before) {
		d.refresh(now, rt)
	}
}

// Explanation tells why an endpoint is treated as it is. Its JSON names are part of the operators' interface.
type Explanation struct {
	// Endpoint is the endpoint's key.
	Endpoint string `json:"endpoint"`
	// Phase is the detector's phase.
	Phase string `json:"phase"`
	// Test is the name of the test with the highest score.
	Test string `json:"test"`
	// Score is the highest test score, the evidence against the endpoint in nats.
	Score float64 `json:"score"`
	// Threshold is the score at which the endpoint is ejected.
	Threshold float64 `json:"threshold"`
	// Ejections counts recent ejections; it decays while the endpoint serves well.
	Ejections int `json:"ejections"`
	// IdleMillis is the time since this node's last load report from the endpoint, -1 if it never had one. A large
	// value can be normal: this node may send its requests to other endpoints.
	IdleMillis int64 `json:"idle_millis"`
	// Trial is set while the endpoint's node accepts only trials.
	Trial bool `json:"trial"`
	// SuccessChance is the chance that a suspect answers a request, and TrialRoom how many more requests it takes, as its
	// node last reported them; both are nil without a report.
	SuccessChance *float64 `json:"success_chance,omitempty"`
	TrialRoom     *int     `json:"trial_room,omitempty"`
	// HeldByFloor is set when only the floor keeps the endpoint in use.
	HeldByFloor bool `json:"held_by_floor"`
	// InFlight is how many of this node's requests the endpoint holds.
	InFlight int64 `json:"in_flight"`
	// Open is false while the table, the host list, the endpoint's own reports or the link to its node keep new
	// requests from it.
	Open bool `json:"open"`
	// MaxRate is the rate that the endpoint states that it takes from all nodes, as this node was last told, nil for none.
	MaxRate *StatedRate `json:"max_rate,omitempty"`
	// Evacuated is set while the endpoint's hall is evacuated. EvacuatedSince is when the evacuation began and
	// EvacuatedBy who ordered it, as far as is known.
	Evacuated      bool      `json:"evacuated,omitempty"`
	EvacuatedSince time.Time `json:"evacuated_since,omitzero"`
	EvacuatedBy    string    `json:"evacuated_by,omitempty"`
}

// StatedRate is the rate that an endpoint states in its answers. Its JSON names are part of the operators' interface.
type StatedRate struct {
	// PerSecond is the rate, in requests a second.
	PerSecond float64 `json:"per_second"`
	// Since is when the endpoint began to state a rate, as far as its node knows.
	Since time.Time `json:"since"`
	// Refused and Delayed count the requests that its node has refused, and that it has let wait, because of the rate.
	Refused uint64 `json:"refused"`
	Delayed uint64 `json:"delayed"`
	// AgeMillis is the time since this node was told.
	AgeMillis int64 `json:"age_millis"`
}

// explainRate returns the rate that the endpoint states, nil for none.
func (t *target) explainRate(now time.Time) *StatedRate {
	m := t.statedRate(now, maxRateMemory)
	if m == nil {
		return nil
	}
	return &StatedRate{
		PerSecond: m.GetRate(), Since: time.UnixMilli(m.GetSinceMillis()), Refused: m.GetRefused(), Delayed: m.GetDelayed(),
		AgeMillis: now.Sub(m.heardAt).Milliseconds(),
	}
}

// Explain returns the explanations for the endpoints of a service, or of all services that this node tracks if service
// is empty.
func (d *Director) Explain(service string) []Explanation {
	now := time.Now()
	evacuated := d.state().EvacuatedHalls()
	var out []Explanation
	d.views.Range(func(key, value any) bool {
		v, _ := value.(*view)
		if service != "" && key != service {
			return true
		}
		for i := range v.entries {
			out = append(out, d.explain(&v.entries[i], now).withHall(v.entries[i].endpoint.Value.Hall, evacuated))
		}
		return true
	})
	return out
}

// withHall adds the evacuation of the endpoint's hall.
func (e Explanation) withHall(hall string, evacuated []table.EvacuatedHall) Explanation {
	for _, h := range evacuated {
		if h.Hall == hall {
			e.Evacuated, e.EvacuatedBy = true, h.By
			if h.Since != 0 {
				e.EvacuatedSince = h.Since.Time()
			}
		}
	}
	return e
}

func (d *Director) explain(e *entry, now time.Time) Explanation {
	x := Explanation{
		Endpoint: e.endpoint.Key, Phase: e.verdict.Phase.String(), Test: e.verdict.Test,
		Score: e.verdict.Score, Threshold: e.verdict.Threshold, Ejections: e.verdict.Ejections,
		IdleMillis:  e.target.reportAgeMillis(now),
		Trial:       e.target.trialOnlyAt.Load() != 0,
		HeldByFloor: e.verdict.Phase == eject.LastChoice,
		InFlight:    e.target.inFlight.Load(), Open: d.available(e, now), MaxRate: e.target.explainRate(now),
	}
	if r := e.target.suspect.Load(); r != nil {
		x.SuccessChance, x.TrialRoom = &r.chance, &r.room
	}
	return x
}
