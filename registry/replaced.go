package registry

import (
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/table"
)

// takeoverTime is how long an incarnation has to keep reporting, while the one that took its place is silent, until it
// takes the place back. It is longer than two intervals between heartbeats.
const takeoverTime = 4 * time.Second

// replacedIncarnation is an incarnation that had not drained when another one took its place. Usually it has crashed. But
// it is the one that runs if the heartbeat that replaced it was a late one of an earlier incarnation.
type replacedIncarnation struct {
	key string
	// claimedAt is when it first reported again since the other one last reported, zero if it has not; a reading of the
	// registry's clock.
	claimedAt time.Time
	// sequence is the highest sequence number that it has reported since.
	sequence uint64
}

// replace removes an incarnation because another one has taken its place; the caller holds the lock.
func (r *Registry) replace(key string) {
	delete(r.live, key)
	delete(r.earlier, key)
	if r.hasEnded(Instance(key)) || r.wasReplaced(key) {
		return
	}
	r.replaced = append(r.replaced, replacedIncarnation{key: key})
	if extra := len(r.replaced) - maxPast; extra > 0 {
		r.replaced = slices.Delete(r.replaced, 0, extra)
	}
}

// wasReplaced reports whether another incarnation has taken an incarnation's place; the caller holds the lock.
func (r *Registry) wasReplaced(key string) bool {
	return slices.ContainsFunc(r.replaced, func(i replacedIncarnation) bool { return i.key == key })
}

// claim applies a report of an incarnation in whose place there is another one; the caller holds the lock.
//
// Invariant: a report of draining or leaving succeeds only if no incarnation of the name takes requests after it. If requests for
// another one of the address reach the endpoint, it rejects them by the name.
func (r *Registry) claim(b Heartbeat) error {
	key := b.Key()
	if b.Draining && !r.hasActiveNamesake(b) {
		r.replaceNamesakes(b)
		r.endUnknown(key)
		return nil
	}
	if !b.Draining && r.namesakeLeft(b) {
		return r.ignore(b, "namesake_left")
	}
	if !r.proveClaim(b) {
		return r.ignore(b, "replaced")
	}
	if b.Draining {
		r.replaceNamesakes(b)
		r.endUnknown(key)
		return nil
	}
	r.update(b)
	return nil
}

// proveClaim records a report of an incarnation in whose place there is another one, and returns whether it is the one that runs: it
// has kept reporting for takeoverTime while the other one was silent. The caller holds the lock.
func (r *Registry) proveClaim(b Heartbeat) bool {
	r.replace(b.Key())
	i := slices.IndexFunc(r.replaced, func(i replacedIncarnation) bool { return i.key == b.Key() })
	c, now := &r.replaced[i], r.clock()
	if b.Sequence > 0 && b.Sequence <= c.sequence {
		// A late one.
		return false
	}
	c.sequence = max(c.sequence, b.Sequence)
	if c.claimedAt.IsZero() || c.claimedAt.Before(r.lastReport(b)) {
		c.claimedAt = now
	}
	return now.Sub(c.claimedAt) >= takeoverTime && r.recovered
}

// replaceNamesakes removes the other incarnations of the heartbeat's name that do not drain; the caller holds the lock.
func (r *Registry) replaceNamesakes(b Heartbeat) {
	for key, e := range r.live {
		if name, _ := Instance(key); name == b.Instance && key != b.Key() && !e.Draining {
			r.replace(key)
		}
	}
	for key := range r.earlier {
		if name, _ := Instance(key); name == b.Instance && key != b.Key() {
			r.replace(key)
		}
	}
}

// ignore logs a report that changes nothing, or nothing yet. One of draining is not to be acknowledged then. The caller holds the
// lock.
func (r *Registry) ignore(b Heartbeat, reason string) error {
	r.logIgnored(b, reason)
	if b.Draining {
		return fault.New(fault.Unavailable, b.Key(), "another incarnation of the endpoint may be the one that runs")
	}
	return nil
}

// lastReport returns when another incarnation of the heartbeat's name or address last reported to this run, the zero time
// if none has; the caller holds the lock.
func (r *Registry) lastReport(b Heartbeat) (last time.Time) {
	for key, e := range r.live {
		name, _ := Instance(key)
		if (name == b.Instance || e.Value.Address == b.Address) && e.ReportedAt.After(last) {
			last = e.ReportedAt
		}
	}
	return last
}

// past returns what later runs of the node have to know of earlier incarnations; the caller holds the lock.
func (r *Registry) past() table.PastIncarnations {
	var p table.PastIncarnations
	for _, e := range r.ended {
		p.Ended = append(p.Ended, e.key)
	}
	for _, i := range r.replaced {
		p.Replaced = append(p.Replaced, i.key)
	}
	return p
}
