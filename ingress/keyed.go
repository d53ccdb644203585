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

// An idempotency key has two owners. The first decides. The second takes first attempts, which the caller marks as
// such, while the first cannot be reached. A first attempt runs where one owner remembers the whole key window. A
// resend must be granted by the first owner, and neither owner may know of an earlier run, so that it finds the result
// of any earlier attempt. A request without an attempt number is always treated as a resend, and only the first owner
// is asked for it.

// runKeyed runs a request under its idempotency key.
//
// Invariant: the request is dispatched to an endpoint only under a grant of one of the key's owners.
func (x *exchange) runKeyed(ctx context.Context) *peerpb.End {
	id := dedupe.ID{Scope: x.call.scope(), Key: x.call.key}
	owners := x.owners(id)
	if len(owners) == 0 {
		return peer.NotRun(fault.NoEndpoint, 0)
	}
	switch {
	case x.call.attempt == 0 || len(owners) == 1:
		return x.withKeyedOutcome(x.runAtOwner(ctx, owners[0], false))
	case x.call.attempt == 1:
		return x.runFirstAttempt(ctx, owners)
	}
	if end := x.fenceAll(ctx, owners); end != nil {
		return end
	}
	return x.withKeyedOutcome(x.runAtOwner(ctx, owners[0], false))
}

// runFirstAttempt runs the request at the first owner. If the first owner remembers too little, the second owner must
// confirm that it knows of no run, or returns the answer if it has one. If the first owner cannot be reached, the request
// runs at the second.
func (x *exchange) runFirstAttempt(ctx context.Context, owners []table.Entry[table.Endpoint]) *peerpb.End {
	end := x.runAtOwner(ctx, owners[0], false)
	if !ownerUnreachable(end) {
		return end
	}
	if fault.Code(end.GetCode()) != fault.KeyRefused {
		return x.runAtOwner(ctx, owners[1], false)
	}
	fenced := x.requestClaim(ctx, owners[1], x.claim(true, true))
	switch fenced.GetOutcome() {
	case peerpb.Outcome_OUTCOME_CLAIMED:
		return x.runAtOwner(ctx, owners[0], true)
	case peerpb.Outcome_OUTCOME_RAN:
		return fenced
	default:
		return end
	}
}

func (x *exchange) owners(id dedupe.ID) []table.Entry[table.Endpoint] {
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

// ownerUnreachable reports whether an owner could not be reached or could not protect the key, so that nothing ran.
func ownerUnreachable(end *peerpb.End) bool {
	code := fault.Code(end.GetCode())
	unreachable := code == fault.LinkDown || code == fault.KeyRefused || code == fault.WrongHost ||
		code == fault.EndpointMoved
	return unreachable && end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
}

// ownerNotAsked reports whether the request timed out, or its caller left, before an owner was asked.
func ownerNotAsked(end *peerpb.End) bool {
	code := fault.Code(end.GetCode())
	return end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN &&
		(code == fault.DeadlineExceeded || code == fault.Canceled || code == fault.Stopping)
}

// withKeyedOutcome changes not run to unknown for a possible resend, unless an owner of the key knows that it did not
// run.
func (x *exchange) withKeyedOutcome(end *peerpb.End) *peerpb.End {
	if (ownerUnreachable(end) || ownerNotAsked(end)) && x.call.attempt != 1 {
		end.Outcome = peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return end
}

func (x *exchange) claim(fence, claimOnly bool) *peerpb.Claim {
	return &peerpb.Claim{
		Scope: x.call.scope(), Key: x.call.key, Attempt: x.call.attempt,
		Fingerprint: x.call.bodyHash(x.body), ClaimOnly: claimOnly, Fence: fence,
		Regions: x.call.regions.Names(), Bound: x.call.regions.IsRestricted(),
	}
}

// withVouched sets whether the key's other owner has confirmed that it knows of no run.
func withVouched(c *peerpb.Claim, vouched bool) *peerpb.Claim {
	c.Vouched = vouched
	return c
}

// fenceAll asks every owner of a resend's key. nil means that no owner knows of a run, that each would know of one, and
// that none will grant a late first attempt any more. If an owner has the answer, that answer is returned, whatever the
// others report.
func (x *exchange) fenceAll(ctx context.Context, owners []table.Entry[table.Endpoint]) *peerpb.End {
	var unresolved *peerpb.End
	for _, owner := range owners {
		end := x.requestClaim(ctx, owner, x.claim(true, true))
		switch end.GetOutcome() {
		case peerpb.Outcome_OUTCOME_CLAIMED:
		case peerpb.Outcome_OUTCOME_RAN:
			return end
		default:
			unresolved = x.withKeyedOutcome(end)
		}
	}
	return unresolved
}

// requestClaim sends a claim to an owner without having the request run there.
func (x *exchange) requestClaim(ctx context.Context, owner table.Entry[table.Endpoint], c *peerpb.Claim) *peerpb.End {
	d := x.buildDispatch(ctx, director.Pick{Endpoint: owner}, c)
	d.BodyLength, d.Body = 0, nil
	return x.deliver(ctx, owner, d, x.answer)
}

// runAtOwner runs the request at the owner's own endpoint if it takes work, else elsewhere under the owner's grant.
func (x *exchange) runAtOwner(ctx context.Context, owner table.Entry[table.Endpoint], vouched bool) *peerpb.End {
	opts := x.pickOptions()
	opts.Pinned = owner.Key
	pick, err := x.g.director.Pick(ctx, opts)
	if err == nil {
		end := x.send(ctx, pick, withVouched(x.claim(false, false), vouched), true)
		if !refusedForLoad(end) || !x.shouldRetry(ctx, pick, end) {
			return end
		}
	}
	end := x.requestClaim(ctx, owner, withVouched(x.claim(false, true), vouched))
	if end.GetOutcome() != peerpb.Outcome_OUTCOME_CLAIMED {
		return end
	}
	end = x.runAnywhere(ctx)
	x.settle(owner, end)
	return end
}

// refusedForLoad reports whether the owner granted the key but its endpoint did not take the work.
func refusedForLoad(end *peerpb.End) bool {
	switch fault.Code(end.GetCode()) {
	case fault.Overloaded, fault.DeadlineTooShort, fault.Draining, fault.Evacuated, fault.EndpointShed,
		fault.EndpointUnreachable, fault.Busy, fault.Suspect, fault.Cold, fault.MaxRate:
		return end.GetOutcome() == peerpb.Outcome_OUTCOME_NOT_RUN
	}
	return false
}

const settleTimeout = 2 * time.Second

// settle reports to the owner how the request ended elsewhere. If that fails, the owner treats the outcome as unknown
// after some time.
func (x *exchange) settle(owner table.Entry[table.Endpoint], end *peerpb.End) {
	msg := &peerpb.Settle{Scope: x.call.scope(), Key: x.call.key, Outcome: end.GetOutcome()}
	msg.Head, msg.Body = x.answer.record(end)
	if owner.Value.Host == x.g.cfg.Host {
		x.g.local.Settle(msg)
		return
	}
	host, ok := x.g.snapshot().ByID[owner.Value.Host]
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
