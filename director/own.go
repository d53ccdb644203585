package director

import (
	"math/rand/v2"
	"time"

	"github.com/lynxplank/lynxplank/balance"
	"github.com/lynxplank/lynxplank/eject"
)

const (
	// ownShare is the part of its slots up to which the endpoint beside this node is preferred: it is full for none but this
	// node's own callers, and beyond it the others' slots are as good.
	ownShare = 0.5
	// ownSuccess is the least recent share of good answers for that: one failure costs it the preference until seven answers or so
	// have been good.
	ownSuccess = 0.95
	// ownSlowdown is by how much it may be slower than the service is usually.
	ownSlowdown = 1.5
	// drawnShare is the part of the requests that are drawn among all the same, so that the others' evidence stays fresh and a new
	// endpoint gets work from other nodes.
	drawnShare = 0.125
)

// ownFirst returns the place in the field of the endpoint beside this node if that is as good as any: no link carries the
// request, nobody has to be asked for a slot, and what this node knows of it is the truth. It returns -1 for none.
func (d *Director) ownFirst(v *view, f field, w PickOptions) int {
	if w.ShortestWait || rand.Float64() < drawnShare { //nolint:gosec // a draw, no secret
		return -1
	}
	for n, i := range f.from {
		if e := &v.entries[i]; e.endpoint.Value.Host == d.cfg.Host && d.cfg.Host != "" && v.good(e, f.candidates[n]) {
			return n
		}
	}
	return -1
}

// good tells whether the endpoint beside this node may be preferred.
func (v *view) good(e *entry, c balance.Candidate) bool {
	full := float64(e.endpoint.Value.Weight) * float64(e.endpoint.Value.Slots)
	return e.verdict.Phase == eject.Serving && !c.Suspect && c.Weight >= full &&
		float64(c.Outstanding) < ownShare*float64(c.Slots) && c.SuccessRate >= ownSuccess &&
		(!v.marks.Known || c.Latency <= time.Duration(ownSlowdown*float64(v.marks.Median)))
}
