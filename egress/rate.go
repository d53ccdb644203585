package egress

import (
	"context"
	"math"
	"time"

	"github.com/lynxplank/lynxplank/coldstart"
	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/events"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/maxrate"
	"github.com/lynxplank/lynxplank/peer"
)

// rateAdmission is the admission of a request by the limits of its endpoint's rate.
type rateAdmission struct {
	// at is when the request may be sent, at the latest coldstart.MaxSendDelay after that.
	at time.Time
	// version is the version of the stated limit that admitted it.
	version uint64
	// changed is closed when another version replaces it.
	changed <-chan struct{}
}

// lapsed reports whether it is too late to send the request.
func (a rateAdmission) lapsed(now time.Time) bool { return now.Sub(a.at) > coldstart.MaxSendDelay }

// waitForRate passes a request that holds a slot through the limits of the endpoint's rate: the rate that the endpoint
// states, and that of a cold endpoint. A request that may wait for a slot may wait here too, as long as its answer can
// still be in time and until Close.
func (e *Egress) waitForRate(ctx context.Context, l *localEndpoint, d *peerpb.Dispatch) (rateAdmission, *peerpb.End) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.closeCtx, cancel)()
	latest := l.latestSend(d)
	for {
		e.updateColdReport(l)
		a, retry, end := l.reserveRate(d, latest)
		if end == nil {
			if !sleep(ctx, a.at.Sub(l.clock()), a.changed) {
				l.returnRate(a)
				return a, e.waitEnded()
			}
			if retry, end = l.claimRate(a); end == nil {
				return a, nil
			}
		}
		if l.clock().Add(retry).After(latest) {
			return a, end
		}
		if !sleep(ctx, retry, a.changed) {
			return a, e.waitEnded()
		}
	}
}

// waitEnded is the refusal of a request whose wait ended before its time came.
func (e *Egress) waitEnded() *peerpb.End {
	if e.closeCtx.Err() != nil {
		return peer.NotRun(fault.Draining, drainRetryAfter)
	}
	return peer.NotRun(fault.DeadlineTooShort, shortRetryAfter)
}

// sleep waits for d, or until changed is closed, and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration, changed <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-time.After(d):
	}
	return ctx.Err() == nil
}

// latestSend returns until when a request may wait before it is sent: not at all, unless it may wait for a slot.
func (l *localEndpoint) latestSend(d *peerpb.Dispatch) time.Time {
	now := l.clock()
	if mayNotWait(d) {
		return now
	}
	left := latencyTarget(d)
	if l.isNested(d) {
		left = timeBudget(d)
	}
	expected, _ := l.expectedDurations(d)
	return now.Add(max(0, left-expected))
}

// reserveRate reserves the earliest time at which the stated rate allows the request. Otherwise it returns the refusal and
// when to ask again.
func (l *localEndpoint) reserveRate(d *peerpb.Dispatch, latest time.Time) (a rateAdmission, retry time.Duration, end *peerpb.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	at, retryAfter, ok := l.maxRate.Reserve(now, later(now, latest), d.GetRepeatable())
	a = rateAdmission{at: at, version: l.maxRate.Version(), changed: l.rateChanged}
	if ok {
		return a, 0, nil
	}
	return a, retryAfter, l.rateRefusal(d, retryAfter)
}

// rateRefusal returns the refusal of a request that the limiter does not admit; the lock must be held. While the endpoint is
// not known to state a rate, it is as if it had no free slot, now or in time.
func (l *localEndpoint) rateRefusal(d *peerpb.Dispatch, retryAfter time.Duration) *peerpb.End {
	code := fault.MaxRate
	if _, limited := l.maxRate.Limit(); !limited {
		code = fault.DeadlineTooShort
		if mayNotWait(d) {
			code = fault.Busy
		}
	}
	return peer.NotRun(code, max(retryAfter, shortRetryAfter))
}

// mayNotWait reports whether a request is refused at once if it can't be sent.
func mayNotWait(d *peerpb.Dispatch) bool { return d.GetExchange() != 0 && !d.GetWait() }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// claimRate confirms a reservation whose time has come and passes the request through the cold-start limiter. On a
// refusal it returns the reservation; retry is when to ask again.
func (l *localEndpoint) claimRate(a rateAdmission) (retry time.Duration, end *peerpb.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if a.version != l.maxRate.Version() || a.lapsed(now) {
		l.maxRate.Refund(now, a.at, a.version)
		return 0, peer.NotRun(fault.MaxRate, shortRetryAfter)
	}
	ok, wait := l.coldLimiter.Admit(now)
	if !ok {
		l.maxRate.Refund(now, a.at, a.version)
		return wait, peer.NotRun(fault.Cold, wait)
	}
	if !l.maxRate.IsOpen(now) {
		l.refitQueue()
	}
	return 0, nil
}

// returnRate returns a reservation that was not claimed.
func (l *localEndpoint) returnRate(a rateAdmission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxRate.Refund(l.clock(), a.at, a.version)
	l.noteRateVersion()
}

// returnAdmission returns the admission of a request that did not reach the endpoint.
func (l *localEndpoint) returnAdmission(a rateAdmission) {
	l.returnRate(a)
	l.returnColdAdmission()
}

// refuseBeyondRate returns the refusal of a request that may not wait and that the stated rate does not admit now, nil for
// another one.
func (l *localEndpoint) refuseBeyondRate(d *peerpb.Dispatch) *peerpb.End {
	if !mayNotWait(d) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	wait := l.maxRate.Wait(now, l.queue.Waiting())
	if wait == 0 {
		return nil
	}
	return l.rateRefusal(d, max(wait, l.maxRate.Refuse(now)))
}

// applyRateToQueue fits the queue to the stated rate; the lock must be held.
//
// Only as many requests hold slots as the rate keeps running, and one that waits for the rate. All others wait in the
// queue, which shares the rate between customers as it shares slots.
func (l *localEndpoint) applyRateToQueue() {
	slots, pace := l.slots, l.maxRate.Pace()
	if pace > 0 {
		running := int(math.Ceil(float64(l.queue.TypicalServiceTime()) / float64(pace)))
		slots = min(slots, running+1)
	}
	if now := l.clock(); !l.maxRate.IsOpen(now) {
		slots = min(slots, l.maxRate.Concurrency(now))
	}
	l.queue.SetLimits(slots, l.maxWaiting)
	l.queue.SetPace(pace)
}

// noteRateVersion fits the queue to another version of the limit, if there is one, and wakes the requests that wait for an
// admission; the lock must be held.
func (l *localEndpoint) noteRateVersion() {
	if l.rateVersion == l.maxRate.Version() {
		return
	}
	l.rateVersion = l.maxRate.Version()
	close(l.rateChanged)
	l.rateChanged = make(chan struct{})
	l.refitQueue()
}

// refitQueue applies the limit to the queue and starts what waits there for it; the lock must be held.
func (l *localEndpoint) refitQueue() {
	l.applyRateToQueue()
	now := time.Now()
	l.deliver(l.queue.Fill(now))
	l.scheduleQueueCheck(now)
}

// refusedForRate replaces the refusal of a request that found no slot because others wait there for the stated rate.
func (l *localEndpoint) refusedForRate(end *peerpb.End) *peerpb.End {
	switch fault.Code(end.GetCode()) {
	case fault.Busy, fault.Overloaded, fault.DeadlineTooShort:
	default:
		return end
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	if _, limited := l.maxRate.Limit(); !limited || l.maxRate.Wait(now, 0) == 0 {
		return end
	}
	return peer.NotRun(fault.MaxRate, l.maxRate.Refuse(now))
}

// unknownStatementAge is the age of a statement of which a sender does not tell the age: longer than any counts as recent.
const unknownStatementAge = time.Minute

// adoptRate applies what the endpoint stated to the sender of a request, if this process has not heard of it.
func (e *Egress) adoptRate(l *localEndpoint, d *peerpb.Dispatch) {
	if d.MaxRate == nil && d.StatementAgeMicros == nil {
		return
	}
	l.mu.Lock()
	change := maxrate.NoChange
	if !l.maxRate.Answered() {
		change = e.adoptStatement(l, d)
	}
	l.mu.Unlock()
	e.logRateChange(l, change, d.GetMaxRate(), rateFromSender)
}

// adoptStatement applies what the endpoint stated to the sender of a request; the endpoint's lock must be held.
func (e *Egress) adoptStatement(l *localEndpoint, d *peerpb.Dispatch) maxrate.Change {
	age := unknownStatementAge
	if d.StatementAgeMicros != nil {
		age = max(0, time.Duration(d.GetStatementAgeMicros())*time.Microsecond) + e.receiptDelay()
	}
	s := maxrate.Statement{Kind: maxrate.Absent}
	if d.MaxRate != nil {
		s = maxrate.Statement{Kind: maxrate.Stated, Rate: d.GetMaxRate()}
	}
	now := l.clock()
	change := l.maxRate.Adopt(now, now.Add(-age), s)
	l.noteRateVersion()
	return change
}

// noteMaxRate applies what an answer states of the endpoint's rate.
func (e *Egress) noteMaxRate(l *localEndpoint, sentAt time.Time, a contract.Answer) {
	// A refusal without a statement says nothing.
	if !a.FromEndpoint() || a.NotRun && a.MaxRate.Kind == maxrate.Absent {
		return
	}
	if a.MaxRate.Kind == maxrate.Malformed {
		if l.badRateLogged.CompareAndSwap(false, true) {
			events.BadMaxRate.Log(e.log).Str("endpoint", l.key).Send()
		}
	}
	l.mu.Lock()
	change := l.maxRate.Observe(sentAt, l.clock(), a.MaxRate)
	l.noteRateVersion()
	l.mu.Unlock()
	e.logRateChange(l, change, a.MaxRate.Rate, rateFromAnswer)
}

// The sources of a stated rate in the log.
const (
	rateFromAnswer = "answer"
	rateFromSender = "sender"
)

// logRateChange logs that the rate which an endpoint states begins, changes or ends.
func (e *Egress) logRateChange(l *localEndpoint, change maxrate.Change, rate float64, source string) {
	if change == maxrate.NoChange {
		return
	}
	events.MaxRateChanged.Log(e.log).Str("endpoint", l.key).Str("service", l.serviceName()).Stringer("change", change).Float64("max_rate", rate).
		Str("source", source).Send()
}

// maxRateStatus returns what operators are shown of the stated rate; ok is false while there is none.
func (l *localEndpoint) maxRateStatus() (s maxrate.Status, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxRate.Status()
}

// maxRateReport returns what senders learn of the stated rate, nil if there is none; the lock must be held.
func (l *localEndpoint) maxRateReport() *peerpb.MaxRate {
	s, ok := l.maxRate.Status()
	if !ok {
		return nil
	}
	return &peerpb.MaxRate{
		Rate: s.Rate, WaitMicros: l.maxRate.Wait(l.clock(), l.queue.Waiting()).Microseconds(),
		SinceMillis: s.Since.UnixMilli(), Refused: s.Refused, Delayed: s.Delayed,
	}
}

// statementAge returns how long ago the endpoint last said which rate it takes, or that it takes any, nil if that is not
// known; the lock must be held.
func (l *localEndpoint) statementAge() *int64 {
	at, ok := l.maxRate.StatedAt()
	if !ok {
		return nil
	}
	micros := max(0, l.clock().Sub(at)).Microseconds()
	return &micros
}

// NoteEarlierLife applies what a peer knows of the life of this node before its present one: how long ago it first heard of
// it, 0 if it knows of none.
func (e *Egress) NoteEarlierLife(heardAgo time.Duration) {
	at := time.Time{}
	if heardAgo > 0 {
		at = e.clock().Add(-heardAgo)
	}
	e.updateLife(func(life maxrate.Life) maxrate.Life { return life.WithEarlier(at) })
}

// updateLife replaces what is known of the starts of this node.
func (e *Egress) updateLife(update func(maxrate.Life) maxrate.Life) {
	e.mu.Lock()
	e.life = update(e.life)
	life := e.life
	e.mu.Unlock()
	for _, l := range e.allEndpoints() {
		l.mu.Lock()
		l.maxRate.SetLife(life)
		l.noteRateVersion()
		l.mu.Unlock()
	}
}

// observeLife applies what a snapshot shows of earlier lives of this node.
func (e *Egress) observeLife(snap *configsync.Snapshot) {
	if !snap.Ready {
		return
	}
	// What peers pass on may be what this process has published itself.
	e.mu.Lock()
	first := snap.HostsRead && !e.recordChecked
	e.recordChecked = e.recordChecked || first
	e.mu.Unlock()
	// This process may have announced itself already.
	if stored := snap.StoredAnnouncement; first && (stored.Version == 0 || stored.Incarnation == e.cfg.Incarnation) {
		e.updateLife(maxrate.Life.WithoutRecord)
	}
	if len(snap.Hosts) <= 1 {
		// No peer could tell of an earlier life.
		e.NoteEarlierLife(0)
	}
}
