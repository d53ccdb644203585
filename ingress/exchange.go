package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/clock"
	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/memory"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/ratelimit"
	"github.com/lynxplank/lynxplank/retry"
)

const (
	// maxOffers bounds the endpoints that are asked for a free slot before the request waits in a queue.
	maxOffers = 6
	// maxRemoteOffers bounds the offers to other halls among them: each costs about 400 bytes between halls.
	maxRemoteOffers = 3
	// maxWaits bounds the endpoints in whose queues the request waits, one after another.
	maxWaits = 3
	// maxDeclined bounds how often a request may be declined before it is given up.
	maxDeclined = 100
	// inlineBody is the largest body, in bytes, that is sent with an offer; a longer one follows when the request
	// is dispatched.
	inlineBody = 16 << 10
)

// exchange is one caller's request with all its sends.
type exchange struct {
	g *Ingress
	// start is when the request arrived.
	start time.Time
	// stopwatch measures how long the host was suspended since then.
	stopwatch clock.Stopwatch
	call      call
	body      *requestBody
	answer    *answer
	// winner selects the send whose answer goes to the caller.
	winner   *winner
	refusals *refusals
	// search limits the offers to endpoints that seem to have a free slot.
	search *search
	// reservations count the answers of the sends against the node's memory budget.
	reservations []*memory.Reservation
	// tried are the endpoints that had the request, or refused it for a lasting reason.
	tried []string
	// rejecting are those of tried that lacked only capacity or a link, rounds the rounds of a nested call. isLaterRound
	// is set in every round but the first, askedBefore counts the endpoints that were asked in earlier rounds.
	rejecting    []string
	rounds       rounds
	isLaterRound bool
	askedBefore  int
	// resumePause is the pause before the next round of a request of which this system has ended a send.
	resumePause retry.Backoff
	// countedNested is set while the call counts as one of its parent's nested calls.
	countedNested bool
	// declined are the endpoints that had no free slot, or took only trials, when they were asked in this round.
	declined []string
	// limited are the endpoints that state a rate for which the request would have to wait too long.
	limited []string
	// suspects are the declined endpoints that took only trials. lastResort is set once there are no others left.
	suspects   []string
	lastResort bool
	// likelyOnly is set when a request that found no capacity elsewhere asks only those suspects that passed most of
	// their trials.
	likelyOnly bool
	// lastResortTries counts the endpoints asked as a last resort.
	lastResortTries int
	// suspectOffers counts the suspects that were asked because they had reported room.
	suspectOffers int
	// suspectSince is when all endpoints were first found to take only trials.
	suspectSince time.Time
	// offers counts the endpoints that were asked for a free slot, remoteOffers those of other halls, waits those in
	// whose queues the request waited.
	offers       int
	remoteOffers int
	waits        int
	// hallWaitEnd is the time until which the request waits for a slot in its own hall, zero before it has looked for
	// one.
	hallWaitEnd time.Time
	// budgetRefusals counts the endpoints that had no retries left for the request.
	budgetRefusals int
	// sends counts the send results that were passed to the retry policy, including refusals by full queues.
	sends int
	// hasPermit is set while permit, granted by the customer's rate limit, has not been used by a send that reached an
	// endpoint.
	hasPermit bool
	permit    ratelimit.Permit
	progress  progress
	// trail records the endpoints that were asked and the results, for the log.
	trail trail
	// reachedEndpoint is set once an endpoint may have had the request.
	reachedEndpoint bool
	// crashes counts the endpoints that crashed while they had the request.
	crashes int
	// ran is set once a send ran, mayHaveRun once the outcome of a send is unknown.
	ran        bool
	mayHaveRun bool
}

// run sends the request until it has an answer and returns how it ended. answer.finish decides what the caller
// receives.
func (x *exchange) run(ctx context.Context) *peerpb.End {
	if x.call.needsClaim() {
		return x.runKeyed(ctx)
	}
	return x.runAnywhere(ctx)
}

// runAnywhere sends the request to endpoints picked by the director until there is a final answer or no retry is
// allowed. A nested call that found no capacity starts over.
func (x *exchange) runAnywhere(ctx context.Context) *peerpb.End {
	for {
		end, cause := x.runRound(ctx)
		if x.resume(ctx, end) || x.startOver(ctx, end, cause) {
			continue
		}
		end = x.asStoppingIfUnsent(ctx, end)
		return x.withOverallOutcome(x.asExpired(ctx, end))
	}
}

// runRound sends the request until there is a final answer or no retry is allowed. It returns the end and what prevented
// another send.
func (x *exchange) runRound(ctx context.Context) (end *peerpb.End, cause fault.Code) {
	var last *peerpb.End
	for {
		pick, wait, err := x.pickUnlessStopping(ctx)
		if err != nil {
			if last != nil {
				return last, fault.CodeOf(err)
			}
			return x.asStoppingIfUnsent(ctx, peer.NotRun(fault.CodeOf(err), 0)), fault.CodeOf(err)
		}
		previous := x.answer
		end := x.sendTo(ctx, &pick, wait)
		retryNext := x.shouldRetry(ctx, pick, end)
		if last != nil && x.prefers(previous, last, end) {
			x.answer, end = previous, last
		}
		if !retryNext || !x.takePermit(ctx) {
			end = x.asStoppingIfUnsent(ctx, end)
			return end, fault.Code(end.GetCode())
		}
		last = end
	}
}

// prefers reports whether the answer of the previous send, which ended as last, is better for the caller than what is known of
// the latest one: that did not run, or its outcome is unknown.
func (x *exchange) prefers(previous *answer, last, end *peerpb.End) bool {
	if end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN {
		return x.ran
	}
	return end.GetOutcome() == peerpb.Outcome_OUTCOME_UNKNOWN && !x.answer.started && previous.isHeld(last)
}

// takePermit obtains a permit from the customer's rate limit for the next send, unless the last permit was not used by a
// send that reached an endpoint: the limit counts what endpoints run.
func (x *exchange) takePermit(ctx context.Context) bool {
	if !x.hasPermit {
		x.permit, _, x.hasPermit = x.g.limits.Take(ctx, x.call.customer)
	}
	return x.hasPermit
}

// sendTo sends the request to the picked endpoint. On return pick is the endpoint whose end is returned, which may be
// that of a hedge.
func (x *exchange) sendTo(ctx context.Context, pick *director.Pick, wait bool) (end *peerpb.End) {
	if !x.call.repeatable {
		// The previous answer is discarded only now that another endpoint was found.
		x.answer.reset()
		return x.send(ctx, *pick, nil, wait)
	}
	previous := x.answer
	*pick, end = x.sendRepeatable(ctx, *pick, wait)
	if end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN && !x.answer.started {
		x.answer = previous
	}
	return end
}

// pickUnlessStopping is pick, canceled when the node stops.
func (x *exchange) pickUnlessStopping(ctx context.Context) (director.Pick, bool, error) {
	waiting, done := x.progress.untilDispatch(ctx, nil)
	defer done()
	pick, wait, err := x.pick(waiting)
	if ctx.Err() == nil && waiting.Err() != nil {
		err = fault.New(fault.Canceled, x.call.service.Key, "no endpoint was picked before the node stopped dispatching")
	}
	return pick, wait, err
}

// pick chooses the next endpoint. It first asks endpoints that seem to have a free slot, without waiting, then the
// suspects that have room, then the endpoint with the shortest queue wait, and if all endpoints are under suspicion, one
// of these.
func (x *exchange) pick(ctx context.Context) (director.Pick, bool, error) {
	if x.roundSpent() {
		return director.Pick{}, true, fault.New(fault.Overloaded, x.call.service.Key, "the endpoints asked in this round have no capacity")
	}
	if x.lastResort {
		return x.pickLast(ctx)
	}
	if pick, ok := x.pickFree(ctx); ok {
		return pick, false, nil
	}
	x.offers = maxOffers
	if pick, ok := x.pickSuspectWithRoom(ctx); ok {
		return pick, false, nil
	}
	if x.waits++; x.waits > maxWaits {
		return director.Pick{}, true, fault.New(fault.Overloaded, x.call.service.Key, "no endpoint that was asked has capacity in its queue")
	}
	opts := x.pickOptions()
	opts.ShortestWait = true
	// A request that has to queue first does so in its own hall.
	opts.LocalHallOnly = x.waits == 1
	opts.Exclude = slices.Concat(x.tried, x.suspects, x.limited)
	pick, err := x.g.director.Pick(ctx, opts)
	if err != nil && opts.LocalHallOnly {
		opts.LocalHallOnly = false
		pick, err = x.g.director.Pick(ctx, opts)
	}
	if err != nil && (len(x.suspects) > 0 || fault.CodeOf(err) == fault.Suspect) {
		return x.pickSuspect(ctx)
	}
	return pick, true, err
}

// pickFree chooses an endpoint that seems to have a free slot, in this node's hall for as long as the request can wait
// for a slot there.
func (x *exchange) pickFree(ctx context.Context) (director.Pick, bool) {
	for x.offers < x.search.maxOffers(maxOffers) {
		x.offers++
		opts := x.pickOptions()
		opts.RequireFreeSlot, opts.LocalHallOnly = true, true
		opts.Exclude = slices.Concat(x.tried, x.declined)
		pick, err := x.g.director.Pick(ctx, opts)
		if err == nil {
			return pick, true
		}
		if fault.CodeOf(err) == fault.Busy && x.waitForHall(ctx) {
			x.offers, x.declined = 0, slices.Clone(x.suspects)
			continue
		}
		if x.remoteOffers++; x.remoteOffers > x.search.maxOffers(maxRemoteOffers) {
			break
		}
		opts.LocalHallOnly = false
		if pick, err := x.g.director.Pick(ctx, opts); err == nil {
			return pick, true
		}
		break
	}
	return director.Pick{}, false
}

// pickOptions returns the requirements that apply to every send of the request.
func (x *exchange) pickOptions() director.PickOptions {
	return director.PickOptions{
		Service: x.call.service.Key, Repeatable: x.call.repeatable && x.sends == 0, Exclude: x.tried, IsRetry: x.isRetry(),
		Regions: x.call.regions,
	}
}

// send makes one send and reports to the director what it showed of the endpoint.
func (x *exchange) send(ctx context.Context, pick director.Pick, claim *peerpb.Claim, wait bool) *peerpb.End {
	x.answer.late.begin(func() { x.g.director.ReportOverdue(x.call.service.Key, pick) })
	d := x.buildDispatch(ctx, pick, claim)
	x.markSend(d, wait)
	x.answer.waits = wait || x.lastResort || claim != nil
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{pick: pick, answer: x.answer, offset: time.Since(x.start), cancel: cancel}
	a.end = x.deliver(ctx, pick.Endpoint, d, x.answer)
	x.recordAttempt(a)
	return a.end
}

// markSend sets the fields of a Dispatch that describe the kind of send. On the wire, a retry is called a repeat.
func (x *exchange) markSend(d *peerpb.Dispatch, wait bool) {
	d.Wait, d.LastResort, d.LikelyOnly = wait, x.lastResort, x.likelyOnly || !x.call.repeatable
	d.Canary = x.call.repeatable && x.sends == 0
	d.Repeat = x.isRetry()
	if !d.Repeat {
		d.OfRepeat = x.call.fromRetryChance
	}
}

// isRetry reports whether the next send consumes the service's retry budget.
func (x *exchange) isRetry() bool { return x.reachedEndpoint || x.call.fromRetry }

// newAnswer returns the sink for another send.
func (x *exchange) newAnswer() *answer {
	a := newAnswer(x.answer.w, x.call, x.g.cfg.Contract, x.winner)
	a.progress, a.search = &x.progress, x.search
	x.reserveMemory(a)
	return a
}

// reserveMemory gives an answer a reservation in the node's memory budget.
func (x *exchange) reserveMemory(a *answer) {
	a.reservation = x.g.budget.NewReservation(x.call.customer)
	x.reservations = append(x.reservations, a.reservation)
}

// detachReservations leaves it to sends that outlive the request to release the reservations of their answers.
func (x *exchange) detachReservations(running []*attempt) {
	for _, a := range running {
		x.reservations = slices.DeleteFunc(x.reservations, func(h *memory.Reservation) bool { return h == a.answer.reservation })
	}
}

// releaseReservations releases the reservations of the answers of the ended sends.
func (x *exchange) releaseReservations() {
	for _, h := range x.reservations {
		h.Release()
	}
}

// countAsked counts the result of asking an endpoint in the metrics.
func (x *exchange) countAsked(end *peerpb.End) {
	serviceMetrics := x.g.metrics.Service(x.call.service.Key)
	serviceMetrics.CountSend(contract.OutcomeName(end.GetOutcome()), end.GetCode())
	if service := end.GetLoad().GetServiceMicros(); service > 0 {
		serviceMetrics.Work.RecordDuration(time.Duration(service) * time.Microsecond)
	}
}

// recordEnd records whether a send reached an endpoint, ran or may have run, and whether its endpoint crashed.
func (x *exchange) recordEnd(end *peerpb.End) {
	if reachedEndpoint(end) {
		x.reachedEndpoint, x.hasPermit = true, false
	}
	if end.GetEnded() {
		x.crashes++
	}
	if linkLost(end) && x.call.repeatable {
		x.progress.interrupt()
	}
	x.ran = x.ran || end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN
	x.mayHaveRun = x.mayHaveRun || end.GetOutcome() == peerpb.Outcome_OUTCOME_UNKNOWN
}

// buildDispatch returns the request as it is sent to an endpoint's node. claim is nil for requests without a key. On
// the wire, the latency target is called aim and the fingerprint content.
func (x *exchange) buildDispatch(ctx context.Context, pick director.Pick, claim *peerpb.Claim) *peerpb.Dispatch {
	deadline, _ := ctx.Deadline()
	d := &peerpb.Dispatch{
		RequestId: x.call.id, Endpoint: pick.Endpoint.Key, Service: x.call.service.Key, Customer: x.call.customer,
		Method: x.call.method, Target: x.call.target, Host: x.call.host, Headers: x.call.headers,
		BudgetMicros: x.timeLeft(deadline).Microseconds(), Repeatable: x.call.repeatable, Claim: claim,
		Route: x.call.route.Key, Config: x.call.config,
		Revision: x.call.revision, LateMicros: pick.OverdueAfter.Microseconds(), Caller: x.g.cfg.Service,
		Priority: x.call.rank(x.g.snapshot().State), Keyed: x.call.hasCustomerKey, AimMicros: x.latencyTargetLeft().Microseconds(),
		MaxRate: pick.MaxRate, StatementAgeMicros: pick.StatementAgeMicros, ToldLeaving: pick.ToldLeaving,
		UsualMicros: x.g.routeStats.medianTime(x.call.route.Key, x.latencyTarget()).Microseconds(), Content: x.call.fingerprint[:],
		Nested: x.call.nested, UsefulMicros: x.usefulLeft(deadline).Microseconds(),
	}
	if x.progress.isUrgent() {
		d.Nested, d.UsefulMicros = true, 0
	}
	if len(x.body.data) <= inlineBody {
		d.Body = x.body.data
	} else {
		d.BodyLength = int64(len(x.body.data))
	}
	if claim == nil {
		d.Exchange = x.g.cfg.Incarnation + x.g.exchangeCount.Add(1)
	}
	return d
}

// timeLeft returns the time until the deadline, at least a microsecond. Time in which the host was suspended counts,
// since it passed for the caller.
func (x *exchange) timeLeft(deadline time.Time) time.Duration {
	return max(time.Until(deadline)-x.stopwatch.Suspended(), time.Microsecond)
}

// latencyTarget is the time from the request's arrival within which an answer has its full value, 0 if the route has
// none.
func (x *exchange) latencyTarget() time.Duration { return time.Duration(x.call.route.Value.Aim) }

// latencyTargetLeft is what remains of the latency target, at least a microsecond, or 0 if the route has none.
func (x *exchange) latencyTargetLeft() time.Duration {
	target := x.latencyTarget()
	if target == 0 {
		return 0
	}
	return max(target-time.Since(x.start), time.Microsecond)
}

// overdue reports whether the latency target has passed.
func (x *exchange) overdue() bool {
	target := x.latencyTarget()
	return target > 0 && time.Since(x.start) > target
}

// asStoppingIfUnsent changes the end of a request that reached no endpoint and will reach none because the node stops,
// so that the caller retries at another node at once.
func (x *exchange) asStoppingIfUnsent(ctx context.Context, end *peerpb.End) *peerpb.End {
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN || ctx.Err() != nil || !x.progress.isClosed() ||
		fault.Code(end.GetCode()) == fault.FatalRequest {
		return end
	}
	return peer.NotRun(fault.Stopping, elsewhereRetryAfter)
}
