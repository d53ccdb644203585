package registry

import (
	"slices"
	"time"

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

// claim applies a heartbeat of an incarnation that another one has replaced; the caller holds the lock.
func (r *Registry) claim(b Heartbeat) {
	if b.Draining {
		r.endUnknown(b.Key())
		return
	}
	i := slices.IndexFunc(r.replaced, func(i replacedIncarnation) bool { return i.key == b.Key() })
	now, claimedAt := r.clock(), r.replaced[i].claimedAt
	if claimedAt.IsZero() || claimedAt.Before(r.lastReport(b)) {
		r.replaced[i].claimedAt = now
		claimedAt = now
	}
	if now.Sub(claimedAt) < takeoverTime || !r.recovered {
		r.logIgnored(b, "replaced")
		return
	}
	r.update(b)
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
	p := table.PastIncarnations{Ended: slices.Clone(r.ended)}
	for _, i := range r.replaced {
		p.Replaced = append(p.Replaced, i.key)
	}
	return p
}
