package director

import (
	"time"

	"github.com/lynxplank/lynxplank/eject"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/table"
)

// Report is what one exchange showed of its endpoint.
type Report struct {
	// Service is the service's key.
	Service string
	// Pick is the choice that led to the exchange.
	Pick Pick
	// Worked is set when the endpoint had the request.
	Received bool
	// Failed is set when it did not do the work.
	Failed bool
	// Declined is set when it turned the request away before anything was sent.
	Refused bool
	// Spent is set when it had no retry left.
	OutOfRetries bool
	// WasLate is set when the exchange was reported overdue before.
	WasOverdue bool
	// Load is what the egress attached, nil when nothing came back.
	Load *peerpb.Load
}

// Done frees the pick and takes the report.
func (d *Director) Done(r Report) {
	now := time.Now()
	t := r.Pick.target
	t.inFlight.Add(-1)
	if r.Pick.Trial {
		t.trickling.Store(false)
	}
	t.noteLoad(now, r.Load)
	if r.Refused {
		t.declinedAt.Store(now.UnixNano())
	}
	if r.OutOfRetries {
		t.spentAt.Store(now.UnixNano())
	}
	if r.Received {
		success := 1.0
		if r.Failed {
			success = 0
		}
		move(&t.success, max(success, 1e-9))
		if service := r.Load.GetServiceMicros(); service > 0 && !r.Failed {
			move(&t.latency, float64(time.Duration(service)*time.Microsecond))
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
		ev := eject.Observation{Kind: eject.Success, WasOverdue: r.WasOverdue}
		if r.Failed {
			ev.Kind = eject.Failure
		}
		ev.Latency = time.Duration(r.Load.GetServiceMicros()) * time.Microsecond
		rt.detector.Observe(now, key, ev)
	}
	r.shareTotals(now, rt, key)
	if rt.detector.Verdict(key).Differs(before) {
		d.refresh(now, rt)
	}
}

// shareTotals feeds the detector with what other nodes' requests showed the egress since the last report.
func (r Report) shareTotals(now time.Time, rt *runtime, key string) {
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
		others := lessOwn(finished-t.totalFinished, t.ownFinished)
		othersFailed := min(others, lessOwn(failed-min(failed, t.totalFailed), t.ownFailed))
		rt.detector.ObserveCounts(now, key, others, othersFailed)
	} else {
		// An answer that was overtaken by a later one; its work is in the later totals already.
		return
	}
	t.totalFinished, t.totalFailed = finished, failed
	t.ownFinished, t.ownFailed = 0, 0
}

func lessOwn(total, own uint64) uint64 { return total - min(total, own) }

// Late reports an exchange that has taken long and has not ended.
func (d *Director) ReportOverdue(service string, p Pick) {
	d.send(lateMessage{service: service, pick: p})
}

type lateMessage struct {
	service string
	pick    Pick
}

func (m lateMessage) apply(d *Director, now time.Time) {
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

// Explanation is why an endpoint is treated as it is.
type Explanation struct {
	// Endpoint is the endpoint's key.
	Endpoint string `json:"endpoint"`
	// Phase is the detector's phase.
	Phase string `json:"phase"`
	// Test is the test with the highest score.
	Test string `json:"test"`
	// Score is the evidence against it, in nats.
	Score float64 `json:"score"`
	// Threshold is the score that ejects.
	Threshold float64 `json:"threshold"`
	// Ejections is how often it was ejected of late.
	Ejections int `json:"ejections"`
	// IdleMillis is how long this node has had no word from it, -1 if it never asked; others may make it needless.
	IdleMillis int64 `json:"idle_millis"`
	// Trial is set while the node beside it takes only trials.
	Trial bool `json:"trial"`
	// HeldByFloor is set when only the floor keeps it in use.
	HeldByFloor bool `json:"held_by_floor"`
	// InFlight is how many of this node's requests it holds.
	InFlight int64 `json:"in_flight"`
	// Open is false when the table, the host list, its own word or the link keep new work from it.
	Open bool `json:"open"`
	// Evacuated is set while its hall is, EvacuatedSince when that began and EvacuatedBy who said so, as far as is known.
	Evacuated      bool      `json:"evacuated,omitempty"`
	EvacuatedSince time.Time `json:"evacuated_since,omitzero"`
	EvacuatedBy    string    `json:"evacuated_by,omitempty"`
}

// Explain returns why the endpoints of the services that this node met are treated as they are.
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

// withHall adds what is known of the endpoint's hall.
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
	return Explanation{
		Endpoint: e.endpoint.Key, Phase: e.verdict.Phase.String(), Test: e.verdict.Test,
		Score: e.verdict.Score, Threshold: e.verdict.Threshold, Ejections: e.verdict.Ejections,
		IdleMillis:  e.target.idle(now),
		Trial:       e.target.trialAt.Load() != 0,
		HeldByFloor: e.verdict.Phase == eject.LastChoice,
		InFlight:    e.target.inFlight.Load(), Open: d.open(e, now),
	}
}
