package virtual

import (
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/balance"
	"github.com/lynxplank/lynxplank/breaker"
)

// The values of director/suspect.go and ingress/suspect.go.
const (
	minLastResortChance = 0.6
	maxSuspectOffers    = 3
)

// asSuspect returns the endpoint as the load balancer sees a suspect; it is not Known without a report.
func (v *view) asSuspect(now time.Time) balance.Suspect {
	return balance.Suspect{Chance: v.chance, Room: v.room, Age: now.Sub(v.suspectAt), Busy: v.outstanding(now) >= slotsPerEndpoint}
}

// suspectSet holds suspects with a recent report, their indexes, and the unsuspected endpoints.
type suspectSet struct {
	suspects []balance.Suspect
	indexes  []int
	others   []balance.Candidate
}

// suspectsOf divides the endpoints that the request may use, as director/suspect.go does (part 6).
func (x *exchange) suspectsOf(exclude endpointSet) suspectSet {
	var set suspectSet
	for i := range x.n.views[x.service] {
		v := &x.n.views[x.service][i]
		s := v.asSuspect(x.now)
		switch {
		case exclude.has(i):
		case s.Known():
			set.suspects, set.indexes = append(set.suspects, s), append(set.indexes, i)
		case v.suspectAt.IsZero():
			set.others = append(set.others, v.candidate(x.now))
		}
	}
	return set
}

// askSuspect offers the request to the likeliest suspect with room if it could not wait in a queue; false if there is
// none.
func (x *exchange) askSuspect() bool {
	if !x.Parts.SuspectRoom || x.suspectOffers >= maxSuspectOffers {
		return false
	}
	set := x.suspectsOf(x.tried)
	if balance.CanWait(set.others, max(x.target.Sub(x.now), time.Microsecond)) {
		return false
	}
	minChance := 0.0
	if !x.canary() {
		minChance = breaker.MinNonRepeatableChance
	}
	for i, index := range set.indexes {
		if x.declined.has(index) {
			set.suspects[i].Room = 0
		}
	}
	i := balance.LikeliestWithRoom(set.suspects, minChance, x.random)
	if i < 0 {
		return false
	}
	x.suspectOffers++
	x.send(x.servers[x.service][set.indexes[i]], false, false)
	return true
}

// hasSuspects reports whether a request that met a full queue could go to a suspect.
func (x *exchange) hasSuspects() bool {
	if !x.Parts.SuspectRoom {
		return x.suspects != 0
	}
	return slices.ContainsFunc(x.suspectsOf(x.tried).suspects, func(s balance.Suspect) bool { return !s.Busy })
}

// pickLast chooses a suspect for a last resort, nil if there is none.
func (x *exchange) pickLast() *server {
	exclude := x.tried | x.declined&^x.suspects
	if x.Parts.SuspectRoom {
		set, minChance := x.suspectsOf(exclude), minLastResortChance
		if x.class.repeatable {
			minChance = 0
		}
		if i := balance.Likeliest(set.suspects, minChance, x.random); i >= 0 {
			return x.servers[x.service][set.indexes[i]]
		}
		for _, i := range set.indexes {
			exclude = exclude.with(i)
		}
	}
	return x.n.pick(x, pickOptions{exclude: exclude, lastResort: true})
}
