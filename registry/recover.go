package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/table"
)

// Recover applies what the store holds of this host, written by an earlier run of this node. complete is true if it was
// read from the store by this run; the heartbeats that have waited for that are then applied. Without it the record is
// one that another node has passed on, and a newer one may exist.
//
// Invariant: Recover only adds to what is known of incarnations that drain, leave or have ended, so a record that is
// read twice, late or in part undoes nothing.
func (r *Registry) Recover(record table.HostInfo, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pastBefore, liveBefore := r.past(), r.list()
	for _, key := range record.Ended {
		r.end(key)
	}
	maps.DeleteFunc(r.live, func(key string, _ Endpoint) bool { return r.hasEnded(Instance(key)) })
	maps.DeleteFunc(r.earlier, func(key string, _ table.Announced) bool { return r.hasEnded(Instance(key)) })
	for _, key := range record.Replaced {
		// An incarnation may have taken its place back since a peer received the record.
		if _, known := r.live[key]; complete && !known {
			r.replace(key)
		}
	}
	for _, a := range record.Endpoints {
		r.recoverEndpoint(a)
	}
	if !pastBefore.Equal(r.past()) || !slices.Equal(liveBefore, r.list()) {
		r.notify()
	}
	if !complete || r.recovered {
		return
	}
	r.recovered = true
	held := r.held
	r.held = nil
	for _, b := range held {
		r.beat(b)
	}
}

// recoverEndpoint applies one endpoint of the record of an earlier run; the caller holds the lock. A draining one stays
// announced as such, an active one has to report to this run first.
func (r *Registry) recoverEndpoint(a table.Announced) {
	name, born := Instance(a.Key)
	old, known := r.live[a.Key]
	switch b := (Heartbeat{Instance: name, Born: born, Address: a.Value.Address}); {
	case a.Value.Phase == table.Active:
		if !known && !r.isSuperseded(b) && !r.wasReplaced(a.Key) {
			r.earlier[a.Key] = a
		}
	case known:
		r.markDraining(old)
	case r.isSuperseded(b):
		// This run knows that it has ended.
	case r.hasActiveRival(b):
		r.end(a.Key)
	default:
		r.add(Endpoint{Entry: table.Entry[table.Endpoint]{Key: a.Key, Value: a.Value}, Draining: true})
	}
}

// hold keeps the newest heartbeat of an unknown incarnation until Recover or Confirm; the caller holds the lock.
func (r *Registry) hold(b Heartbeat) {
	r.logIgnored(b, "earlier_runs_unknown")
	i := slices.IndexFunc(r.held, func(h Heartbeat) bool { return h.Key() == b.Key() })
	switch {
	case i < 0 && len(r.held) < maxPast:
		r.held = append(r.held, b)
	case i >= 0 && b.Sequence > r.held[i].Sequence:
		r.held[i] = b
	}
}

// Held returns the heartbeats that wait until it is known what earlier runs of this node have stored.
func (r *Registry) Held() []Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.held)
}

// Recovered reports whether this run knows what earlier runs of this node have stored.
func (r *Registry) Recovered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recovered
}

// Confirm applies the heartbeat that is held for an incarnation, which has just confirmed that it is running and not
// draining.
func (r *Registry) Confirm(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.held, func(h Heartbeat) bool { return h.Key() == key })
	if _, known := r.live[key]; known || i < 0 || r.isSuperseded(r.held[i]) {
		return
	}
	b := r.held[i]
	r.held = slices.Delete(r.held, i, i+1)
	r.update(b)
}

// Restore adds an endpoint that an earlier run of this node had announced, after the endpoint has just confirmed that
// it is still the same incarnation and not draining; cold is how much longer it remains cold. It does nothing if this
// run already knows an active endpoint, or if this incarnation drains or has ended.
func (r *Registry) Restore(a table.Announced, cold time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, born := Instance(a.Key)
	_, known := r.live[a.Key]
	b := Heartbeat{Instance: name, Born: born, Address: a.Value.Address}
	if known || a.Value.Phase != table.Active || r.isSuperseded(b) || r.hasActive() {
		return
	}
	now := r.clock()
	e := Endpoint{Entry: table.Entry[table.Endpoint]{Key: a.Key, Value: a.Value}, ReportedAt: now, ColdUntil: now.Add(cold)}
	r.add(e)
	r.notifyChange(e)
}
