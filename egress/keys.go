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

// keys guards the node's dedupe.Home and knows since when it is the home of a key.
type keys struct {
	mu     sync.Mutex
	home   *dedupe.Store
	window time.Duration
	// slack is how long an ingress may act on an older list of endpoints.
	slack time.Duration
	// lists are, for each service with an endpoint here, the lists of endpoints in force of late, oldest first. What
	// was in force before this process first saw the service is not known.
	lists map[string][]keyList
	// ready is set once the node has held a configuration in force, and so knows which services there were.
	ready bool
	// seen are the revisions in force at the last look, bounds the fingerprint of where data may be.
	seen   table.Revisions
	bounds uint64
}

// keyList is the endpoints that may be homes from a time on, with the regions in which they stand.
type keyList struct {
	from      time.Time
	endpoints []string
	regions   map[string]string
}

// within returns the endpoints in regions where a key's data may be.
func (l keyList) within(regions region.Set) []string {
	if !regions.IsRestricted() {
		return l.endpoints
	}
	return slices.DeleteFunc(slices.Clone(l.endpoints), func(name string) bool { return !regions.Allows(l.regions[name]) })
}

func newKeys(home *dedupe.Store, window, slack time.Duration) *keys {
	return &keys{home: home, window: window, slack: slack, lists: make(map[string][]keyList)}
}

// observe notes the lists of endpoints that a snapshot puts in force.
func (k *keys) observe(now time.Time, snap *configsync.Snapshot, host string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteBounds(snap.State)
	snap.State.Services(func(v table.ServiceView) {
		here := slices.ContainsFunc(v.Endpoints, func(e table.Entry[table.Endpoint]) bool { return e.Value.Host == host })
		if !here && k.lists[v.Key] == nil {
			return
		}
		from := now
		if k.lists[v.Key] == nil && k.ready && unchangedSinceMade(v) {
			// The service is new: nothing can have run before its first list, which is this one.
			from = time.Time{}
		}
		list := keyList{from: from, regions: make(map[string]string, len(v.Endpoints))}
		list.endpoints = keyowner.Candidates(v, func(e table.Endpoint) bool { return snap.Listed(e.Host) })
		for _, e := range v.Endpoints {
			list.regions[e.Key] = snap.RegionOf(e.Value.Hall)
		}
		k.noteList(list, v.Key)
	})
	k.ready = snap.Ready
}

// noteBounds forgets since when this node is a home once other regions are bound to some data: a key may have had other homes before.
func (k *keys) noteBounds(s *table.State) {
	if k.seen == s.Revisions() {
		return
	}
	k.seen = s.Revisions()
	bounds := s.RegionRulesHash()
	if bounds != k.bounds && k.ready {
		clear(k.lists)
		k.ready = false
	}
	k.bounds = bounds
}

// unchangedSinceMade tells whether the service and all its endpoints still stand as one change made them.
func unchangedSinceMade(v table.ServiceView) bool {
	return !slices.ContainsFunc(v.Endpoints, func(e table.Entry[table.Endpoint]) bool { return e.Revision != v.Revision })
}

func (k *keys) noteList(list keyList, service string) {
	lists := k.lists[service]
	if n := len(lists); n > 0 && slices.Equal(lists[n-1].endpoints, list.endpoints) && maps.Equal(lists[n-1].regions, list.regions) {
		return
	}
	now := list.from
	lists = append(lists, list)
	for len(lists) > 1 && now.Sub(lists[1].from) > k.window+k.slack {
		lists = lists[1:]
	}
	k.lists[service] = lists
}

// homeSince tells whether every list in force from a time on is known and fits.
func (k *keys) homeSince(from time.Time, service string, fits func(l keyList) bool) bool {
	for _, l := range slices.Backward(k.lists[service]) {
		if !fits(l) {
			return false
		}
		if !l.from.After(from) {
			return true
		}
	}
	return false
}

// claim decides about a key, whose data may be in some regions by this node's state.
//
// Invariant: a request without a record runs only where a home that any list of the window named, and that remembers
// the whole window, was asked; for a re-send, both of them.
func (k *keys) claim(now time.Time, d *peerpb.Dispatch, regions region.Set) (dedupe.Verdict, dedupe.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := d.GetClaim()
	id := dedupe.ID{Scope: c.GetScope(), Key: c.GetKey()}
	fits := func(l keyList) bool {
		place := slices.Index(keyowner.Owners(l.within(regions), id), d.GetEndpoint())
		// A caller that marks no attempts has the first home only, so it must have been the same one all along.
		return place == 0 || place > 0 && c.GetAttempt() > 0
	}
	return k.home.Claim(now, dedupe.Claim{
		ID: id, Attempt: c.GetAttempt(), Fingerprint: c.GetFingerprint(), Fence: c.GetFence(), Vouched: c.GetVouched(),
		CompleteHistory: sameRegions(c, regions) && k.homeSince(now.Add(-k.window-k.slack), d.GetService(), fits),
		Deadline:        now.Add(time.Duration(d.GetBudgetMicros()) * time.Microsecond),
	})
}

// sameRegions tells whether a claim goes by the regions that this node knows of: by others its key has other homes.
func sameRegions(c *peerpb.Claim, regions region.Set) bool {
	return c.GetBound() == regions.IsRestricted() && slices.Equal(c.GetRegions(), regions.Names())
}

func (k *keys) settle(now time.Time, scope, key string, outcome peerpb.Outcome, a dedupe.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := dedupe.ID{Scope: scope, Key: key}
	if outcome == peerpb.Outcome_OUTCOME_NOT_RUN {
		k.home.Release(now, id)
		return
	}
	k.home.Finish(now, id, outcome, a)
}

func (k *keys) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.home.Len()
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

// keepingSink keeps the answer for a replay while it passes it on. An answer that could not be passed on is still
// read to its end by nobody, so it is kept only when complete.
type keepingSink struct {
	peer.Sink
	head *peerpb.Head
	body []byte
	lost bool
}

// HandOver implements peer.HandOver.
func (s *keepingSink) AllowDispatch() bool { return peer.AllowsDispatch(s.Sink) }

// Head implements peer.Sink.
func (s *keepingSink) Head(h *peerpb.Head, soon bool) error {
	s.head = h
	s.passed(s.Sink.Head(h, soon))
	return nil
}

// Data implements peer.Sink.
func (s *keepingSink) Data(b []byte, last bool) error {
	if len(s.body) <= dedupe.MaxStoredBody {
		s.body = append(s.body, b...)
	}
	if !s.lost {
		s.passed(s.Sink.Data(b, last))
	}
	return nil
}

// passed notes that the caller cannot be reached; the answer is read on for the record.
func (s *keepingSink) passed(err error) { s.lost = s.lost || err != nil }

func (s *keepingSink) answer(end *peerpb.End) dedupe.Answer {
	kept := end.GetComplete() && len(s.body) <= dedupe.MaxStoredBody
	return dedupe.Answer{Head: s.head, Body: s.body, Stored: kept}
}
