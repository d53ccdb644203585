package poison

import "time"

// mostRecent bounds the contents that are remembered as having run well: some seconds of one endpoint's work.
const mostRecent = 1024

// Recent remembers the contents that ran well lately: what an endpoint ran to a good end just before it ended is no more suspect
// than any other. One goroutine owns it, or its owner locks it.
type Recent struct {
	at   map[Fingerprint]time.Time
	ring [mostRecent]Fingerprint
	next int
}

// NewRecent returns an empty memory.
func NewRecent() *Recent { return &Recent{at: make(map[Fingerprint]time.Time, mostRecent)} }

// Note notes that a content has run well.
func (r *Recent) Note(now time.Time, c Fingerprint) {
	if _, ok := r.at[c]; !ok {
		delete(r.at, r.ring[r.next])
		r.ring[r.next] = c
		r.next = (r.next + 1) % mostRecent
	}
	r.at[c] = now
}

// Within tells whether a content has run well within a time.
func (r *Recent) Within(now time.Time, c Fingerprint, d time.Duration) bool {
	at, ok := r.at[c]
	return ok && now.Sub(at) <= d
}
