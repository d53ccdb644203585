package ingress

import (
	"sync"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/retry"
)

// refusals tracks the share of refusals of one service, with its lock.
type refusals struct {
	mu sync.Mutex
	retry.Refusals
}

// refusals returns the tracker of a service's refusals.
func (g *Ingress) refusals(service string) *refusals {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.refusalsByService[service]
	if r == nil {
		r = new(refusals)
		g.refusalsByService[service] = r
	}
	return r
}

// decide reports whether another attempt may follow one.
func (r *refusals) decide(a retry.Attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Decide(a)
}

// record records how a request ended, if that tells whether the service has capacity. A request counts once, however
// many endpoints refused it: counted by attempt, one full queue made the whole service count as refusing, and requests
// that other endpoints would have served were refused.
func (r *refusals) record(end *peerpb.End) {
	refused := egressFull(end) || fault.Code(end.GetCode()) == fault.EndpointShed
	if !refused && end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Record(refused)
}

// refusing reports whether the service refuses most of its work.
func (r *refusals) refusing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Refusing()
}
