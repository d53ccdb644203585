package egress

import (
	"context"
	"time"

	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// observeHall takes it that the endpoints beside this node may have turned cold while their hall was evacuated.
func (e *Egress) observeHall(s *table.State) {
	evacuated := s.Evacuated(e.cfg.Hall)
	if e.evacuated.Swap(evacuated) || evacuated {
		now := e.clock()
		e.hallDoubt.Store(&now)
		for _, l := range e.all() {
			l.mayBeCold()
		}
	}
}

// all returns the endpoints that have had work.
func (e *Egress) all() []*local {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*local, 0, len(e.locals))
	for _, l := range e.locals {
		out = append(out, l)
	}
	return out
}

// admitCold lets a request that holds a slot pass the endpoint's door while that is cold, or may be, and returns when, or the refusal. One
// that waits for a slot waits for its turn here too, as long as its answer can still be in time.
func (e *Egress) admitCold(ctx context.Context, l *local, d *peerpb.Dispatch) (admitted time.Time, end *peerpb.End) {
	until := time.Now().Add(aimLeft(d) - l.expected(d))
	mayWait := d.GetExchange() == 0 || d.GetWait()
	for {
		e.hear(l)
		admitted, ok, wait := l.admitCold()
		if ok {
			return admitted, nil
		}
		if !mayWait || time.Now().Add(wait).After(until) {
			return admitted, peer.NotRun(fault.Cold, wait)
		}
		select {
		case <-ctx.Done():
			return admitted, peer.NotRun(fault.DeadlineTooShort, shortRetryAfter)
		case <-time.After(wait):
		}
	}
}

// hear brings the endpoint's latest word of whether it is cold to its door.
func (e *Egress) hear(l *local) {
	if e.announced == nil {
		l.saysNothing()
		return
	}
	if r, ok := e.announced.Endpoint(l.key); ok && !r.ReportedAt.IsZero() {
		l.told(r.ReportedAt, r.ColdUntil)
	}
}

// told takes the endpoint's word of a time, until when it is cold.
func (l *local) told(at, coldUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.Report(at, coldUntil)
	l.spoke = true
}

// saysNothing takes an endpoint that does not announce itself as cold for the service's time from when it began.
func (l *local) saysNothing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.Report(l.clock(), l.coldTill)
}

// admitCold lets a request pass the door now, else tells when to come back.
func (l *local) admitCold() (now time.Time, ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.clock()
	ok, wait = l.cold.Admit(now)
	return now, ok, wait
}

// notSent gives back the admission of a request that did not reach the endpoint.
func (l *local) notSent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.Refund(l.clock())
}

// mayBeCold takes it that the endpoint may have turned cold.
func (l *local) mayBeCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.cold.MarkPossiblyCold(now)
	l.coldTill = now.Add(l.warmup)
}

// coldMicros is how much longer the endpoint is cold by its own word, nil where it has said nothing; the lock is held.
func (l *local) coldMicros() *int64 {
	if !l.spoke {
		return nil
	}
	micros := l.cold.ColdRemaining(l.clock()).Microseconds()
	return &micros
}
