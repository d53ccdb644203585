package egress

import (
	"slices"
	"sync"
	"time"

	"github.com/lynxplank/lynxplank/dedupe"
	"github.com/lynxplank/lynxplank/fault"
	"github.com/lynxplank/lynxplank/gen/peerpb"
	"github.com/lynxplank/lynxplank/keyhome"
	"github.com/lynxplank/lynxplank/peer"
	"github.com/lynxplank/lynxplank/table"
)

// slack is how much longer than the window a home must have been the only one: an ingress may have acted on an
// older list of endpoints for a while.
const slack = 10 * time.Second

// keys guards the node's dedupe.Home and knows since when it is the home of a key.
type keys struct {
	mu     sync.Mutex
	home   *dedupe.Home
	window time.Duration
	since  time.Time
	// lists are, for each service with an endpoint here, the lists of endpoints in force of late, oldest first.
	lists map[string][]keyList
}

type keyList struct {
	from      time.Time
	endpoints []string
}

func newKeys(home *dedupe.Home, window time.Duration) *keys {
	return &keys{home: home, window: window, since: time.Now(), lists: make(map[string][]keyList)}
}

// observe notes the lists of endpoints that a state puts in force.
func (k *keys) observe(now time.Time, s *table.State, host string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s.Services(func(v table.ServiceView) {
		here := slices.ContainsFunc(v.Endpoints, func(e table.Entry[table.Endpoint]) bool { return e.Value.Host == host })
		if !here && k.lists[v.Key] == nil {
			return
		}
		k.noteList(now, v)
	})
}

func (k *keys) noteList(now time.Time, v table.ServiceView) {
	names := keyhome.Names(v)
	lists := k.lists[v.Key]
	if n := len(lists); n > 0 && slices.Equal(lists[n-1].endpoints, names) {
		return
	}
	lists = append(lists, keyList{from: now, endpoints: names})
	for len(lists) > 1 && now.Sub(lists[1].from) > k.window+slack {
		lists = lists[1:]
	}
	k.lists[v.Key] = lists
}

// covered tells whether endpoint has been among a key's homes in the same place, with its memory whole, for longer
// than re-sends may come.
func (k *keys) covered(now time.Time, d *peerpb.Dispatch, id dedupe.ID) bool {
	from := now.Add(-k.window - slack)
	if k.since.After(from) {
		return false
	}
	lists := k.lists[d.GetService()]
	if len(lists) == 0 {
		return false
	}
	place := slices.Index(keyhome.Homes(lists[len(lists)-1].endpoints, id), d.GetEndpoint())
	for i, l := range slices.Backward(lists) {
		if place < 0 || slices.Index(keyhome.Homes(l.endpoints, id), d.GetEndpoint()) != place {
			return false
		}
		if !l.from.After(from) {
			return true
		}
		if i == 0 {
			// The first list may have stood before this process first saw it, but not known to.
			return false
		}
	}
	return false
}

func (k *keys) claim(d *peerpb.Dispatch) (dedupe.Verdict, dedupe.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	c := d.GetClaim()
	id := dedupe.ID{Scope: c.GetScope(), Key: c.GetKey()}
	return k.home.Claim(now, dedupe.Claim{
		ID: id, Attempt: c.GetAttempt(), Fingerprint: c.GetFingerprint(), Fence: c.GetFence(),
		Covered:  k.covered(now, d, id),
		Deadline: now.Add(time.Duration(d.GetBudgetMicros()) * time.Microsecond),
	})
}

func (k *keys) settle(scope, key string, outcome peerpb.Outcome, a dedupe.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := dedupe.ID{Scope: scope, Key: key}
	if outcome == peerpb.Outcome_OUTCOME_NOT_RUN {
		k.home.Release(time.Now(), id)
		return
	}
	k.home.Finish(time.Now(), id, outcome, a)
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
	case dedupe.Full:
		return peer.NotRun(fault.KeyRefused, drainRetryAfter)
	case dedupe.Clean:
		return &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_CLAIMED}
	case dedupe.Unknown, dedupe.Grant:
	}
	return peer.Unknown(fault.KeyUnknown)
}

func replay(a dedupe.Answer, sink peer.Sink) *peerpb.End {
	end := &peerpb.End{Outcome: peerpb.Outcome_OUTCOME_RAN}
	if !a.Kept {
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

// Head implements peer.Sink.
func (s *keepingSink) Head(h *peerpb.Head, soon bool) error {
	s.head = h
	s.passed(s.Sink.Head(h, soon))
	return nil
}

// Data implements peer.Sink.
func (s *keepingSink) Data(b []byte, last bool) error {
	if len(s.body) <= dedupe.KeptBody {
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
	kept := end.GetComplete() && len(s.body) <= dedupe.KeptBody
	return dedupe.Answer{Head: s.head, Body: s.body, Kept: kept}
}
