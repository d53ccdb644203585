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
		r.recoverEndpoint(a, complete)
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
	for _, h := range held {
		// Only heartbeats that do not report draining are held.
		_ = r.beat(h.Heartbeat)
	}
}

// recoverEndpoint applies one endpoint of the record of an earlier run; the caller holds the lock. A draining one stays
// announced as such, an active one has to report to this run first.
func (r *Registry) recoverEndpoint(a table.Announced, complete bool) {
	b := heartbeatOf(a)
	if r.hasEnded(b.Instance, b.Born) {
		return
	}
	if a.Value.Phase == table.Active {
		r.recoverActive(a, b, complete)
		return
	}
	old, known := r.live[a.Key]
	switch {
	case known:
		r.markDraining(old)
	case !r.hasActiveNamesake(b) && r.hasActiveRival(b):
		r.end(a.Key)
	default:
		r.add(Endpoint{Entry: entryOf(a), Draining: true})
	}
}

// recoverActive is recoverEndpoint for an active endpoint.
func (r *Registry) recoverActive(a table.Announced, b Heartbeat, complete bool) {
	_, known := r.live[a.Key]
	switch {
	case known, r.wasReplaced(a.Key):
	case r.hasActiveRival(b), r.namesakeReported(b.Instance):
		r.replace(a.Key)
	case complete || b.Born == 0:
		r.earlier[a.Key] = a
	default:
		// It may have ended since a peer received the record, and the endpoint's answer to a probe names no incarnation.
	}
}

func entryOf(a table.Announced) table.Entry[table.Endpoint] {
	return table.Entry[table.Endpoint]{Key: a.Key, Value: a.Value}
}

// heartbeatOf returns what identifies an announced endpoint.
func heartbeatOf(a table.Announced) Heartbeat {
	name, born := Instance(a.Key)
	return Heartbeat{Instance: name, Born: born, Address: a.Value.Address}
}

// heldHeartbeat is a heartbeat that waits for Recover or Confirm. at is when it was received, a reading of the registry's clock.
type heldHeartbeat struct {
	Heartbeat
	at time.Time
}

// hold keeps the newest heartbeat of an unknown incarnation until Recover or Confirm; the caller holds the lock.
func (r *Registry) hold(b Heartbeat) {
	r.logIgnored(b, "earlier_runs_unknown")
	i := slices.IndexFunc(r.held, func(h heldHeartbeat) bool { return h.Key() == b.Key() })
	switch next := (heldHeartbeat{Heartbeat: b, at: r.clock()}); {
	case i < 0 && len(r.held) < maxPast:
		r.held = append(r.held, next)
	case i >= 0 && b.Sequence > r.held[i].Sequence:
		r.held[i] = next
	}
}

// Held returns the heartbeats that wait until it is known what earlier runs of this node have stored, and that Confirm would apply.
func (r *Registry) Held() (list []Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.held {
		if r.isConfirmable(h) {
			list = append(list, h.Heartbeat)
		}
	}
	return list
}

// isConfirmable reports whether an endpoint that answers by the name of a held heartbeat is the incarnation that sent it. Where
// incarnations share names, an earlier run may have acknowledged that one of them drains: only a heartbeat that was sent since this run
// began shows that its incarnation does not. The caller holds the lock.
func (r *Registry) isConfirmable(h heldHeartbeat) bool {
	if _, known := r.live[h.Key()]; known || r.hasEnded(h.Instance, h.Born) || r.namesakeLeft(h.Heartbeat) || r.hasActiveNamesake(h.Heartbeat) {
		return false
	}
	return h.Born == 0 || !isRecent(h.at, r.startedAt)
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
	i := slices.IndexFunc(r.held, func(h heldHeartbeat) bool { return h.Key() == key })
	if i < 0 || !r.isConfirmable(r.held[i]) {
		return
	}
	b := r.held[i].Heartbeat
	r.held = slices.Delete(r.held, i, i+1)
	r.update(b)
}

// Restore adds an endpoint that an earlier run of this node had announced, after the endpoint has just confirmed that
// it is still the same incarnation and not draining; cold is how much longer it remains cold. It does nothing if this
// run already knows an active endpoint, or if this incarnation drains or has ended.
func (r *Registry) Restore(a table.Announced, cold time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.live[a.Key]
	switch {
	case known, a.Value.Phase != table.Active, r.hasActive():
		return
	case r.hasEnded(Instance(a.Key)), r.wasReplaced(a.Key):
		return
	}
	if _, stored := r.earlier[a.Key]; !stored && heartbeatOf(a).Born > 0 {
		return
	}
	now := r.clock()
	e := Endpoint{Entry: entryOf(a), ReportedAt: now, ColdUntil: now.Add(cold)}
	r.add(e)
	r.notifyChange(e)
}
