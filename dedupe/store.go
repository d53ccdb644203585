package dedupe

import (
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// ID identifies a key within its customer and service.
type ID struct {
	// Scope is the customer and the service.
	Scope string
	// Key is the key that the caller chose.
	Key string
}

// Verdict is the decision about a claim.
type Verdict uint8

// The verdicts.
const (
	// Grant lets this request run; it must end with Finish or Release.
	Grant Verdict = iota
	// Replay answers the request with the stored answer.
	Replay
	// InProgress means that an earlier request with the key is still running.
	InProgress
	// Unknown means that it can't be known whether an earlier request with the key ran.
	Unknown
	// Mismatch means that the key was used before with a different request.
	Mismatch
	// Full means that the store has no space for another key; the request did not run.
	Full
	// Clean answers a fence: this owner knows of no run with the key and will refuse a late first attempt.
	Clean
	// IncompleteHistory means that this claim ran nothing, but that this owner's records don't go back far enough to
	// let a first attempt run unless the key's other owner vouches for it.
	IncompleteHistory
)

// Answer is a stored answer.
type Answer struct {
	// Head is the status and the headers.
	Head *peerpb.Head
	// Body is the complete body.
	Body []byte
	// Stored is false when the answer was too large to store.
	Stored bool
}

// status is the state of a key's last claim.
type status uint8

const (
	// running means that a granted request has not reported its end.
	running status = iota
	// ran means that a granted request ran; later claims get its answer.
	ran
	// unknown means that it can't be known whether the last granted request ran.
	unknown
	// released means that the last granted request did not run; the key may be granted again.
	released
	// fenced means that no run is known and that a late first attempt is refused.
	fenced
)

// record is what the store knows of one key: its status since the time at, and until when a running request counts as
// running.
type record struct {
	status      status
	fingerprint uint64
	at          time.Time
	expires     time.Time
	answer      Answer
}

// Claim asks whether a request may run under its key.
type Claim struct {
	ID
	// Attempt is 0 when the caller doesn't number its attempts, 1 for the first attempt, higher for a retry.
	Attempt uint32
	// Fingerprint distinguishes different requests with the same key.
	Fingerprint uint64
	// Fence asks for no run; it only makes this owner refuse a late first attempt from then on.
	Fence bool
	// Vouched is set when the key's other owner answered a fence with Clean.
	Vouched bool
	// CompleteHistory is set when this owner has been the key's only owner, without losing any records, for longer than
	// retries may arrive.
	CompleteHistory bool
	// Deadline is when a run that never reports its end is given up.
	Deadline time.Time
}

// Store holds the records of the keys that one endpoint owns. It is not safe for concurrent use; its owner must hold a
// lock.
//
// Invariant: between two Grants of a key there is a Release, which is proof that the request did not run.
type Store struct {
	window   time.Duration
	maxBytes int
	bytes    int
	records  map[ID]*record
	order    []ID
}

const (
	// MaxStoredBody is the largest body that is stored for a replay, in bytes.
	MaxStoredBody = 16 << 10
	// recordOverheadBytes is the memory that a record is assumed to take besides the body.
	recordOverheadBytes = 256
	// lateReportGrace is how long after its deadline a run that has not reported its end still counts as running.
	lateReportGrace = 5 * time.Second
)

// NewStore returns an empty store that keeps records for a window and uses at most maxBytes.
func NewStore(window time.Duration, maxBytes int) *Store {
	return &Store{window: window, maxBytes: maxBytes, records: make(map[ID]*record)}
}

// Len returns the number of keys in the store.
func (s *Store) Len() int { return len(s.records) }

// Claim decides about a request.
func (s *Store) Claim(now time.Time, c Claim) (Verdict, Answer) {
	s.expire(now)
	r := s.records[c.ID]
	if r == nil {
		return s.claimNew(now, c), Answer{}
	}
	if r.fingerprint != c.Fingerprint {
		return Mismatch, Answer{}
	}
	if r.status == running && now.After(r.expires) {
		r.status = unknown
	}
	switch r.status {
	case running:
		return InProgress, Answer{}
	case ran:
		return Replay, r.answer
	case unknown:
		return Unknown, Answer{}
	case fenced:
		if c.Attempt == 1 {
			return Unknown, Answer{}
		}
	case released:
	}
	if c.Fence {
		r.status = fenced
		return Clean, Answer{}
	}
	s.grant(now, r, c)
	return Grant, Answer{}
}

func (s *Store) claimNew(now time.Time, c Claim) Verdict {
	if !c.CompleteHistory && (c.Attempt != 1 || c.Fence) {
		return Unknown
	}
	// A retry that had fenced off the first attempt may have run, and this owner may have lost the record of it.
	if !c.CompleteHistory && !c.Vouched {
		return IncompleteHistory
	}
	if s.bytes+recordOverheadBytes+MaxStoredBody > s.maxBytes {
		return Full
	}
	r := &record{fingerprint: c.Fingerprint, at: now, status: fenced}
	s.records[c.ID] = r
	s.order = append(s.order, c.ID)
	s.bytes += recordOverheadBytes
	if c.Fence {
		return Clean
	}
	s.grant(now, r, c)
	return Grant
}

func (s *Store) grant(now time.Time, r *record, c Claim) {
	r.status = running
	r.at = now
	r.expires = c.Deadline.Add(lateReportGrace)
}

// Finish records that a granted request ran, or that it is unknown whether it did.
func (s *Store) Finish(now time.Time, id ID, outcome peerpb.Outcome, a Answer) {
	r := s.records[id]
	if r == nil || r.status != running && r.status != unknown {
		return
	}
	r.at = now
	if outcome != peerpb.Outcome_OUTCOME_RAN {
		r.status = unknown
		return
	}
	r.status = ran
	r.answer = Answer{Head: a.Head}
	if a.Stored && len(a.Body) <= MaxStoredBody {
		r.answer = a
		s.bytes += len(a.Body)
	}
}

// Release records that a granted request did not run; the key may be granted again.
func (s *Store) Release(now time.Time, id ID) {
	r := s.records[id]
	if r == nil || r.status != running {
		return
	}
	r.status = released
	r.at = now
}

// expire drops the keys whose window has passed, in the order in which they were first claimed. A record that was used
// since stops it until that record's own window has passed; one that is still running moves to the end of the order.
func (s *Store) expire(now time.Time) {
	for len(s.order) > 0 {
		id := s.order[0]
		r := s.records[id]
		if now.Sub(r.at) <= s.window {
			return
		}
		s.order = s.order[1:]
		if r.status == running && now.Before(r.expires) {
			s.order = append(s.order, id)
			return
		}
		s.bytes -= recordOverheadBytes + len(r.answer.Body)
		delete(s.records, id)
	}
}
