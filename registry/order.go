package registry

import (
	"slices"
	"time"
)

// maxLateness is the time by which a heartbeat may be late. Start times do not order two incarnations, since the time of day may have
// been set back between them. But an incarnation of which this run first hears after another one has been known for so long is the
// later one.
const maxLateness = 10 * time.Second

// endedIncarnation is an incarnation that drained or left and is not current any more.
type endedIncarnation struct {
	key string
	// knownSince is when this run first heard of it, a reading of the registry's clock. reported is set if it reported its end to
	// this run, which may be later than what the store holds.
	knownSince time.Time
	reported   bool
}

// hasEnded reports whether an incarnation is known to have ended. Without a start time the incarnations of a name cannot be told
// apart. The caller holds the lock.
func (r *Registry) hasEnded(instance string, born int64) bool {
	return slices.ContainsFunc(r.ended, func(e endedIncarnation) bool {
		name, at := Instance(e.key)
		return name == instance && (at == born || born == 0)
	})
}

// lacksStartTime reports whether a heartbeat names no start time though incarnations of its name have one: it is not the endpoint's
// own. The caller holds the lock.
func (r *Registry) lacksStartTime(b Heartbeat) bool {
	if b.Born > 0 {
		return false
	}
	for key := range r.live {
		if name, born := Instance(key); name == b.Instance && born > 0 {
			return true
		}
	}
	return false
}

// isDoubtful reports whether an unknown incarnation may be an earlier one than another that has its name or address, its heartbeat a
// late one: the other one has a later start time, or it has that name and drains or has ended, so that requests for the unknown one
// would reach it. The caller holds the lock.
func (r *Registry) isDoubtful(b Heartbeat) bool {
	if _, stored := r.earlier[b.Key()]; stored || b.Born == 0 {
		return false
	}
	now := r.clock()
	for key, e := range r.live {
		name, born := Instance(key)
		if born > b.Born && isRecent(now, e.knownSince) && (name == b.Instance || e.Value.Address == b.Address) {
			return true
		}
	}
	return r.namesakeLeft(b)
}

// namesakeLeft reports whether another incarnation of the heartbeat's name drains or has ended, and may be the one that runs; the
// caller holds the lock.
func (r *Registry) namesakeLeft(b Heartbeat) bool {
	now, key := r.clock(), b.Key()
	for other, e := range r.live {
		if name, _ := Instance(other); name == b.Instance && other != key && e.Draining && isRecent(now, e.knownSince) {
			return true
		}
	}
	return slices.ContainsFunc(r.ended, func(e endedIncarnation) bool {
		name, _ := Instance(e.key)
		return name == b.Instance && e.key != key && isRecent(now, e.knownSince)
	})
}

// isRecent reports whether a heartbeat that was sent before a time may still arrive.
func isRecent(now, knownSince time.Time) bool { return now.Sub(knownSince) < maxLateness }

// hasActiveNamesake reports whether another incarnation of a name takes new requests; the caller holds the lock.
func (r *Registry) hasActiveNamesake(b Heartbeat) bool {
	for key, e := range r.live {
		if name, _ := Instance(key); name == b.Instance && key != b.Key() && !e.Draining {
			return true
		}
	}
	return false
}

// hasActiveRival reports whether another incarnation of the heartbeat's name or address takes new requests; the caller holds the
// lock.
func (r *Registry) hasActiveRival(b Heartbeat) bool {
	for key, e := range r.live {
		name, _ := Instance(key)
		if key != b.Key() && !e.Draining && (name == b.Instance || e.Value.Address == b.Address) {
			return true
		}
	}
	return false
}

// end removes an incarnation for good: its later heartbeats are ignored. It reports whether that is news; the caller holds
// the lock.
func (r *Registry) end(key string) bool {
	next := endedIncarnation{key: key, knownSince: r.clock()}
	if e, ok := r.live[key]; ok {
		next.knownSince, next.reported = e.knownSince, !e.ReportedAt.IsZero()
	}
	delete(r.live, key)
	delete(r.earlier, key)
	if slices.ContainsFunc(r.ended, func(e endedIncarnation) bool { return e.key == key }) {
		return false
	}
	r.ended = append(r.ended, next)
	r.replaced = slices.DeleteFunc(r.replaced, func(i replacedIncarnation) bool { return r.hasEnded(Instance(i.key)) })
	if extra := len(r.ended) - maxPast; extra > 0 {
		r.ended = slices.Delete(r.ended, 0, extra)
	}
	return true
}

// endUnknown ends an incarnation that has reported its end and was never current here, and passes that on; the caller holds the lock.
func (r *Registry) endUnknown(key string) {
	if r.end(key) {
		r.ended[len(r.ended)-1].reported = true
		r.notify()
	}
}

// namesakeReported reports whether an incarnation of a name has reported to this run that it drains or leaves; the caller holds the
// lock.
func (r *Registry) namesakeReported(instance string) bool {
	for key, e := range r.live {
		if name, _ := Instance(key); name == instance && e.Draining && !e.ReportedAt.IsZero() {
			return true
		}
	}
	return slices.ContainsFunc(r.ended, func(e endedIncarnation) bool {
		name, _ := Instance(e.key)
		return name == instance && e.reported
	})
}
