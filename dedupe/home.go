package dedupe

import (
	"time"

	"github.com/lynxplank/lynxplank/gen/peerpb"
)

// ID names a key within its customer and service.
type ID struct {
	// Scope is the customer and the service.
	Scope string
	// Key is the caller's.
	Key string
}

// Verdict says what a claim leads to.
type Verdict uint8

// The verdicts.
const (
	// Grant lets this request run; it must end with Finish or Release.
	Grant Verdict = iota
	// Replay answers from the record.
	Replay
	// InProgress means that an earlier request with the key is still running.
	InProgress
	// Unknown means that the key's earlier fate cannot be told.
	Unknown
	// Mismatch means that the key came with another request before.
	Mismatch
	// Full means that no further key can be remembered; nothing ran.
	Full
	// Clean answers a fence: no run of the key is known here, and no late first attempt will be let through.
	Clean
	// Young means that nothing ran under this claim, but the home remembers too little to let a first attempt run
	// unless the key's other home vouches for it.
	IncompleteHistory
)

// Answer is a kept answer.
type Answer struct {
	// Head is the status and the headers.
	Head *peerpb.Head
	// Body is the whole body.
	Body []byte
	// Kept is false when the answer was too large to keep.
	Stored bool
}

type status uint8

const (
	running status = iota
	ran
	unknown
	released
	fenced
)

type record struct {
	status      status
	fingerprint uint64
	at          time.Time
	expires     time.Time
	answer      Answer
}

// Claim is one request's wish to run under its key.
type Claim struct {
	ID
	// Attempt is 0 when the caller marks none, 1 for the first, higher for a re-send.
	Attempt uint32
	// Fingerprint tells one request from another with the same key.
	Fingerprint uint64
	// Fence only bars a late first attempt.
	Fence bool
	// Vouched is set when the key's other home answered a fence as clean.
	Vouched bool
	// Covered is set when this home has been the key's only home, with its memory whole, for longer than re-sends
	// may come.
	CompleteHistory bool
	// Deadline is when a run that never reports its end is given up.
	Deadline time.Time
}

// Home is the record of the keys that are at home in one place; its owner locks it.
//
// Invariant: for one key, from one Grant to the next there is a Release, which is proof that nothing ran.
type Store struct {
	window  time.Duration
	most    int
	bytes   int
	records map[ID]*record
	order   []ID
}

const (
	// KeptBody is the largest body that is kept for a replay, in bytes.
	MaxStoredBody = 16 << 10
	recordBytes   = 256
	lateReporter  = 5 * time.Second
)

// NewHome returns an empty home that keeps keys for a window and at most a number of bytes.
func NewStore(window time.Duration, mostBytes int) *Store {
	return &Store{window: window, most: mostBytes, records: make(map[ID]*record)}
}

// Len returns the number of keys remembered.
func (h *Store) Len() int { return len(h.records) }

// Claim decides about a request.
func (h *Store) Claim(now time.Time, c Claim) (Verdict, Answer) {
	h.expire(now)
	r := h.records[c.ID]
	if r == nil {
		return h.claimNew(now, c), Answer{}
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
	h.grant(now, r, c)
	return Grant, Answer{}
}

func (h *Store) claimNew(now time.Time, c Claim) Verdict {
	if !c.CompleteHistory && (c.Attempt != 1 || c.Fence) {
		return Unknown
	}
	// A re-send that barred a late first attempt may have run, and this home may have forgotten it.
	if !c.CompleteHistory && !c.Vouched {
		return IncompleteHistory
	}
	if h.bytes+recordBytes+MaxStoredBody > h.most {
		return Full
	}
	r := &record{fingerprint: c.Fingerprint, at: now, status: fenced}
	h.records[c.ID] = r
	h.order = append(h.order, c.ID)
	h.bytes += recordBytes
	if c.Fence {
		return Clean
	}
	h.grant(now, r, c)
	return Grant
}

func (h *Store) grant(now time.Time, r *record, c Claim) {
	r.status = running
	r.at = now
	r.expires = c.Deadline.Add(lateReporter)
}

// Finish notes that a granted request ran, or that its fate is unknown.
func (h *Store) Finish(now time.Time, id ID, outcome peerpb.Outcome, a Answer) {
	r := h.records[id]
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
		h.bytes += len(a.Body)
	}
}

// Release notes that a granted request was not run; the key may be granted again.
func (h *Store) Release(now time.Time, id ID) {
	r := h.records[id]
	if r == nil || r.status != running {
		return
	}
	r.status = released
	r.at = now
}

// expire forgets the keys whose window has passed; a key used again later in the order is looked at again then.
func (h *Store) expire(now time.Time) {
	for len(h.order) > 0 {
		id := h.order[0]
		r := h.records[id]
		if now.Sub(r.at) <= h.window {
			return
		}
		h.order = h.order[1:]
		if r.status == running && now.Before(r.expires) {
			h.order = append(h.order, id)
			return
		}
		h.bytes -= recordBytes + len(r.answer.Body)
		delete(h.records, id)
	}
}
