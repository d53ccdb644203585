package registry

import "time"

// Leave records that an endpoint is leaving for good; it may finish its in-flight requests. If born is 0, the report applies to the
// current incarnation of that name. It returns Unavailable if another incarnation of the name may be the one that runs.
func (r *Registry) Leave(now time.Time, instance string, born int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := false
	for key, e := range r.live {
		if name, at := Instance(key); name == instance && (born == 0 || at == born) {
			r.markDraining(e)
			found = true
		}
	}
	for key, a := range r.earlier {
		if name, at := Instance(key); name == instance && (born == 0 || at == born) {
			r.markDraining(Endpoint{Entry: entryOf(a)})
			found = true
		}
	}
	// An endpoint that this process doesn't know yet must not be added later by a heartbeat that was still on its way.
	switch {
	case found || born > 0 && r.hasEnded(instance, born):
	case born > 0:
		return r.claim(Heartbeat{Instance: instance, Born: born, Draining: true})
	default:
		r.endUnknown(Key(instance, now.UnixMilli()))
	}
	return nil
}
