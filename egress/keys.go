package egress

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/configsync"
	"github.com/lynxplank/lynxplank/dedupe"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/keyowner"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/region"
	"github.com/lynxplank/lynxplank/table"
)

// keyStore guards the node's key records and knows since when the endpoints beside this node have owned a key.
type keyStore struct {
	mu      sync.Mutex
	records *dedupe.Store
	window  time.Duration
	// convergence is how long an ingress may act on an older list of endpoints.
	convergence time.Duration
	// endpointLists has, for each service with an endpoint here, the recently active lists of endpoints, oldest
	// first. Lists from before this process first saw the service are not known.
	endpointLists map[string][]endpointList
	// ready is set once the node has had an active configuration, and so knows which services there were.
	ready bool
	// revisions are those of the last snapshot observed, regionBounds is a fingerprint of where data may be.
	revisions    table.Revisions
	regionBounds uint64
}

// endpointList holds the endpoints that are eligible as owners of keys from a time on, with the regions they are in.
type endpointList struct {
	since     time.Time
	endpoints []string
	regions   map[string]string
}

// allowedIn returns the endpoints in the regions where a key's data may be.
func (l endpointList) allowedIn(regions region.Set) []string {
	if !regions.IsRestricted() {
		return l.endpoints
	}
	return slices.DeleteFunc(slices.Clone(l.endpoints), func(name string) bool { return !regions.Allows(l.regions[name]) })
}

func newKeyStore(records *dedupe.Store, window, convergence time.Duration) *keyStore {
	return &keyStore{records: records, window: window, convergence: convergence, endpointLists: make(map[string][]endpointList)}
}

// observe records the lists of endpoints of a new snapshot.
func (k *keyStore) observe(now time.Time, snap *configsync.Snapshot, host string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.resetOnRegionChange(snap.State)
	snap.State.Services(func(v table.ServiceView) {
		isLocal := slices.ContainsFunc(v.Endpoints, func(e table.Entry[table.Endpoint]) bool { return e.Value.Host == host })
		if !isLocal && k.endpointLists[v.Key] == nil {
			return
		}
		from := now
		if k.endpointLists[v.Key] == nil && k.ready && unchangedSinceCreation(v) {
			// The service is new: no request can have run before its first list, which is this one.
			from = time.Time{}
		}
		list := endpointList{since: from, regions: make(map[string]string, len(v.Endpoints))}
		list.endpoints = keyowner.Candidates(v, func(e table.Endpoint) bool { return snap.Listed(e.Host) })
		for _, e := range v.Endpoints {
			list.regions[e.Key] = snap.RegionOf(e.Value.Hall)
		}
		k.addList(list, v.Key)
	})
	k.ready = snap.Ready
}

// resetOnRegionChange forgets since when this node owns keys if the region restrictions have changed: a key may have
// had other owners before.
func (k *keyStore) resetOnRegionChange(s *table.State) {
	if k.revisions == s.Revisions() {
		return
	}
	k.revisions = s.Revisions()
	bounds := s.RegionRulesHash()
	if bounds != k.regionBounds && k.ready {
		clear(k.endpointLists)
		k.ready = false
	}
	k.regionBounds = bounds
}

// unchangedSinceCreation reports whether the service and all its endpoints are still as one single change created
// them.
func unchangedSinceCreation(v table.ServiceView) bool {
	return !slices.ContainsFunc(v.Endpoints, func(e table.Entry[table.Endpoint]) bool { return e.Revision != v.Revision })
}

func (k *keyStore) addList(list endpointList, service string) {
	lists := k.endpointLists[service]
	if n := len(lists); n > 0 && slices.Equal(lists[n-1].endpoints, list.endpoints) && maps.Equal(lists[n-1].regions, list.regions) {
		return
	}
	now := list.since
	lists = append(lists, list)
	for len(lists) > 1 && now.Sub(lists[1].since) > k.window+k.convergence {
		lists = lists[1:]
	}
	k.endpointLists[service] = lists
}

// ownerSince reports whether every list that was active since a time is known and satisfies fits.
func (k *keyStore) ownerSince(from time.Time, service string, fits func(l endpointList) bool) bool {
	for _, l := range slices.Backward(k.endpointLists[service]) {
		if !fits(l) {
			return false
		}
		if !l.since.After(from) {
			return true
		}
	}
	return false
}

// claim decides on a key whose data may be in some regions, by this node's configuration.
//
// Invariant: a request without a record runs only if an owner was asked that every list active during the window
// names as an owner, and that remembers the whole window; a resend only if both owners were.
func (k *keyStore) claim(now time.Time, d *peerpb.Dispatch, regions region.Set) (dedupe.Verdict, dedupe.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := d.GetClaim()
	id := dedupe.ID{Scope: c.GetScope(), Key: c.GetKey()}
	fits := func(l endpointList) bool {
		rank := slices.Index(keyowner.Owners(l.allowedIn(regions), id), d.GetEndpoint())
		// A caller that does not number its attempts asks the first owner only, which must have been the same all
		// along.
		return rank == 0 || rank > 0 && c.GetAttempt() > 0
	}
	return k.records.Claim(now, dedupe.Claim{
		ID: id, Attempt: c.GetAttempt(), Fingerprint: c.GetFingerprint(), Fence: c.GetFence(), Vouched: c.GetVouched(),
		CompleteHistory: sameRegions(c, regions) && k.ownerSince(now.Add(-k.window-k.convergence), d.GetService(), fits),
		Deadline:        now.Add(time.Duration(d.GetBudgetMicros()) * time.Microsecond),
	})
}

// sameRegions reports whether the sender of a claim assumed the regions that this node knows of; with others, the key
// has other owners.
func sameRegions(c *peerpb.Claim, regions region.Set) bool {
	return c.GetBound() == regions.IsRestricted() && slices.Equal(c.GetRegions(), regions.Names())
}

func (k *keyStore) settle(now time.Time, scope, key string, outcome peerpb.Outcome, answer dedupe.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := dedupe.ID{Scope: scope, Key: key}
	if outcome == peerpb.Outcome_OUTCOME_NOT_RUN {
		k.records.Release(now, id)
		return
	}
	k.records.Finish(now, id, outcome, answer)
}

func (k *keyStore) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.records.Len()
}

// verdictEnd answers a claim that was not granted.
func verdictEnd(v dedupe.Verdict, a dedupe.Answer, sink peer.Sink) *peerpb.End {
	switch v {
	case dedupe.Replay:
		return replay(a, sink)
	case dedupe.InProgress:
		end := peer.Unknown(fault.KeyInProgress)
		end.RetryAfterMillis = shortRetryAfter.Milliseconds()
		return end
	case dedupe.Mismatch:
		return peer.NotRun(fault.KeyMismatch, 0)
	case dedupe.Full, dedupe.IncompleteHistory:
		return peer.NotRun(fault.KeyRefused, drainRetryAfter)
	case dedupe.Clean:
		return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_CLAIMED}
	case dedupe.Unknown, dedupe.Grant:
	}
	return peer.Unknown(fault.KeyUnknown)
}

func replay(a dedupe.Answer, sink peer.Sink) *peerpb.End {
	end := &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN}
	if !a.Stored {
		end.Code = string(fault.KeyUnknown)
		return end
	}
	head := &peerpb.Head{Status: a.Head.GetStatus(), Headers: a.Head.GetHeaders(), Replayed: true}
	if sink.Head(head, true) != nil || sink.Data(a.Body, true) != nil {
		return end
	}
	end.Complete = true
	return end
}

// replaySink records the answer for a replay while it passes it on. If the caller is gone the answer is still read to
// its end; only a complete one is stored.
type replaySink struct {
	peer.Sink
	head       *peerpb.Head
	body       []byte
	callerLost bool
}

// AllowDispatch implements peer.DispatchGate.
func (s *replaySink) AllowDispatch() bool { return peer.AllowsDispatch(s.Sink) }

// Head implements peer.Sink.
func (s *replaySink) Head(h *peerpb.Head, soon bool) error {
	s.head = h
	s.noteError(s.Sink.Head(h, soon))
	return nil
}

// Data implements peer.Sink.
func (s *replaySink) Data(b []byte, last bool) error {
	if len(s.body) <= dedupe.MaxStoredBody {
		s.body = append(s.body, b...)
	}
	if !s.callerLost {
		s.noteError(s.Sink.Data(b, last))
	}
	return nil
}

// noteError records that the caller cannot be reached; the answer is read on for the key's record.
func (s *replaySink) noteError(err error) { s.callerLost = s.callerLost || err != nil }

func (s *replaySink) answer(end *peerpb.End) dedupe.Answer {
	stored := end.GetComplete() && len(s.body) <= dedupe.MaxStoredBody
	return dedupe.Answer{Head: s.head, Body: s.body, Stored: stored}
}
