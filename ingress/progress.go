package ingress

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/shutdown"
)

// Stage is how far a request has come.
type Stage string

// The stages.
const (
	// StageWaiting is a request that no endpoint has: an endpoint is being picked or asked for a slot, or a retry may
	// follow.
	StageWaiting Stage = "waiting"
	// StageRunning is a request that an endpoint may be working on.
	StageRunning Stage = "running"
	// StageAnswering is a request whose answer has begun to go to its caller.
	StageAnswering Stage = "answering"
)

// Request describes an in-flight request of this node.
type Request struct {
	// ID is the id that the caller or the node gave the request.
	ID string
	// Stage is how far the request has come, Endpoint the endpoint that had it last, "" for none.
	Stage    Stage
	Endpoint string
	// ReadAt is when the request was read, Age the time since then.
	ReadAt time.Time
	Age    time.Duration
}

// progress tracks how far one request has come, for a planned stop of the node.
//
// Invariant: once it is closed, the request is dispatched to no endpoint, unless a run of it is cut off later: it is then open
// again for as long as a dispatch makes sense.
type progress struct {
	mu sync.Mutex
	// running counts the sends that endpoints may be working on, dispatches all that have begun.
	running    int
	dispatches int
	// atWork are the running sends that have not given up their slots.
	atWork    map[*answer]struct{}
	answering bool
	endpoint  string
	closed    bool
	// stop is the schedule of the node's planned stop, nil for none; typicalWork returns how long such work takes.
	stop        *shutdown.Schedule
	typicalWork func() time.Duration
	// stopAt is when the node may end, the zero time while it is not stopping; work is how long such work takes. closeTimer
	// wakes the request when no dispatch makes sense any more.
	stopAt     time.Time
	work       time.Duration
	closeTimer *time.Timer
	// hasAnswer is set once a send has ended with a whole answer that is held because a better one may follow, settled once the
	// caller does not wait for that any more.
	hasAnswer bool
	settled   bool
	// mayResend reports whether the request may be dispatched again after so many dispatches; nil for one that may not be
	// repeated. hasTime reports whether it has the time for that.
	mayResend func(dispatches int) bool
	hasTime   func() bool
	// interrupted is set once this system has ended a send at which an endpoint may have been working.
	interrupted bool
	// yieldedAt is when a send last gave up its slot, the zero time if none did.
	yieldedAt time.Time
	// cancelWaits cancels the waits that may end early, by send; the key is nil for the pick of an endpoint.
	cancelWaits map[*answer]context.CancelFunc
	// cancelRecoveries cancels the wait for answers that can be asked for again: those under a key, and those whose
	// links broke.
	cancelRecoveries map[*answer]context.CancelFunc
}

// untilDispatch returns a context for a send, or for the pick of an endpoint, that close cancels unless the send was
// dispatched before. done must be called.
func (p *progress) untilDispatch(ctx context.Context, send *answer) (waiting context.Context, done func()) {
	waiting, cancel := context.WithCancel(ctx)
	p.lock()
	defer p.mu.Unlock()
	if p.closed {
		cancel()
	}
	addCancel(&p.cancelWaits, send, cancel)
	return waiting, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		cancel()
		delete(p.cancelWaits, send)
	}
}

// whileRecoverable returns a context for a send whose answer can be asked for again; abandonRecoverable cancels it.
// done must be called.
func (p *progress) whileRecoverable(ctx context.Context, send *answer) (recoverable context.Context, done func()) {
	recoverable, cancel := context.WithCancel(ctx)
	p.lock()
	defer p.mu.Unlock()
	if p.settled {
		cancel()
	}
	addCancel(&p.cancelRecoveries, send, cancel)
	return recoverable, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		cancel()
		delete(p.cancelRecoveries, send)
	}
}

func addCancel(m *map[*answer]context.CancelFunc, send *answer, cancel context.CancelFunc) {
	if *m == nil {
		*m = make(map[*answer]context.CancelFunc)
	}
	(*m)[send] = cancel
}

// beginDispatch records that a send is about to be dispatched and reports whether that is allowed.
func (p *progress) beginDispatch(send *answer) bool {
	p.lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	delete(p.cancelWaits, send)
	p.running++
	p.dispatches++
	p.endpoint = send.endpoint
	if p.atWork == nil {
		p.atWork = make(map[*answer]struct{})
	}
	p.atWork[send] = struct{}{}
	return true
}

// yield cancels a dispatched send for another request that needs its slot, unless an answer has begun to arrive, the node
// stops, or the request could not be served without this send.
//
// Invariant: no request ends because a send gave up its slot. A stop signal may have been sent that the process has not
// noticed yet, and a stopping node must cut off no request that an endpoint works on. So another send is at work, or the
// request is dispatched again as soon as a slot is found.
//
// Invariant: of yield and receive, only the first call for a send has an effect, so that no answer that has begun is cut.
func (p *progress) yield(send *answer) {
	p.lock()
	defer p.mu.Unlock()
	if _, ok := p.atWork[send]; !ok || p.isStopping() || p.answering || send.received || send.cancel == nil {
		return
	}
	if len(p.atWork) == 1 && (!p.resendable() || !p.hasTime()) {
		return
	}
	delete(p.atWork, send)
	send.yielded, p.interrupted, p.yieldedAt = true, true, time.Now()
	send.cancel()
}

// interrupt records that a send ended by a failure between this node and the endpoint, which may work on.
func (p *progress) interrupt() {
	p.lock()
	defer p.mu.Unlock()
	p.interrupted = true
	p.scheduleClose()
}

// wasInterrupted reports whether this system has ended a send at which an endpoint may have been working.
func (p *progress) wasInterrupted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.interrupted
}

// isUrgent reports whether the request must find another endpoint before its node ends.
func (p *progress) isUrgent() bool {
	p.lock()
	defer p.mu.Unlock()
	return p.interrupted && p.isStopping()
}

// isStopping reports whether the node stops; the lock must be held.
func (p *progress) isStopping() bool { return !p.stopAt.IsZero() }

// mayDispatchAgain reports whether the request may be dispatched once more.
func (p *progress) mayDispatchAgain() bool {
	p.lock()
	defer p.mu.Unlock()
	return p.resendable()
}

// resendable is mayDispatchAgain with the lock held.
func (p *progress) resendable() bool {
	return !p.closed && p.mayResend != nil && p.mayResend(p.dispatches)
}

// lastYield returns when a send last gave up its slot, the zero time if none did, and whether the node stops.
func (p *progress) lastYield() (at time.Time, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.yieldedAt, p.isStopping()
}

// receive records that the answer to a send begins to arrive; it returns false if the send was canceled for its slot.
func (p *progress) receive(send *answer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	send.received = true
	return !send.yielded
}

// gaveUpSlot reports whether a send was canceled for its slot.
func (p *progress) gaveUpSlot(send *answer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return send.yielded
}

// lock takes the lock and applies what the schedule says by now.
//
// Invariant: whoever decides by the state of a planned stop takes the lock with it. The timers, and the goroutine of the stop, may
// be late.
func (p *progress) lock() {
	p.mu.Lock()
	plan, begun := p.stop.Plan()
	if !begun {
		return
	}
	if !p.isStopping() {
		p.beginStopLocked(plan.GuaranteedEnd())
	}
	if !p.closed && !time.Now().Before(p.stop.DispatchEnd(plan, p.work, p.interrupted)) {
		p.closeLocked()
	}
	if !p.settled && p.stop.Settled() {
		p.settleLocked()
	}
}

// beginStop records that the node has begun to stop and may end at the given time.
func (p *progress) beginStop(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beginStopLocked(at)
}

func (p *progress) beginStopLocked(at time.Time) {
	p.stopAt, p.work = at, p.typicalWork()
	p.scheduleClose()
}

// scheduleClose has progress closed when too little time for a dispatch is left before the node may end, and opens it until
// then; the lock must be held.
func (p *progress) scheduleClose() {
	if !p.isStopping() {
		return
	}
	left := time.Until(shutdown.DispatchEnd(p.stopAt, p.work, p.interrupted))
	p.closed = false
	if left <= 0 {
		p.closeLocked()
		return
	}
	if p.closeTimer == nil {
		p.closeTimer = time.AfterFunc(left, p.close)
		return
	}
	p.closeTimer.Reset(left)
}

// end stops the timer of a request that has ended.
func (p *progress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closeTimer != nil {
		p.closeTimer.Stop()
	}
}

// endDispatch records that a dispatched send has ended.
func (p *progress) endDispatch(send *answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	delete(p.atWork, send)
}

// beginAnswer records that an answer begins to go to the caller.
func (p *progress) beginAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answering = true
}

// close prevents any dispatch of the request from now on and cancels its waits.
func (p *progress) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(shutdown.DispatchEnd(p.stopAt, p.work, p.interrupted)) {
		// A run was cut off since the timer fired.
		return
	}
	p.closeLocked()
}

func (p *progress) closeLocked() {
	p.closed = true
	for _, cancel := range p.cancelWaits {
		cancel()
	}
}

func (p *progress) isClosed() bool {
	p.lock()
	defer p.mu.Unlock()
	return p.closed
}

// holdAnswer records that a send has ended with a whole answer that is held because a better one may follow.
func (p *progress) holdAnswer() {
	p.lock()
	defer p.mu.Unlock()
	p.hasAnswer = true
	if p.settled {
		p.cancelOthers()
	}
}

// settle stops waiting, now and from now on, for what the caller need not wait for: answers that can be asked for again, or whose
// links broke, and a better answer than one that is held.
func (p *progress) settle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settleLocked()
}

func (p *progress) settleLocked() {
	p.settled = true
	if p.answering {
		return
	}
	p.closeLocked()
	for _, cancel := range p.cancelRecoveries {
		cancel()
	}
	if p.hasAnswer {
		p.cancelOthers()
	}
}

// cancelOthers cancels the sends at work whose answers have not begun to arrive; the lock must be held.
func (p *progress) cancelOthers() {
	for send := range p.atWork {
		if send.cancel != nil && !send.received {
			send.cancel()
		}
	}
}

// stage returns how far the request has come and the endpoint that had it last.
func (p *progress) stage() (Stage, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.answering:
		return StageAnswering, p.endpoint
	case p.running > 0:
		return StageRunning, p.endpoint
	}
	return StageWaiting, p.endpoint
}

// inFlightRequests holds the requests that are in flight.
type inFlightRequests struct {
	mu  sync.Mutex
	all map[*exchange]struct{}
	// nested counts those of them that are calls of a parent.
	nested nestedCalls
	// stopAt is when the node may end, the zero time while it is not stopping.
	stopAt time.Time
}

func (r *inFlightRequests) add(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all, r.nested = make(map[*exchange]struct{}), make(nestedCalls)
	}
	r.all[x] = struct{}{}
	if x.call.parent != "" {
		x.countedNested = r.nested.begin(x.call.parent)
		x.call.nested = x.countedNested
	}
	if !r.stopAt.IsZero() {
		x.progress.beginStop(r.stopAt)
	}
}

func (r *inFlightRequests) remove(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, x)
	if x.countedNested {
		r.nested.end(x.call.parent)
	}
	x.progress.end()
}

// StopDispatchBefore prepares for a planned stop; end is the earliest time at which the node may end. Shortly before
// that, each request that no endpoint has is refused as not run: work that is dispatched later would usually be cut off,
// and another node can still serve the request.
func (g *Ingress) StopDispatchBefore(end time.Time) {
	g.inFlight.mu.Lock()
	defer g.inFlight.mu.Unlock()
	g.inFlight.stopAt = end
	for x := range g.inFlight.all {
		x.progress.beginStop(end)
	}
}

// ApplyStop applies the bounds of the planned stop that have passed to all requests, for a process that did not run meanwhile.
func (g *Ingress) ApplyStop() {
	g.inFlight.mu.Lock()
	defer g.inFlight.mu.Unlock()
	for x := range g.inFlight.all {
		x.progress.lock()
		x.progress.mu.Unlock()
	}
}

// Settle gives callers, at once, every answer that does not depend on an endpoint at work: that the outcome is unknown, for
// requests whose work goes on when the node ends or whose link broke after the dispatch, and failed answers of endpoints that are
// held because another endpoint may give a better one.
func (g *Ingress) Settle() {
	g.inFlight.mu.Lock()
	defer g.inFlight.mu.Unlock()
	for x := range g.inFlight.all {
		x.progress.settle()
	}
}

// InFlight returns the in-flight requests, the oldest first.
func (g *Ingress) InFlight() []Request {
	g.inFlight.mu.Lock()
	defer g.inFlight.mu.Unlock()
	requests := make([]Request, 0, len(g.inFlight.all))
	for x := range g.inFlight.all {
		stage, endpoint := x.progress.stage()
		requests = append(requests, Request{ID: x.call.id, Stage: stage, Endpoint: endpoint, ReadAt: x.start, Age: time.Since(x.start)})
	}
	slices.SortFunc(requests, func(a, b Request) int { return cmp.Compare(b.Age, a.Age) })
	return requests
}
