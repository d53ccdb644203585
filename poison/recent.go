package poison

import "time"

// maxRecent bounds the fingerprints that a Recent remembers, some seconds of one endpoint's requests.
const maxRecent = 1024

// Recent remembers the fingerprints of requests that succeeded recently. A request that an endpoint ran successfully
// just before it crashed is no more suspect than any other. Recent does not lock: the caller serializes access.
type Recent struct {
	succeededAt map[Fingerprint]time.Time
	ring        [maxRecent]Fingerprint
	next        int
}

// NewRecent returns an empty Recent.
func NewRecent() *Recent { return &Recent{succeededAt: make(map[Fingerprint]time.Time, maxRecent)} }

// Add records that a request with this fingerprint succeeded.
func (r *Recent) Add(now time.Time, f Fingerprint) {
	if _, ok := r.succeededAt[f]; !ok {
		delete(r.succeededAt, r.ring[r.next])
		r.ring[r.next] = f
		r.next = (r.next + 1) % maxRecent
	}
	r.succeededAt[f] = now
}

// SucceededWithin reports whether a request with this fingerprint succeeded within the last d.
func (r *Recent) SucceededWithin(now time.Time, f Fingerprint, d time.Duration) bool {
	at, ok := r.succeededAt[f]
	return ok && now.Sub(at) <= d
}
