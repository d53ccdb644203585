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
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/table"
	"github.com/lynxplank/lynxplank/upstream"
)

// local is the runtime of one endpoint beside this node.
type local struct {
	key     string
	address atomic.Pointer[string]
	// leaving is set once the endpoint has said so itself.
	leaving atomic.Bool
	// finished counts the runs that choosers judge by, failed those of them that failed.
	finished atomic.Uint64
	failed   atomic.Uint64
	// said is the endpoint's last word about its load.
	said atomic.Pointer[contract.Load]

	contract contract.Contract
	pool     *upstream.Pool

	mu      sync.Mutex
	breaker *breaker.Breaker
	// watch weighs the work under way, trial is the piece of it that is the breaker's trial, 0 for none.
	watch breaker.InflightMonitor
	trial uint64
	// asking are the sinks of work under way whose senders want to hear when its answer is due.
	asking map[uint64]peer.Sink
	// suspected is set while the breaker is open for the work under way alone.
	suspected bool
	// looks has the work under way looked at, nil before there was any.
	looks *time.Timer
	// shown is the breaker's state as it was last logged.
	shown breaker.State
	queue *admission.Queue
	slots int
	// stalls are the runs that wait for their callers, since when they do.
	stalls []stall
	// times are those of the endpoint's work that ended well.
	times *latency.Models
	// retries is the endpoint's part of the fleet's budget, share what a request's first arrival earns of it.
	retries *retry.Budget
	share   float64
	// cold keeps the endpoint to what it bears while it is cold, or may be, by clock.
	cold  *coldstart.Limiter
	clock clock.Clock
	// spoke is set once the endpoint has said how long it is cold; warmup is how long it is after a start if it does not say, coldTill
	// until when that is.
	spoke    bool
	warmup   time.Duration
	coldTill time.Time
	// service is the endpoint's service, part its part of that service's slack.
	service  string
	part     float64
	arrivals arrivals
	// broken is the work that broke off since the endpoint last showed that it lives, checking is set while it is asked.
	broken   []brokenWork
	checking bool
	// waiters are the channels on which queued requests wait for their decision, by the queue's ids.
	waiters map[uint64]chan admission.Decision
}

func newLocal(row table.Entry[table.Endpoint], cfg Config, c clock.Clock, pool *upstream.Pool, random *rand.Rand) *local {
	return &local{
		key: row.Key, contract: cfg.Contract, pool: pool, breaker: breaker.New(cfg.Breaker),
		queue:   admission.NewQueue(int(row.Value.Slots), 0, random),
		waiters: make(map[uint64]chan admission.Decision),
		asking:  make(map[uint64]peer.Sink),
		times:   latency.NewModels(), retries: retry.NewBudget(time.Now(), cfg.Retries.Window, cfg.ConvergenceTime),
		arrivals: arrivals{toldAt: time.Now()}, cold: coldstart.NewLimiter(c(), cfg.ColdLimit), clock: c,
	}
}

// configure takes the endpoint's address and limits as they are in force now.
func (l *local) configure(row table.Entry[table.Endpoint], service table.ServiceView, cfg Config) {
	address := row.Value.Address
	if old := l.address.Load(); old == nil || *old != address {
		l.address.Store(&address)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = int(row.Value.Slots)
	l.queue.SetLimits(l.slots, int(service.Value.Queue))
	l.share = float64(service.Value.RetryBudget)
	l.service, l.part = row.Value.Service, partOf(row.Key, service, cfg.Retries)
	l.retries.SetSlack(time.Now(), l.part)
	bound := cfg.ColdLimit
	bound.Rate = float64(service.Value.ColdRate)
	now := l.clock()
	l.cold.SetBound(now, bound)
	l.warmup = time.Duration(service.Value.Warmup)
	if l.coldTill.IsZero() {
		l.coldTill = now.Add(l.warmup)
	}
}

// partOf returns an endpoint's part of its service's slack of retries.
func partOf(key string, service table.ServiceView, slack retry.FleetSlack) float64 {
	n, rank := len(service.Endpoints), 0
	if n > slack.Holders() {
		rank, _ = slices.BinarySearchFunc(service.Endpoints, key, func(e table.Entry[table.Endpoint], key string) int {
			return strings.Compare(e.Key, key)
		})
	}
	return slack.EndpointShare(n, rank)
}

// admit returns nil once the request holds a slot, else the refusal.
func (l *local) admit(ctx context.Context, id uint64, d *peerpb.Dispatch, s *table.State) *peerpb.End {
	customer, _ := s.Customer(d.GetCustomer())
	deadline, _ := ctx.Deadline()
	r := admission.Request{
		ID: id, Customer: payer(d), Weight: float64(customer.Value.Weight), Deadline: deadline,
		TargetTime: time.Now().Add(aimLeft(d)), Priority: int(d.GetPriority()), NoWait: d.GetExchange() != 0 && !d.GetWait(), ServiceTime: l.expected(d),
	}
	wait, until, end := l.offer(r)
	if wait == nil {
		return end
	}
	expire := time.AfterFunc(time.Until(until), l.expire)
	defer expire.Stop()
	select {
	case decision := <-wait:
		return refusal(decision)
	case <-ctx.Done():
		return l.giveUp(ctx, id, wait)
	}
}

// payer is by whom the request shares the queue. One that bears no customer's key, as the calls of endpoints' work, stands for
// itself: counted as one customer, the calls of all customers' work waited behind everybody else's requests.
func payer(d *peerpb.Dispatch) string {
	if c := d.GetCustomer(); c != "" {
		return c
	}
	return "request " + d.GetRequestId()
}

// aimLeft is the time in which the answer is worth its full value; without one, the whole time left.
func aimLeft(d *peerpb.Dispatch) time.Duration {
	if aim := d.GetAimMicros(); aim != 0 {
		return time.Duration(aim) * time.Microsecond
	}
	return time.Duration(d.GetBudgetMicros()) * time.Microsecond
}

// expire refuses the queued requests whose time is over.
func (l *local) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.queue.Expire(time.Now()))
}

// offer puts a request to the queue: it returns a channel and until when the decision comes on it, or the decision at once.
func (l *local) offer(r admission.Request) (chan admission.Decision, time.Time, *peerpb.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decision, evicted := l.queue.Offer(time.Now(), r)
	l.deliver(evicted)
	if decision.Action != admission.Run {
		l.press()
	}
	if decision.Action != admission.Wait {
		return nil, time.Time{}, refusal(decision)
	}
	wait := make(chan admission.Decision, 1)
	l.waiters[r.ID] = wait
	return wait, decision.Until, nil
}

// deliver hands decisions to the requests that wait for them; the lock is held.
func (l *local) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		if wait := l.waiters[d.ID]; wait != nil {
			wait <- d
			delete(l.waiters, d.ID)
		}
	}
}

// giveUp takes a request whose context has ended out of the queue.
func (l *local) giveUp(ctx context.Context, id uint64, wait chan admission.Decision) *peerpb.End {
	l.mu.Lock()
	canceled := l.queue.Cancel(id)
	delete(l.waiters, id)
	l.mu.Unlock()
	if !canceled {
		// The decision came at the same moment; a slot that it granted goes back unused.
		if decision := <-wait; decision.Action == admission.Run {
			l.free(0)
		}
	}
	code := fault.Canceled
	if ctx.Err() == context.DeadlineExceeded {
		code = fault.DeadlineTooShort
	}
	return peer.NotRun(code, shortRetryAfter)
}

// refusal is the end of a request that the queue refused, nil of one that runs.
func refusal(d admission.Decision) *peerpb.End {
	if d.Action == admission.Run {
		return nil
	}
	return peer.NotRun(d.Code, d.RetryAfter)
}

// free gives a slot back after some time of work, 0 where that says nothing of the endpoint's speed.
func (l *local) free(service time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.queue.Done(time.Now(), service))
}

// release frees the slot and counts the work. What the endpoint did not run says nothing about its speed.
func (l *local) release(id uint64, service time.Duration, r result, d *peerpb.Dispatch, trial bool) {
	l.judge(id, r, service, d, trial)
	if !r.worked {
		service = 0
	}
	l.free(service)
	// Trials are the breaker's own evidence; choosers judge by the work that it let through.
	if !r.worked || trial {
		return
	}
	l.finished.Add(1)
	if r.failed {
		l.failed.Add(1)
	}
}

// load is what choosers are told of the endpoint, with the time that the latest work took.
func (l *local) load(service time.Duration, incarnation uint64) *peerpb.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &peerpb.Load{
		Slots: uint32(l.slots), Busy: uint32(l.queue.Busy()), Queued: uint32(l.queue.Waiting()), //nolint:gosec // small
		Finished: l.finished.Load(), Failed: l.failed.Load(),
		ServiceMicros: service.Microseconds(), Incarnation: incarnation, Leaving: l.leaving.Load(),
		Trial: l.breaker.State() == breaker.Trial, ColdMicros: l.coldMicros(),
	}
}
