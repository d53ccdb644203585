package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/lynxplank/lynxplank/dedupe"
	"github.com/lynxplank/lynxplank/director"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/keyowner"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// A key has two homes. The first decides; the second takes first attempts, marked as such by the caller, while the
// first cannot be reached. A first attempt runs where one of them remembers the whole window; a re-send must be granted
// by the first and found clean by both, so that it meets whatever an earlier attempt did. A caller that marks no
// attempts is always taken to re-send, and has the first home only.

// runKeyed runs a request under its idempotency key.
//
// Invariant: the request is handed to an endpoint only under a grant of one of the key's homes.
func (x *exchange) runKeyed(ctx context.Context) *peerpb.End {
	id := dedupe.ID{Scope: x.call.scope(), Key: x.call.key}
	homes := x.homes(id)
	if len(homes) == 0 {
		return peer.NotRun(fault.NoEndpoint, 0)
	}
	switch {
	case x.call.attempt == 0 || len(homes) == 1:
		return x.keyedTruth(x.runAtHome(ctx, homes[0], false))
	case x.call.attempt == 1:
		return x.firstAttempt(ctx, homes)
	}
	if end := x.fenceAll(ctx, homes); end != nil {
		return end
	}
	return x.keyedTruth(x.runAtHome(ctx, homes[0], false))
}

// firstAttempt runs at the first home, with the second one's word if the first remembers too little, and at the second
// home if the first cannot be reached.
func (x *exchange) firstAttempt(ctx context.Context, homes []table.Entry[table.Endpoint]) *peerpb.End {
	end := x.runAtHome(ctx, homes[0], false)
	if !outOfReach(end) {
		return end
	}
	if fault.Code(end.GetCode()) != fault.KeyRefused {
		return x.runAtHome(ctx, homes[1], false)
	}
	word := x.ask(ctx, homes[1], x.claim(true, true))
	switch word.GetOutcome() {
	case peerpb.Outcome_OUTCOME_CLAIMED:
		return x.runAtHome(ctx, homes[0], true)
	case peerpb.Outcome_OUTCOME_RAN:
		return word
	default:
		return end
	}
}

func (x *exchange) homes(id dedupe.ID) []table.Entry[table.Endpoint] {
	snap := x.g.snapshot()
	view, _ := snap.State.Service(x.call.service.Key)
	names := keyowner.Owners(keyowner.Candidates(view, func(e table.Endpoint) bool {
		return snap.Listed(e.Host) && x.call.regions.Allows(snap.RegionOf(e.Hall))
	}), id)
	out := make([]table.Entry[table.Endpoint], 0, len(names))
	for _, name := range names {
		i := slices.IndexFunc(view.Endpoints, func(e table.Entry[table.Endpoint]) bool { return e.Key == name })
		out = append(out, view.Endpoints[i])
	}
	return out
}

// outOfReach tells that a home gave no verdict, and that nothing ran.
func outOfReach(end *peerpb.End) bool {
	code := fault.Code(end.GetCode())
	unreachable := code == fault.LinkDown || code == fault.KeyRefused || code == fault.WrongHost ||
		code == fault.EndpointMoved
	return unreachable && end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
}

// unasked tells that the request's time ran out, or its caller left, before a home was asked.
func unasked(end *peerpb.End) bool {
	code := fault.Code(end.GetCode())
	return end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN &&
		(code == fault.DeadlineExceeded || code == fault.Canceled || code == fault.Stopping)
}

// keyedTruth never tells of a request that may be a re-send that it was not run, unless a home knows.
func (x *exchange) keyedTruth(end *peerpb.End) *peerpb.End {
	if (outOfReach(end) || unasked(end)) && x.call.attempt != 1 {
		end.Outcome = peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return end
}

func (x *exchange) claim(fence, claimOnly bool) *peerpb.Claim {
	return &peerpb.Claim{
		Scope: x.call.scope(), Key: x.call.key, Attempt: x.call.attempt,
		Fingerprint: x.call.fingerprint(x.body), ClaimOnly: claimOnly, Fence: fence,
		Regions: x.call.regions.Names(), Bound: x.call.regions.IsRestricted(),
	}
}

func vouch(c *peerpb.Claim, vouched bool) *peerpb.Claim {
	c.Vouched = vouched
	return c
}

// fenceAll asks every home of a re-send; nil means that none knows of a run, each would know, and none will let a
// late first attempt through. A home that holds the answer settles it, whatever the others say.
func (x *exchange) fenceAll(ctx context.Context, homes []table.Entry[table.Endpoint]) *peerpb.End {
	var doubt *peerpb.End
	for _, home := range homes {
		end := x.ask(ctx, home, x.claim(true, true))
		switch end.GetOutcome() {
		case peerpb.Outcome_OUTCOME_CLAIMED:
		case peerpb.Outcome_OUTCOME_RAN:
			return end
		default:
			doubt = x.keyedTruth(end)
		}
	}
	return doubt
}

// ask brings a claim to a home without a wish to run there.
func (x *exchange) ask(ctx context.Context, home table.Entry[table.Endpoint], c *peerpb.Claim) *peerpb.End {
	d := x.dispatch(ctx, director.Pick{Endpoint: home}, c)
	d.BodyLength, d.Body = 0, nil
	return x.deliver(ctx, home, d, x.answer)
}

// runAtHome runs the request at the home's own endpoint if that takes work, else elsewhere under the home's grant.
func (x *exchange) runAtHome(ctx context.Context, home table.Entry[table.Endpoint], vouched bool) *peerpb.End {
	wish := x.wish()
	wish.Pinned = home.Key
	pick, err := x.g.director.Pick(ctx, wish)
	if err == nil {
		end := x.send(ctx, pick, vouch(x.claim(false, false), vouched), true)
		if !refusedForLoad(end) || !x.again(ctx, pick, end) {
			return end
		}
	}
	end := x.ask(ctx, home, vouch(x.claim(false, true), vouched))
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_CLAIMED {
		return end
	}
	end = x.runAnywhere(ctx)
	x.settle(home, end)
	return end
}

// refusedForLoad tells that the home granted the key but its endpoint did not take the work.
func refusedForLoad(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.Overloaded, fault.DeadlineTooShort, fault.Draining, fault.Evacuated, fault.EndpointShed,
		fault.EndpointUnreachable, fault.Busy, fault.Suspect, fault.Cold:
		return end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return false
}

const settleTimeout = 2 * time.Second

// settle tells the home how the request ended elsewhere. If that fails, the home takes the fate for unknown in time.
func (x *exchange) settle(home table.Entry[table.Endpoint], end *peerpb.End) {
	msg := &peerpb.Settle{Scope: x.call.scope(), Key: x.call.key, Outcome: end.GetOutcome()}
	msg.Head, msg.Body = x.answer.record(end)
	if home.Value.Host == x.g.cfg.Host {
		x.g.local.Settle(msg)
		return
	}
	host, ok := x.g.snapshot().ByID[home.Value.Host]
	if !ok {
		return
	}
	x.g.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		s, err := x.g.links.Session(ctx, host.Address)
		if err != nil {
			return
		}
		_ = s.Settle(ctx, msg)
	})
}
