package ingress

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/contract"
	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/retry"
	"github.com/lynxplank/lynxplank/table"
)

const (
	// mostOffers bounds the endpoints that are asked for a free slot before the request waits for one.
	mostOffers = 6
	// mostWaits bounds the endpoints at whose queues it waits, one after the other.
	mostWaits = 3
	// mostDeclined bounds how often a request may be turned away before it is given up.
	mostDeclined = 100
	// inlineBody is the largest body that goes with an offer, in bytes; a longer one follows the hand-over.
	inlineBody = 16 << 10
)

// exchange is one caller's request on its way through one or more sends.
type exchange struct {
	g      *Ingress
	start  time.Time
	call   call
	body   *requestBody
	answer *answer
	budget *budget
	// tried are the endpoints that have had the request or have turned it away for a reason that lasts.
	tried []string
	// declined are those that had no free slot, or took only trials, when they were asked.
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
	offers       int
	waits        int
	sends        int
	// trail is who was asked and what came of it, for the log.
	trail trail
	// ran and unknown are set once a send may have run or did.
	ran     bool
	unknown bool
}

func (x *exchange) run(ctx context.Context) *peerpb.End {
	if x.call.keyed() {
		return x.runKeyed(ctx)
	}
	return x.runAnywhere(ctx)
}

// runAnywhere sends the request to chosen endpoints until an answer stands or no further send is allowed.
func (x *exchange) runAnywhere(ctx context.Context) *peerpb.End {
	var last *peerpb.End
	for {
		pick, wait, err := x.pick(ctx)
		if err != nil {
			if last != nil {
				return x.truth(last)
			}
			return x.truth(peer.NotRun(fault.CodeOf(err), 0))
		}
		// Only now that another endpoint is there, what the last one answered is given up.
		x.answer.reset()
		end := x.send(ctx, pick, nil, wait)
		if !x.again(ctx, pick, end) {
			return x.truth(end)
		}
		last = end
	}
}

// pick chooses the next endpoint: first those with a free slot, which are asked and not waited for, then the one where
// the wait is shortest, and when every endpoint is under suspicion one of these all the same.
func (x *exchange) pick(ctx context.Context) (director.Pick, bool, error) {
	if x.lastResort {
		return x.pickLast(ctx)
	}
	if x.offers < mostOffers {
		x.offers++
		wish := x.wish()
		wish.Free = true
		wish.Tried = slices.Concat(x.tried, x.declined)
		if pick, err := x.g.director.Pick(ctx, wish); err == nil {
			return pick, false, nil
		}
	}
	x.offers = mostOffers
	if x.waits++; x.waits > mostWaits {
		return director.Pick{}, true, fault.New(fault.Overloaded, x.call.service.Key, "every endpoint asked is full")
	}
	wish := x.wish()
	wish.Least = true
	wish.Tried = slices.Concat(x.tried, x.suspects)
	pick, err := x.g.director.Pick(ctx, wish)
	if err != nil && len(x.suspects) > 0 {
		return x.pickSuspect(ctx)
	}
	return pick, true, err
}

func (x *exchange) wish() director.Wish {
	return director.Wish{
		Service: x.call.service.Key, Repeatable: x.call.repeatable && x.sends == 0, Tried: x.tried,
	}
}

// send makes one send and reports what it showed of the endpoint.
func (x *exchange) send(ctx context.Context, pick director.Pick, claim *peerpb.Claim, wait bool) *peerpb.End {
	x.answer.late.begin(func() { x.g.director.Late(x.call.service.Key, pick) })
	d := x.dispatch(ctx, pick, claim)
	d.Wait, d.LastResort, d.LikelyOnly = wait, x.lastResort, x.spare || !x.call.repeatable
	d.Canary = x.call.repeatable && x.sends == 0 && x.budget.left()
	asked := time.Since(x.start)
	end := x.deliver(ctx, pick.Endpoint, d)
	late := x.answer.late.end()
	x.note(end)
	x.count(end)
	x.trail.add(step{endpoint: pick.Endpoint.Key, at: asked, seenMillis: pick.SeenMillis, end: end})
	x.g.director.Done(director.Report{
		Service: x.call.service.Key, Pick: pick, WasLate: late, Load: end.GetLoad(),
		Worked: worked(end) && !end.GetLoad().GetTrial(), Failed: x.failed(end), Declined: declined(end) || misplaced(end),
	})
	return end
}

// count shows in the metrics what came of asking an endpoint.
func (x *exchange) count(end *peerpb.End) {
	class := x.g.metrics.Service(x.call.service.Key)
	class.Asked(contract.OutcomeName(end.GetOutcome()), end.GetCode())
	if service := end.GetLoad().GetServiceMicros(); service > 0 {
		class.Work.RecordDuration(time.Duration(service) * time.Microsecond)
	}
}

func (x *exchange) note(end *peerpb.End) {
	x.ran = x.ran || end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN
	x.unknown = x.unknown || end.GetOutcome() == peerpb.Outcome_OUTCOME_UNKNOWN
}

func (x *exchange) dispatch(ctx context.Context, pick director.Pick, claim *peerpb.Claim) *peerpb.Dispatch {
	deadline, _ := ctx.Deadline()
	d := &peerpb.Dispatch{
		RequestId: x.call.id, Endpoint: pick.Endpoint.Key, Service: x.call.service.Key, Customer: x.call.customer,
		Method: x.call.method, Target: x.call.target, Host: x.call.host, Headers: x.call.headers,
		BudgetMicros: time.Until(deadline).Microseconds(), Repeatable: x.call.repeatable, Claim: claim,
		Route: x.call.route.Key, Config: x.call.config,
		Revision: x.call.revision, LateMicros: pick.Late.Microseconds(), Caller: x.g.cfg.Service,
		Priority: uint32(x.call.route.Value.Priority), AimMicros: x.aimLeft().Microseconds(),
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

// aimLeft is what is left of the time in which the answer is worth its full value, at least a moment if the route has one.
func (x *exchange) aimLeft() time.Duration {
	aim := time.Duration(x.call.route.Value.Aim)
	if aim == 0 {
		return 0
	}
	return max(aim-time.Since(x.start), time.Microsecond)
}

// overdue tells whether the time in which an answer has its full worth is over.
func (x *exchange) overdue() bool {
	aim := time.Duration(x.call.route.Value.Aim)
	return aim > 0 && time.Since(x.start) > aim
}

const (
	// staleWait is how long a request waits for the configuration by which an endpoint's node has refused it: about what
	// a change takes from node to node.
	staleWait = 300 * time.Millisecond
	staleLook = 5 * time.Millisecond
)

// current brings a request that was refused as going by an older configuration to the one in force here by now; false
// when that no longer sends it to this service, or does not come.
func (x *exchange) current(ctx context.Context, end *peerpb.End) bool {
	if fault.Code(end.GetCode()) != fault.Stale {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, staleWait)
	defer cancel()
	for x.config() <= x.call.config {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(staleLook):
		}
	}
	snap := x.g.snapshot()
	row, ok := snap.State.Row(table.KindRoute, x.call.route.Key)
	if !ok {
		return false
	}
	next, err := table.Decode[table.Route](row)
	if err != nil || !sends(next, x.call.service.Key) {
		return false
	}
	x.call.config = x.config()
	// The endpoint refused the configuration, not the request.
	x.tried = x.tried[:len(x.tried)-1]
	return true
}

func (x *exchange) config() uint64 { return x.g.snapshot().State.Revisions()[table.PlaneConfig] }

// sends tells whether a route sends requests to a service.
func sends(r table.Route, service string) bool {
	if r.Service == service && len(r.Split.Parts()) == 0 {
		return true
	}
	for _, p := range r.Split.Parts() {
		if p.Service == service && p.Weight > 0 {
			return true
		}
	}
	return false
}

// deliver brings a dispatch to the egress beside the endpoint: a function call here, a link elsewhere.
func (x *exchange) deliver(ctx context.Context, e table.Entry[table.Endpoint], d *peerpb.Dispatch) *peerpb.End {
	if e.Value.Host == x.g.cfg.Host {
		return x.g.local.Serve(ctx, d, x.body.reader(), x.answer)
	}
	host, ok := x.g.snapshot().ByID[e.Value.Host]
	if !ok {
		return peer.NotRun(fault.LinkDown, 0)
	}
	s, err := x.session(ctx, host.Address)
	if err != nil {
		return peer.NotRun(fault.LinkDown, 0)
	}
	end := s.Exchange(ctx, d, x.body.reader(), x.answer)
	if lost(end) && d.GetExchange() != 0 && !x.call.repeatable {
		return x.recover(ctx, host, d.GetExchange(), end)
	}
	return end
}

// linkLimit is how long a request waits for a link that is not up: a few round trips between regions. The link is opened
// all the same; a host without power would hold the request for the whole time of a connection.
const linkLimit = 100 * time.Millisecond

func (x *exchange) session(ctx context.Context, address string) (*peer.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, linkLimit)
	defer cancel()
	return x.g.links.Session(ctx, address)
}

// lost tells that a request was handed over and that its link broke.
func lost(end *peerpb.End) bool {
	return end.GetOutcome() == peerpb.Outcome_OUTCOME_UNKNOWN && fault.Code(end.GetCode()) == fault.LinkLost
}

// worked tells whether an end is evidence about the endpoint. A lost link is evidence about the link, and a refusal
// about load; what timed out counts against the endpoint, which had the request.
func worked(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.LinkLost, fault.LinkDown, fault.Canceled, fault.Protocol, fault.OfferLapsed:
		return false
	case fault.EndpointUnreachable, fault.DeadlineExceeded, fault.EndpointCut:
		return true
	}
	return end.GetOutcome() == peerpb.Outcome_OUTCOME_RAN
}

func (x *exchange) failed(end *peerpb.End) bool {
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_RAN || !end.GetComplete() {
		return true
	}
	return x.answer.head.GetStatus() >= http.StatusInternalServerError
}

// declined tells that an endpoint turned the request away for want of a slot or of trust, before anything was sent.
func declined(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.Busy, fault.Suspect, fault.OfferLapsed:
		return end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return false
}

// crowded tells that an egress had no room for a request, which its endpoint has not seen.
func crowded(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.Overloaded, fault.DeadlineTooShort:
		return end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return false
}

// misplaced tells that the sender's view was old, or its link down.
func misplaced(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.Draining, fault.WrongHost, fault.LinkDown, fault.Stale:
		return end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return false
}

// again decides on a further send.
func (x *exchange) again(ctx context.Context, pick director.Pick, end *peerpb.End) bool {
	if ctx.Err() != nil {
		return false
	}
	key := pick.Endpoint.Key
	if declined(end) {
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
	x.tried = append(x.tried, key)
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
	deadline, _ := ctx.Deadline()
	a := retry.Attempt{
		Number: x.sends, Most: int(x.call.route.Value.Attempts), Outcome: end.GetOutcome(), Repeatable: x.call.repeatable,
		Overloaded: crowded(end) || fault.Code(end.GetCode()) == fault.EndpointShed,
		Failed:     x.failed(end), Started: x.answer.started, Replayable: true,
		Left: time.Until(deadline), Typical: pick.Typical,
	}
	if !x.budget.decide(a) {
		return false
	}
	x.g.metrics.Service(x.call.service.Key).Retries.Inc(1)
	x.logAgain(end)
	return true
}

// truth makes the last end speak for the whole request: what an earlier send may have run is never told as not run.
func (x *exchange) truth(end *peerpb.End) *peerpb.End {
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
		return end
	}
	if x.ran || x.unknown {
		end.Outcome = peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return end
}
