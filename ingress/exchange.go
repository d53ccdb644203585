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
	"github.com/lynxplank/lynxplank/poison"
	"github.com/lynxplank/lynxplank/ratelimit"
	"github.com/lynxplank/lynxplank/retry"
)

const (
	// mostOffers bounds the endpoints that are asked for a free slot before the request waits for one.
	mostOffers = 6
	// mostFar bounds those of other halls among them: each costs about 400 bytes between halls.
	mostFar = 3
	// mostWaits bounds the endpoints at whose queues it waits, one after the other.
	mostWaits = 3
	// mostDeclined bounds how often a request may be turned away before it is given up.
	mostDeclined = 100
	// inlineBody is the largest body that goes with an offer, in bytes; a longer one follows the hand-over.
	inlineBody = 16 << 10
)

// exchange is one caller's request on its way through one or more sends.
type exchange struct {
	g *Ingress
	// start is when the request came.
	start time.Time
	// watch tells how long the host was suspended since then.
	watch  clock.Stopwatch
	call   call
	body   *requestBody
	answer *answer
	// winner is the send whose answer goes to the caller.
	winner   *winner
	refusals *refusals
	// holds are what the answers of the sends hold of the node's budget.
	holds []*memory.Reservation
	// tried are the endpoints that have had the request or have turned it away for a reason that lasts.
	tried []string
	// declined are those of this round that had no free slot, or took only trials, when they were asked.
	declined []string
	// suspects are those of the declined that took only trials; lastResort is set once nothing else is left.
	suspects   []string
	lastResort bool
	// spare is set when a request that has no room elsewhere asks those under suspicion that mostly do their work.
	spare bool
	// lasts counts the endpoints asked as a last resort.
	lasts int
	// suspectSince is when all endpoints were first found to take only trials.
	suspectSince time.Time
	// offers counts the endpoints that were asked for a free slot, waits those at whose queues the request waited.
	offers int
	far    int
	waits  int
	// hallUntil is how long the request waits for a slot in its own hall, the zero time before it has looked for one.
	hallUntil time.Time
	// spent counts the endpoints whose part of the retries was spent.
	spent int
	// sends counts the answers, refusals by full queues among them, that the retry policy had to judge.
	sends int
	// paid is set while the customer's limit has let a send pass that has reached no endpoint yet, pass is that.
	paid     bool
	pass     ratelimit.Permit
	progress progress
	// closing closes progress when the node stops, nil before.
	closing *time.Timer
	// trail is who was asked and what came of it, for the log.
	trail trail
	// arrived is set once an endpoint may have had the request.
	arrived bool
	// ended counts the endpoints that have ended at the request.
	ended int
	// ran is set once a send ran, unknown once one may have run.
	ran     bool
	unknown bool
}

// run brings the request to an answer and returns how it ended; what the caller is told is up to answer.finish.
func (x *exchange) run(ctx context.Context) *peerpb.End {
	if x.call.claims() {
		return x.runKeyed(ctx)
	}
	return x.runAnywhere(ctx)
}

// runAnywhere sends the request to chosen endpoints until an answer stands or no further send is allowed.
func (x *exchange) runAnywhere(ctx context.Context) *peerpb.End {
	var last *peerpb.End
	for {
		pick, wait, err := x.choose(ctx)
		if err != nil {
			if last != nil {
				return x.truth(last)
			}
			return x.truth(x.unsent(ctx, peer.NotRun(fault.CodeOf(err), 0)))
		}
		end := x.sendTo(ctx, &pick, wait)
		again := x.again(ctx, pick, end)
		if last != nil && x.ran && end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN {
			// Nobody took the request again: what the last endpoint answered still stands.
			end = last
		}
		if !again || !x.pay(ctx) {
			return x.truth(x.unsent(ctx, end))
		}
		last = end
	}
}

// pay has the customer's limit let a further send pass, unless the last that passed has reached no endpoint: what endpoints run is
// what the limit counts.
func (x *exchange) pay(ctx context.Context) bool {
	if !x.paid {
		x.pass, _, x.paid = x.g.limits.Take(ctx, x.call.customer)
	}
	return x.paid
}

// sendTo sends the request to the endpoint that was picked; pick names the one that decided, which may be another.
func (x *exchange) sendTo(ctx context.Context, pick *director.Pick, wait bool) (end *peerpb.End) {
	if !x.call.repeatable {
		// Only now that another endpoint is there, what the last one answered is given up.
		x.answer.reset()
		return x.send(ctx, *pick, nil, wait)
	}
	answered := x.answer
	*pick, end = x.sendRepeatable(ctx, *pick, wait)
	if end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN {
		x.answer = answered
	}
	return end
}

// choose is pick, given up when the node stops.
func (x *exchange) choose(ctx context.Context) (director.Pick, bool, error) {
	waiting, done := x.progress.wait(ctx, nil)
	defer done()
	pick, wait, err := x.pick(waiting)
	if ctx.Err() == nil && waiting.Err() != nil {
		err = fault.New(fault.Canceled, x.call.service.Key, "no endpoint was chosen in time")
	}
	return pick, wait, err
}

// pick chooses the next endpoint: first those with a free slot, which are asked and not waited for, then the one where
// the wait is shortest, and when every endpoint is under suspicion one of these all the same.
func (x *exchange) pick(ctx context.Context) (director.Pick, bool, error) {
	if x.lastResort {
		return x.pickLast(ctx)
	}
	if pick, ok := x.pickFree(ctx); ok {
		return pick, false, nil
	}
	x.offers = mostOffers
	if x.waits++; x.waits > mostWaits {
		return director.Pick{}, true, fault.New(fault.Overloaded, x.call.service.Key, "every endpoint asked is full")
	}
	wish := x.wish()
	wish.ShortestWait = true
	// Whoever waits anyway waits in its own hall first.
	wish.LocalHallOnly = x.waits == 1
	wish.Exclude = slices.Concat(x.tried, x.suspects)
	pick, err := x.g.director.Pick(ctx, wish)
	if err != nil && wish.LocalHallOnly {
		wish.LocalHallOnly = false
		pick, err = x.g.director.Pick(ctx, wish)
	}
	if err != nil && len(x.suspects) > 0 {
		return x.pickSuspect(ctx)
	}
	return pick, true, err
}

// pickFree chooses an endpoint that seems to have a free slot, in the own hall as long as the request can wait for one there.
func (x *exchange) pickFree(ctx context.Context) (director.Pick, bool) {
	for x.offers < mostOffers {
		x.offers++
		wish := x.wish()
		wish.RequireFreeSlot, wish.LocalHallOnly = true, true
		wish.Exclude = slices.Concat(x.tried, x.declined)
		pick, err := x.g.director.Pick(ctx, wish)
		if err == nil {
			return pick, true
		}
		if fault.CodeOf(err) == fault.Busy && x.waitForHall(ctx) {
			x.offers, x.declined = 0, slices.Clone(x.suspects)
			continue
		}
		if x.far++; x.far > mostFar {
			break
		}
		wish.LocalHallOnly = false
		if pick, err := x.g.director.Pick(ctx, wish); err == nil {
			return pick, true
		}
		break
	}
	return director.Pick{}, false
}

// wish is what any endpoint for the request must meet.
func (x *exchange) wish() director.PickOptions {
	return director.PickOptions{
		Service: x.call.service.Key, Repeatable: x.call.repeatable && x.sends == 0, Exclude: x.tried, IsRetry: x.further(),
		Regions: x.call.regions,
	}
}

// send makes one send and reports what it showed of the endpoint.
func (x *exchange) send(ctx context.Context, pick director.Pick, claim *peerpb.Claim, wait bool) *peerpb.End {
	x.answer.late.begin(func() { x.g.director.ReportOverdue(x.call.service.Key, pick) })
	d := x.dispatch(ctx, pick, claim)
	x.mark(d, wait)
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{pick: pick, answer: x.answer, at: time.Since(x.start), cancel: cancel}
	a.end = x.deliver(ctx, pick.Endpoint, d, x.answer)
	x.settleAttempt(a)
	return a.end
}

// mark says in a dispatch which kind of send it is.
func (x *exchange) mark(d *peerpb.Dispatch, wait bool) {
	d.Wait, d.LastResort, d.LikelyOnly = wait, x.lastResort, x.spare || !x.call.repeatable
	d.Canary = x.call.repeatable && x.sends == 0
	d.Repeat = x.further()
	if !d.Repeat {
		d.OfRepeat = x.call.ofRepeat
	}
}

// further tells that the next send is one that the service's retries are asked for.
func (x *exchange) further() bool { return x.arrived || x.call.further }

// newAnswer returns the sink of one more send.
func (x *exchange) newAnswer() *answer {
	a := newAnswer(x.answer.w, x.call, x.g.cfg.Contract, x.winner)
	a.progress = &x.progress
	x.holdFor(a)
	return a
}

// holdFor has what an answer holds counted in the node's budget.
func (x *exchange) holdFor(a *answer) {
	a.hold = x.g.budget.NewReservation(x.call.customer)
	x.holds = append(x.holds, a.hold)
}

// leave has sends that outlive the request give back themselves what their answers hold.
func (x *exchange) leave(running []*attempt) {
	for _, a := range running {
		x.holds = slices.DeleteFunc(x.holds, func(h *memory.Reservation) bool { return h == a.answer.hold })
	}
}

// free gives back what the answers of the sends that have ended hold.
func (x *exchange) free() {
	for _, h := range x.holds {
		h.Release()
	}
}

// count shows in the metrics what came of asking an endpoint.
func (x *exchange) count(end *peerpb.End) {
	class := x.g.metrics.Service(x.call.service.Key)
	class.Asked(contract.OutcomeName(end.GetOutcome()), end.GetCode())
	if service := end.GetLoad().GetServiceMicros(); service > 0 {
		class.Work.RecordDuration(time.Duration(service) * time.Microsecond)
	}
}

// note keeps what an end says of whether the request ran, for truth.
func (x *exchange) note(end *peerpb.End) {
	if reached(end) {
		x.arrived, x.paid = true, false
	}
	if end.GetEnded() {
		x.ended++
	}
	x.ran = x.ran || end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN
	x.unknown = x.unknown || end.GetOutcome() == peerpb.Outcome_OUTCOME_UNKNOWN
}

// dispatch is the request as an endpoint's node is asked for it; a claim stands in it for keyed requests only.
func (x *exchange) dispatch(ctx context.Context, pick director.Pick, claim *peerpb.Claim) *peerpb.Dispatch {
	deadline, _ := ctx.Deadline()
	d := &peerpb.Dispatch{
		RequestId: x.call.id, Endpoint: pick.Endpoint.Key, Service: x.call.service.Key, Customer: x.call.customer,
		Method: x.call.method, Target: x.call.target, Host: x.call.host, Headers: x.call.headers,
		BudgetMicros: x.left(deadline).Microseconds(), Repeatable: x.call.repeatable, Claim: claim,
		Route: x.call.route.Key, Config: x.call.config,
		Revision: x.call.revision, LateMicros: pick.OverdueAfter.Microseconds(), Caller: x.g.cfg.Service,
		Priority: x.call.rank(x.g.snapshot().State), Keyed: x.call.keyed, AimMicros: x.aimLeft().Microseconds(),
		UsualMicros: x.g.routes.usual(x.call.route.Key, x.aim()).Microseconds(), Content: x.call.content[:],
	}
	if len(x.body.head) <= inlineBody {
		d.Body = x.body.head
	} else {
		d.BodyLength = int64(len(x.body.head))
	}
	if claim == nil {
		d.Exchange = x.g.cfg.Incarnation + x.g.sent.Add(1)
	}
	return d
}

// left is the time left until the deadline, at least a moment: for the caller it went on while the host was suspended.
func (x *exchange) left(deadline time.Time) time.Duration {
	return max(time.Until(deadline)-x.watch.Suspended(), time.Microsecond)
}

// aim is the time from the request's arrival in which its answer is worth its full value, 0 if the route has none.
func (x *exchange) aim() time.Duration { return time.Duration(x.call.route.Value.Aim) }

// aimLeft is what is left of the aim, at least a moment if the route has one.
func (x *exchange) aimLeft() time.Duration {
	aim := x.aim()
	if aim == 0 {
		return 0
	}
	return max(aim-time.Since(x.start), time.Microsecond)
}

// overdue tells whether the aim is over.
func (x *exchange) overdue() bool {
	aim := x.aim()
	return aim > 0 && time.Since(x.start) > aim
}

// unsent tells of a request that no endpoint has had, and that gets to none because the node stops, that another node takes it at once.
func (x *exchange) unsent(ctx context.Context, end *peerpb.End) *peerpb.End {
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN || ctx.Err() != nil || !x.progress.isClosed() ||
		fault.Code(end.GetCode()) == fault.FatalRequest {
		return end
	}
	return peer.NotRun(fault.Stopping, elsewhereRetryAfter)
}

// again decides on a further send.
func (x *exchange) again(ctx context.Context, pick director.Pick, end *peerpb.End) bool {
	if ctx.Err() != nil || x.progress.isClosed() {
		return false
	}
	if fault.Code(end.GetCode()) == fault.FatalRequest || x.mayEnd() {
		return false
	}
	if declined(end) {
		return x.afterDeclined(pick.Endpoint.Key, end)
	}
	if fault.Code(end.GetCode()) == fault.RetryBudget {
		return x.afterSpent(pick.Endpoint.Key)
	}
	x.tried = append(x.tried, pick.Endpoint.Key)
	if misplaced(end) {
		return x.current(ctx, end)
	}
	if crowded(end) && len(x.suspects) > 0 && !x.lastResort {
		x.lastResort, x.spare = true, true
		return true
	}
	if x.overdue() && end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN {
		// It has waited as long as an answer has its worth: the caller is told now.
		return false
	}
	x.sends++
	if !x.refusals.decide(x.judgement(ctx, pick, end)) {
		return false
	}
	x.g.metrics.Service(x.call.service.Key).Retries.Inc(1)
	x.logAgain(end)
	return true
}

// mostOwnEnds is how many endpoints may end at one request's own sends: with one more it would be barred before it comes again.
const mostOwnEnds = poison.BlockThreshold - 1

// mayEnd tells whether a further send is not to be made because an endpoint has ended under the same request before, and one may have
// had this one: with a second send each arrival of such a request ends two.
func (x *exchange) mayEnd() bool {
	return x.arrived && x.g.fatal.Ends(x.call.content) >= poison.NoRetryThreshold || x.ended >= mostOwnEnds
}

// afterDeclined notes an endpoint that turned the request away before anything was sent, and tells whether to ask another.
func (x *exchange) afterDeclined(key string, end *peerpb.End) bool {
	x.declined = append(x.declined, key)
	if fault.Code(end.GetCode()) == fault.Suspect {
		x.suspects = append(x.suspects, key)
	}
	if x.lastResort {
		x.tried = append(x.tried, key)
	} else if x.waits > 0 {
		// Nothing was waited for: the next one may have a queue.
		x.waits--
	}
	return len(x.declined) < mostDeclined
}

// mostSpent bounds the endpoints that are asked to take a request again although others have no retries left: each saves up
// two or three, which one failing endpoint beside it can use up.
const mostSpent = 6

// afterSpent notes an endpoint whose part of the retries is spent, and tells whether to ask another.
func (x *exchange) afterSpent(key string) bool {
	x.declined = append(x.declined, key)
	x.spent++
	return x.spent < mostSpent
}

// judgement is the latest send as the retry policy judges it.
func (x *exchange) judgement(ctx context.Context, pick director.Pick, end *peerpb.End) retry.Attempt {
	deadline, _ := ctx.Deadline()
	return retry.Attempt{
		Attempts: x.sends, MaxAttempts: int(x.call.route.Value.Attempts), Outcome: end.GetOutcome(), Repeatable: x.call.repeatable,
		Overloaded: crowded(end) || fault.Code(end.GetCode()) == fault.EndpointShed,
		Failed:     x.answer.failed(end), AnswerStarted: x.answer.started, Replayable: true,
		TimeLeft: time.Until(deadline), TypicalServiceTime: pick.TypicalLatency,
	}
}
