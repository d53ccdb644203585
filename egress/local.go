package egress

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lynxplank/lynxplank/admission"
	"github.com/lynxplank/lynxplank/breaker"
	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/coldstart"
	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/latency"
	"github.com/lynxplank/lynxplank/maxrate"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/slotuse"
	"github.com/lynxplank/lynxplank/table"
	"github.com/lynxplank/lynxplank/upstream"
)

// localEndpoint is the runtime state of one endpoint beside this node.
type localEndpoint struct {
	key     string
	address atomic.Pointer[string]
	// draining is set once the endpoint itself has reported that it is draining, goneSinceDraining once it has refused
	// connections after that.
	draining          atomic.Bool
	goneSinceDraining atomic.Bool
	// answered is set once the endpoint has answered this process.
	answered atomic.Bool
	// finished counts the runs by which directors judge the endpoint, failed those of them that failed.
	finished atomic.Uint64
	failed   atomic.Uint64
	// reportedLoad is the load that the endpoint reported last.
	reportedLoad atomic.Pointer[contract.Load]

	// unread are the fields of its answers that no code reads.
	unread unreadFields

	contract contract.Contract
	pool     *upstream.Pool

	mu      sync.Mutex
	breaker *breaker.Breaker
	// monitor watches the in-flight requests; trials are those of them that are trials of the breaker.
	monitor breaker.InflightMonitor
	trials  trials
	// suspectRoom is the setting Config.SuspectRoom.
	suspectRoom bool
	// dueSinks are the sinks of in-flight requests whose senders asked to be told when an answer is due.
	dueSinks map[uint64]peer.Sink
	// openedByMonitor is set while the breaker is open because of in-flight requests alone.
	openedByMonitor bool
	// evaluationTimer runs the evaluations of the in-flight monitor; nil before the first request.
	evaluationTimer *time.Timer
	// loggedState is the breaker's state as it was last logged.
	loggedState breaker.State
	queue       *admission.Queue
	slots       int
	maxWaiting  int
	// stalls are the runs that wait for their callers to read, those that have waited longest first.
	stalls []stall
	// latencies are the service times of the requests that ended well.
	latencies *latency.Models
	// retryBudget is the endpoint's share of the fleet's retry budget; retryRatio is what the first send of a request
	// adds to it.
	retryBudget *retry.Budget
	retryRatio  float64
	// coldLimiter limits the rate while the endpoint is, by clock, cold or possibly cold.
	coldLimiter *coldstart.Limiter
	clock       clock.Clock
	// maxRate keeps the rate that the endpoint states; badRateLogged is set once a malformed statement is logged.
	maxRate       *maxrate.Limiter
	badRateLogged atomic.Bool
	// rateVersion is the version of maxRate that the queue is fitted to; rateChanged is closed when there is another one.
	rateVersion uint64
	rateChanged chan struct{}
	// reportsCold is set once the endpoint has reported how long it is cold. Without such a report, it is taken to be
	// cold for warmup after a start, until coldUntil.
	reportsCold bool
	warmup      time.Duration
	coldUntil   time.Time
	// service is the endpoint's service, slackShare its share of that service's retry slack.
	service    string
	slackShare float64
	arrivals   arrivals
	// brokenRequests are those that broke since the endpoint was last found alive; crashCheckRunning is set while it
	// is being checked.
	brokenRequests    []brokenRequest
	crashCheckRunning bool
	// reclaims is the setting reclaim_slots; runs are the runs at the endpoint while it is on, reclaimed counts those of
	// them that were ended for other requests.
	reclaims  bool
	runs      runSet
	reclaimed uint64
	// releaseBy is when the last run that was asked for its slot is expected to have given it up.
	releaseBy time.Time
	// use accounts for the slots, nil while the setting is off.
	use *slotuse.Meter
	// queueCheck runs the next check of the queue; nil before the first request waited.
	queueCheck *time.Timer
	// nestedFirst has the queue serve nested calls before others.
	nestedFirst bool
	// waiters are the channels on which queued requests wait for their decision, by their ids in the queue.
	waiters map[uint64]chan admission.Decision
}

func newLocalEndpoint(
	row table.Entry[table.Endpoint], cfg Config, c clock.Clock, pool *upstream.Pool, life maxrate.Life, random *rand.Rand,
) *localEndpoint {
	l := &localEndpoint{
		key: row.Key, contract: cfg.Contract, pool: pool, breaker: breaker.New(cfg.Breaker),
		queue:     admission.NewQueue(int(row.Value.Slots), 0, random),
		waiters:   make(map[uint64]chan admission.Decision),
		dueSinks:  make(map[uint64]peer.Sink),
		latencies: latency.NewModels(), retryBudget: retry.NewBudget(time.Now(), cfg.Retries.Window, cfg.ConvergenceTime),
		arrivals: arrivals{loggedAt: time.Now()}, coldLimiter: coldstart.NewLimiter(c(), cfg.ColdLimit), clock: c,
		maxRate: maxrate.NewLimiter(life), rateChanged: make(chan struct{}), reclaims: cfg.ReclaimSlots, nestedFirst: cfg.NestedFirst,
		trials: make(trials), suspectRoom: cfg.SuspectRoom,
	}
	if cfg.ReclaimSlots {
		l.use = slotuse.New(time.Now(), int(row.Value.Slots))
	}
	return l
}

// configure applies the endpoint's address and limits from the active configuration.
func (l *localEndpoint) configure(row table.Entry[table.Endpoint], service table.ServiceView, cfg Config) {
	address := row.Value.Address
	old := l.address.Swap(&address)
	l.mu.Lock()
	defer l.mu.Unlock()
	if old != nil && *old != address {
		l.startNewLife()
	}
	l.slots = int(row.Value.Slots)
	l.breaker.SetSlots(l.slots)
	l.maxWaiting = int(service.Value.Queue)
	l.applyRateToQueue()
	l.noteLevels()
	l.retryRatio = float64(service.Value.RetryBudget)
	l.service, l.slackShare = row.Value.Service, slackShareOf(row.Key, service, cfg.Retries)
	l.retryBudget.SetSlack(time.Now(), l.slackShare)
	bound := cfg.ColdLimit
	bound.Rate = float64(service.Value.ColdRate)
	now := l.clock()
	l.coldLimiter.SetBound(now, bound)
	l.warmup = time.Duration(service.Value.Warmup)
	if l.coldUntil.IsZero() {
		l.coldUntil = now.Add(l.warmup)
	}
}

// startNewLife forgets what the endpoint's process said of itself, because another one has taken its place; the lock must
// be held.
func (l *localEndpoint) startNewLife() {
	l.maxRate.Forget()
	l.noteRateVersion()
	l.answered.Store(true)
	l.draining.Store(false)
}

// slackShareOf returns an endpoint's share of its service's retry slack.
func slackShareOf(key string, service table.ServiceView, slack retry.FleetSlack) float64 {
	n, rank := len(service.Endpoints), 0
	if n > slack.Holders() {
		rank, _ = slices.BinarySearchFunc(service.Endpoints, key, func(e table.Entry[table.Endpoint], key string) int {
			return strings.Compare(e.Key, key)
		})
	}
	return slack.EndpointShare(n, rank)
}

// waitForSlot returns nil once the request holds a slot, otherwise the refusal.
func (l *localEndpoint) waitForSlot(ctx context.Context, id uint64, d *peerpb.Dispatch, s *table.State) *peerpb.End {
	customer, _ := s.Customer(d.GetCustomer())
	deadline, _ := ctx.Deadline()
	if useful := time.Duration(d.GetUsefulMicros()) * time.Microsecond; l.isNested(d) && d.GetUsefulMicros() > 0 && useful < time.Until(deadline) {
		// Waiting longer would hold the slot of the request that the call is made for, for an answer that is late anyway.
		deadline = time.Now().Add(useful)
	}
	usual, mean := l.expectedDurations(d)
	decided, end := l.enqueue(admission.Request{
		ID: id, Customer: queueCustomer(d), Weight: float64(customer.Value.Weight), Deadline: deadline,
		TargetTime: time.Now().Add(latencyTarget(d)), Priority: int(d.GetPriority()), NoWait: d.GetExchange() != 0 && !d.GetWait(),
		Kind: kindOf(d), ServiceTime: usual, SlotTime: mean, Nested: l.isNested(d),
	})
	if decided == nil {
		return end
	}
	select {
	case decision := <-decided:
		return refusal(decision)
	case <-ctx.Done():
		return l.cancelQueued(ctx, id, decided)
	}
}

// queueCustomer is the customer to whom the queue attributes a request. A request without a customer's key, such as a
// call that an endpoint makes while it handles another request, counts as a customer of its own: when all of them
// counted as one customer, the calls made on behalf of all customers waited behind everybody else's requests.
func queueCustomer(d *peerpb.Dispatch) string {
	if c := d.GetCustomer(); c != "" {
		return c
	}
	return "request " + d.GetRequestId()
}

// latencyTarget is the time within which the answer has its full value; without a target, all the time left.
func latencyTarget(d *peerpb.Dispatch) time.Duration {
	if target := d.GetAimMicros(); target != 0 {
		return time.Duration(target) * time.Microsecond
	}
	return timeBudget(d)
}

// timeBudget is the time left until the deadline when the request was sent.
func timeBudget(d *peerpb.Dispatch) time.Duration {
	return time.Duration(d.GetBudgetMicros()) * time.Microsecond
}

// usefulUntil returns when the answer to a request loses most of its value, the zero time if that is not known: when its
// latency target is over or, for a nested call, that of the request that it is made for.
func usefulUntil(d *peerpb.Dispatch, now time.Time) time.Time {
	useful := min(max(d.GetAimMicros(), d.GetUsefulMicros()), d.GetBudgetMicros())
	if useful <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(useful) * time.Microsecond)
}

// isNested reports whether a request is served as a nested call.
func (l *localEndpoint) isNested(d *peerpb.Dispatch) bool { return l.nestedFirst && d.GetNested() }

// expireQueued refuses the queued requests that can no longer be answered in time.
func (l *localEndpoint) expireQueued() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.deliver(l.queue.Expire(now))
	l.scheduleQueueCheck(now)
}

// scheduleQueueCheck schedules the next check of the queue; the lock must be held.
func (l *localEndpoint) scheduleQueueCheck(now time.Time) {
	at, ok := l.queue.NextCheck(now)
	switch {
	case !ok && l.queueCheck != nil:
		l.queueCheck.Stop()
	case ok && l.queueCheck == nil:
		l.queueCheck = time.AfterFunc(at.Sub(now), l.expireQueued)
	case ok:
		l.queueCheck.Reset(at.Sub(now))
	}
}

// enqueue offers a request to the queue. It returns the channel on which the decision arrives; for an immediate
// decision, it returns a nil channel and the refusal, if any.
func (l *localEndpoint) enqueue(r admission.Request) (chan admission.Decision, *peerpb.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	reclaimed := !r.NoWait && l.reclaimHungSlot(now)
	decision, evicted := l.queue.Offer(now, r)
	l.deliver(evicted)
	if r.NoWait && decision.Code == fault.Busy && !now.Before(l.releaseBy) {
		// The request stays refused: the slot is free a little later. Of many such offers one asks for a slot at a time.
		reclaimed = l.reclaimHungSlot(now)
	}
	if decision.Action != admission.Run && !reclaimed {
		l.reclaimStalledSlot()
	}
	if decision.Action != admission.Wait {
		return nil, refusal(decision)
	}
	decided := make(chan admission.Decision, 1)
	l.waiters[r.ID] = decided
	l.scheduleQueueCheck(now)
	return decided, nil
}

// deliver sends decisions to the requests that wait for them; the lock must be held.
func (l *localEndpoint) deliver(decisions []admission.Decision) {
	l.noteLevels()
	for _, d := range decisions {
		if decided := l.waiters[d.ID]; decided != nil {
			decided <- d
			delete(l.waiters, d.ID)
		}
	}
}

// cancelQueued removes a request whose context has ended from the queue.
func (l *localEndpoint) cancelQueued(ctx context.Context, id uint64, decided chan admission.Decision) *peerpb.End {
	l.mu.Lock()
	canceled := l.queue.Cancel(id)
	l.noteLevels()
	delete(l.waiters, id)
	l.scheduleQueueCheck(time.Now())
	l.mu.Unlock()
	if !canceled {
		// The decision was made at the same moment; a slot that it granted is returned unused.
		if decision := <-decided; decision.Action == admission.Run {
			l.freeSlot(id, 0)
		}
	}
	code := fault.Canceled
	if ctx.Err() == context.DeadlineExceeded {
		code = fault.DeadlineTooShort
	}
	return peer.NotRun(code, shortRetryAfter)
}

// refusal returns the end of a request that the queue refused, nil for one that may run.
func refusal(d admission.Decision) *peerpb.End {
	if d.Action == admission.Run {
		return nil
	}
	return peer.NotRun(d.Code, d.RetryAfter)
}

// freeSlot returns a request's slot after a service time, 0 if the run says nothing about the endpoint's speed.
func (l *localEndpoint) freeSlot(id uint64, service time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.deliver(l.queue.Done(now, id, service))
	l.scheduleQueueCheck(now)
}

// finishRun frees the slot and counts the run. A request that the endpoint did not run says nothing about its speed.
func (l *localEndpoint) finishRun(id uint64, service time.Duration, r result, d *peerpb.Dispatch, trial bool) {
	l.recordResult(id, r, service, d)
	// Nor does one that was ended for another request: it ended when that request came.
	if !r.sample || r.reclaimed {
		service = 0
	}
	l.freeSlot(id, service)
	// Trials are samples for the breaker only; directors judge by the requests that it let through.
	if !r.sample || trial {
		return
	}
	l.finished.Add(1)
	if r.failed {
		l.failed.Add(1)
	}
}

// queueCounts returns the numbers of requests that nested calls have affected.
func (l *localEndpoint) queueCounts() admission.Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Counts()
}

// busySlots returns how many slots senders learn to be busy: all while an endpoint that has not answered yet takes no further
// request, or senders would ask for its free slots in vain; the lock must be held.
func (l *localEndpoint) busySlots() int {
	busy, now := l.queue.Busy(), l.clock()
	if !l.maxRate.IsOpen(now) && l.maxRate.Wait(now, 0) > 0 {
		return max(busy, l.slots)
	}
	return busy
}

// loadReport returns the load that directors learn of, with the service time of the latest run.
func (l *localEndpoint) loadReport(service time.Duration, incarnation uint64) *peerpb.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := &peerpb.Load{
		Slots: uint32(l.slots), Busy: uint32(l.busySlots()), Queued: uint32(l.queue.Waiting()), //nolint:gosec // small
		Finished: l.finished.Load(), Failed: l.failed.Load(),
		ServiceMicros: service.Microseconds(), Incarnation: incarnation, Leaving: l.draining.Load(),
		Trial: l.breaker.State() == breaker.Trial, ColdMicros: l.coldMicros(),
		MaxRate: l.maxRateReport(), StatementAgeMicros: l.statementAge(),
	}
	l.reportSuspect(time.Now(), load)
	return load
}
