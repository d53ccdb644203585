package egress

import (
	"time"

	"github.com/lynxplank/lynxplank/table"
)

// observeHall records that the endpoints beside this node may have become cold while their hall was evacuated.
func (e *Egress) observeHall(s *table.State) {
	evacuated := s.Evacuated(e.cfg.Hall)
	if e.evacuated.Swap(evacuated) || evacuated {
		now := e.clock()
		e.hallEvacuatedAt.Store(&now)
		for _, l := range e.allEndpoints() {
			l.notePossiblyCold()
		}
	}
}

// allEndpoints returns the endpoints known so far.
func (e *Egress) allEndpoints() []*localEndpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*localEndpoint, 0, len(e.endpoints))
	for _, l := range e.endpoints {
		out = append(out, l)
	}
	return out
}

// updateColdReport passes the endpoint's latest report on whether it is cold to its cold-start limiter.
func (e *Egress) updateColdReport(l *localEndpoint) {
	if e.announced == nil {
		l.assumeWarmup()
		return
	}
	if r, ok := e.announced.Endpoint(l.key); ok && !r.ReportedAt.IsZero() {
		l.noteColdReport(r.ReportedAt, r.ColdUntil)
	}
}

// noteColdReport records the endpoint's report, made at the time at, that it is cold until coldUntil.
func (l *localEndpoint) noteColdReport(at, coldUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldLimiter.Report(at, coldUntil)
	l.reportsCold = true
}

// assumeWarmup treats an endpoint that does not announce itself as cold for its service's warm-up time, counted from
// its start.
func (l *localEndpoint) assumeWarmup() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldLimiter.Report(l.clock(), l.coldUntil)
}

// returnColdAdmission returns the admission of a request that did not reach the endpoint.
func (l *localEndpoint) returnColdAdmission() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldLimiter.Refund(l.clock())
}

// notePossiblyCold records that the endpoint may have become cold.
func (l *localEndpoint) notePossiblyCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.coldLimiter.MarkPossiblyCold(now)
	l.coldUntil = now.Add(l.warmup)
}

// coldMicros is how much longer the endpoint is cold by its own report, nil if it has not reported; the lock must be
// held.
func (l *localEndpoint) coldMicros() *int64 {
	if !l.reportsCold {
		return nil
	}
	micros := l.coldLimiter.ColdRemaining(l.clock()).Microseconds()
	return &micros
}
